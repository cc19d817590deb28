"""Which of two processes controls, at every instant of a handover. Pure: messages and time in, commands out.

    predecessor: SPAWN              successor: starts, checks its configuration
         <- ready (protocol)
         PAUSE, SEND_STATE
                                         LOAD, checks itself
         <- checked
         CLOSE_STORE, SEND_COMMIT        (until here the predecessor carries on if anything is wrong)
                                         OPEN_STORE, RUN
         <- taken
         EXIT                            (from commit on the successor controls;
                                         the predecessor only if it has ended it)

A side that waits in vain kills the other by its process number before it controls: a process that stands still may wake
up. Only the side that holds the termination lock (a file lock) may do so; otherwise both could kill each other.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, StrEnum

PROTOCOL = 1


class HandoverMessage(StrEnum):
    """Names of messages between the two processes, as they are sent."""

    READY = "ready"
    RANKINGS = "marks"
    STATE = "state"
    SOCKETS = "sockets"
    CHECKED = "checked"
    COMMIT = "commit"
    TAKEN = "taken"
    FAILED = "failed"


class HandoverCommand(Enum):
    """What a side has to do next. The values name the points at which tests stop a process."""

    SPAWN = "spawn"
    PAUSE = "pause"  # no step, no read, no accept; what was written has left
    SEND_STATE = "send state"
    CLOSE_STORE = "close store"
    SEND_COMMIT = "send commit"
    END_OTHER = "end other"  # only with the termination lock; returns once the other process has surely ended
    RESUME = "resume"  # control again, with the store opened anew if it was closed
    SEND_READY = "send ready"
    LOAD = "load"
    SEND_CHECKED = "send checked"
    OPEN_STORE = "open store"
    RUN = "run"  # control, from the state that came
    COLD_START = "cold start"  # control, from the store alone
    SEND_TAKEN = "send taken"
    SEND_FAILED = "send failed"
    EXIT = "exit"


class Phase(Enum):
    """How far a side has come."""

    IDLE = "idle"
    SPAWNED = "spawned"
    OFFERED = "offered"
    COMMITTED = "committed"
    OVER = "over"
    STARTING = "starting"
    WAITING = "waiting for state"
    CHECKED = "checked"
    OWNER = "owner"


@dataclass
class Predecessor:
    """The process that controls now. Each phase may take `timeout_ms`; `failure` says why nothing was handed over."""

    timeout_ms: float
    phase: Phase = Phase.IDLE
    deadline: float = 0.0
    failure: str = ""

    def start(self, now: float) -> list[HandoverCommand]:
        """Begin a handover."""
        self.phase = Phase.SPAWNED
        self.deadline = now + self.timeout_ms
        self.failure = ""
        return [HandoverCommand.SPAWN]

    def on_message(self, now: float, message: str, detail: str = "") -> list[HandoverCommand]:
        """The successor has sent a message."""
        self.deadline = now + self.timeout_ms
        match self.phase, message:
            case Phase.SPAWNED, HandoverMessage.READY:
                return self._on_ready(detail)
            case Phase.OFFERED, HandoverMessage.CHECKED:
                self.phase = Phase.COMMITTED
                return [HandoverCommand.CLOSE_STORE, HandoverCommand.SEND_COMMIT]
            case Phase.COMMITTED, HandoverMessage.TAKEN:
                self.phase = Phase.OVER
                return [HandoverCommand.EXIT]
            case _, HandoverMessage.FAILED:
                return self.abort(detail)
        return self.abort(f"{message!r} came while {self.phase.value}")

    def _on_ready(self, protocol: str) -> list[HandoverCommand]:
        if protocol != str(PROTOCOL):
            return self.abort(f"the new process speaks handover protocol {protocol}, this one {PROTOCOL}")
        self.phase = Phase.OFFERED
        return [HandoverCommand.PAUSE, HandoverCommand.SEND_STATE]

    def on_peer_lost(self) -> list[HandoverCommand]:
        """The successor, or its end of the pipe, is gone."""
        return self.abort("the new process ended")

    def on_tick(self, now: float) -> list[HandoverCommand]:
        """Time has passed."""
        if self.phase in (Phase.IDLE, Phase.OVER) or now < self.deadline:
            return []
        waited = f"{self.timeout_ms:g} ms ({self.phase.value})"
        return self.abort(f"nothing came from the new process within {waited}")

    def abort(self, failure: str) -> list[HandoverCommand]:
        """Carry on as before, once the successor has surely ended."""
        if self.phase in (Phase.IDLE, Phase.OVER):
            return []
        self.phase = Phase.IDLE
        self.failure = failure
        return [HandoverCommand.END_OTHER, HandoverCommand.RESUME]

    def on_lock_lost(self) -> list[HandoverCommand]:
        """The successor holds the termination lock: it takes over, and is about to kill this process."""
        self.phase = Phase.OVER
        return [HandoverCommand.EXIT]


@dataclass
class Successor:
    """The process that is to control. Each phase may take `timeout_ms`."""

    timeout_ms: float
    phase: Phase = Phase.STARTING
    deadline: float = 0.0

    def start(self, now: float) -> list[HandoverCommand]:
        """This process is ready to take over."""
        self.phase = Phase.WAITING
        self.deadline = now + self.timeout_ms
        return [HandoverCommand.SEND_READY]

    def on_message(self, now: float, message: str) -> list[HandoverCommand]:
        """The predecessor has sent a message."""
        self.deadline = now + self.timeout_ms
        match self.phase, message:
            case Phase.WAITING, HandoverMessage.STATE:
                return [HandoverCommand.LOAD]
            case Phase.CHECKED, HandoverMessage.COMMIT:
                self.phase = Phase.OWNER
                return [HandoverCommand.OPEN_STORE, HandoverCommand.RUN, HandoverCommand.SEND_TAKEN]
        self.phase = Phase.OVER
        return [HandoverCommand.EXIT]

    def on_state_loaded(self, now: float, ok: bool) -> list[HandoverCommand]:
        """The state was loaded, or this process cannot take over."""
        if not ok:
            return self._fail()
        self.phase = Phase.CHECKED
        self.deadline = now + self.timeout_ms
        return [HandoverCommand.SEND_CHECKED]

    def on_store_opened(self, ok: bool) -> list[HandoverCommand]:
        """The store was opened, or not: then the predecessor opens it again."""
        return [] if ok else self._fail()

    def _fail(self) -> list[HandoverCommand]:
        self.phase = Phase.OVER
        return [HandoverCommand.SEND_FAILED, HandoverCommand.EXIT]

    def on_peer_lost(self) -> list[HandoverCommand]:
        """The predecessor is gone: no other process is left to control."""
        match self.phase:
            case Phase.CHECKED:
                self.phase = Phase.OWNER
                return [HandoverCommand.OPEN_STORE, HandoverCommand.RUN]
            case Phase.STARTING | Phase.WAITING:
                self.phase = Phase.OWNER
                return [HandoverCommand.COLD_START]
        return []

    def on_tick(self, now: float) -> list[HandoverCommand]:
        """Time has passed. A predecessor that stands still may wake up: it is killed first."""
        if self.phase not in (Phase.WAITING, Phase.CHECKED) or now < self.deadline:
            return []
        return [HandoverCommand.END_OTHER, *self.on_peer_lost()]

    def on_lock_lost(self) -> list[HandoverCommand]:
        """The predecessor holds the termination lock, and carries on."""
        self.phase = Phase.OVER
        return [HandoverCommand.EXIT]
