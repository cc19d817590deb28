"""The engine: order of events, writes before messages, frames for joining proxies, a failing store."""

from __future__ import annotations

from sockets import ScriptedAssigner

from corallanding import interface as api
from corallanding.controller.engine import Engine
from corallanding.controller.step_outputs import Output, SendFrame, StoreWrites
from corallanding.store import StoreContents
from corallanding.wire import frames

REQUEST_CLASSES = (api.RequestClass("quote", api.Idempotency.IDEMPOTENT, "all", 0, 1, 0, 1000, 3000),)


SETTINGS = api.Settings(
    REQUEST_CLASSES, slice_count=4, proxy_count=2, report_interval_ms=1000.0, reports_per_second=2.0
)


def make_engine(
    settings: api.Settings = SETTINGS, stored: StoreContents | None = None
) -> tuple[Engine, ScriptedAssigner]:
    addresses = {h: f"127.0.0.1:{h}" for h in (10, 11, 12)}
    engine = Engine(settings, 1, stored or StoreContents(2), range(settings.slice_count), addresses, ScriptedAssigner)
    assert isinstance(engine.assigner, ScriptedAssigner)
    return engine, engine.assigner


def decode(data: bytes) -> list[frames.Frame]:
    return frames.FrameReader(frames.proxy_decoder, 1 << 20).feed(data)


def run_step(engine: Engine, now_ms: float, stored: bool = True) -> tuple[StoreWrites, list[Output]]:
    engine.add_event(now_ms, api.TimerFired(99))
    writes = engine.decide(now_ms)
    return writes, engine.publish(stored)


def hello(proxy: int, **fields: object) -> frames.Hello:
    return frames.Hello(frames.PROTOCOL_VERSION, proxy, f"{proxy}-1", **fields)  # type: ignore[arg-type]


def test_events_when_a_step_is_late_then_delivered_in_the_order_of_their_times() -> None:
    engine, assigner = make_engine()
    assigner.next_actions = [api.StartTimer(50.0, 5), api.StartTimer(20.0, 6)]
    run_step(engine, 100.0)
    engine.add_event(110.0, api.TimerFired(1))
    engine.add_event(130.0, api.TimerFired(2))
    engine.add_event(130.0, api.TimerFired(3))
    assigner.told.clear()
    engine.decide(500.0)  # after all events and timers
    assert [e.timer for e in assigner.told if isinstance(e, api.TimerFired)] == [1, 6, 2, 3, 5]
    assigner.told.clear()
    engine.add_event(400.0, api.TimerFired(9))
    engine.decide(300.0)  # the engine's time does not decrease with the clock
    assert engine.now_ms == 500.0
    assert assigner.told == [api.TimerFired(9)]


def test_step_when_it_changes_tables_then_one_message_follows_its_writes() -> None:
    engine, assigner = make_engine()
    for proxy in (1, 2):
        engine.on_proxy_joined(0.0, hello(proxy))
    assigner.next_actions = [api.SetWeight(0, 10, 1.0), api.SetWeight(1, 11, 1.0), api.PublishVersion(7)]
    writes = engine.decide(10.0)
    assert writes == StoreWrites(1, ((0, 10, 1.0), (1, 11, 1.0)))
    [send] = engine.publish(True)
    assert isinstance(send, SendFrame)
    assert send.proxies == (1, 2)
    assert (send.cost_lines, send.version) == (3, 7)
    [order] = decode(send.frame)
    assert isinstance(order, frames.Orders)
    assert order.version == 7
    assert order.addresses == {10: "127.0.0.1:10", 11: "127.0.0.1:11"}
    [tables] = decode(engine.on_proxy_joined(20.0, hello(3)))
    assert isinstance(tables, frames.Tables)
    assert tables.seq == 1
    assert tables.tables == [(0, [(10, 1.0)]), (1, [(11, 1.0)]), (2, []), (3, [])]


def test_actions_when_the_slice_is_not_owned_then_dropped_and_counted() -> None:
    engine, assigner = make_engine()
    engine.on_slice_lost(0.0, 3)
    assigner.next_actions = [
        api.SetWeight(3, 10, 1.0),
        api.SetAdmission(3, 0, 0.5, api.RetryMode.NEVER),
        api.ResetTable(3),
    ]
    writes, _outputs = run_step(engine, 10.0)
    assert engine.discarded_actions == 3
    assert not writes.entries
    assert not writes.resets
    engine.on_slice_gained(20.0, 3, {12: 1.0})
    assigner.told.clear()
    run_step(engine, 30.0)
    assert assigner.told[:2] == [api.SliceOwnershipChange(3, True), api.StoredWeight(3, 12, 1.0)]


def test_store_when_it_fails_then_messages_are_sent_and_tables_are_stored_later() -> None:
    engine, assigner = make_engine()
    engine.on_proxy_joined(0.0, hello(1))
    assigner.next_actions = [api.SetWeight(0, 10, 1.0)]
    writes, outputs = run_step(engine, 10.0, stored=False)
    assert len(outputs) == 1
    assert engine.unsaved_tables == {0: {10: 1.0}}
    assigner.next_actions = [api.SetWeight(0, 11, 1.0), api.SetWeight(0, 10, 0.0), api.ResetTable(2)]
    writes, _ = run_step(engine, 20.0, stored=False)
    assert set(writes.entries) == {(0, 10, 0.0), (0, 11, 1.0)}
    assert writes.resets == (2,)
    assert engine.next_at(30.0) == 30.0, "a step is due to retry the store"
    engine.is_store_backing_off = True
    assert engine.next_at(30.0) is None
    run_step(engine, 40.0)
    assert engine.unsaved_tables == {}
    assert engine.unsaved_resets == set()


def test_recall_when_the_store_lags_behind_a_proxy_then_its_tables_are_adopted() -> None:
    stored = StoreContents(5, message_number=3, tables={0: {10: 1.0}, 1: {10: 1.0}})
    engine, assigner = make_engine(stored=stored)
    engine.recall_until_ms = 1000.0
    assert not engine.needs_recall(0.0, hello(1, start_number=4, seq=3)), "as new as the store"
    assert not engine.needs_recall(0.0, hello(1, start_number=3, seq=9)), "of an older start"
    assert engine.needs_recall(0.0, hello(1, start_number=4, seq=9))
    held = frames.HeldTables(4, 9, [(0, [(11, 1.0)]), (1, [(10, 1.0)]), (2, [(77, 1.0)]), (9, [(10, 1.0)])])
    assert engine.on_recalled_tables(1.0, held) == [0], "table 1 is unchanged, host 77 is unknown, slice 9 is not owned"
    writes, _ = run_step(engine, 2.0)
    assert writes.resets == (0,)
    assert writes.entries == ((0, 11, 1.0),)
    assert assigner.told[:2] == [api.SliceOwnershipChange(0, True), api.StoredWeight(0, 11, 1.0)]
    assert engine.on_recalled_tables(3.0, frames.HeldTables(4, 8, [(0, [(12, 1.0)])])) == [], (
        "older than the recalled tables"
    )
    assert not engine.needs_recall(2000.0, hello(1, start_number=4, seq=99)), "long after the start"


def test_messages_when_the_site_has_no_slices_then_each_proxy_gets_its_own_tables() -> None:
    engine, assigner = make_engine(api.Settings(REQUEST_CLASSES, slice_count=0, proxy_count=3))
    for proxy in (1, 2, 3):
        engine.on_proxy_joined(0.0, hello(proxy))
    assigner.next_actions = [
        api.SetWeight(5, 10, 1.0),
        api.SetWeight(6, 11, 1.0),
        api.AssignTable(1, 5, 0),
        api.AssignTable(2, 6, 1),
    ]
    _, outputs = run_step(engine, 10.0)
    frames_by_proxies = {s.proxies: decode(s.frame)[0] for s in outputs if isinstance(s, SendFrame)}
    assert set(frames_by_proxies) == {(1,), (2,)}
    order = frames_by_proxies[1,]
    assert isinstance(order, frames.Orders)
    assert order.lines == [(5, 10, 1.0)]
    assert order.assigned_tables == [(5, 0)]
    assigner.next_actions = [api.SetWeight(6, 11, 0.0), api.PublishVersion(1, to_all_proxies=True)]
    _, outputs = run_step(engine, 20.0)
    assert {s.proxies for s in outputs if isinstance(s, SendFrame)} == {(2,), (1, 3)}
    [tables] = decode(engine.on_proxy_joined(30.0, hello(1)))
    assert isinstance(tables, frames.Tables)
    assert tables.tables == [], "an assignment ends with the connection"
