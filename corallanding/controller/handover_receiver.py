"""The new process's side of a handover."""

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
from ..upgrade.core import PROTOCOL, HandoverCommand, Phase, Successor
from ..upgrade.pipe import HandoverPipe, PipeClosedError, peer_credentials
from .handover_driver import HandoverSide, TerminationLock, now, stop_at_test_point
from .handover_state import HandoverState
from .recovery import StateMismatchError


class HandoverReceiver(HandoverSide[Successor]):
    """The process that is to speak. `start(handed, fds)` builds the steward and opens the store (raises `StoreFault`,
    `OSError`, `Unfit`); `check(handed)` tells whether the state can be used."""

    name = "new"

    def __init__(
        self,
        pipe: HandoverPipe,
        within: float,
        store: str,
        check: Callable[[HandoverState], None],
        start: Callable[[HandoverState | None, list[int], list[StoredRanking]], Awaitable[None]],
    ) -> None:
        self.pipe, self.core = pipe, Successor(within)
        self.arbiter, self.check, self.start = TerminationLock(f"{store}.handover"), check, start
        self.old, self.user = peer_credentials(pipe.sock)
        self.body = b""
        self.marks: list[StoredRanking] = []
        self.handed: HandoverState | None = None
        self.fds: list[int] = []
        self.why = ""

    async def run(self) -> bool:
        """True once this process speaks; false if it is to end."""
        if self.user != os.getuid():
            log.error("handover refused: the other side is of another user", user=self.user)
            return False
        await self.drive(self.core.start(now()))
        if self.core.phase is not Phase.OWNER:
            return False
        stop_at_test_point("new after all")
        self.words.close()
        return True

    async def on_message(self, word: str, detail: bytes) -> list[HandoverCommand]:
        if word == "marks":
            self.core.deadline = now() + self.core.timeout_ms
            try:
                self.marks = msgspec.msgpack.decode(detail, type=list[StoredRanking])
            except msgspec.DecodeError as fault:
                log.warning("marks not used; they are worked out anew", why=str(fault))
            return []
        if word == "state":
            loop, self.body = asyncio.get_running_loop(), detail
            count_word, count = await loop.run_in_executor(None, self.words.receive_message)
            if count_word != "sockets":
                raise PipeClosedError(f"{count_word!r} in place of sockets")
            self.fds = await loop.run_in_executor(None, self.words.receive_descriptors, int(count))
        return self.core.on_message(now(), word)

    async def on_peer_lost(self) -> list[HandoverCommand]:
        # Its end of the pipe closes before its lock on the store does.
        await self.gone(self.old)
        return self.core.on_peer_lost(now())

    async def perform(self, a: HandoverCommand) -> list[HandoverCommand] | None:
        try:
            match a:
                case HandoverCommand.SEND_READY:
                    self.words.send_message("ready", str(PROTOCOL).encode())
                case HandoverCommand.LOAD:
                    try:
                        self.handed = snapshots.unpack(self.body, HandoverState)
                        self.check(self.handed)
                    except (snapshots.SnapshotError, StateMismatchError) as fault:
                        # Versions or settings that share no state: sockets are taken, forwarders dial anew.
                        log.warning("state not used; forwarders will join anew", why=str(fault))
                        self.handed = None
                    return self.core.on_state_loaded(now(), True)
                case HandoverCommand.SEND_CHECKED:
                    self.words.send_message("checked")
                case HandoverCommand.OPEN_STORE | HandoverCommand.COLD_START:
                    # Steward and store in one: nothing of it speaks before it returns.
                    await self.start(self.handed, self.fds, self.marks)
                case HandoverCommand.SEND_TAKEN:
                    self.words.send_message("taken")
                case HandoverCommand.SEND_FAILED:
                    self.words.send_message("failed", self.why.encode())
                case HandoverCommand.END_OTHER:
                    if not self.arbiter.acquire():
                        return self.core.on_lock_lost()
                    await self.end(self.old)
                    self.arbiter.release()
        except (StoreError, StateMismatchError, OSError) as fault:
            self.why = str(fault)
            log.error("cannot take over", why=self.why)
            return self.core.on_store_opened(now(), False)
        except PipeClosedError:
            return self.core.on_peer_lost(now()) if a is not HandoverCommand.SEND_TAKEN else None
        return None

    async def end(self, process: int) -> None:
        """SIGKILL, and wait until it is surely gone."""
        try:
            os.kill(process, signal.SIGKILL)
        except ProcessLookupError:
            return
        await self.gone(process)

    async def gone(self, process: int) -> None:
        """Wait until a process that is dead, or dying, has let go of all that it held."""
        try:
            handle = os.pidfd_open(process)
        except ProcessLookupError:
            return
        loop, gone = asyncio.get_running_loop(), asyncio.Event()
        loop.add_reader(handle, gone.set)
        try:
            await asyncio.wait_for(gone.wait(), self.core.timeout_ms / 1000.0)
        except TimeoutError:
            log.error("the process before this one has closed its pipe and does not end", process=process)
        finally:
            loop.remove_reader(handle)
            os.close(handle)
