"""What is handed over goes on as if nothing had been: engine, channel, joins and links, at any step of a busy time."""

from __future__ import annotations

import random
from typing import Any

import pytest

from corallanding import interface as api
from corallanding.assignment import Assigner
from corallanding.channel import Channel, Limits
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
from corallanding.wire.link import Limits as LinkLimits
from corallanding.wire.link import Link

OP = api.RequestClass("quote", api.Idempotency.IDEMPOTENT, "all", 5000, 3, 0.1, 1200, 3000)
SETTINGS = api.Settings(
    request_classes=(OP,),
    slice_count=12,
    max_queued_lines=900.0,
    channel_lines_per_second=400.0,
    may_check_health=True,
    proxy_count=4,
    max_messages=14,
    message_window_ms=4000.0,
)
LIMITS = Limits(400.0, 8.0, 900.0, 14, 4000.0)
ADDRESSES = {h: f"127.0.0.1:{9000 + h}" for h in range(6)}


class Steward:
    """An engine and what is around it, without sockets; the world's part is drawn by a seed that both sides share."""

    def __init__(self, life: int, tables: dict[int, dict[int, float]] | None = None) -> None:
        self.engine = Engine(
            SETTINGS, 3, StoreContents(life, tables=tables or {}), range(12), dict(ADDRESSES), Assigner
        )
        self.channel, self.joins = Channel(LIMITS), JoinAdmission(20.0, 300.0, 2000.0, 1e9)
        self.log: list[Any] = []

    def join(self, now: float, f: int) -> None:
        self.channel.join(f)
        self.log.append((f, "tables", self.engine.on_proxy_joined(now, frames.Hello(1, f, f"{f}"))))

    def turn(self, now: float, r: random.Random) -> None:
        e = self.engine
        for f in range(4):
            if r.random() < 0.05:
                self.joins.request(now, f)
            if r.random() < 0.1:
                self.channel.block(f, r.random() < 0.5)
        for f in self.joins.admit_due(now):
            self.join(now, f)
        if r.random() < 0.15:
            h, state = r.randrange(6), r.choice(("draining", "up"))
            e.add_event(now, api.HostListUpdate(api.HostListKind.CHANGES, int(now), (api.HostEntry(h, state=state),)))
        if r.random() < 0.5:
            f = r.randrange(4)
            hosts = [(h, 9, r.choice((0, 0, 9)), 300.0) for h in range(6)]
            e.on_usage_report(now, f, frames.Sums(1000.0, hosts, [(s, 0, r.randrange(20), 0) for s in range(12)]))
        if r.random() < 0.4:
            assert isinstance(e.assigner, Assigner)
            e.add_event(
                now,
                api.VersionAcked(r.randrange(4), r.randrange(3) + e.assigner.pending_versions.last_version - 2, 5.0),
            )
        e.decide(now)
        for out in e.publish(r.random() < 0.9):
            if isinstance(out, SendFrame):
                self.channel.submit(now, out.frame, out.cost_lines, out.version, out.proxies, out.orders, out.is_urgent)
            else:
                self.log.append(out)
        for f, m in self.channel.due(now):
            self.log.append((f, m.mark, m.frame))

    def handed(self) -> HandoverState:
        state = capture_state(self.engine, 0, "boot", 5.0, {}, 1)
        assert state
        extras = HandoverExtras(HostListState(1, [], dict(ADDRESSES), {}, [1]), {})
        captured = capture_handover(self.engine, state, self.channel, [], self.joins, extras)
        return file.unpack(file.pack(captured), HandoverState)


@pytest.mark.parametrize("at", [5, 17, 40, 41, 42, 43, 44, 45, 80, 119])
def test_a_steward_handed_over_at_any_step_says_what_the_old_one_would_have(at: int) -> None:
    one, now, r = Steward(1), 1e9, random.Random(at)
    one.engine.start(now, api.HostListUpdate(api.HostListKind.FULL, 1, tuple(api.HostEntry(h) for h in range(6))))
    for f in range(4):
        one.join(now, f)
    waits = held = False
    for step in range(160):
        now += r.choice((60.0, 125.0, 300.0))
        if step == at:
            # What the store has may lag behind: the state has the tables, and what is still to be kept.
            two = Steward(2, {0: {5: 1.0}})
            restore_handover(two.engine, one.handed(), two.channel, two.joins, now)
            two.engine.pending_events = [
                x for x in two.engine.pending_events if not isinstance(x[2], api.HealthCheckResult)
            ]
            one.log = []
            waits, held = one.channel.waiting > 0, any(one.engine.assigner.pending_versions.unacked_by_proxy.values())  # type: ignore[attr-defined]
        if step >= at:
            two.turn(now, random.Random(f"{at}:{step}"))
        one.turn(now, random.Random(f"{at}:{step}"))
    assert one.log == two.log
    assert len(one.log) > 20
    assert one.channel.waiting == two.channel.waiting
    assert one.engine.published == two.engine.published
    assert waits or held or at < 20, "nothing was on its way: no test"


def test_state_that_does_not_fit_leaves_the_new_engine_as_it_was() -> None:
    one = Steward(1)
    one.engine.start(1e9, api.HostListUpdate(api.HostListKind.FULL, 1, (api.HostEntry(1),)))
    one.turn(1e9 + 100.0, random.Random(1))
    h = one.handed()
    h.controller.assigner.slice_fields.append("mood")
    two = Steward(2, {0: {5: 1.0}})
    with pytest.raises(StateMismatchError, match="mood"):
        restore_handover(two.engine, h, two.channel, two.joins, 1e9 + 200.0)
    assert two.engine.published.tables == {0: {5: 1.0}}
    assert not two.engine.pending_events


def test_a_link_goes_over_with_half_a_frame_and_marks_that_are_out() -> None:
    old, new = Link(LinkLimits(), 0.0), Link(LinkLimits(), 50.0)
    data = frames.encode(frames.Hello(1, 7, "s")) + frames.encode(frames.Ack(4)) + frames.encode(frames.Ack(5))
    old.receive(1.0, data[:-3][: len(frames.encode(frames.Hello(1, 7, "s")))])
    old.marked(2.0, 4)
    old.marked(3.0, 5)
    cut = len(frames.encode(frames.Hello(1, 7, "s"))) + 2
    assert old.receive(4.0, data[cut - 2 : cut]) == []
    state = capture_connection(old, is_joined=True, is_write_paused=False, heartbeat_sent_at=9.0)
    restore_connection(new, file.unpack(file.pack(state), ConnectionState))
    got = new.receive(5.0, data[cut:])
    assert [f.number for f in got if isinstance(f, frames.Ack)] == [4, 5]
    assert not new.marks
    assert [m for m, _ in new.acks] == [4, 5]
    assert new.hello
    assert new.hello.forwarder == 7
