"""The state that a controller stores between two runs, and how the next run takes it up. Pure.

The store has the tables and stays their only source. The snapshot has what is lost with a process: which hosts failed
or were slow, how far moves had come, admissions, timers. A log of the steps since brings it up to the last one.
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

Step = tuple[float, Sequence[Any], Sequence[Any]]  # time, events, actions


class StateMismatchError(StorageError):
    """A stored state is undamaged and does not belong to this start; the text says why."""


class ControllerState(msgspec.Struct):
    """A controller's state between two steps. Times are on its clock; the names of the fields in files are frozen."""

    controller_number: int = msgspec.field(name="number")
    settings_digest: bytes = msgspec.field(name="settings")
    boot_id: str = msgspec.field(name="boot")  # the machine's monotonic clock goes on while this is the same
    clock_zero_s: float = msgspec.field(name="zero")  # where on that clock the controller's clock begins
    captured_at: float = msgspec.field(name="now")
    start_number: int = msgspec.field(name="life")
    log_number: int = msgspec.field(name="log")  # of the log whose steps come after this state
    assigner: AssignerState = msgspec.field(name="module")
    admissions: list[tuple[int, int, float, int]] = msgspec.field(name="levels")  # table, bits, amount, retry
    cordoned_hosts: list[int] = msgspec.field(name="cordons")
    assignments: list[tuple[int, list[tuple[int, int]]]] = msgspec.field(name="points")  # proxy, (table, bits)
    timers: list[tuple[float, int]] = msgspec.field(name="timers")  # due time, timer
    # Host, its start as listed, the same on the controller's clock.
    host_origins: list[tuple[int, float, float]] = msgspec.field(name="origins")


def boot_id() -> str:
    """Identifies this run of the machine; empty where that cannot be told."""
    try:
        return BOOT_ID_PATH.read_text().strip()
    except OSError:
        return ""


def settings_digest(settings: api.Settings) -> bytes:
    """A digest of everything that decisions depend on beside events."""
    return hashlib.blake2b(msgspec.json.encode(to_stored(settings)), digest_size=DIGEST_BYTES).digest()


def capture_state(
    engine: Engine,
    controller_number: int,
    boot: str,
    clock_zero_s: float,
    host_origins: dict[tuple[int, float], float],
    log_number: int,
) -> ControllerState | None:
    """The state between two steps; None if the engine runs something else than the assigner."""
    if not isinstance(engine.assigner, Assigner):
        return None
    published = engine.published
    return ControllerState(
        controller_number,
        settings_digest(engine.settings),
        boot,
        clock_zero_s,
        engine.now,
        engine.start_number,
        log_number,
        dump(engine.assigner),
        [(table, bits, amount, retry) for (table, bits), (amount, retry) in published.admissions.items()],
        sorted(published.cordoned_hosts),
        [(proxy, list(assigned.items())) for proxy, assigned in published.assignments.items()],
        [(at, timer) for at, _, timer in sorted(engine.timers)],
        [(host, started, since) for (host, started), since in host_origins.items()],
    )


def check_state(
    state: ControllerState, controller_number: int, settings: api.Settings, boot: str, start_number: int
) -> None:
    """Raise `StateMismatchError` unless the state is that of the run before this one."""
    if state.controller_number != controller_number:
        raise StateMismatchError(f"it is of steward {state.controller_number}, this is {controller_number}")
    if state.settings_digest != settings_digest(settings):
        raise StateMismatchError("the settings that decisions go by are others now")
    if state.boot_id != boot or not boot:
        raise StateMismatchError("the machine has been started anew: its clock tells nothing of then")
    if state.start_number != start_number - 1:
        raise StateMismatchError(f"it is of life {state.start_number}, the last one was {start_number - 1}")


class RestoreResult(NamedTuple):
    """How many steps of the log were replayed, and the slices whose tables were read again from the store."""

    replayed_steps: int
    reread_slices: list[int]


@dataclass
class _Replay:
    """What follows from the actions of replayed steps, beside the state of the assigner."""

    timers: list[tuple[float, int]]
    admissions: dict[tuple[int, int], tuple[float, int]]
    cordoned_hosts: set[int]
    step_count: int = 0

    def run(self, assigner: Assigner, step: Step) -> None:
        """Run one step of the log. Raises `StateMismatchError` if the assigner decides otherwise today."""
        now, events, actions = step
        for event in events:
            if isinstance(event, api.TimerFired):
                self._remove_timer(event.timer)
        if list(assigner.step(now, list(events))) != list(actions):
            raise StateMismatchError(f"step {self.step_count + 1} of its log is decided otherwise now")
        self.step_count += 1
        for action in actions:
            self._apply(now, action)

    def _remove_timer(self, timer: int) -> None:
        due = [entry for entry in self.timers if entry[1] == timer]
        if due:
            self.timers.remove(min(due))

    def _apply(self, now: float, action: api.Action) -> None:
        match action:
            case api.StartTimer():
                self.timers.append((now + action.delay_ms, action.timer))
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
    now: float,
    *,
    have_proxies_left: bool = True,
    assigner: Assigner | None = None,
) -> RestoreResult:
    """Put a new run's engine where the last one was, after the state and the steps since.

    `have_proxies_left` is false where their connections were handed over. `assigner` is given if it was loaded from the
    state already. Raises `StateMismatchError`; the engine is untouched then.
    """
    assigner = assigner or _load_assigner(engine.settings, state)
    replay = _Replay(
        list(state.timers),
        {(table, bits): (amount, retry) for table, bits, amount, retry in state.admissions},
        set(state.cordoned_hosts),
    )
    for step in steps:
        replay.run(assigner, step)
    if assigner.publication.now_ms > now:
        raise StateMismatchError("its clock is ahead of this one")
    _take_over(engine, assigner, replay)
    _add_events_of_the_gap(engine, assigner, now, have_proxies_left)
    return RestoreResult(replay.step_count, _reread_tables(engine, assigner, now))


def _load_assigner(settings: api.Settings, state: ControllerState) -> Assigner:
    try:
        return load(settings, state.assigner)
    except ValueError as error:
        raise StateMismatchError(str(error)) from None


def _take_over(engine: Engine, assigner: Assigner, replay: _Replay) -> None:
    """Let the engine go on with the assigner and what was published beside the tables."""
    engine.assigner = assigner
    engine.step_count = 1
    engine.now = assigner.publication.now_ms
    engine.deferrable_timer = getattr(assigner, "deferrable_timer", None)
    engine.published.admissions = replay.admissions
    engine.published.cordoned_hosts = replay.cordoned_hosts
    # A sorted list is a heap.
    engine.timers = [(at, sequence, timer) for sequence, (at, timer) in enumerate(sorted(replay.timers), 1)]
    engine.last_sequence += len(replay.timers)


def _add_events_of_the_gap(engine: Engine, assigner: Assigner, now: float, have_proxies_left: bool) -> None:
    """Tell the assigner what ended with the last run: its health checks, and the connections of proxies."""
    for host in assigner.hosts.values():
        if host.is_being_checked:
            engine.add_event(now, api.HealthCheckResult(host.id, api.HealthCheckOutcome.FULL))
    if have_proxies_left:
        for proxy in assigner.pending_versions.unacked_by_proxy:
            engine.add_event(now, api.ProxyLeft(proxy))


def _reread_tables(engine: Engine, assigner: Assigner, now: float) -> list[int]:
    """Give the assigner the stored tables where they differ from its own: the store counts. Returns those slices."""
    for slice_number in [number for number in assigner.slices if number not in engine.owned_slices]:
        engine.add_event(now, api.SliceOwnershipChange(slice_number, False))
    reread = []
    for slice_number in sorted(engine.owned_slices):
        stored = engine.published.tables.get(slice_number, {})
        known = assigner.slices.get(slice_number)
        if known is None or {host.id for host in known.weights} != set(stored):
            engine.add_slice_events(now, slice_number)
            reread.append(slice_number)
    return reread
