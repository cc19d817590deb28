"""State machines of the two sides of a handover, which decide which process is the active controller.

They do no I/O: messages and the time go in, commands come out.

    predecessor: SPAWN              successor: starts, checks its configuration
         <- ready (protocol version)
         PAUSE, SEND_STATE
                                         LOAD, checks the loaded state
         <- checked
         CLOSE_STORE, SEND_COMMIT        (up to here the predecessor resumes on any failure)
                                         OPEN_STORE, RUN
         <- taken
         EXIT                            (after commit the successor is active; the predecessor
                                         resumes only after it has killed the successor)

A side whose wait times out kills the other process, by its process id, before it becomes active: a suspended process
could resume later. Only the holder of the termination lock (a file lock) may kill; otherwise both sides could kill each
other.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, StrEnum

HANDOVER_PROTOCOL_VERSION = 1


class HandoverMessage(StrEnum):
    """Names of the messages between the two processes, as sent on the pipe."""

    READY = "ready"
    RANKINGS = "marks"
    STATE = "state"
    SOCKETS = "sockets"
    CHECKED = "checked"
    COMMIT = "commit"
    TAKEN = "taken"
    FAILED = "failed"


class HandoverCommand(Enum):
    """Action that a side has to perform next. Tests stop a process at points that are named by the values."""

    SPAWN = "spawn"
    PAUSE = "pause"  # no steps, reads or accepts; written data has been flushed
    SEND_STATE = "send state"
    CLOSE_STORE = "close store"
    SEND_COMMIT = "send commit"
    KILL_PEER = "end other"  # kill the other process and wait for its exit; requires the termination lock
    RESUME = "resume"  # become active again; reopen the store if it was closed
    SEND_READY = "send ready"
    LOAD = "load"
    SEND_CHECKED = "send checked"
    OPEN_STORE = "open store"
    RUN = "run"  # become active with the loaded state
    COLD_START = "cold start"  # become active from the store alone
    SEND_TAKEN = "send taken"
    SEND_FAILED = "send failed"
    EXIT = "exit"


class Phase(Enum):
    """Progress of one side in the handover."""

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
    """Side of the process that is active at the start.

    Each phase may take `timeout_ms`. `failure` is the reason why the last handover failed, or empty.
    """

    timeout_ms: float
    phase: Phase = Phase.IDLE
    deadline: float = 0.0
    failure: str = ""

    def start(self, now: float) -> list[HandoverCommand]:
        """Start a handover."""
        self.phase = Phase.SPAWNED
        self.deadline = now + self.timeout_ms
        self.failure = ""
        return [HandoverCommand.SPAWN]

    def on_message(self, now: float, message: str, detail: str = "") -> list[HandoverCommand]:
        """Handle a message of the successor."""
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
        return self.abort(f"unexpected message {message!r} in phase {self.phase.value}")

    def _on_ready(self, protocol: str) -> list[HandoverCommand]:
        if protocol != str(HANDOVER_PROTOCOL_VERSION):
            return self.abort(
                f"the new process uses handover protocol {protocol}, this one uses {HANDOVER_PROTOCOL_VERSION}"
            )
        self.phase = Phase.OFFERED
        return [HandoverCommand.PAUSE, HandoverCommand.SEND_STATE]

    def on_peer_lost(self) -> list[HandoverCommand]:
        """Handle the exit of the successor, or the loss of the pipe to it."""
        return self.abort("the new process ended")

    def on_tick(self, now: float) -> list[HandoverCommand]:
        """Cancel the handover if the present phase has timed out."""
        if self.phase in (Phase.IDLE, Phase.OVER) or now < self.deadline:
            return []
        waited = f"{self.timeout_ms:g} ms ({self.phase.value})"
        return self.abort(f"no message from the new process within {waited}")

    def abort(self, failure: str) -> list[HandoverCommand]:
        """Cancel the handover: kill the successor, then resume."""
        if self.phase in (Phase.IDLE, Phase.OVER):
            return []
        self.phase = Phase.IDLE
        self.failure = failure
        return [HandoverCommand.KILL_PEER, HandoverCommand.RESUME]

    def on_lock_lost(self) -> list[HandoverCommand]:
        """Exit: the successor holds the termination lock, and is about to kill this process and take over."""
        self.phase = Phase.OVER
        return [HandoverCommand.EXIT]


@dataclass
class Successor:
    """Side of the process that takes over. Each phase may take `timeout_ms`."""

    timeout_ms: float
    phase: Phase = Phase.STARTING
    deadline: float = 0.0

    def start(self, now: float) -> list[HandoverCommand]:
        """Report to the predecessor that this process is ready to take over."""
        self.phase = Phase.WAITING
        self.deadline = now + self.timeout_ms
        return [HandoverCommand.SEND_READY]

    def on_message(self, now: float, message: str) -> list[HandoverCommand]:
        """Handle a message of the predecessor."""
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
        """Report the result of loading the state; `ok` is False if this process cannot use it."""
        if not ok:
            return self._fail()
        self.phase = Phase.CHECKED
        self.deadline = now + self.timeout_ms
        return [HandoverCommand.SEND_CHECKED]

    def on_store_opened(self, ok: bool) -> list[HandoverCommand]:
        """Handle the result of opening the store; if it failed, exit so that the predecessor opens it again."""
        return [] if ok else self._fail()

    def _fail(self) -> list[HandoverCommand]:
        self.phase = Phase.OVER
        return [HandoverCommand.SEND_FAILED, HandoverCommand.EXIT]

    def on_peer_lost(self) -> list[HandoverCommand]:
        """Handle the exit of the predecessor: become active, as no other process is left to control."""
        match self.phase:
            case Phase.CHECKED:
                self.phase = Phase.OWNER
                return [HandoverCommand.OPEN_STORE, HandoverCommand.RUN]
            case Phase.STARTING | Phase.WAITING:
                self.phase = Phase.OWNER
                return [HandoverCommand.COLD_START]
        return []

    def on_tick(self, now: float) -> list[HandoverCommand]:
        """Take over after a timeout. The predecessor is killed first, since a suspended process could resume."""
        if self.phase not in (Phase.WAITING, Phase.CHECKED) or now < self.deadline:
            return []
        return [HandoverCommand.KILL_PEER, *self.on_peer_lost()]

    def on_lock_lost(self) -> list[HandoverCommand]:
        """Exit: the predecessor holds the termination lock, and resumes."""
        self.phase = Phase.OVER
        return [HandoverCommand.EXIT]
