"""An engine restored from snapshot and log continues like the killed one; a mismatched state is rejected."""

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


class SteppedEngine:
    """An engine that a test steps directly, with the tables of the store and a log of its steps."""

    def __init__(self, start_number: int = 1, tables: dict[int, dict[int, float]] | None = None) -> None:
        addresses = {host: f"127.0.0.1:{9000 + host}" for host in range(5)}
        self.engine = Engine(
            SETTINGS, start_number, StoreContents(start_number, tables=tables or {}), range(12), addresses, Assigner
        )
        self.log: list[Any] = []
        self.now_ms = 1e9

    def start(self) -> None:
        self.engine.start(self.now_ms, api.HostListUpdate(api.HostListKind.FULL, 1, HOSTS))
        self.engine.add_event(self.now_ms, api.ProxyJoined(1, 0, 10.0, True))

    def run(self, steps: int) -> None:
        for number in range(steps):
            self.now_ms += 250.0
            if number % 4 == 0:
                for host in range(5):  # host 3 fails all requests, the others are late
                    self.engine.add_event(
                        self.now_ms, api.HostUsageReport(0, host, 40, 40 if host == 3 else 4, 1500.0, 1000.0)
                    )
                for slice_number in range(12):
                    self.engine.add_event(
                        self.now_ms, api.SliceUsageReport(slice_number, 0, 20 + slice_number, 2, 1000.0)
                    )
            self.engine.decide(self.now_ms)
            assert self.engine.last_step
            self.log.append(self.engine.last_step)
            self.engine.publish(True)

    def state(self) -> ControllerState:
        found = capture_state(self.engine, 0, "boot", 5.0, {(3, 1.0): 7.0}, 1)
        assert found
        return file.unpack(file.pack(found), ControllerState)


def weights(engine: Engine) -> dict[int, dict[int, float]]:
    return {table: dict(row) for table, row in engine.published.tables.items()}


@pytest.mark.parametrize("cut", [0, 1, 7, 30])
def test_restore_when_continued_then_decides_like_the_killed_engine(cut: int) -> None:
    first = SteppedEngine()
    first.start()
    first.run(60)
    state = first.state()
    step_count = len(first.log)
    first.run(cut)
    second = SteppedEngine(2, weights(first.engine))
    second.now_ms = first.now_ms
    assert restore(second.engine, state, first.log[step_count:], first.now_ms) == (cut, [])
    assert isinstance(first.engine.assigner, Assigner)
    assert isinstance(second.engine.assigner, Assigner)
    assert second.engine.assigner.admission.level == first.engine.assigner.admission.level < 1.0
    assert second.engine.published.admissions == first.engine.published.admissions
    assert [timer[::2] for timer in sorted(second.engine.timers)] == [
        timer[::2] for timer in sorted(first.engine.timers)
    ]
    second.engine.pending_events = []  # removes the notices of lost proxies, which only the second engine gets
    first.run(40)
    second.run(40)
    assert [step[2] for step in second.log] == [step[2] for step in first.log[step_count + cut :]]


def test_restore_when_the_store_differs_then_its_tables_are_used() -> None:
    first = SteppedEngine()
    first.start()
    first.run(30)
    tables = weights(first.engine)
    tables[4] = {1: 1.0, 2: 1.0}  # as if a step was saved but not logged, or logged but not saved
    second = SteppedEngine(2, tables)
    assert restore(second.engine, first.state(), [], first.now_ms)[1] == [4]
    second.now_ms = first.now_ms
    second.run(8)
    assigner = second.engine.assigner
    assert isinstance(assigner, Assigner)
    assert {table: set(row) for table, row in weights(second.engine).items()} == {
        s.id: {h.id for h in s.weights} for s in assigner.slices.values()
    }


def test_restore_when_replay_gives_other_actions_then_rejected_and_the_engine_is_unchanged() -> None:
    first = SteppedEngine()
    first.start()
    first.run(30)
    state, step_count = first.state(), len(first.log)
    first.run(8)
    steps = [*first.log[step_count:]]
    time_ms, events, actions = steps[5]
    steps[5] = (time_ms, events, [*actions, api.LogNote("only in the log")])
    second = SteppedEngine(2, weights(first.engine))
    assigner = second.engine.assigner
    with pytest.raises(StateMismatchError, match="step 6 of the log"):
        restore(second.engine, state, steps, first.now_ms)
    assert second.engine.assigner is assigner
    assert not second.engine.pending_events
    assert not second.engine.timers


@pytest.mark.parametrize(
    ("change", "why"),
    [
        ({"controller_number": 4}, "controller 4"),
        ({"settings_digest": b"x"}, "settings"),
        ({"boot_id": "other"}, "rebooted"),
        ({"start_number": 7}, "start number 7, the last one was 1"),
    ],
)
def test_state_when_it_is_from_another_run_then_rejected_with_the_reason(change: dict[str, Any], why: str) -> None:
    first = SteppedEngine()
    first.start()
    first.run(5)
    state = first.state()
    check_state(state, 0, SETTINGS, "boot", 2)
    for name, value in change.items():
        setattr(state, name, value)
    with pytest.raises(StateMismatchError, match=why):
        check_state(state, 0, SETTINGS, "boot", 2)


def test_log_when_cut_at_any_byte_then_restored_to_its_last_complete_step(tmp_path: Path) -> None:
    first = SteppedEngine()
    first.start()
    first.run(20)
    state, step_count = first.state(), len(first.log)
    log = recorder.Recorder(tmp_path / "log", SETTINGS, 1, 1e9, starts_after_snapshot=True)
    first.run(3)
    end_offsets = [log.written_bytes]
    for now_ms, events, actions in first.log[step_count:]:
        log.write_step(now_ms, events, actions)
        end_offsets.append(log.written_bytes)
    log.close()
    complete = (tmp_path / "log").read_bytes()
    for cut in range(end_offsets[0], len(complete) + 1):
        (tmp_path / "log").write_bytes(complete[:cut])
        steps = recorder.read_recording(tmp_path / "log").steps
        assert len(steps) == sum(offset <= cut for offset in end_offsets[1:])
        if cut in end_offsets or cut % 97 == 0:
            assert restore(SteppedEngine(2, weights(first.engine)).engine, state, steps, first.now_ms)[0] == len(steps)
