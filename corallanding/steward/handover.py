"""Carries out `upgrade.core` for a running steward: the old process's side, and the new one's."""

from __future__ import annotations

import asyncio
import fcntl
import os
import signal
import socket
import sys
import time
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable, Sequence
from typing import Generic, TypeVar

import msgspec

from ..snapshot import file as snapshots
from ..snapshot import marks
from ..store import StoreFault, StoreHeld
from ..telemetry import log
from ..upgrade.core import PROTOCOL, Do, New, Old, Phase
from ..upgrade.pipe import Gone, Pipe, peer_of
from .handed import Handed, hand, link_state
from .parts import Parts
from .revive import Unfit


def halt(point: str) -> None:
    """Where tests end a process or let it stand still: CORALLANDING_HALT=<kill|stop>:<point>. Every step is named."""
    how, _, where = os.environ.get("CORALLANDING_HALT", "").partition(":")
    if where == point:
        os.kill(os.getpid(), signal.SIGKILL if how == "kill" else signal.SIGSTOP)


def now() -> float:
    return time.monotonic() * 1000.0


class Given:
    """Descriptors that came from the process before: sockets that listen or take datagrams by address, the pair with
    the intake of load reports, links in their order."""

    def __init__(self, fds: Sequence[int]) -> None:
        self.ears: list[socket.socket] = []
        self.links: list[socket.socket] = []
        self.pairs: list[socket.socket] = []
        for fd in fds:
            sock = socket.socket(fileno=fd)
            ear = sock.type == socket.SOCK_DGRAM or sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
            pair = sock.family == socket.AF_UNIX
            (self.pairs if pair else self.ears if ear else self.links).append(sock)

    def listening(self, host: str, port: int, kind: int = socket.SOCK_STREAM) -> socket.socket | None:
        """The one that listens there, if it came."""
        for sock in self.ears:
            at = sock.getsockname()
            if sock.type == kind and at[0] == host and port in (0, at[1]):
                self.ears.remove(sock)
                return sock
        return None

    def pair(self) -> socket.socket | None:
        return self.pairs.pop() if self.pairs else None

    def rest(self, count: int) -> list[socket.socket | None]:
        """The links, if as many came as were told of; none otherwise (their forwarders dial anew)."""
        if len(self.links) != count:
            return [None] * count
        found, self.links = self.links, []
        return list(found)

    def close(self) -> None:
        for sock in (*self.ears, *self.links, *self.pairs):
            sock.close()


class Arbiter:
    """A file lock: only who has it may end the other. It goes with its process."""

    def __init__(self, path: str) -> None:
        self.path, self.fd = path, -1

    def take(self) -> bool:
        self.fd = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self.fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self.fd)
            return False
        return True

    def drop(self) -> None:
        os.close(self.fd)


class Speaker(Parts):
    """What a handover asks of the steward that speaks."""

    @abstractmethod
    async def pause(self) -> None: ...

    @abstractmethod
    async def ranked(self) -> list[marks.Row]: ...

    @abstractmethod
    def let_go(self) -> None: ...

    @abstractmethod
    def take_back(self) -> None: ...


def why_not(s: Parts) -> str:
    """What of this steward cannot be handed over; empty if all can."""
    registry = s.config.registry
    if registry and registry.charge:
        return "registry.charge: end it (SIGTERM), its slices go to the other stewards first"
    return ""


Core = TypeVar("Core", Old, New)


class Side(ABC, Generic[Core]):
    """One process's part: does what the core says, hears the other, watches the time."""

    name: str
    core: Core
    pipe: Pipe | None

    @property
    def words(self) -> Pipe:
        assert self.pipe, "no process was started"
        return self.pipe

    async def drive(self, todo: list[Do]) -> None:
        """Until the core has come to its end."""
        loop = asyncio.get_running_loop()
        hearing: asyncio.Future[tuple[str, bytes]] | None = None
        while True:
            for a in todo:
                halt(f"{self.name} before {a.value}")
                more = await self.do(a)
                if more is not None:
                    todo = more
                    break
            else:
                if self.core.phase in (Phase.IDLE, Phase.OVER, Phase.OWNER):
                    return
                if hearing is None:
                    hearing = loop.run_in_executor(None, self.words.hear)
                done, _ = await asyncio.wait({hearing}, timeout=max(0.0, self.core.deadline - now()) / 1000.0)
                if not done:
                    todo = self.core.tick(now())
                    continue
                try:
                    todo = await self.heard(*hearing.result())
                except Gone:
                    todo = await self.lost()
                hearing = None

    async def heard(self, word: str, detail: bytes) -> list[Do]:
        """Raises `Gone`."""
        return self.core.heard(now(), word, detail.decode("utf-8", "replace"))

    async def lost(self) -> list[Do]:
        return self.core.lost(now())

    @abstractmethod
    async def do(self, a: Do) -> list[Do] | None:
        """Another list of things to do in place of the rest, if this one did not go."""


class Giver(Side[Old]):
    """The process that speaks. `run` returns why nothing came of it, or "" once the new one has taken over."""

    name = "old"

    def __init__(self, steward: Speaker, command: list[str], within: float) -> None:
        self.s, self.command, self.core = steward, command, Old(within)
        self.arbiter = Arbiter(f"{steward.config.store.path}.handover")
        self.process: asyncio.subprocess.Process | None = None
        self.pipe = None

    async def run(self) -> str:
        try:
            await self.drive(self.core.begin(now()))
            return self.core.why
        finally:
            if self.pipe:
                self.pipe.close()

    async def do(self, a: Do) -> list[Do] | None:
        try:
            match a:
                case Do.SPAWN:
                    ours, theirs = socket.socketpair(socket.AF_UNIX, socket.SOCK_STREAM)
                    self.pipe = Pipe(ours)
                    fd = theirs.fileno()
                    command = [*self.command, "--take-over", str(fd)]
                    self.process = await asyncio.create_subprocess_exec(*command, pass_fds=[fd])
                    theirs.close()
                case Do.PAUSE:
                    await self.send_marks()
                    await self.s.pause()
                case Do.SEND_STATE:
                    await self.send_state()
                case Do.CLOSE_STORE:
                    self.s.let_go()
                case Do.SEND_COMMIT:
                    self.words.say("commit")
                case Do.END_OTHER:
                    if not self.arbiter.take():
                        return self.core.beaten()
                    if self.process:
                        if self.process.returncode is None:
                            self.process.kill()
                        await self.process.wait()
                    self.arbiter.drop()
                case Do.RESUME:
                    self.s.take_back()
                case Do.EXIT:
                    self.s.handed_over = True
                    if self.s.stopped and not self.s.stopped.done():
                        self.s.stopped.set_result(0)
        except (Gone, OSError) as fault:
            return self.core.back(f"{a.value}: {fault}")
        except StoreHeld as fault:
            log.error("the store is not to be had again", why=str(fault))
            self.s.stop(4)
        return None

    async def send_marks(self) -> None:
        """Ahead of the state, while this process still speaks: in a large fleet they are the most of it."""
        body = msgspec.msgpack.encode(await self.s.ranked())
        await asyncio.get_running_loop().run_in_executor(None, self.words.say, "marks", body)

    async def send_state(self) -> None:
        s = self.s
        state = s.state(s.log_number)
        if state is None:
            raise OSError("this module's state cannot be handed over")
        links = [x for x in s.links if x.link.hello and not x.over and x.transport]
        v = s.view
        roster = (v.version, list(v.entries.values()), dict(v.addresses), dict(v.starts), sorted(v.known))
        rows = [link_state(x.link, x.joined, x.paused, x.beat_at) for x in links]
        fds = [server.sockets[0].fileno() for server in s.servers]
        feed = None
        if s.feed:
            feed, pair = s.feed.handed()
            fds += [pair.fileno()] if pair else []
        if s.peers:
            fds.append(s.peers.sock.fileno())
        kept = (str(s.recorder.path), s.recorder.written) if s.recorder else None
        body = snapshots.pack(hand(s.engine, state, s.channel, rows, s.joins, roster, s.factors, feed, kept))
        fds += [x.transport.get_extra_info("socket").fileno() for x in links if x.transport]

        def work() -> None:
            self.words.say("state", body)
            self.words.say("sockets", str(len(fds)).encode())
            self.words.give(fds)

        await asyncio.get_running_loop().run_in_executor(None, work)


class Taker(Side[New]):
    """The process that is to speak. `start(handed, fds)` builds the steward and opens the store (raises `StoreFault`,
    `OSError`, `Unfit`); `check(handed)` tells whether the state can be used."""

    name = "new"

    def __init__(
        self, pipe: Pipe, within: float, store: str, check: Callable[[Handed], None],
        start: Callable[[Handed | None, list[int], list[marks.Row]], Awaitable[None]],
    ) -> None:  # fmt: skip
        self.pipe, self.core = pipe, New(within)
        self.arbiter, self.check, self.start = Arbiter(f"{store}.handover"), check, start
        self.old, self.user = peer_of(pipe.sock)
        self.body = b""
        self.marks: list[marks.Row] = []
        self.handed: Handed | None = None
        self.fds: list[int] = []
        self.why = ""

    async def run(self) -> bool:
        """True once this process speaks; false if it is to end."""
        if self.user != os.getuid():
            log.error("handover refused: the other side is of another user", user=self.user)
            return False
        await self.drive(self.core.begin(now()))
        if self.core.phase is not Phase.OWNER:
            return False
        halt("new after all")
        self.words.close()
        return True

    async def heard(self, word: str, detail: bytes) -> list[Do]:
        if word == "marks":
            self.core.deadline = now() + self.core.within
            try:
                self.marks = msgspec.msgpack.decode(detail, type=list[marks.Row])
            except msgspec.DecodeError as fault:
                log.warning("marks not used; they are worked out anew", why=str(fault))
            return []
        if word == "state":
            loop, self.body = asyncio.get_running_loop(), detail
            count_word, count = await loop.run_in_executor(None, self.words.hear)
            if count_word != "sockets":
                raise Gone(f"{count_word!r} in place of sockets")
            self.fds = await loop.run_in_executor(None, self.words.receive, int(count))
        return self.core.heard(now(), word)

    async def lost(self) -> list[Do]:
        # Its end of the pipe closes before its lock on the store does.
        await self.gone(self.old)
        return self.core.lost(now())

    async def do(self, a: Do) -> list[Do] | None:
        try:
            match a:
                case Do.SEND_READY:
                    self.words.say("ready", str(PROTOCOL).encode())
                case Do.LOAD:
                    try:
                        self.handed = snapshots.unpack(self.body, Handed)
                        self.check(self.handed)
                    except (snapshots.SnapshotFault, Unfit) as fault:
                        # Versions or settings that share no state: sockets are taken, forwarders dial anew.
                        log.warning("state not used; forwarders will join anew", why=str(fault))
                        self.handed = None
                    return self.core.loaded(now(), True)
                case Do.SEND_CHECKED:
                    self.words.say("checked")
                case Do.OPEN_STORE | Do.COLD_START:
                    # Steward and store in one: nothing of it speaks before it returns.
                    await self.start(self.handed, self.fds, self.marks)
                case Do.SEND_TAKEN:
                    self.words.say("taken")
                case Do.SEND_FAILED:
                    self.words.say("failed", self.why.encode())
                case Do.END_OTHER:
                    if not self.arbiter.take():
                        return self.core.beaten()
                    await self.end(self.old)
                    self.arbiter.drop()
        except (StoreFault, Unfit, OSError) as fault:
            self.why = str(fault)
            log.error("cannot take over", why=self.why)
            return self.core.opened(now(), False)
        except Gone:
            return self.core.lost(now()) if a is not Do.SEND_TAKEN else None
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
            await asyncio.wait_for(gone.wait(), self.core.within / 1000.0)
        except TimeoutError:
            log.error("the process before this one has closed its pipe and does not end", process=process)
        finally:
            loop.remove_reader(handle)
            os.close(handle)


def command_of(config: str) -> list[str]:
    return [sys.executable, "-m", "corallanding.cli.main", "steward", "--config", config]


