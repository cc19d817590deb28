"""The predecessor's side of a handover: spawns the successor, and sends it state and sockets."""

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
from ..upgrade.pipe import HandoverPipe, PipeClosedError, PipeMessage
from ..upgrade.state_machine import HandoverCommand, HandoverMessage, Predecessor
from .context import ExitCode
from .handover_driver import HandoverSide, TerminationLock, monotonic_ms


@dataclass(frozen=True)
class CapturedState:
    """A packed `HandoverState` and the descriptors sent with it: those of links come last, in the state's order."""

    body: bytes
    file_descriptors: list[int]


class HandoverSource(Protocol):
    """The interface of the active controller that a handover uses."""

    async def capture_scores(self) -> list[StoredRanking]:
        """Return the assigner's rendezvous scores, which are sent before the state."""
        ...

    async def pause(self) -> None:
        """Stop sending and receiving."""
        ...

    def capture(self) -> CapturedState:
        """Return the complete state of the paused controller. Raises OSError if it cannot be handed over."""
        ...

    def release_store(self) -> None:
        """Close the store, so that the new process can open it."""
        ...

    def reopen_and_resume(self) -> None:
        """Resume after a failed handover. Raises StoreLockedError if another controller holds the store."""
        ...

    def finish(self) -> None:
        """Stop this process: the new one is active."""
        ...

    def request_stop(self, exit_code: int) -> None:
        """Stop this process with an exit code, because it cannot continue."""
        ...


def handover_obstacle(config: ControllerConfig) -> str:
    """Return the setting that prevents a handover of the controller, with a hint; empty if nothing does."""
    if config.registry and config.registry.charge:
        return "registry.charge: end it (SIGTERM), its slices go to the other stewards first"
    return ""


class HandoverSender(HandoverSide[Predecessor]):
    """Hands the controller over to a process that `command` starts.

    A lock file next to the store decides which process may kill the other. Each phase may take `timeout_ms`.
    """

    name = "old"

    def __init__(self, source: HandoverSource, store_path: str, command: list[str], timeout_ms: float) -> None:
        self.source = source
        self.command = command
        self.state_machine = Predecessor(timeout_ms)
        self.termination_lock = TerminationLock(f"{store_path}.handover")
        self.process: asyncio.subprocess.Process | None = None
        self.pipe = None

    async def run(self) -> str:
        """Hand over; return why it failed, or "" once the successor has taken over."""
        try:
            await self.drive(self.state_machine.start(monotonic_ms()))
            return self.state_machine.failure
        finally:
            if self.pipe:
                self.pipe.close()

    async def on_message(self, message: PipeMessage) -> list[HandoverCommand]:
        """Handle a message of the successor."""
        detail = message.detail.decode("utf-8", "replace")
        return self.state_machine.on_message(monotonic_ms(), message.name, detail)

    async def perform(self, command: HandoverCommand) -> list[HandoverCommand] | None:
        """Execute one command of the state machine."""
        try:
            if command is HandoverCommand.KILL_PEER:
                return await self._end_successor()
            await self._perform(command)
        except (PipeClosedError, OSError) as error:
            return self.state_machine.abort(f"{command.value}: {error}")
        except StoreLockedError as error:
            log.error("the store is locked by another controller", why=str(error))
            self.source.request_stop(ExitCode.STORE)
        return None

    async def _perform(self, command: HandoverCommand) -> None:
        match command:
            case HandoverCommand.SPAWN:
                await self._spawn()
            case HandoverCommand.PAUSE:
                await self._send_rankings()
                await self.source.pause()
            case HandoverCommand.SEND_STATE:
                await self._send_state()
            case HandoverCommand.CLOSE_STORE:
                self.source.release_store()
            case HandoverCommand.SEND_COMMIT:
                self.open_pipe.send_message(HandoverMessage.COMMIT)
            case HandoverCommand.RESUME:
                self.source.reopen_and_resume()
            case HandoverCommand.EXIT:
                self.source.finish()

    async def _spawn(self) -> None:
        own_end, successor_end = socket.socketpair(socket.AF_UNIX, socket.SOCK_STREAM)
        self.pipe = HandoverPipe(own_end)
        descriptor = successor_end.fileno()
        command = [*self.command, "--take-over", str(descriptor)]
        self.process = await asyncio.create_subprocess_exec(*command, pass_fds=[descriptor])
        successor_end.close()

    async def _end_successor(self) -> list[HandoverCommand] | None:
        """Kill the successor and wait until it has exited, unless it holds the lock to kill this process."""
        if not self.termination_lock.acquire():
            return self.state_machine.on_lock_lost()
        if self.process:
            if self.process.returncode is None:
                self.process.kill()
            await self.process.wait()
        self.termination_lock.release()
        return None

    async def _send_rankings(self) -> None:
        """Send rankings before the state, while still active: in a large fleet they are most of the data."""
        body = msgspec.msgpack.encode(await self.source.capture_scores())
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(None, self.open_pipe.send_message, HandoverMessage.RANKINGS, body)

    async def _send_state(self) -> None:
        """Send the state, then the sockets. Raises `OSError` if they cannot be captured."""
        captured = self.source.capture()
        await asyncio.get_running_loop().run_in_executor(None, self._send_captured, captured)

    def _send_captured(self, captured: CapturedState) -> None:
        """Send the state and the descriptors; blocks until everything is sent."""
        descriptors = captured.file_descriptors
        self.open_pipe.send_message(HandoverMessage.STATE, captured.body)
        self.open_pipe.send_message(HandoverMessage.SOCKETS, str(len(descriptors)).encode())
        self.open_pipe.send_descriptors(descriptors)


def successor_command(config: str) -> list[str]:
    """Return the command that starts a successor with a configuration file."""
    return [sys.executable, "-m", "corallanding.cli.main", "steward", "--config", config]
