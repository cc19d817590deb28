"""Exhaustive simulation of a handover between two processes: every order of messages, crashes and suspensions."""

from __future__ import annotations

import copy
from collections.abc import Callable
from enum import Enum, auto
from typing import Any, NamedTuple

from corallanding.upgrade.state_machine import (
    HANDOVER_PROTOCOL_VERSION,
    HandoverCommand,
    HandoverMessage,
    Phase,
    Predecessor,
    Successor,
)

TIMEOUT_MS = 2.0
LAST_TICK = 8.0  # maximum of the simulated clock
OLD, NEW = 0, 1  # indexes of the two processes
NO_PROCESS = -1  # store owner while the store is closed

MESSAGES = {
    HandoverCommand.SEND_READY: HandoverMessage.READY,
    HandoverCommand.SEND_STATE: HandoverMessage.STATE,
    HandoverCommand.SEND_CHECKED: HandoverMessage.CHECKED,
    HandoverCommand.SEND_COMMIT: HandoverMessage.COMMIT,
    HandoverCommand.SEND_TAKEN: HandoverMessage.TAKEN,
    HandoverCommand.SEND_FAILED: HandoverMessage.FAILED,
}


class TransitionKind(Enum):
    """Kind of a transition between two states of the simulation."""

    START = auto()
    ADVANCE_CLOCK = auto()
    KILL_COMPLETED = auto()  # a pending kill takes effect
    CRASH = auto()
    SUSPEND = auto()
    CONTINUE = auto()
    PERFORM = auto()
    RECEIVE = auto()
    LOSE_PEER = auto()
    TICK = auto()


class Transition(NamedTuple):
    """One event that affects one process."""

    kind: TransitionKind
    process: int


FAULTS = (TransitionKind.CRASH, TransitionKind.SUSPEND)


class SimulatedHandover:
    """Both processes, their commands, the pipes between them, the clock, the termination lock and the store."""

    def __init__(
        self,
        predecessor_type: type[Predecessor] = Predecessor,
        successor_type: type[Successor] = Successor,
        has_lock: bool = True,
        max_faults: int = 1,
    ) -> None:
        self.now = 0.0
        self.successor_type = successor_type
        self.has_lock = has_lock
        self.sides: list[Any] = [predecessor_type(TIMEOUT_MS), None]
        self.is_alive = [True, False]
        self.is_suspended = [False, False]
        self.is_kill_pending = [False, False]
        self.commands: list[list[HandoverCommand]] = [[], []]
        self.pipes: list[list[tuple[str, str]]] = [[], []]  # messages to the old and to the new process
        self.is_active = [True, False]
        self.store_owner = OLD
        self.lock_owner: int | None = None
        self.faults_left = max_faults
        self.is_started = False
        self.has_taken_over = False
        self.crashes = 0

    def key(self) -> Any:
        """Return the complete state as a hashable value."""
        sides = tuple((side.phase, side.deadline) if side else None for side in self.sides)
        lists: tuple[Any, ...] = (
            self.is_alive,
            self.is_suspended,
            self.is_kill_pending,
            self.is_active,
            *self.commands,
            *self.pipes,
        )
        scalars = (
            self.now,
            self.store_owner,
            self.lock_owner,
            self.faults_left,
            self.crashes,
            self.has_taken_over,
            self.is_started,
        )
        return (scalars, sides, *(tuple(items) for items in lists))

    def clone(self) -> SimulatedHandover:
        """Return a copy that shares no mutable state."""
        copied = copy.copy(self)
        copied.sides = [copy.copy(side) for side in self.sides]
        for name in ("is_alive", "is_suspended", "is_kill_pending", "is_active"):
            setattr(copied, name, [*getattr(self, name)])
        copied.commands = [[*items] for items in self.commands]
        copied.pipes = [[*items] for items in self.pipes]
        return copied

    def transitions(self) -> list[Transition]:
        """Return every possible next transition."""
        if not self.is_started:
            return [Transition(TransitionKind.START, OLD)]
        transitions = [Transition(TransitionKind.ADVANCE_CLOCK, OLD)] if self.now < LAST_TICK else []
        for process in (OLD, NEW):
            if self.is_alive[process]:
                transitions += [
                    Transition(kind, process)
                    for kind in (*self._fault_transitions(process), *self._own_transitions(process))
                ]
        return transitions

    def _fault_transitions(self, process: int) -> list[TransitionKind]:
        kinds = [TransitionKind.KILL_COMPLETED] if self.is_kill_pending[process] else []
        # A process that is alone, has reported that it took over, or has just killed the other one may crash
        # like any controller, which this simulation does not cover.
        if self.faults_left and all(self.is_alive) and not self.has_taken_over and not any(self.is_kill_pending):
            kinds.append(TransitionKind.CRASH)
            if not self.is_suspended[process]:
                kinds.append(TransitionKind.SUSPEND)
        return kinds

    def _own_transitions(self, process: int) -> list[TransitionKind]:
        if self.is_suspended[process]:
            return [TransitionKind.CONTINUE]
        if self.commands[process]:
            return [TransitionKind.PERFORM]
        kinds = []
        side = self.sides[process]
        if self.pipes[process]:
            kinds.append(TransitionKind.RECEIVE)
        elif not self.is_alive[1 - process] and (process == NEW or side.phase not in (Phase.IDLE, Phase.OVER)):
            kinds.append(TransitionKind.LOSE_PEER)
        if side.phase not in (Phase.IDLE, Phase.OVER, Phase.OWNER) and self.now >= side.deadline:
            kinds.append(TransitionKind.TICK)
        return kinds

    def apply(self, transition: Transition) -> None:
        """Apply one transition. Raises `AssertionError` if both processes are active after it."""
        kind, process = transition
        if kind in (TransitionKind.RECEIVE, TransitionKind.LOSE_PEER, TransitionKind.TICK):
            self.commands[process] += self._commands_after(kind, process)
        else:
            self._apply_event(kind, process)
        assert sum(self.is_active) <= 1, "both processes are active"

    def _commands_after(self, kind: TransitionKind, process: int) -> list[HandoverCommand]:
        side = self.sides[process]
        if kind is TransitionKind.RECEIVE:
            name, detail = self.pipes[process].pop(0)
            message = (name,) if process == NEW else (name, detail)
            return list(side.on_message(self.now, *message))
        if kind is TransitionKind.LOSE_PEER:
            return list(side.on_peer_lost())
        return list(side.on_tick(self.now))

    def _apply_event(self, kind: TransitionKind, process: int) -> None:
        match kind:
            case TransitionKind.START:
                self.is_started = True
                self.commands[OLD] = self.sides[OLD].start(self.now)
            case TransitionKind.ADVANCE_CLOCK:
                self.now += 1.0
            case TransitionKind.CRASH:
                self.faults_left -= 1
                self.crashes += 1
                self._end(process)
            case TransitionKind.SUSPEND:
                self.faults_left -= 1
                self.is_suspended[process] = True
            case TransitionKind.KILL_COMPLETED:
                self._end(process)
            case TransitionKind.CONTINUE:
                self.is_suspended[process] = False
            case TransitionKind.PERFORM:
                self._perform(process, self.commands[process].pop(0))

    def _end(self, process: int) -> None:
        self.is_alive[process] = False
        self.is_active[process] = False
        self.commands[process] = []
        self.is_kill_pending[process] = False
        if self.store_owner == process:
            self.store_owner = NO_PROCESS
        if self.lock_owner == process:
            self.lock_owner = None

    def _perform(self, process: int, command: HandoverCommand) -> None:
        if command in MESSAGES:
            self._send(process, MESSAGES[command])
            return
        handlers: dict[HandoverCommand, Callable[[int], None]] = {
            HandoverCommand.SPAWN: self._spawn,
            HandoverCommand.PAUSE: self._pause,
            HandoverCommand.CLOSE_STORE: self._close_store,
            HandoverCommand.KILL_PEER: self._end_other,
            HandoverCommand.RESUME: self._resume,
            HandoverCommand.LOAD: self._load,
            HandoverCommand.OPEN_STORE: self._open_store,
            HandoverCommand.COLD_START: self._cold_start,
            HandoverCommand.RUN: self._run,
            HandoverCommand.EXIT: self._end,
        }
        handlers[command](process)

    def _send(self, process: int, message: HandoverMessage) -> None:
        self.has_taken_over = self.has_taken_over or message is HandoverMessage.TAKEN
        if self.is_alive[1 - process]:
            detail = str(HANDOVER_PROTOCOL_VERSION) if message is HandoverMessage.READY else ""
            self.pipes[1 - process].append((message, detail))

    def _spawn(self, process: int) -> None:
        self.is_alive[NEW] = True
        self.sides[NEW] = self.successor_type(TIMEOUT_MS)
        self.commands[NEW] = self.sides[NEW].start(self.now)

    def _pause(self, process: int) -> None:
        self.is_active[process] = False

    def _close_store(self, process: int) -> None:
        self.store_owner = NO_PROCESS

    def _end_other(self, process: int) -> None:
        if self.has_lock and self.lock_owner not in (None, process):
            self.commands[process] = self.sides[process].on_lock_lost()
            return
        self.lock_owner = process
        self.pipes[process] = []
        if self.is_alive[1 - process]:
            self.is_kill_pending[1 - process] = True  # takes effect later; this process waits for it
            self.commands[process].insert(0, HandoverCommand.KILL_PEER)
        else:
            self.lock_owner = None

    def _resume(self, process: int) -> None:
        assert self.store_owner in (NO_PROCESS, process), "the store is open in the other process"
        self.store_owner = process
        self.is_active[process] = True

    def _load(self, process: int) -> None:
        self.commands[process] += self.sides[process].on_state_loaded(self.now, True)

    def _open_store(self, process: int) -> None:
        if self.store_owner not in (NO_PROCESS, process):
            self.commands[process] = self.sides[process].on_store_opened(False)
            return
        self.store_owner = process

    def _cold_start(self, process: int) -> None:
        self._open_store(process)
        if self.store_owner == process:
            self.is_active[process] = True

    def _run(self, process: int) -> None:
        self.is_active[process] = True

    def is_final(self) -> bool:
        """Return whether only faults and the clock can still change the state."""
        return not [
            transition
            for transition in self.transitions()
            if transition.kind not in (*FAULTS, TransitionKind.ADVANCE_CLOCK)
        ]


class Exploration(NamedTuple):
    """Number of states visited, and of those in which the handover had ended."""

    states: int
    final_states: int


def explore(**variant: Any) -> Exploration:
    """Explore every order of transitions, depth first over unvisited states.

    Raises `AssertionError` if both processes are active in some state, or none in a final state after fewer than two
    crashes.
    """
    visited: set[Any] = set()
    stack = [SimulatedHandover(**variant)]
    final_states = 0
    while stack:
        state = stack.pop()
        key = state.key()
        if key in visited:
            continue
        visited.add(key)
        if state.now >= LAST_TICK and state.is_final() and not any(state.is_suspended):
            final_states += 1
            assert sum(state.is_active) == 1 or state.crashes >= 2, f"no process is active: {key}"
        for transition in state.transitions():
            next_state = state.clone()
            next_state.apply(transition)
            stack.append(next_state)
    return Exploration(len(visited), final_states)
