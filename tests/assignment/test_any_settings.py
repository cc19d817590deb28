"""Random settings: the platform rejects them with a one-line error, or a short scenario stays within all limits."""

from __future__ import annotations

import math
from typing import Any

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from platform_samples import CONFIG_FILE, CONFIG_SETTINGS

from corallanding import interface as api
from corallanding.assignment import Assigner
from corallanding.assignment.message_limit import MessageLimit
from corallanding.collector.reports import ReportIntake
from corallanding.controller.event_inbox import EventInbox
from corallanding.host_names import host_number
from corallanding.platform.config import Config, InvalidConfigError, parse
from corallanding.relay.channel import ChannelEstimate
from corallanding.relay.pending_calls import PendingCalls
from corallanding.relay.subscription import RelayView

NAMES = st.text(st.characters(exclude_categories=("Cs",)), min_size=1, max_size=12)
AMOUNT = st.sampled_from([0, 1, 0.5, 700, 250_000, 1_200_000, 60_000_000, 1e12, -1, "12", "x", None, True, [], {}])
REQUEST_CLASS = st.fixed_dictionaries(
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
ANY_SITE = st.fixed_dictionaries(
    {
        "zones": st.lists(NAMES, max_size=4, unique=True),
        "kinds": st.lists(NAMES, max_size=3, unique=True),
        "classes": st.lists(REQUEST_CLASS, max_size=9),
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


def read_config(site: Any) -> Config | None:
    """Return the platform's configuration of a site, or None if it is rejected with a one-line error."""
    try:
        return parse(msgspec.json.encode({**CONFIG_FILE, "known": None, "settings": site}))
    except InvalidConfigError as error:
        check_error(str(error))
        return None


def check_error(text: str) -> None:
    """Check that the error is one line that mentions the settings."""
    assert "\n" not in text
    assert "settings" in text, text


class ShortScenario:
    """Drives assigner, relay calls and report intake with one configuration, and checks their limits in each step."""

    def __init__(self, config: Config) -> None:
        self.settings = config.settings
        relay = RelayView(self.settings, config.names.zones)
        self.intake = ReportIntake(self.settings, config.names, set(), relay.tables)
        channel = ChannelEstimate(
            self.settings.max_queued_lines,
            self.settings.channel_lines_per_second,
            self.settings.message_overhead_lines,
            lambda: len(relay.proxies),
        )
        request_classes = list(config.names.request_classes)
        settings = self.settings
        limit = MessageLimit.for_drains(settings.max_messages, settings.message_window_ms, settings.drain_grace_ms)
        self.calls = PendingCalls(request_classes, limit, channel)
        self.inbox = EventInbox(Assigner(self.settings, config.seed))
        self.now_ms = 1e9
        self.sent_at_ms: list[float] = []
        assert config.connect_timeout_ms > 0.0
        assert math.isfinite(self.intake.max_latency_ms)
        assert self.intake.max_span_ms > 0

    def step(self, *events: api.Event) -> None:
        """Run one step, and answer its calls to the relay immediately."""
        self.now_ms += max(1.0, self.settings.decision_interval_ms)
        for event in events:
            self.inbox.add_event(self.now_ms, event)
        self.inbox.fire_due_timers(self.now_ms)
        for action in self.inbox.run_step(self.now_ms, self.inbox.take_events()):
            self.apply_action(action)
        for _ in range(3):
            if not self.answer_next_call():
                break

    def apply_action(self, action: api.Action) -> None:
        """Start timers, let health checks time out, and pass table actions to the relay."""
        match action:
            case api.StartTimer():
                assert math.isfinite(action.delay_ms)
                self.inbox.start_timer(self.now_ms + max(action.delay_ms, 1.0), action.timer)
            case api.SetWeight() | api.SetAdmission() | api.Cordon() | api.ResetTable() | api.PublishVersion():
                self.calls.add([action])
            case api.CheckHealth():
                timeout = api.HealthCheckResult(action.host, api.HealthCheckOutcome.TIMEOUT, 100.0)
                self.inbox.add_event(self.now_ms, timeout)

    def answer_next_call(self) -> bool:
        """Answer the next call to the relay, if any; check the message limit, and acknowledge every other version."""
        call = self.calls.next_call(self.now_ms)
        if call is None:
            return False
        self.sent_at_ms.append(self.now_ms)
        recent = [at_ms for at_ms in self.sent_at_ms if at_ms > self.now_ms - self.settings.message_window_ms]
        assert not self.settings.max_messages or len(recent) <= self.settings.max_messages
        answer = {"id": call.id, "result": {"taken": len(call.orders)}}
        for action in self.calls.on_answer(self.now_ms, msgspec.json.encode(answer)) or []:
            if isinstance(action, api.PublishVersion) and action.version % 2:
                self.inbox.add_event(self.now_ms, api.VersionAcked(0, action.version, 5.0))
        return True

    def run(self) -> None:
        """Run steps in which hosts are added, drain, fail and are removed, and proxies and slices come and go."""
        hosts = [host_number(f"h{index}") for index in range(4)]
        zone_count = max(1, self.settings.zone_count)
        entries = [api.HostEntry(host, index % zone_count, 0, index) for index, host in enumerate(hosts)]
        proxies = range(min(self.settings.proxy_count, 3))
        slices = range(min(self.settings.slice_count, 4))
        span_ms = max(1.0, self.settings.report_interval_ms)
        self.step(api.HostListUpdate(api.HostListKind.SAVED, 1, tuple(entries[:2])))
        joined = [api.ProxyJoined(proxy, 0, 2.5, True) for proxy in proxies]
        self.step(*joined, *(api.SliceOwnershipChange(slice_id, True) for slice_id in slices))
        self.step(api.HostListUpdate(api.HostListKind.FULL, 2, tuple(entries)))
        for request_class in range(len(self.settings.request_classes)):
            self.step(*(api.SliceUsageReport(slice_id, request_class, 50, 10, span_ms) for slice_id in slices))
        self.step(api.HostUsageReport(0, hosts[0], 90, 90, 0.0, span_ms, {}))
        draining = api.HostEntry(hosts[1], state=api.HostState.DRAINING)
        self.step(api.HostListUpdate(api.HostListKind.CHANGES, 3, (draining,)))
        self.step(api.HostListUpdate(api.HostListKind.FAILED, 3))
        left = [api.ProxyLeft(proxy) for proxy in proxies]
        self.step(*left, *(api.SliceOwnershipChange(slice_id, False) for slice_id in slices))
        self.step(api.HostListUpdate(api.HostListKind.FULL, 4, ()))
        for _ in range(6):
            self.step()


@settings(max_examples=300, deadline=None)
@given(ANY_SITE)
def test_settings_when_random_then_they_are_rejected_in_one_line_or_a_short_scenario_succeeds(site: Any) -> None:
    if config := read_config(site):
        ShortScenario(config).run()


@settings(max_examples=60, deadline=None)
@given(st.lists(NAMES, min_size=1, max_size=9, unique=True), st.lists(NAMES, min_size=1, max_size=3, unique=True))
def test_request_classes_and_zones_when_names_and_numbers_are_random_then_they_are_supported(
    request_classes: list[str], zones: list[str]
) -> None:
    site = {
        **CONFIG_SETTINGS,
        "zones": zones,
        "kinds": ["m2"],
        "classes": [{**CONFIG_SETTINGS["classes"][0], "name": name} for name in request_classes],
    }
    config = read_config(site)
    assert config
    assert len(config.settings.request_classes) == len(request_classes)
    assert config.settings.zone_count == len(zones)
    assert list(config.names.request_classes) == request_classes
    assert list(config.names.zones) == zones
    ShortScenario(config).run()
