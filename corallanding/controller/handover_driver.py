"""What both sides of a handover are made of: `upgrade.core` is carried out, the other heard, the time watched."""

from __future__ import annotations

import asyncio
import fcntl
import os
import signal
import time
from abc import ABC, abstractmethod
from typing import Generic, TypeVar

from ..upgrade.core import HandoverCommand, Phase, Predecessor, Successor
from ..upgrade.pipe import HandoverPipe, PipeClosedError


def stop_at_test_point(point: str) -> None:
    """Where tests end a process or let it stand still: CORALLANDING_HALT=<kill|stop>:<point>. Every step is named."""
    how, _, where = os.environ.get("CORALLANDING_HALT", "").partition(":")
    if where == point:
        os.kill(os.getpid(), signal.SIGKILL if how == "kill" else signal.SIGSTOP)


def now() -> float:
    return time.monotonic() * 1000.0


class TerminationLock:
    """A file lock: only who has it may end the other. It goes with its process."""

    def __init__(self, path: str) -> None:
        self.path, self.fd = path, -1

    def acquire(self) -> bool:
        self.fd = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self.fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self.fd)
            return False
        return True

    def release(self) -> None:
        os.close(self.fd)


Core = TypeVar("Core", Predecessor, Successor)


class HandoverSide(ABC, Generic[Core]):
    """One process's part: does what the core says, hears the other, watches the time."""

    name: str
    core: Core
    pipe: HandoverPipe | None

    @property
    def words(self) -> HandoverPipe:
        assert self.pipe, "no process was started"
        return self.pipe

    async def drive(self, todo: list[HandoverCommand]) -> None:
        """Until the core has come to its end."""
        loop = asyncio.get_running_loop()
        hearing: asyncio.Future[tuple[str, bytes]] | None = None
        while True:
            for a in todo:
                stop_at_test_point(f"{self.name} before {a.value}")
                more = await self.perform(a)
                if more is not None:
                    todo = more
                    break
            else:
                if self.core.phase in (Phase.IDLE, Phase.OVER, Phase.OWNER):
                    return
                if hearing is None:
                    hearing = loop.run_in_executor(None, self.words.receive_message)
                done, _ = await asyncio.wait({hearing}, timeout=max(0.0, self.core.deadline - now()) / 1000.0)
                if not done:
                    todo = self.core.on_tick(now())
                    continue
                try:
                    todo = await self.on_message(*hearing.result())
                except PipeClosedError:
                    todo = await self.on_peer_lost()
                hearing = None

    async def on_message(self, word: str, detail: bytes) -> list[HandoverCommand]:
        """Raises `Gone`."""
        return self.core.on_message(now(), word, detail.decode("utf-8", "replace"))

    async def on_peer_lost(self) -> list[HandoverCommand]:
        return self.core.on_peer_lost(now())

    @abstractmethod
    async def perform(self, a: HandoverCommand) -> list[HandoverCommand] | None:
        """Another list of things to do in place of the rest, if this one did not go."""
