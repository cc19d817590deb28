"""An engine restored from snapshot and log goes on as the one that was killed; what does not fit is refused."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from corallanding import interface as api
from corallanding.assignment import Assigner
from corallanding.controller import recorder
from corallanding.controller.engine import Engine
from corallanding.controller.recovery import (
    ControllerState,
    StateMismatchError,
    capture_state,
    check_state,
    restore,
)
from corallanding.snapshot import file
from corallanding.store.api import StoreContents

REQUEST_CLASS = api.RequestClass("quote", api.Idempotency.IDEMPOTENT, "all", 5000, 3, 0.1, 1200, 3000)


SETTINGS = api.Settings(
    request_classes=(REQUEST_CLASS,), slice_count=12, max_queued_lines=1e6, admission="fraction", may_check_health=True
)


HOSTS = tuple(api.HostEntry(h) for h in range(5))


class Rig:
    """An engine driven by hand, with the store's tables and a log of its steps beside it."""

    def __init__(self, start_number: int = 1, tables: dict[int, dict[int, float]] | None = None) -> None:
        addresses = {h: f"127.0.0.1:{9000 + h}" for h in range(5)}
        self.engine = Engine(
            SETTINGS, start_number, StoreContents(start_number, tables=tables or {}), range(12), addresses, Assigner
        )
        self.log: list[Any] = []
        self.now = 1e9

    def begin(self) -> None:
        self.engine.start(self.now, api.HostListUpdate(api.HostListKind.FULL, 1, HOSTS))
        self.engine.add_event(self.now, api.ProxyJoined(1, 0, 10.0, True))

    def run(self, steps: int) -> None:
        for number in range(steps):
            self.now += 250.0
            if number % 4 == 0:
                for host in range(5):  # host 3 fails all, the others are late
                    self.engine.add_event(
                        self.now, api.HostUsageReport(0, host, 40, 40 if host == 3 else 4, 1500.0, 1000.0)
                    )
                for slice_number in range(12):
                    self.engine.add_event(self.now, api.SliceUsageReport(slice_number, 0, 20 + slice_number, 2, 1000.0))
            self.engine.decide(self.now)
            assert self.engine.last_step
            self.log.append(self.engine.last_step)
            self.engine.publish(True)

    def state(self) -> ControllerState:
        found = capture_state(self.engine, 0, "boot", 5.0, {(3, 1.0): 7.0}, 1)
        assert found
        return file.unpack(file.pack(found), ControllerState)


def weights(engine: Engine) -> dict[int, dict[int, float]]:
    return {t: dict(row) for t, row in engine.published.tables.items()}


@pytest.mark.parametrize("cut", [0, 1, 7, 30])
def test_restore_when_run_on_then_decides_as_the_engine_that_was_killed(cut: int) -> None:
    one = Rig()
    one.begin()
    one.run(60)
    state = one.state()
    tail = len(one.log)
    one.run(cut)
    two = Rig(2, weights(one.engine))
    two.now = one.now
    assert restore(two.engine, state, one.log[tail:], one.now) == (cut, [])
    assert isinstance(one.engine.assigner, Assigner)
    assert isinstance(two.engine.assigner, Assigner)
    assert two.engine.assigner.admission.level == one.engine.assigner.admission.level < 1.0
    assert two.engine.published.admissions == one.engine.published.admissions
    assert [t[::2] for t in sorted(two.engine.timers)] == [t[::2] for t in sorted(one.engine.timers)]
    two.engine.pending_events = []  # but for the forwarders that are gone, which only the second is told of
    one.run(40)
    two.run(40)
    assert [x[2] for x in two.log] == [x[2] for x in one.log[tail + cut :]]


def test_restore_when_the_store_differs_then_its_tables_count() -> None:
    one = Rig()
    one.begin()
    one.run(30)
    tables = weights(one.engine)
    tables[4] = {1: 1.0, 2: 1.0}  # a step that was kept and not logged, or the other way round
    two = Rig(2, tables)
    assert restore(two.engine, one.state(), [], one.now)[1] == [4]
    two.now = one.now
    two.run(8)
    module = two.engine.assigner
    assert isinstance(module, Assigner)
    assert {t: set(row) for t, row in weights(two.engine).items()} == {
        s.id: {h.id for h in s.weights} for s in module.slices.values()
    }


def test_restore_when_the_log_is_decided_otherwise_then_refused_and_nothing_is_touched() -> None:
    one = Rig()
    one.begin()
    one.run(30)
    state, tail = one.state(), len(one.log)
    one.run(8)
    steps = [*one.log[tail:]]
    at, events, actions = steps[5]
    steps[5] = (at, events, [*actions, api.LogNote("a thought of another version")])
    two = Rig(2, weights(one.engine))
    module = two.engine.assigner
    with pytest.raises(StateMismatchError, match="step 6 of the log"):
        restore(two.engine, state, steps, one.now)
    assert two.engine.assigner is module
    assert not two.engine.pending_events
    assert not two.engine.timers


@pytest.mark.parametrize(
    ("change", "why"),
    [
        ({"controller_number": 4}, "controller 4"),
        ({"settings_digest": b"x"}, "settings"),
        ({"boot_id": "other"}, "rebooted"),
        ({"start_number": 7}, "start number 7, the last one was 1"),
    ],
)
def test_state_when_it_belongs_elsewhere_then_refused_with_the_reason(change: dict[str, Any], why: str) -> None:
    one = Rig()
    one.begin()
    one.run(5)
    state = one.state()
    check_state(state, 0, SETTINGS, "boot", 2)
    for name, value in change.items():
        setattr(state, name, value)
    with pytest.raises(StateMismatchError, match=why):
        check_state(state, 0, SETTINGS, "boot", 2)


def test_log_when_cut_at_any_byte_then_restored_to_its_last_complete_step(tmp_path: Path) -> None:
    one = Rig()
    one.begin()
    one.run(20)
    state, tail = one.state(), len(one.log)
    log = recorder.Recorder(tmp_path / "log", SETTINGS, 1, 1e9, starts_after_snapshot=True)
    one.run(3)
    sizes = [log.written_bytes]
    for now, events, actions in one.log[tail:]:
        log.write_step(now, events, actions)
        sizes.append(log.written_bytes)
    log.close()
    whole = (tmp_path / "log").read_bytes()
    for cut in range(sizes[0], len(whole) + 1):
        (tmp_path / "log").write_bytes(whole[:cut])
        steps = recorder.read_recording(tmp_path / "log").steps
        assert len(steps) == sum(size <= cut for size in sizes[1:])
        if cut in sizes or cut % 97 == 0:
            assert restore(Rig(2, weights(one.engine)).engine, state, steps, one.now)[0] == len(steps)
