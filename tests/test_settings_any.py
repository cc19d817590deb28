"""The settings of any customer: the platform's front starts or refuses in one line, and a short day breaks no bound."""

from __future__ import annotations

import math
from typing import Any

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from test_platform_state import SETTINGS, TOP

from corallanding import interface as api
from corallanding.assignment import Assigner
from corallanding.collector.reports import ReportIntake
from corallanding.controller.event_inbox import EventInbox
from corallanding.host_names import number
from corallanding.platform.config import Config, InvalidConfigError, parse
from corallanding.relay.channel import ChannelEstimate
from corallanding.relay.pending_calls import PendingCalls
from corallanding.relay.subscription import RelayView

NAMES = st.text(st.characters(exclude_categories=("Cs",)), min_size=1, max_size=12)
AMOUNT = st.sampled_from([0, 1, 0.5, 700, 250_000, 1_200_000, 60_000_000, 1e12, -1, "12", "x", None, True, [], {}])
OPERATION = st.fixed_dictionaries(
    {"name": NAMES, "idempotency": st.sampled_from(["repeatable", "by_key", "once", "now and then"])},
    optional={"window": AMOUNT, "group": NAMES, "aim": AMOUNT, "giveUp": AMOUNT, "worth": AMOUNT, "lateWorth": AMOUNT},
)
FAMILY = [
    "proxies",
    "keyRanges",
    "lease",
    "inFlightMax",
    "baseMode",
    "tryAims",
    "blackhole",
    "channelRate",
    "perMessage",
    "mostWaiting",
    "pushesAllowed",
    "messagesOver",
    "propagation",
    "worstTransit",
    "reportEvery",
    "intakePerS",
    "pushPrice",
    "reassignPrice",
    "ejects",
]
RULES = ("askWithin", "drainGrace", "cold", "coldFrom", "fall", "fallMultiple", "drainBindsAlone")
ANY = st.fixed_dictionaries(
    {
        "zones": st.lists(NAMES, max_size=4, unique=True),
        "kinds": st.lists(NAMES, max_size=3, unique=True),
        "classes": st.lists(OPERATION, max_size=9),
        "familyInfo": st.fixed_dictionaries({}, optional=dict.fromkeys(FAMILY, AMOUNT)),
        "rules": st.fixed_dictionaries({}, optional=dict.fromkeys(RULES, AMOUNT)),
    },
    optional={
        "zone": AMOUNT,
        "balancers": AMOUNT,
        "me": AMOUNT,
        "period": AMOUNT,
        "weights": NAMES,
        "discovery": st.sampled_from(["pushed", "on_request", 3]),
        "prices": st.just({"probe": 0}),
        "limits": st.fixed_dictionaries({}, optional={"mayProbe": st.booleans(), "dialTimeout": AMOUNT}),
        "loadReport": st.just({"fields": ["rif", "busy"]}),
    },
)


def read(given_settings: Any) -> Config | None:
    try:
        return parse(msgspec.json.encode({**TOP, "known": None, "settings": given_settings}))
    except InvalidConfigError as fault:
        assert "\n" not in str(fault) and "settings" in str(fault), fault
        return None


def play(c: Config) -> None:
    """Hosts come, drain, fail and go; proxies join and leave; slices are given; acks come or do not."""
    s = c.settings
    news = RelayView(s, c.names.zones)
    intake = ReportIntake(s, c.names, set(), news.tables)
    channel = ChannelEstimate(
        s.max_queued_lines, s.channel_lines_per_second, s.message_overhead_lines, lambda: len(news.proxies)
    )
    calls = PendingCalls(list(c.names.request_classes), s.max_messages, s.message_window_ms, channel)
    assert c.connect_timeout_ms > 0.0
    assert math.isfinite(intake.max_latency_ms)
    assert intake.max_span_ms > 0
    turns, now, sent = EventInbox(Assigner(s, c.seed)), 1e9, list[float]()
    hosts = [number(f"h{n}") for n in range(4)]
    entries = [api.HostEntry(h, n % max(1, s.zone_count), 0, n) for n, h in enumerate(hosts)]

    def turn(*events: api.Event) -> None:
        nonlocal now
        now += max(1.0, s.decision_interval_ms)
        for e in events:
            turns.add_event(now, e)
        turns.fire_due_timers(now)
        for a in turns.run_step(now, turns.take_events()):
            match a:
                case api.StartTimer():
                    assert math.isfinite(a.delay_ms)
                    turns.start_timer(now + max(a.delay_ms, 1.0), a.timer)
                case api.SetWeight() | api.SetAdmission() | api.Cordon() | api.ResetTable() | api.PublishVersion():
                    calls.add([a])
                case api.CheckHealth():
                    turns.add_event(now, api.HealthCheckResult(a.host, api.HealthCheckOutcome.TIMEOUT, 100.0))
        for _ in range(3):
            if (call := calls.next_call(now)) is None:
                break
            sent.append(now)
            recent = [at for at in sent if at > now - s.message_window_ms]
            assert not s.max_messages or len(recent) <= s.max_messages
            answer = {"id": call.id, "result": {"taken": len(call.orders)}}
            for o in calls.on_answer(now, msgspec.json.encode(answer)) or []:
                if isinstance(o, api.PublishVersion) and o.version % 2:
                    turns.add_event(now, api.VersionAcked(0, o.version, 5.0))

    proxies = range(min(s.proxy_count, 3))
    slices = range(min(s.slice_count, 4))
    turn(api.HostListUpdate(api.HostListKind.SAVED, 1, tuple(entries[:2])))
    turn(*(api.ProxyJoined(p, 0, 2.5, True) for p in proxies), *(api.SliceOwnershipChange(n, True) for n in slices))
    turn(api.HostListUpdate(api.HostListKind.FULL, 2, tuple(entries)))
    for k in range(len(s.request_classes)):
        turn(*(api.SliceUsageReport(n, k, 50, 10, max(1.0, s.report_interval_ms)) for n in slices))
    turn(api.HostUsageReport(0, hosts[0], 90, 90, 0.0, max(1.0, s.report_interval_ms), {}))
    turn(api.HostListUpdate(api.HostListKind.CHANGES, 3, (api.HostEntry(hosts[1], state="draining"),)))
    turn(api.HostListUpdate(api.HostListKind.FAILED, 3))
    turn(*(api.ProxyLeft(p) for p in proxies), *(api.SliceOwnershipChange(n, False) for n in slices))
    turn(api.HostListUpdate(api.HostListKind.FULL, 4, ()))
    for _ in range(6):
        turn()


@settings(max_examples=300, deadline=None)
@given(ANY)
def test_any_settings_are_refused_in_one_line_or_carry_a_short_day(given_settings: Any) -> None:
    if c := read(given_settings):
        play(c)


@settings(max_examples=60, deadline=None)
@given(st.lists(NAMES, min_size=1, max_size=9, unique=True), st.lists(NAMES, min_size=1, max_size=3, unique=True))
def test_operations_and_zones_of_any_names_and_number_are_served(operations: list[str], zones: list[str]) -> None:
    named = {
        **SETTINGS,
        "zones": zones,
        "kinds": ["m2"],
        "classes": [{**SETTINGS["classes"][0], "name": name} for name in operations],
    }
    c = read(named)
    assert c
    assert len(c.settings.request_classes) == len(operations)
    assert c.settings.zone_count == len(zones)
    assert list(c.names.request_classes) == operations
    assert list(c.names.zones) == zones
    play(c)
