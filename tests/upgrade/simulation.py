"""A handover between two simulated processes, to be explored in every order of messages, deaths and standstills."""

from __future__ import annotations

import copy
from collections.abc import Callable
from enum import Enum, auto
from typing import Any, NamedTuple

from corallanding.upgrade.state_machine import PROTOCOL, HandoverCommand, HandoverMessage, Phase, Predecessor, Successor

TIMEOUT_MS = 2.0
LAST_TICK = 8.0  # the simulated clock goes no further
OLD, NEW = 0, 1  # places of the two processes
NOBODY = -1  # in place of a process: the store is closed

MESSAGES = {
    HandoverCommand.SEND_READY: HandoverMessage.READY,
    HandoverCommand.SEND_STATE: HandoverMessage.STATE,
    HandoverCommand.SEND_CHECKED: HandoverMessage.CHECKED,
    HandoverCommand.SEND_COMMIT: HandoverMessage.COMMIT,
    HandoverCommand.SEND_TAKEN: HandoverMessage.TAKEN,
    HandoverCommand.SEND_FAILED: HandoverMessage.FAILED,
}


class MoveKind(Enum):
    """What may happen next in the simulation."""

    BEGIN = auto()
    CLOCK = auto()
    FALL = auto()  # a kill takes effect
    DIE = auto()
    SLEEP = auto()
    WAKE = auto()
    PERFORM = auto()
    RECEIVE = auto()
    LOSE_PEER = auto()
    TICK = auto()


class Move(NamedTuple):
    """One thing that happens to one process."""

    kind: MoveKind
    process: int


FAULTS = (MoveKind.DIE, MoveKind.SLEEP)


class SimulatedHandover:
    """Both processes with their commands, a pipe each way, a clock, the termination lock and the store's lock."""

    def __init__(
        self,
        old: type[Predecessor] = Predecessor,
        new: type[Successor] = Successor,
        has_lock: bool = True,
        faults: int = 1,
    ) -> None:
        self.now = 0.0
        self.successor_type = new
        self.has_lock = has_lock
        self.sides: list[Any] = [old(TIMEOUT_MS), None]
        self.is_alive = [True, False]
        self.is_asleep = [False, False]
        self.is_killed = [False, False]  # a kill is on its way
        self.commands: list[list[HandoverCommand]] = [[], []]
        self.pipes: list[list[tuple[str, str]]] = [[], []]  # to the old, to the new process
        self.controls = [True, False]
        self.store_owner = OLD
        self.lock_owner: int | None = None
        self.faults = faults
        self.has_begun = False
        self.is_taken = False
        self.deaths = 0  # by faults

    def key(self) -> Any:
        """The whole state, to be compared."""
        sides = tuple((side.phase, side.deadline) if side else None for side in self.sides)
        rows: tuple[Any, ...] = (
            self.is_alive,
            self.is_asleep,
            self.is_killed,
            self.controls,
            *self.commands,
            *self.pipes,
        )
        plain = (
            self.now,
            self.store_owner,
            self.lock_owner,
            self.faults,
            self.deaths,
            self.is_taken,
            self.has_begun,
        )
        return (plain, sides, *(tuple(row) for row in rows))

    def clone(self) -> SimulatedHandover:
        """A copy that shares nothing."""
        other = copy.copy(self)
        other.sides = [copy.copy(side) for side in self.sides]
        for name in ("is_alive", "is_asleep", "is_killed", "controls"):
            setattr(other, name, [*getattr(self, name)])
        other.commands = [[*row] for row in self.commands]
        other.pipes = [[*row] for row in self.pipes]
        return other

    def moves(self) -> list[Move]:
        """Everything that may happen next."""
        if not self.has_begun:
            return [Move(MoveKind.BEGIN, OLD)]
        found = [Move(MoveKind.CLOCK, OLD)] if self.now < LAST_TICK else []
        for process in (OLD, NEW):
            if self.is_alive[process]:
                found += [Move(kind, process) for kind in (*self._fault_moves(process), *self._own_moves(process))]
        return found

    def _fault_moves(self, process: int) -> list[MoveKind]:
        found = [MoveKind.FALL] if self.is_killed[process] else []
        # A process that is left alone, has said that it took over, or has just killed the other, may crash like any
        # controller: that is not the matter of this simulation.
        if self.faults and all(self.is_alive) and not self.is_taken and not any(self.is_killed):
            found.append(MoveKind.DIE)
            if not self.is_asleep[process]:
                found.append(MoveKind.SLEEP)
        return found

    def _own_moves(self, process: int) -> list[MoveKind]:
        if self.is_asleep[process]:
            return [MoveKind.WAKE]
        if self.commands[process]:
            return [MoveKind.PERFORM]
        found = []
        side = self.sides[process]
        if self.pipes[process]:
            found.append(MoveKind.RECEIVE)
        elif not self.is_alive[1 - process] and (process == NEW or side.phase not in (Phase.IDLE, Phase.OVER)):
            found.append(MoveKind.LOSE_PEER)
        if side.phase not in (Phase.IDLE, Phase.OVER, Phase.OWNER) and self.now >= side.deadline:
            found.append(MoveKind.TICK)
        return found

    def make(self, move: Move) -> None:
        """Let one thing happen. Raises `AssertionError` if both processes control then."""
        kind, process = move
        if kind in (MoveKind.RECEIVE, MoveKind.LOSE_PEER, MoveKind.TICK):
            self.commands[process] += self._follow_up(kind, process)
        else:
            self._happen(kind, process)
        assert sum(self.controls) <= 1, "both control"

    def _follow_up(self, kind: MoveKind, process: int) -> list[HandoverCommand]:
        side = self.sides[process]
        if kind is MoveKind.RECEIVE:
            name, detail = self.pipes[process].pop(0)
            message = (name,) if process == NEW else (name, detail)
            return list(side.on_message(self.now, *message))
        if kind is MoveKind.LOSE_PEER:
            return list(side.on_peer_lost())
        return list(side.on_tick(self.now))

    def _happen(self, kind: MoveKind, process: int) -> None:
        match kind:
            case MoveKind.BEGIN:
                self.has_begun = True
                self.commands[OLD] = self.sides[OLD].start(self.now)
            case MoveKind.CLOCK:
                self.now += 1.0
            case MoveKind.DIE:
                self.faults -= 1
                self.deaths += 1
                self._end(process)
            case MoveKind.SLEEP:
                self.faults -= 1
                self.is_asleep[process] = True
            case MoveKind.FALL:
                self._end(process)
            case MoveKind.WAKE:
                self.is_asleep[process] = False
            case MoveKind.PERFORM:
                self._perform(process, self.commands[process].pop(0))

    def _end(self, process: int) -> None:
        self.is_alive[process] = False
        self.controls[process] = False
        self.commands[process] = []
        self.is_killed[process] = False
        if self.store_owner == process:
            self.store_owner = NOBODY
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
            HandoverCommand.END_OTHER: self._end_other,
            HandoverCommand.RESUME: self._resume,
            HandoverCommand.LOAD: self._load,
            HandoverCommand.OPEN_STORE: self._open_store,
            HandoverCommand.COLD_START: self._cold_start,
            HandoverCommand.RUN: self._run,
            HandoverCommand.EXIT: self._end,
        }
        handlers[command](process)

    def _send(self, process: int, message: HandoverMessage) -> None:
        self.is_taken = self.is_taken or message is HandoverMessage.TAKEN
        if self.is_alive[1 - process]:
            detail = str(PROTOCOL) if message is HandoverMessage.READY else ""
            self.pipes[1 - process].append((message, detail))

    def _spawn(self, process: int) -> None:
        self.is_alive[NEW] = True
        self.sides[NEW] = self.successor_type(TIMEOUT_MS)
        self.commands[NEW] = self.sides[NEW].start(self.now)

    def _pause(self, process: int) -> None:
        self.controls[process] = False

    def _close_store(self, process: int) -> None:
        self.store_owner = NOBODY

    def _end_other(self, process: int) -> None:
        if self.has_lock and self.lock_owner not in (None, process):
            self.commands[process] = self.sides[process].on_lock_lost()
            return
        self.lock_owner = process
        self.pipes[process] = []
        if self.is_alive[1 - process]:
            self.is_killed[1 - process] = True  # it falls in a while; this process waits for that
            self.commands[process].insert(0, HandoverCommand.END_OTHER)
        else:
            self.lock_owner = None

    def _resume(self, process: int) -> None:
        assert self.store_owner in (NOBODY, process), "the store is the other's"
        self.store_owner = process
        self.controls[process] = True

    def _load(self, process: int) -> None:
        self.commands[process] += self.sides[process].on_state_loaded(self.now, True)

    def _open_store(self, process: int) -> None:
        if self.store_owner not in (NOBODY, process):
            self.commands[process] = self.sides[process].on_store_opened(False)
            return
        self.store_owner = process

    def _cold_start(self, process: int) -> None:
        self._open_store(process)
        if self.store_owner == process:
            self.controls[process] = True

    def _run(self, process: int) -> None:
        self.controls[process] = True

    def is_settled(self) -> bool:
        """Whether nothing happens any more but faults."""
        return not [move for move in self.moves() if move.kind not in (*FAULTS, MoveKind.CLOCK)]


class Exploration(NamedTuple):
    """How many states were seen, and in how many of them everything had settled."""

    states: int
    ends: int


def explore(**variant: Any) -> Exploration:
    """Make every order of moves, depth first over states not seen.

    Raises `AssertionError` if both processes control at some time, or none at an end that less than two faults led to.
    """
    seen: set[Any] = set()
    stack = [SimulatedHandover(**variant)]
    ends = 0
    while stack:
        state = stack.pop()
        key = state.key()
        if key in seen:
            continue
        seen.add(key)
        if state.now >= LAST_TICK and state.is_settled() and not any(state.is_asleep):
            ends += 1
            assert sum(state.controls) == 1 or state.deaths >= 2, f"nobody controls: {key}"
        for move in state.moves():
            after = state.clone()
            after.make(move)
            stack.append(after)
    return Exploration(len(seen), ends)
