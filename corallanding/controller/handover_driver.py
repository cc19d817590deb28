"""What both sides of a handover have in common: carry out commands, receive messages, watch the time."""

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
    """Let tests kill or stop a process at any point: CORALLANDING_HALT=<kill|stop>:<point>."""
    how, _, where = os.environ.get("CORALLANDING_HALT", "").partition(":")
    if where == point:
        os.kill(os.getpid(), signal.SIGKILL if how == "kill" else signal.SIGSTOP)


def now() -> float:
    """Milliseconds on the monotonic clock."""
    return time.monotonic() * 1000.0


class TerminationLock:
    """A file lock: only the process that holds it may kill the other. It is released when its process ends."""

    def __init__(self, path: str) -> None:
        self.path = path
        self.descriptor = -1

    def acquire(self) -> bool:
        """Take the lock; false if the other process holds it. Raises `OSError` if the file cannot be opened."""
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
    """One process's part: carries out what its state machine commands. `name` stands in the names of test points."""

    name: str
    state_machine: StateMachine
    pipe: HandoverPipe | None

    @property
    def open_pipe(self) -> HandoverPipe:
        """The pipe to the other process. Raises `HandoverError` if none was started."""
        if self.pipe is None:
            raise HandoverError("no process was started")
        return self.pipe

    async def drive(self, commands: list[HandoverCommand]) -> None:
        """Carry out commands, and those that follow from messages and time, to the end of the handover."""
        receiving: asyncio.Future[PipeMessage] | None = None
        while True:
            await self._perform_all(commands)
            if self.state_machine.phase in FINAL_PHASES:
                return
            if receiving is None:
                receiving = asyncio.get_running_loop().run_in_executor(None, self.open_pipe.receive_message)
            timeout_s = max(0.0, self.state_machine.deadline - now()) / 1000.0
            done, _ = await asyncio.wait({receiving}, timeout=timeout_s)
            if not done:
                commands = self.state_machine.on_tick(now())
                continue
            try:
                commands = await self.on_message(receiving.result())
            except PipeClosedError:
                commands = await self.on_peer_lost()
            receiving = None

    async def _perform_all(self, commands: list[HandoverCommand]) -> None:
        """Carry out commands; where one has others instead of the rest, those."""
        remaining = list(commands)
        while remaining:
            command = remaining.pop(0)
            stop_at_test_point(f"{self.name} before {command.value}")
            instead = await self.perform(command)
            if instead is not None:
                remaining = list(instead)

    @abstractmethod
    async def on_message(self, message: PipeMessage) -> list[HandoverCommand]:
        """The other process has sent a message. Raises `PipeClosedError`."""

    async def on_peer_lost(self) -> list[HandoverCommand]:
        """The other process has closed its end of the pipe."""
        return self.state_machine.on_peer_lost()

    @abstractmethod
    async def perform(self, command: HandoverCommand) -> list[HandoverCommand] | None:
        """Carry out one command. Returns commands to carry out instead of the remaining ones if it failed."""
