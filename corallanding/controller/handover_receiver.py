"""The successor's side of a handover: receives state and sockets, and starts the controller from them."""

from __future__ import annotations

import asyncio
import os
import signal
from collections.abc import Awaitable, Callable

import msgspec

from ..snapshot import file as snapshots
from ..snapshot.rankings import StoredRanking
from ..store import StoreError
from ..telemetry import log
from ..upgrade.pipe import HandoverPipe, PipeClosedError, PipeMessage, peer_credentials
from ..upgrade.state_machine import HANDOVER_PROTOCOL_VERSION, HandoverCommand, HandoverMessage, Phase, Successor
from .handover_driver import HandoverSide, TerminationLock, monotonic_ms, stop_at_test_point
from .handover_state import HandoverState
from .recovery import StateMismatchError


class HandoverReceiver(HandoverSide[Successor]):
    """Takes over from the predecessor, the process at the other end of a pipe.

    `check(state)` raises `StateMismatchError` if a state cannot be used. `start(state, descriptors, rankings)` builds
    the controller and opens the store; it raises `StoreError`, `OSError` or `StateMismatchError`.
    """

    name = "new"

    def __init__(
        self,
        pipe: HandoverPipe,
        timeout_ms: float,
        store: str,
        check: Callable[[HandoverState], None],
        start: Callable[[HandoverState | None, list[int], list[StoredRanking]], Awaitable[None]],
    ) -> None:
        self.pipe = pipe
        self.state_machine = Successor(timeout_ms)
        self.termination_lock = TerminationLock(f"{store}.handover")
        self.check = check
        self.start = start
        self.predecessor = peer_credentials(pipe.socket)
        self.packed_state = b""
        self.rankings: list[StoredRanking] = []
        self.state: HandoverState | None = None
        self.descriptors: list[int] = []
        self.failure = ""

    async def run(self) -> bool:
        """Take over; return true once this process is active, false if it must exit."""
        if self.predecessor.user_id != os.getuid():
            log.error("handover refused: the other process belongs to another user", user=self.predecessor.user_id)
            return False
        await self.drive(self.state_machine.start(monotonic_ms()))
        if self.state_machine.phase is not Phase.OWNER:
            return False
        stop_at_test_point("new after all")
        self.open_pipe.close()
        return True

    async def on_message(self, message: PipeMessage) -> list[HandoverCommand]:
        """Store rankings, or the state with the sockets that follow it, and pass the message to the state machine."""
        if message.name == HandoverMessage.RANKINGS:
            self._store_rankings(message.detail)
            return []
        if message.name == HandoverMessage.STATE:
            self.packed_state = message.detail
            self.descriptors = await self._receive_sockets()
        return self.state_machine.on_message(monotonic_ms(), message.name)

    def _store_rankings(self, body: bytes) -> None:
        self.state_machine.deadline = monotonic_ms() + self.state_machine.timeout_ms
        try:
            self.rankings = msgspec.msgpack.decode(body, type=list[StoredRanking])
        except msgspec.DecodeError as error:
            log.warning("rankings not used; they are recomputed", why=str(error))

    async def _receive_sockets(self) -> list[int]:
        loop = asyncio.get_running_loop()
        message = await loop.run_in_executor(None, self.open_pipe.receive_message)
        if message.name != HandoverMessage.SOCKETS:
            raise PipeClosedError(f"received {message.name!r} instead of sockets")
        return await loop.run_in_executor(None, self.open_pipe.receive_descriptors, int(message.detail))

    async def on_peer_lost(self) -> list[HandoverCommand]:
        """Wait until the predecessor has exited: its end of the pipe closes before its store lock is released."""
        await self._wait_for_exit(self.predecessor.process_id)
        return self.state_machine.on_peer_lost()

    async def perform(self, command: HandoverCommand) -> list[HandoverCommand] | None:
        """Execute one command of the state machine."""
        try:
            return await self._perform(command)
        except (StoreError, StateMismatchError, OSError) as error:
            self.failure = str(error)
            log.error("cannot take over", why=self.failure)
            return self.state_machine.on_store_opened(False)
        except PipeClosedError:
            # Once this process is active, the predecessor needs no further message.
            return None if command is HandoverCommand.SEND_TAKEN else self.state_machine.on_peer_lost()

    async def _perform(self, command: HandoverCommand) -> list[HandoverCommand] | None:
        match command:
            case HandoverCommand.SEND_READY:
                self.open_pipe.send_message(HandoverMessage.READY, str(HANDOVER_PROTOCOL_VERSION).encode())
            case HandoverCommand.LOAD:
                self._load_state()
                return self.state_machine.on_state_loaded(monotonic_ms(), True)
            case HandoverCommand.SEND_CHECKED:
                self.open_pipe.send_message(HandoverMessage.CHECKED)
            case HandoverCommand.OPEN_STORE | HandoverCommand.COLD_START:
                # One call starts the controller and opens the store: nothing is sent before it returns.
                await self.start(self.state, self.descriptors, self.rankings)
            case HandoverCommand.SEND_TAKEN:
                self.open_pipe.send_message(HandoverMessage.TAKEN)
            case HandoverCommand.SEND_FAILED:
                self.open_pipe.send_message(HandoverMessage.FAILED, self.failure.encode())
            case HandoverCommand.KILL_PEER:
                return await self._end_predecessor()
        return None

    def _load_state(self) -> None:
        """Unpack the state. An unusable one is dropped: sockets are still taken over, and proxies join again."""
        try:
            self.state = snapshots.unpack(self.packed_state, HandoverState)
            self.check(self.state)
        except (snapshots.SnapshotError, StateMismatchError) as error:
            log.warning("state not used; proxies will join again", why=str(error))
            self.state = None

    async def _end_predecessor(self) -> list[HandoverCommand] | None:
        """Kill the predecessor and wait until it has exited, unless it holds the lock to kill this process."""
        if not self.termination_lock.acquire():
            return self.state_machine.on_lock_lost()
        try:
            os.kill(self.predecessor.process_id, signal.SIGKILL)
        except ProcessLookupError:
            pass
        else:
            await self._wait_for_exit(self.predecessor.process_id)
        self.termination_lock.release()
        return None

    async def _wait_for_exit(self, process_id: int) -> None:
        """Wait until a process that is exiting has released its resources, at most the timeout of a phase."""
        try:
            pid_descriptor = os.pidfd_open(process_id)
        except ProcessLookupError:
            return
        loop = asyncio.get_running_loop()
        has_exited = asyncio.Event()
        loop.add_reader(pid_descriptor, has_exited.set)
        try:
            await asyncio.wait_for(has_exited.wait(), self.state_machine.timeout_ms / 1000.0)
        except TimeoutError:
            log.error("the predecessor has closed its pipe but does not exit", process=process_id)
        finally:
            loop.remove_reader(pid_descriptor)
            os.close(pid_descriptor)
