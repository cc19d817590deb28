"""What is handed over goes on as if nothing had happened: engine, channel, joins and connections, at any step."""

from __future__ import annotations

import random
from typing import Any

import pytest

from corallanding import interface as api
from corallanding.assignment import Assigner
from corallanding.channel import Channel, ChannelLimits
from corallanding.channel.proxy_queue import Message
from corallanding.controller.connection_state import ConnectionState, capture_connection, restore_connection
from corallanding.controller.engine import Engine
from corallanding.controller.handover_state import (
    HandoverExtras,
    HandoverState,
    HostListState,
    capture_handover,
    restore_handover,
)
from corallanding.controller.join_admission import JoinAdmission
from corallanding.controller.recovery import StateMismatchError, capture_state
from corallanding.controller.step_outputs import SendFrame
from corallanding.snapshot import file
from corallanding.store.api import StoreContents
from corallanding.wire import frames
from corallanding.wire.link_state import LinkLimits, LinkState

REQUEST_CLASS = api.RequestClass("quote", api.Idempotency.IDEMPOTENT, "all", 5000, 3, 0.1, 1200, 3000)


SETTINGS = api.Settings(
    request_classes=(REQUEST_CLASS,),
    slice_count=12,
    max_queued_lines=900.0,
    channel_lines_per_second=400.0,
    may_check_health=True,
    proxy_count=4,
    max_messages=14,
    message_window_ms=4000.0,
)


LIMITS = ChannelLimits(400.0, 8.0, 900.0, 14, 4000.0)


ADDRESSES = {h: f"127.0.0.1:{9000 + h}" for h in range(6)}


class ControllerWithoutSockets:
    """An engine and what is around it, without sockets; what happens is drawn from a seed that both sides share."""

    def __init__(self, start_number: int, tables: dict[int, dict[int, float]] | None = None) -> None:
        stored = StoreContents(start_number, tables=tables or {})
        self.engine = Engine(SETTINGS, 3, stored, range(12), dict(ADDRESSES), Assigner)
        self.channel = Channel(LIMITS)
        self.joins = JoinAdmission(20.0, 300.0, 2000.0, 1e9)
        self.log: list[Any] = []

    def join(self, now: float, proxy: int) -> None:
        """A proxy joins."""
        self.channel.join(proxy)
        tables = self.engine.on_proxy_joined(now, frames.Hello(1, proxy, f"{proxy}"))
        self.log.append((proxy, "tables", tables))

    def turn(self, now: float, rng: random.Random) -> None:
        """Draw what happens, run a step, and send what is due."""
        self.draw_connections(now, rng)
        self.draw_events(now, rng)
        self.engine.decide(now)
        for out in self.engine.publish(rng.random() < 0.9):
            if isinstance(out, SendFrame):
                message = Message(out.frame, out.cost_lines, out.version, now, out.orders)
                self.channel.submit(message, out.proxies, is_urgent=out.is_urgent)
            else:
                self.log.append(out)
        for proxy, message in self.channel.take_due(now):
            self.log.append((proxy, message.version, message.frame))

    def draw_connections(self, now: float, rng: random.Random) -> None:
        """Proxies ask for their tables, and sockets are blocked or not."""
        for proxy in range(4):
            if rng.random() < 0.05:
                self.joins.request(now, proxy)
            if rng.random() < 0.1:
                self.channel.set_blocked(proxy, is_blocked=rng.random() < 0.5)
        for proxy in self.joins.admit_due(now):
            self.join(now, proxy)

    def draw_events(self, now: float, rng: random.Random) -> None:
        """The host list changes, proxies report usage and acknowledge versions."""
        engine = self.engine
        if rng.random() < 0.15:
            host = rng.randrange(6)
            entry = api.HostEntry(host, state=api.HostState(rng.choice(("draining", "up"))))
            engine.add_event(now, api.HostListUpdate(api.HostListKind.CHANGES, int(now), (entry,)))
        if rng.random() < 0.5:
            proxy = rng.randrange(4)
            hosts = [(host, 9, rng.choice((0, 0, 9)), 300.0) for host in range(6)]
            slices = [(slice_number, 0, rng.randrange(20), 0) for slice_number in range(12)]
            engine.on_usage_report(now, proxy, frames.UsageReport(1000.0, hosts, slices))
        if rng.random() < 0.4:
            assert isinstance(engine.assigner, Assigner)
            proxy = rng.randrange(4)
            version = rng.randrange(3) + engine.assigner.pending_versions.last_version - 2
            engine.add_event(now, api.VersionAcked(proxy, version, 5.0))

    def handed(self) -> HandoverState:
        state = capture_state(self.engine, 0, "boot", 5.0, {}, 1)
        assert state
        extras = HandoverExtras(HostListState(1, [], dict(ADDRESSES), {}, [1]), {})
        captured = capture_handover(self.engine, state, self.channel, [], self.joins, extras)
        return file.unpack(file.pack(captured), HandoverState)


@pytest.mark.parametrize("at", [5, 17, 40, 41, 42, 43, 44, 45, 80, 119])
def test_controller_when_handed_over_at_any_step_then_sends_what_the_old_one_would(at: int) -> None:
    old = ControllerWithoutSockets(1)
    now = 1e9
    rng = random.Random(at)
    old.engine.start(now, api.HostListUpdate(api.HostListKind.FULL, 1, tuple(api.HostEntry(h) for h in range(6))))
    for proxy in range(4):
        old.join(now, proxy)
    is_waiting = False
    is_unacked = False
    for step in range(160):
        now += rng.choice((60.0, 125.0, 300.0))
        if step == at:
            # What the store has may lag behind: the state has the tables, and what is still to be kept.
            new_one = ControllerWithoutSockets(2, {0: {5: 1.0}})
            restore_handover(new_one.engine, old.handed(), new_one.channel, new_one.joins, now)
            new_one.engine.pending_events = [
                x for x in new_one.engine.pending_events if not isinstance(x[2], api.HealthCheckResult)
            ]
            old.log = []
            assert isinstance(old.engine.assigner, Assigner)
            is_waiting = old.channel.queued_lines > 0
            is_unacked = any(old.engine.assigner.pending_versions.unacked_by_proxy.values())
        if step >= at:
            new_one.turn(now, random.Random(f"{at}:{step}"))
        old.turn(now, random.Random(f"{at}:{step}"))
    assert old.log == new_one.log
    assert len(old.log) > 20
    assert old.channel.queued_lines == new_one.channel.queued_lines
    assert old.engine.published == new_one.engine.published
    assert is_waiting or is_unacked or at < 20, "nothing was on its way: no test"


def test_state_when_it_does_not_fit_then_the_new_engine_is_untouched() -> None:
    old = ControllerWithoutSockets(1)
    old.engine.start(1e9, api.HostListUpdate(api.HostListKind.FULL, 1, (api.HostEntry(1),)))
    old.turn(1e9 + 100.0, random.Random(1))
    handed = old.handed()
    handed.controller.assigner.slice_fields.append("mood")
    new_one = ControllerWithoutSockets(2, {0: {5: 1.0}})
    with pytest.raises(StateMismatchError, match="mood"):
        restore_handover(new_one.engine, handed, new_one.channel, new_one.joins, 1e9 + 200.0)
    assert new_one.engine.published.tables == {0: {5: 1.0}}
    assert not new_one.engine.pending_events


def test_connection_when_handed_over_then_keeps_partial_frame_and_unacked_versions() -> None:
    old, new = LinkState(LinkLimits(), 0.0), LinkState(LinkLimits(), 50.0)
    data = frames.encode(frames.Hello(1, 7, "s")) + frames.encode(frames.Ack(4)) + frames.encode(frames.Ack(5))
    old.receive(1.0, data[:-3][: len(frames.encode(frames.Hello(1, 7, "s")))])
    old.add_unacked(2.0, 4)
    old.add_unacked(3.0, 5)
    cut = len(frames.encode(frames.Hello(1, 7, "s"))) + 2
    assert old.receive(4.0, data[cut - 2 : cut]) == []
    state = capture_connection(old, is_joined=True, is_write_paused=False, heartbeat_sent_at=9.0)
    restore_connection(new, file.unpack(file.pack(state), ConnectionState))
    got = new.receive(5.0, data[cut:])
    assert [f.version for f in got if isinstance(f, frames.Ack)] == [4, 5]
    assert not new.unacked_versions
    assert [m for m, _ in new.acked] == [4, 5]
    assert new.hello
    assert new.hello.proxy == 7
