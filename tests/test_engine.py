"""The engine: order of events, keep before send, what a joining forwarder is given, a store that fails."""

from __future__ import annotations

from sockets import Scripted

from corallanding import interface as api
from corallanding.controller.engine import Engine
from corallanding.controller.report_aggregation import UsageAggregator
from corallanding.controller.step_outputs import Output, SendFrame, StoreWrites
from corallanding.store import StoreContents
from corallanding.wire import frames

OPS = (api.RequestClass("quote", api.Idempotency.IDEMPOTENT, "all", 0, 1, 0, 1000, 3000),)
SETTINGS = api.Settings(OPS, slice_count=4, proxy_count=2, report_interval_ms=1000.0, reports_per_second=2.0)


def make(settings: api.Settings = SETTINGS, life: StoreContents | None = None) -> tuple[Engine, Scripted]:
    addresses = {h: f"127.0.0.1:{h}" for h in (10, 11, 12)}
    engine = Engine(settings, 1, life or StoreContents(2), range(settings.slice_count), addresses, Scripted)
    assert isinstance(engine.assigner, Scripted)
    return engine, engine.assigner


def read(data: bytes) -> list[frames.Frame]:
    return frames.Reader(frames.to_forwarder, 1 << 20).feed(data)


def step(engine: Engine, now: float, stored: bool = True) -> tuple[StoreWrites, list[Output]]:
    engine.add_event(now, api.TimerFired(99))
    writes = engine.decide(now)
    return writes, engine.publish(stored)


def hello(f: int, **more: object) -> frames.Hello:
    return frames.Hello(frames.VERSION, f, f"{f}-1", **more)  # type: ignore[arg-type]


def test_events_come_in_the_order_of_their_times_also_to_a_late_turn() -> None:
    engine, module = make()
    module.todo = [api.StartTimer(50.0, 5), api.StartTimer(20.0, 6)]
    step(engine, 100.0)
    engine.add_event(110.0, api.TimerFired(1))
    engine.add_event(130.0, api.TimerFired(2))
    engine.add_event(130.0, api.TimerFired(3))
    module.told.clear()
    engine.decide(500.0)  # long after all of it
    assert [e.timer for e in module.told if isinstance(e, api.TimerFired)] == [1, 6, 2, 3, 5]
    module.told.clear()
    engine.add_event(400.0, api.TimerFired(9))
    engine.decide(300.0)  # a clock that went back stands still
    assert engine.now == 500.0
    assert module.told == [api.TimerFired(9)]


def test_one_message_carries_a_step_and_is_kept_first() -> None:
    engine, module = make()
    for f in (1, 2):
        engine.on_proxy_joined(0.0, hello(f))
    module.todo = [api.SetWeight(0, 10, 1.0), api.SetWeight(1, 11, 1.0), api.PublishVersion(7)]
    writes = engine.decide(10.0)
    assert writes == StoreWrites(1, ((0, 10, 1.0), (1, 11, 1.0)))
    [send] = engine.publish(True)
    assert isinstance(send, SendFrame)
    assert send.proxies == (1, 2)
    assert (send.cost_lines, send.version) == (3, 7)
    [order] = read(send.frame)
    assert isinstance(order, frames.Orders)
    assert order.mark == 7
    assert order.addresses == {10: "127.0.0.1:10", 11: "127.0.0.1:11"}
    [tables] = read(engine.on_proxy_joined(20.0, hello(3)))
    assert isinstance(tables, frames.Tables)
    assert tables.seq == 1
    assert tables.tables == [(0, [(10, 1.0)]), (1, [(11, 1.0)]), (2, []), (3, [])]


def test_orders_outside_the_charge_are_dropped_and_counted() -> None:
    engine, module = make()
    engine.on_slice_lost(0.0, 3)
    module.todo = [api.SetWeight(3, 10, 1.0), api.SetAdmission(3, 0, 0.5, api.RetryMode.NEVER), api.ResetTable(3)]
    writes, _out = step(engine, 10.0)
    assert engine.discarded_actions == 3
    assert not writes.entries
    assert not writes.resets
    engine.on_slice_gained(20.0, 3, {12: 1.0})
    module.told.clear()
    step(engine, 30.0)
    assert module.told[:2] == [api.SliceOwnershipChange(3, True), api.StoredWeight(3, 12, 1.0)]


def test_a_failing_store_stops_no_order_and_gets_all_later() -> None:
    engine, module = make()
    engine.on_proxy_joined(0.0, hello(1))
    module.todo = [api.SetWeight(0, 10, 1.0)]
    writes, out = step(engine, 10.0, stored=False)
    assert len(out) == 1
    assert engine.unsaved_tables == {0: {10: 1.0}}
    module.todo = [api.SetWeight(0, 11, 1.0), api.SetWeight(0, 10, 0.0), api.ResetTable(2)]
    writes, _ = step(engine, 20.0, stored=False)
    assert set(writes.entries) == {(0, 10, 0.0), (0, 11, 1.0)}
    assert writes.resets == (2,)
    assert engine.next_at(30.0) == 30.0, "it asks for a step to try the store again"
    engine.is_store_backing_off = True
    assert engine.next_at(30.0) is None
    step(engine, 40.0)
    assert engine.unsaved_tables == {}
    assert engine.unsaved_resets == set()


def test_a_forwarder_gives_back_what_the_store_had_not_kept() -> None:
    life = StoreContents(5, message_number=3, tables={0: {10: 1.0}, 1: {10: 1.0}})
    engine, module = make(life=life)
    engine.recall_until = 1000.0
    assert not engine.needs_recall(0.0, hello(1, life=4, seq=3)), "as new as the store"
    assert not engine.needs_recall(0.0, hello(1, life=3, seq=9)), "of an older life"
    assert engine.needs_recall(0.0, hello(1, life=4, seq=9))
    held = frames.Held(4, 9, [(0, [(11, 1.0)]), (1, [(10, 1.0)]), (2, [(77, 1.0)]), (9, [(10, 1.0)])])
    assert engine.on_recalled_tables(1.0, held) == [0], "1 is as kept, host 77 is unknown, 9 is not in its charge"
    writes, _ = step(engine, 2.0)
    assert writes.resets == (0,)
    assert writes.entries == ((0, 11, 1.0),)
    assert module.told[:2] == [api.SliceOwnershipChange(0, True), api.StoredWeight(0, 11, 1.0)]
    assert engine.on_recalled_tables(3.0, frames.Held(4, 8, [(0, [(12, 1.0)])])) == [], "older than what was recalled"
    assert not engine.needs_recall(2000.0, hello(1, life=4, seq=99)), "long after the start"


def test_without_slices_each_forwarder_gets_its_own_tables() -> None:
    engine, module = make(api.Settings(OPS, slice_count=0, proxy_count=3))
    for f in (1, 2, 3):
        engine.on_proxy_joined(0.0, hello(f))
    module.todo = [
        api.SetWeight(5, 10, 1.0),
        api.SetWeight(6, 11, 1.0),
        api.AssignTable(1, 5, 0),
        api.AssignTable(2, 6, 1),
    ]
    _, out = step(engine, 10.0)
    got = {s.proxies: read(s.frame)[0] for s in out if isinstance(s, SendFrame)}
    assert set(got) == {(1,), (2,)}
    order = got[1,]
    assert isinstance(order, frames.Orders)
    assert order.lines == [(5, 10, 1.0)]
    assert order.points == [(5, 0)]
    module.todo = [api.SetWeight(6, 11, 0.0), api.PublishVersion(1, to_all_proxies=True)]
    _, out = step(engine, 20.0)
    assert {s.proxies for s in out if isinstance(s, SendFrame)} == {(2,), (1, 3)}
    [tables] = read(engine.on_proxy_joined(30.0, hello(1)))
    assert isinstance(tables, frames.Tables) and tables.tables == [], "a binding ends with the stream"


def test_sums_add_up_and_come_oldest_first_at_the_intake_s_pace() -> None:
    gather = UsageAggregator(SETTINGS)
    for now, host in ((0.0, 10), (100.0, 11), (200.0, 12)):
        gather.add(now, 1, 0, frames.Sums(500.0, hosts=[(host, 4, 1, 20.0)]), {10, 11, 12}, set())
    odd = frames.Sums(500.0, hosts=[(10, 2, 0, 50.0), (99, 1, 0, 1.0), (11, 1, 2, 1.0)])
    gather.add(300.0, 2, 0, odd, {10, 11}, set())
    assert gather.dropped_rows == 2, "an unknown host, and more errors than tries"
    assert gather.take_due(300.0) == []
    first = gather.take_due(1000.0)
    assert [(e.host, e.attempts, e.failed, e.latency_ms) for e in first if isinstance(e, api.HostUsageReport)] == [
        (10, 6, 1, 32.0),
        (11, 4, 1, 20.0),
    ]
    assert [e.host for e in gather.take_due(1500.0) if isinstance(e, api.HostUsageReport)] == [12]


def test_sums_are_bounded() -> None:
    gather = UsageAggregator(SETTINGS, max_keys=2)
    gather.add(0.0, 1, 0, frames.Sums(500.0, slices=[(s, 0, 1, 0) for s in range(4)]), set(), set(range(4)))
    assert len(gather.tallies) == 2
    assert gather.dropped_rows == 2
