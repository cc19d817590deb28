"""A steward's state between two lives: what is kept, and how a new life takes it up. Pure.

The store has the tables and stays their only source. The snapshot has what is lost with a process: who was heard
failing or slow, how far moves and holds had come, levels, timers. A log of steps after it brings it up to the last one.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any

import msgspec

from .. import interface as api
from ..assignment import Assigner
from ..snapshot.assigner_state import AssignerState, dump, load
from ..snapshot.stored_values import to_stored
from .engine import Engine

Step = tuple[float, Sequence[Any], Sequence[Any]]


class StateMismatchError(Exception):
    """The snapshot is sound and does not belong to this start; the text says why."""


class ControllerState(msgspec.Struct):
    controller_number: int = msgspec.field(name="number")  # of the steward
    settings_digest: bytes = msgspec.field(name="settings")  # digest of what the module goes by
    boot_id: str = msgspec.field(name="boot")  # of the machine: its monotonic clock goes on while this is the same
    clock_zero_s: float = msgspec.field(name="zero")  # where on it the steward's clock begins, s
    captured_at: float = msgspec.field(name="now")
    start_number: int = msgspec.field(name="life")
    log_number: int = msgspec.field(name="log")  # number of the log whose steps come after this
    assigner: AssignerState = msgspec.field(name="module")
    admissions: list[tuple[int, int, float, int]] = msgspec.field(name="levels")
    cordoned_hosts: list[int] = msgspec.field(name="cordons")
    assignments: list[tuple[int, list[tuple[int, int]]]] = msgspec.field(name="points")
    timers: list[tuple[float, int]] = msgspec.field(name="timers")
    host_origins: list[tuple[int, float, float]] = msgspec.field(
        name="origins"
    )  # host, its start as listed, the same on the steward's clock


def boot_id() -> str:
    """Names this run of the machine; empty where that cannot be told."""
    try:
        return Path("/proc/sys/kernel/random/boot_id").read_text().strip()
    except OSError:
        return ""


def settings_digest(settings: api.Settings) -> bytes:
    return hashlib.blake2b(msgspec.json.encode(to_stored(settings)), digest_size=16).digest()


def capture_state(
    engine: Engine, number: int, boot: str, zero: float, origins: dict[tuple[int, float], float], log: int
) -> ControllerState | None:
    """Between two steps. None if the module is not one that can be kept."""
    if not isinstance(engine.assigner, Assigner):
        return None
    s = engine.published
    return ControllerState(
        number,
        settings_digest(engine.settings),
        boot,
        zero,
        engine.now,
        engine.start_number,
        log,
        dump(engine.assigner),
        [(t, bits, a, r) for (t, bits), (a, r) in s.admissions.items()],
        sorted(s.cordoned_hosts),
        [(f, list(rows.items())) for f, rows in s.assignments.items()],
        [(at, h) for at, _, h in sorted(engine.timers)],
        [(h, started, since) for (h, started), since in origins.items()],
    )


def check_state(state: ControllerState, number: int, settings: api.Settings, boot: str, life: int) -> None:
    """Raises `Unfit`."""
    if state.controller_number != number:
        raise StateMismatchError(f"it is of steward {state.controller_number}, this is {number}")
    if state.settings_digest != settings_digest(settings):
        raise StateMismatchError("the settings that decisions go by are others now")
    if state.boot_id != boot or not boot:
        raise StateMismatchError("the machine has been started anew: its clock tells nothing of then")
    if state.start_number != life - 1:
        raise StateMismatchError(f"it is of life {state.start_number}, the last one was {life - 1}")


def restore(
    engine: Engine,
    state: ControllerState,
    steps: Iterable[Step],
    now: float,
    gone: bool = True,
    module: Assigner | None = None,
) -> tuple[int, list[int]]:
    """Puts a new life's engine where the last one was. (steps replayed, slices told anew from the store).

    gone: forwarders have lost their links; false where these were handed over. module: if it was loaded already.

    Raises `Unfit`; the engine is untouched then.
    """
    try:
        module = module or load(engine.settings, state.assigner)
    except ValueError as fault:
        raise StateMismatchError(str(fault)) from None
    timers: list[tuple[float, int]]
    levels = {(t, bits): (a, r) for t, bits, a, r in state.admissions}
    cordons, timers, count = set(state.cordoned_hosts), list(state.timers), 0
    for at, events, actions in steps:
        for e in events:
            if isinstance(e, api.TimerFired) and (due := [t for t in timers if t[1] == e.timer]):
                timers.remove(min(due))
        if list(module.step(at, list(events))) != list(actions):
            raise StateMismatchError(f"step {count + 1} of its log is decided otherwise now")
        count += 1
        for a in actions:
            if isinstance(a, api.StartTimer):
                timers.append((at + a.delay_ms, a.timer))
            elif isinstance(a, api.SetAdmission):
                levels[a.slice, a.request_classes] = (a.amount, int(a.retry))
            elif isinstance(a, api.Cordon):
                (cordons.add if a.is_cordoned else cordons.discard)(a.host)
    if module.publication.now_ms > now:
        raise StateMismatchError("its clock is ahead of this one")
    engine.assigner, engine.step_count, engine.now = module, 1, module.publication.now_ms
    engine.deferrable_timer = getattr(module, "deferrable_timer", None)
    engine.published.admissions, engine.published.cordoned_hosts = levels, cordons
    engine.timers = [(when, n, handle) for n, (when, handle) in enumerate(sorted(timers), 1)]  # sorted: a heap
    engine.last_sequence += len(timers)
    for h in module.hosts.values():
        if h.is_being_checked:  # that probe died with the last life, and says nothing
            engine.add_event(now, api.HealthCheckResult(h.id, api.HealthCheckOutcome.FULL))
    for proxy in module.pending_versions.unacked_by_proxy if gone else ():
        engine.add_event(now, api.ProxyLeft(proxy))
    # The store has the last word on tables: what differs, and what is new or gone, is told as ever.
    anew = []
    for id in [s for s in module.slices if s not in engine.owned_slices]:
        engine.add_event(now, api.SliceOwnershipChange(id, False))
    for id in sorted(engine.owned_slices):
        kept = engine.published.tables.get(id, {})
        here = module.slices.get(id)
        if here is None or {h.id for h in here.weights} != set(kept):
            engine.add_slice_events(now, id)
            anew.append(id)
    return count, anew
