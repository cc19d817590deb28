"""Two processes, one steward: which of them speaks, at every instant. Pure: messages and time in, actions out.

    old: Spawn                      new: starts, checks its configuration
         <- ready (protocol)
         Pause, send state, sockets
                                         Load, check itself
         <- checked
         CloseStore, send commit         (until here the old one carries on if anything is wrong)
                                         OpenStore, Run
         <- taken
         Exit                            (from commit on the new one speaks; the old one only if it has ended it)

Either side that waits in vain ends the other by its process number before it speaks: a process that stands still may
wake up. Only one may do so, whoever has the arbiter (a file lock): else both could end each other.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

PROTOCOL = 1


class HandoverCommand(Enum):
    SPAWN = "spawn"
    PAUSE = "pause"  # no step, no read, no accept; what was written has left
    SEND_STATE = "send state"
    CLOSE_STORE = "close store"
    SEND_COMMIT = "send commit"
    END_OTHER = "end other"  # only with the arbiter; returns once it is surely dead
    RESUME = "resume"  # speak again, the store opened anew if it was closed
    SEND_READY = "send ready"
    LOAD = "load"
    SEND_CHECKED = "send checked"
    OPEN_STORE = "open store"
    RUN = "run"  # speak, from the state that came
    COLD_START = "cold start"  # speak, from the store alone
    SEND_TAKEN = "send taken"
    SEND_FAILED = "send failed"
    EXIT = "exit"


class Phase(Enum):
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
    """The process that speaks now. within: ms for each phase. ended: why it came to an end without handing over."""

    timeout_ms: float
    phase: Phase = Phase.IDLE
    deadline: float = 0.0
    failure: str = ""

    def start(self, now: float) -> list[HandoverCommand]:
        self.phase, self.deadline, self.failure = Phase.SPAWNED, now + self.timeout_ms, ""
        return [HandoverCommand.SPAWN]

    def on_message(self, now: float, what: str, detail: str = "") -> list[HandoverCommand]:
        self.deadline = now + self.timeout_ms
        match self.phase, what:
            case Phase.SPAWNED, "ready":
                if detail != str(PROTOCOL):
                    return self.abort(f"the new process speaks handover protocol {detail}, this one {PROTOCOL}")
                self.phase = Phase.OFFERED
                return [HandoverCommand.PAUSE, HandoverCommand.SEND_STATE]
            case Phase.OFFERED, "checked":
                self.phase = Phase.COMMITTED
                return [HandoverCommand.CLOSE_STORE, HandoverCommand.SEND_COMMIT]
            case Phase.COMMITTED, "taken":
                self.phase = Phase.OVER
                return [HandoverCommand.EXIT]
            case _, "failed":
                return self.abort(detail)
        return self.abort(f"{what!r} came while {self.phase.value}")

    def on_peer_lost(self, now: float) -> list[HandoverCommand]:
        """The new process is gone, or its end of the pipe."""
        return self.abort("the new process ended")

    def on_tick(self, now: float) -> list[HandoverCommand]:
        if self.phase in (Phase.IDLE, Phase.OVER) or now < self.deadline:
            return []
        return self.abort(f"nothing came from the new process within {self.timeout_ms:g} ms ({self.phase.value})")

    def abort(self, why: str) -> list[HandoverCommand]:
        if self.phase in (Phase.IDLE, Phase.OVER):
            return []
        self.phase, self.failure = Phase.IDLE, why
        return [HandoverCommand.END_OTHER, HandoverCommand.RESUME]

    def on_lock_lost(self) -> list[HandoverCommand]:
        """The arbiter is the other's: it takes over, and this process is as good as dead."""
        self.phase = Phase.OVER
        return [HandoverCommand.EXIT]


@dataclass
class Successor:
    """The process that is to speak."""

    timeout_ms: float
    phase: Phase = Phase.STARTING
    deadline: float = 0.0

    def start(self, now: float) -> list[HandoverCommand]:
        self.phase, self.deadline = Phase.WAITING, now + self.timeout_ms
        return [HandoverCommand.SEND_READY]

    def on_message(self, now: float, what: str, detail: str = "") -> list[HandoverCommand]:
        self.deadline = now + self.timeout_ms
        match self.phase, what:
            case Phase.WAITING, "state":
                return [HandoverCommand.LOAD]
            case Phase.CHECKED, "commit":
                self.phase = Phase.OWNER
                return [HandoverCommand.OPEN_STORE, HandoverCommand.RUN, HandoverCommand.SEND_TAKEN]
        self.phase = Phase.OVER
        return [HandoverCommand.EXIT]

    def on_state_loaded(self, now: float, ok: bool) -> list[HandoverCommand]:
        if not ok:
            self.phase = Phase.OVER
            return [HandoverCommand.SEND_FAILED, HandoverCommand.EXIT]
        self.phase, self.deadline = Phase.CHECKED, now + self.timeout_ms
        return [HandoverCommand.SEND_CHECKED]

    def on_store_opened(self, now: float, ok: bool) -> list[HandoverCommand]:
        """The store was opened, or not: then the old one takes it again."""
        if ok:
            return []
        self.phase = Phase.OVER
        return [HandoverCommand.SEND_FAILED, HandoverCommand.EXIT]

    def on_peer_lost(self, now: float) -> list[HandoverCommand]:
        """The old process is gone: nothing but this one is left."""
        match self.phase:
            case Phase.CHECKED:
                self.phase = Phase.OWNER
                return [HandoverCommand.OPEN_STORE, HandoverCommand.RUN]
            case Phase.STARTING | Phase.WAITING:
                self.phase = Phase.OWNER
                return [HandoverCommand.COLD_START]
        return []

    def on_tick(self, now: float) -> list[HandoverCommand]:
        if self.phase not in (Phase.WAITING, Phase.CHECKED) or now < self.deadline:
            return []
        # It stands still, and may wake up.
        return [HandoverCommand.END_OTHER, *self.on_peer_lost(now)]

    def on_lock_lost(self) -> list[HandoverCommand]:
        self.phase = Phase.OVER
        return [HandoverCommand.EXIT]
