"""The old process's side of a handover."""

from __future__ import annotations

import asyncio
import socket
import sys
from abc import abstractmethod

import msgspec

from ..snapshot import file as snapshots
from ..snapshot.rankings import StoredRanking
from ..store import StoreLockedError
from ..telemetry import log
from ..upgrade.core import HandoverCommand, Predecessor
from ..upgrade.pipe import HandoverPipe, PipeClosedError
from .components import Parts
from .handover_driver import HandoverSide, TerminationLock, now
from .handover_state import capture_connection, capture_handover


class HandoverSource(Parts):
    """What a handover asks of the steward that speaks."""

    @abstractmethod
    async def pause(self) -> None: ...

    @abstractmethod
    async def ranked(self) -> list[StoredRanking]: ...

    @abstractmethod
    def let_go(self) -> None: ...

    @abstractmethod
    def take_back(self) -> None: ...


def handover_obstacle(s: Parts) -> str:
    """What of this steward cannot be handed over; empty if all can."""
    registry = s.config.registry
    if registry and registry.charge:
        return "registry.charge: end it (SIGTERM), its slices go to the other stewards first"
    return ""


class HandoverSender(HandoverSide[Predecessor]):
    """The process that speaks. `run` returns why nothing came of it, or "" once the new one has taken over."""

    name = "old"

    def __init__(self, steward: HandoverSource, command: list[str], within: float) -> None:
        self.s, self.command, self.core = steward, command, Predecessor(within)
        self.arbiter = TerminationLock(f"{steward.config.store.path}.handover")
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
                    await self.s.pause()
                case HandoverCommand.SEND_STATE:
                    await self.send_state()
                case HandoverCommand.CLOSE_STORE:
                    self.s.let_go()
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
                    self.s.take_back()
                case HandoverCommand.EXIT:
                    self.s.handed_over = True
                    if self.s.stopped and not self.s.stopped.done():
                        self.s.stopped.set_result(0)
        except (PipeClosedError, OSError) as fault:
            return self.core.abort(f"{a.value}: {fault}")
        except StoreLockedError as fault:
            log.error("the store is not to be had again", why=str(fault))
            self.s.stop(4)
        return None

    async def send_marks(self) -> None:
        """Ahead of the state, while this process still speaks: in a large fleet they are the most of it."""
        body = msgspec.msgpack.encode(await self.s.ranked())
        await asyncio.get_running_loop().run_in_executor(None, self.words.send_message, "marks", body)

    async def send_state(self) -> None:
        s = self.s
        state = s.state(s.log_number)
        if state is None:
            raise OSError("this module's state cannot be handed over")
        links = [x for x in s.links if x.link.hello and not x.is_closed and x.transport]
        v = s.view
        roster = (v.version, list(v.entries.values()), dict(v.addresses), dict(v.starts), sorted(v.known))
        rows = [capture_connection(x.link, x.is_joined, x.is_write_paused, x.heartbeat_sent_at) for x in links]
        fds = [server.sockets[0].fileno() for server in s.servers]
        feed = None
        if s.feed:
            feed, pair = s.feed.handed()
            fds += [pair.fileno()] if pair else []
        if s.peers:
            fds.append(s.peers.socket.fileno())
        kept = (str(s.recorder.path), s.recorder.written_bytes) if s.recorder else None
        body = snapshots.pack(
            capture_handover(s.engine, state, s.channel, rows, s.joins, roster, s.factors, feed, kept)
        )
        fds += [x.transport.get_extra_info("socket").fileno() for x in links if x.transport]

        def work() -> None:
            self.words.send_message("state", body)
            self.words.send_message("sockets", str(len(fds)).encode())
            self.words.send_descriptors(fds)

        await asyncio.get_running_loop().run_in_executor(None, work)


def successor_command(config: str) -> list[str]:
    return [sys.executable, "-m", "corallanding.cli.main", "steward", "--config", config]
