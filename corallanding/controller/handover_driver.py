"""The loop shared by both sides of a handover: executes commands, receives messages and enforces deadlines."""

from __future__ import annotations

import asyncio
import fcntl
import os
import signal
import time
from abc import ABC, abstractmethod
from typing import Generic, TypeVar

from ..errors import HandoverError
from ..upgrade.pipe import HandoverPipe, PipeClosedError, PipeMessage
from ..upgrade.state_machine import HandoverCommand, Phase, Predecessor, Successor

FINAL_PHASES = (Phase.IDLE, Phase.OVER, Phase.OWNER)


def stop_at_test_point(point: str) -> None:
    """Kill or stop this process at a point that a test selects by CORALLANDING_HALT=<kill|stop>:<point>."""
    signal_name, _, selected_point = os.environ.get("CORALLANDING_HALT", "").partition(":")
    if selected_point == point:
        os.kill(os.getpid(), signal.SIGKILL if signal_name == "kill" else signal.SIGSTOP)


def monotonic_ms() -> float:
    """Return the time of the monotonic clock, ms."""
    return time.monotonic() * 1000.0


class TerminationLock:
    """A file lock whose holder alone may kill the other process. The kernel releases it when the holder exits."""

    def __init__(self, path: str) -> None:
        self.path = path
        self.descriptor = -1

    def acquire(self) -> bool:
        """Acquire the lock; return false if the other process holds it. Raises `OSError` if the file is unusable."""
        self.descriptor = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self.descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self.descriptor)
            return False
        return True

    def release(self) -> None:
        """Release the lock."""
        os.close(self.descriptor)


StateMachine = TypeVar("StateMachine", Predecessor, Successor)


class HandoverSide(ABC, Generic[StateMachine]):
    """One side of a handover: executes the commands of its state machine. `name` is the prefix of its test points."""

    name: str
    state_machine: StateMachine
    pipe: HandoverPipe | None

    @property
    def open_pipe(self) -> HandoverPipe:
        """Return the pipe to the other process. Raises `HandoverError` if none was started."""
        if self.pipe is None:
            raise HandoverError("the successor process was not started")
        return self.pipe

    async def drive(self, commands: list[HandoverCommand]) -> None:
        """Execute commands, and those that messages and timeouts lead to, until the handover has ended."""
        receiving: asyncio.Future[PipeMessage] | None = None
        while True:
            await self._perform_all(commands)
            if self.state_machine.phase in FINAL_PHASES:
                return
            if receiving is None:
                receiving = asyncio.get_running_loop().run_in_executor(None, self.open_pipe.receive_message)
            timeout_s = max(0.0, self.state_machine.deadline - monotonic_ms()) / 1000.0
            done, _ = await asyncio.wait({receiving}, timeout=timeout_s)
            if not done:
                commands = self.state_machine.on_tick(monotonic_ms())
                continue
            try:
                commands = await self.on_message(receiving.result())
            except PipeClosedError:
                commands = await self.on_peer_lost()
            receiving = None

    async def _perform_all(self, commands: list[HandoverCommand]) -> None:
        """Execute commands in order; commands that one of them returns replace the remaining ones."""
        remaining = list(commands)
        while remaining:
            command = remaining.pop(0)
            stop_at_test_point(f"{self.name} before {command.value}")
            replacement = await self.perform(command)
            if replacement is not None:
                remaining = list(replacement)

    @abstractmethod
    async def on_message(self, message: PipeMessage) -> list[HandoverCommand]:
        """Handle a message of the other process. Raises `PipeClosedError`."""

    async def on_peer_lost(self) -> list[HandoverCommand]:
        """Handle the closing of the pipe by the other process."""
        return self.state_machine.on_peer_lost()

    @abstractmethod
    async def perform(self, command: HandoverCommand) -> list[HandoverCommand] | None:
        """Execute one command. Returns commands that replace the remaining ones if it failed, or None."""
