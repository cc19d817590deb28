"""Captures the state that a controller stores for its next run, and restores an engine from it.

The store has the tables and remains their only source. The snapshot has the state that is lost with a process: which
hosts failed or were slow, the progress of moves, admissions, timers. Replaying the log of the steps since the snapshot
brings it up to the last step. Except for the boot id, which is read from the kernel, nothing here does I/O.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from .. import interface as api
from ..assignment import Assigner
from ..errors import StorageError
from ..snapshot.assigner_state import AssignerState, dump, load
from ..snapshot.stored_values import to_stored
from .engine import Engine

BOOT_ID_PATH = Path("/proc/sys/kernel/random/boot_id")
DIGEST_BYTES = 16

Step = tuple[float, Sequence[Any], Sequence[Any]]  # time (ms), events, actions


class StateMismatchError(StorageError):
    """A stored state is undamaged but does not belong to this start; the text says why."""


class ControllerState(msgspec.Struct):
    """A controller's state between two steps. Times are on its clock; the stored names of the fields are frozen."""

    controller_number: int = msgspec.field(name="number")
    settings_digest: bytes = msgspec.field(name="settings")
    boot_id: str = msgspec.field(name="boot")  # the machine's monotonic clock is continuous while this is unchanged
    clock_zero_s: float = msgspec.field(name="zero")  # time on that clock at which the controller's clock starts
    captured_at: float = msgspec.field(name="now")
    start_number: int = msgspec.field(name="life")
    log_number: int = msgspec.field(name="log")  # number of the log with the steps after this state
    assigner: AssignerState = msgspec.field(name="module")
    admissions: list[tuple[int, int, float, int]] = msgspec.field(name="levels")  # table, bits, amount, retry
    cordoned_hosts: list[int] = msgspec.field(name="cordons")
    assignments: list[tuple[int, list[tuple[int, int]]]] = msgspec.field(name="points")  # proxy, (table, bits)
    timers: list[tuple[float, int]] = msgspec.field(name="timers")  # due time (ms), timer
    # Host, its start time as listed, and the same time on the controller's clock.
    host_origins: list[tuple[int, float, float]] = msgspec.field(name="origins")


def boot_id() -> str:
    """Return the kernel's id of the current boot; empty if it cannot be read."""
    try:
        return BOOT_ID_PATH.read_text().strip()
    except OSError:
        return ""


def settings_digest(settings: api.Settings) -> bytes:
    """Return a digest of the settings, on which decisions depend beside events."""
    return hashlib.blake2b(msgspec.json.encode(to_stored(settings)), digest_size=DIGEST_BYTES).digest()


def capture_state(
    engine: Engine,
    controller_number: int,
    boot: str,
    clock_zero_s: float,
    host_origins: dict[tuple[int, float], float],
    log_number: int,
) -> ControllerState | None:
    """Return the state between two steps; None if the engine runs another module than the assigner."""
    if not isinstance(engine.assigner, Assigner):
        return None
    published = engine.published
    return ControllerState(
        controller_number,
        settings_digest(engine.settings),
        boot,
        clock_zero_s,
        engine.now_ms,
        engine.start_number,
        log_number,
        dump(engine.assigner),
        [(table, bits, amount, retry) for (table, bits), (amount, retry) in published.admissions.items()],
        sorted(published.cordoned_hosts),
        [(proxy, list(assigned.items())) for proxy, assigned in published.assignments.items()],
        [(due_at_ms, timer) for due_at_ms, _, timer in sorted(engine.timers)],
        [(host, started, since) for (host, started), since in host_origins.items()],
    )


def check_state(
    state: ControllerState, controller_number: int, settings: api.Settings, boot: str, start_number: int
) -> None:
    """Raise `StateMismatchError` unless the state is that of the run before this one."""
    if state.controller_number != controller_number:
        raise StateMismatchError(
            f"state belongs to controller {state.controller_number}, this is controller {controller_number}"
        )
    if state.settings_digest != settings_digest(settings):
        raise StateMismatchError("the settings that decisions depend on have changed")
    if state.boot_id != boot or not boot:
        raise StateMismatchError("the machine was rebooted: the times in the state cannot be converted")
    if state.start_number != start_number - 1:
        raise StateMismatchError(f"state is of start number {state.start_number}, the last one was {start_number - 1}")


class RestoreResult(NamedTuple):
    """The number of replayed steps of the log, and the slices whose tables were reloaded from the store."""

    replayed_steps: int
    reloaded_slices: list[int]


@dataclass
class _Replay:
    """The state that results from the actions of replayed steps, beside the state of the assigner."""

    timers: list[tuple[float, int]]
    admissions: dict[tuple[int, int], tuple[float, int]]
    cordoned_hosts: set[int]
    step_count: int = 0

    def run(self, assigner: Assigner, step: Step) -> None:
        """Replay one step of the log. Raises `StateMismatchError` if the assigner returns other actions."""
        now_ms, events, actions = step
        for event in events:
            if isinstance(event, api.TimerFired):
                self._remove_timer(event.timer)
        if list(assigner.step(now_ms, list(events))) != list(actions):
            raise StateMismatchError(f"step {self.step_count + 1} of the log gave other actions when replayed")
        self.step_count += 1
        for action in actions:
            self._apply(now_ms, action)

    def _remove_timer(self, timer: int) -> None:
        due_entries = [entry for entry in self.timers if entry[1] == timer]
        if due_entries:
            self.timers.remove(min(due_entries))

    def _apply(self, now_ms: float, action: api.Action) -> None:
        match action:
            case api.StartTimer():
                self.timers.append((now_ms + action.delay_ms, action.timer))
            case api.SetAdmission():
                self.admissions[action.slice, action.request_classes] = (action.amount, int(action.retry))
            case api.Cordon(is_cordoned=True):
                self.cordoned_hosts.add(action.host)
            case api.Cordon():
                self.cordoned_hosts.discard(action.host)


def restore(
    engine: Engine,
    state: ControllerState,
    steps: Iterable[Step],
    now_ms: float,
    *,
    have_proxies_left: bool = True,
    assigner: Assigner | None = None,
) -> RestoreResult:
    """Restore a new run's engine from the state of the last run and the steps logged since.

    `have_proxies_left` is false if their connections were handed over. `assigner` is set if it was already loaded from
    the state. Raises `StateMismatchError`; the engine is unchanged then.
    """
    assigner = assigner or _load_assigner(engine.settings, state)
    replay = _Replay(
        list(state.timers),
        {(table, bits): (amount, retry) for table, bits, amount, retry in state.admissions},
        set(state.cordoned_hosts),
    )
    for step in steps:
        replay.run(assigner, step)
    if assigner.publication.now_ms > now_ms:
        raise StateMismatchError("its clock is ahead of this one")
    _take_over(engine, assigner, replay)
    _add_missed_events(engine, assigner, now_ms, have_proxies_left)
    return RestoreResult(replay.step_count, _reload_tables(engine, assigner, now_ms))


def _load_assigner(settings: api.Settings, state: ControllerState) -> Assigner:
    try:
        return load(settings, state.assigner)
    except ValueError as error:
        raise StateMismatchError(str(error)) from None


def _take_over(engine: Engine, assigner: Assigner, replay: _Replay) -> None:
    """Set the engine's assigner, timers, and published admissions and cordons."""
    engine.assigner = assigner
    engine.step_count = 1
    engine.now_ms = assigner.publication.now_ms
    engine.deferrable_timer = getattr(assigner, "deferrable_timer", None)
    engine.published.admissions = replay.admissions
    engine.published.cordoned_hosts = replay.cordoned_hosts
    # A sorted list is a heap.
    engine.timers = [
        (due_at_ms, sequence, timer) for sequence, (due_at_ms, timer) in enumerate(sorted(replay.timers), 1)
    ]
    engine.last_sequence += len(replay.timers)


def _add_missed_events(engine: Engine, assigner: Assigner, now_ms: float, have_proxies_left: bool) -> None:
    """Queue events for what ended with the last run: its health checks, and the connections of proxies."""
    for host in assigner.hosts.values():
        if host.is_being_checked:
            engine.add_event(now_ms, api.HealthCheckResult(host.id, api.HealthCheckOutcome.FULL))
    if have_proxies_left:
        for proxy in assigner.pending_versions.unacked_by_proxy:
            engine.add_event(now_ms, api.ProxyLeft(proxy))


def _reload_tables(engine: Engine, assigner: Assigner, now_ms: float) -> list[int]:
    """Queue the stored tables for the assigner where they differ from its own. Returns the slices concerned."""
    for slice_number in [number for number in assigner.slices if number not in engine.owned_slices]:
        engine.add_event(now_ms, api.SliceOwnershipChange(slice_number, False))
    reloaded = []
    for slice_number in sorted(engine.owned_slices):
        stored = engine.published.tables.get(slice_number, {})
        current = assigner.slices.get(slice_number)
        if current is None or {host.id for host in current.weights} != set(stored):
            engine.add_slice_events(now_ms, slice_number)
            reloaded.append(slice_number)
    return reloaded
