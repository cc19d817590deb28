"""The old process's side of a handover."""

from __future__ import annotations

import asyncio
import socket
import sys
from dataclasses import dataclass
from typing import Protocol

import msgspec

from ..config import ControllerConfig
from ..snapshot.rankings import StoredRanking
from ..store import StoreLockedError
from ..telemetry import log
from ..upgrade.core import HandoverCommand, Predecessor
from ..upgrade.pipe import HandoverPipe, PipeClosedError
from .context import ExitCode
from .handover_driver import HandoverSide, TerminationLock, now


@dataclass(frozen=True)
class CapturedState:
    """A packed `HandoverState`, and the descriptors that go with it: those of links come last, in the state's order."""

    body: bytes
    file_descriptors: list[int]


class HandoverSource(Protocol):
    """What a handover asks of the active controller."""

    async def capture_scores(self) -> list[StoredRanking]:
        """The assigner's rendezvous scores, ahead of the state."""
        ...

    async def pause(self) -> None:
        """Send and receive nothing from here on."""
        ...

    def capture(self) -> CapturedState:
        """All state of the paused controller. Raises OSError if it cannot be handed over."""
        ...

    def release_store(self) -> None:
        """Close the store, for the new process."""
        ...

    def take_back(self) -> None:
        """Go on, since nothing came of the handover. Raises StoreLockedError if the store is another controller's."""
        ...

    def finish(self) -> None:
        """End this process: the new one is active."""
        ...

    def request_stop(self, exit_code: int) -> None:
        """End this process, which cannot go on."""
        ...


def handover_obstacle(config: ControllerConfig) -> str:
    """What of a controller cannot be handed over; empty if all can."""
    if config.registry and config.registry.charge:
        return "registry.charge: end it (SIGTERM), its slices go to the other stewards first"
    return ""


class HandoverSender(HandoverSide[Predecessor]):
    """The process that speaks. `run` returns why nothing came of it, or "" once the new one has taken over."""

    name = "old"

    def __init__(self, source: HandoverSource, store_path: str, command: list[str], within: float) -> None:
        """store_path: a lock beside it decides who may end the other process. within: ms for each phase."""
        self.source, self.command, self.core = source, command, Predecessor(within)
        self.arbiter = TerminationLock(f"{store_path}.handover")
        self.process: asyncio.subprocess.Process | None = None
        self.pipe = None

    async def run(self) -> str:
        try:
            await self.drive(self.core.start(now()))
            return self.core.failure
        finally:
            if self.pipe:
                self.pipe.close()

    async def perform(self, a: HandoverCommand) -> list[HandoverCommand] | None:
        try:
            match a:
                case HandoverCommand.SPAWN:
                    ours, theirs = socket.socketpair(socket.AF_UNIX, socket.SOCK_STREAM)
                    self.pipe = HandoverPipe(ours)
                    fd = theirs.fileno()
                    command = [*self.command, "--take-over", str(fd)]
                    self.process = await asyncio.create_subprocess_exec(*command, pass_fds=[fd])
                    theirs.close()
                case HandoverCommand.PAUSE:
                    await self.send_marks()
                    await self.source.pause()
                case HandoverCommand.SEND_STATE:
                    await self.send_state()
                case HandoverCommand.CLOSE_STORE:
                    self.source.release_store()
                case HandoverCommand.SEND_COMMIT:
                    self.words.send_message("commit")
                case HandoverCommand.END_OTHER:
                    if not self.arbiter.acquire():
                        return self.core.on_lock_lost()
                    if self.process:
                        if self.process.returncode is None:
                            self.process.kill()
                        await self.process.wait()
                    self.arbiter.release()
                case HandoverCommand.RESUME:
                    self.source.take_back()
                case HandoverCommand.EXIT:
                    self.source.finish()
        except (PipeClosedError, OSError) as fault:
            return self.core.abort(f"{a.value}: {fault}")
        except StoreLockedError as fault:
            log.error("the store is not to be had again", why=str(fault))
            self.source.request_stop(ExitCode.STORE)
        return None

    async def send_marks(self) -> None:
        """Ahead of the state, while this process still speaks: in a large fleet they are the most of it."""
        body = msgspec.msgpack.encode(await self.source.capture_scores())
        await asyncio.get_running_loop().run_in_executor(None, self.words.send_message, "marks", body)

    async def send_state(self) -> None:
        """All state, then the sockets. Raises OSError."""
        captured = self.source.capture()
        descriptors = captured.file_descriptors

        def work() -> None:
            self.words.send_message("state", captured.body)
            self.words.send_message("sockets", str(len(descriptors)).encode())
            self.words.send_descriptors(descriptors)

        await asyncio.get_running_loop().run_in_executor(None, work)


def successor_command(config: str) -> list[str]:
    return [sys.executable, "-m", "corallanding.cli.main", "steward", "--config", config]
