"""Carries out `upgrade.core` for a running steward: the old process's side, and the new one's."""

from __future__ import annotations

import asyncio
import fcntl
import os
import signal
import socket
import sys
import time
from collections.abc import Awaitable, Callable, Sequence
from typing import TYPE_CHECKING

from ..snapshot import file as snapshots
from ..store import StoreFault
from ..telemetry import log
from ..upgrade.core import PROTOCOL, Do, New, Old, Phase
from ..upgrade.pipe import Gone, Pipe, peer_of
from ..upgrade.state import Handed, hand, link_state
from .revive import Unfit, boot_id, capture

if TYPE_CHECKING:
    from .daemon import Steward


def halt(point: str) -> None:
    """Where tests end a process or let it stand still: CORALLANDING_HALT=<kill|stop>:<point>. Every step is named."""
    how, _, where = os.environ.get("CORALLANDING_HALT", "").partition(":")
    if where == point:
        os.kill(os.getpid(), signal.SIGKILL if how == "kill" else signal.SIGSTOP)


class Given:
    """Descriptors that came from the process before: listening sockets by address, then links in their order."""

    def __init__(self, fds: Sequence[int]) -> None:
        self.ears: list[socket.socket] = []
        self.links: list[socket.socket] = []
        for fd in fds:
            sock = socket.socket(fileno=fd)
            ear = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
            (self.ears if ear else self.links).append(sock)

    def listening(self, host: str, port: int) -> socket.socket | None:
        """The one that listens there, if it came."""
        for sock in self.ears:
            at = sock.getsockname()
            if at[0] == host and port in (0, at[1]):
                self.ears.remove(sock)
                return sock
        return None

    def rest(self, count: int) -> list[socket.socket | None]:
        """The links, if as many came as were told of; none otherwise (their forwarders dial anew)."""
        if len(self.links) != count:
            return [None] * count
        found, self.links = self.links, []
        return list(found)

    def close(self) -> None:
        for sock in (*self.ears, *self.links):
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


def why_not(s: Steward) -> str:
    """What of this steward cannot be handed over; empty if all can."""
    c = s.config
    if c.registry and c.registry.charge:
        return "registry.charge: end it (SIGTERM), its slices go to the other stewards first"
    if c.load_reports:
        return "load_reports: its intake cannot be handed over yet; restart instead"
    if c.steward.peer_listen:
        return "steward.peer_listen: its socket cannot be handed over yet; restart instead"
    return ""


class Giver:
    """The process that speaks. `run` returns why nothing came of it, or "" once the new one has taken over."""

    def __init__(self, steward: Steward, command: list[str], within: float) -> None:
        self.s, self.command, self.core = steward, command, Old(within)
        self.arbiter = Arbiter(f"{steward.config.store.path}.handover")
        self.process: asyncio.subprocess.Process | None = None
        self.pipe: Pipe | None = None
        self.closed = False  # the store

    async def run(self) -> str:
        loop, now = asyncio.get_running_loop(), self.s.clock
        todo = self.core.begin(now())
        hearing: asyncio.Future[tuple[str, bytes]] | None = None
        try:
            while True:
                for a in todo:
                    halt(f"old before {a.value}")
                    more = await self.do(a)
                    if more is not None:
                        todo = more
                        break
                else:
                    if self.core.phase in (Phase.IDLE, Phase.OVER):
                        return self.core.why
                    assert self.pipe
                    if hearing is None:
                        hearing = loop.run_in_executor(None, self.pipe.hear)
                    wait = max(0.0, self.core.deadline - now()) / 1000.0
                    done, _ = await asyncio.wait({hearing}, timeout=wait)
                    if not done:
                        todo = self.core.tick(now())
                        continue
                    try:
                        word, detail = hearing.result()
                        todo = self.core.heard(now(), word, detail.decode("utf-8", "replace"))
                    except Gone:
                        todo = self.core.lost(now())
                    hearing = None
        finally:
            if self.pipe:
                self.pipe.close()

    async def do(self, a: Do) -> list[Do] | None:
        """Another list of things to do in place of the rest, if this one did not go."""
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
                    await self.s.pause()
                case Do.SEND_STATE:
                    await self.send_state()
                case Do.CLOSE_STORE:
                    self.s.keep_roster()
                    self.s.store.close()
                    self.closed = True
                case Do.SEND_COMMIT:
                    assert self.pipe
                    self.pipe.say("commit")
                case Do.END_OTHER:
                    if not self.arbiter.take():
                        return self.core.beaten()
                    if self.process:
                        if self.process.returncode is None:
                            self.process.kill()
                        await self.process.wait()
                    self.arbiter.drop()
                case Do.RESUME:
                    if self.closed:
                        life, self.closed = self.s.store.open(), False
                        spoke = life.number != self.s.engine.life.number + 1
                        self.s.engine.life.number = life.number
                        if spoke:
                            # The new one had the store, and may have sent and kept orders before it was ended.
                            log.warning("the new process had begun to speak; tables are read again", life=life.number)
                            self.s.engine.reconcile(self.s.clock(), life)
                        self.s.resume(spoke)
                    else:
                        self.s.resume()
                case Do.EXIT:
                    self.s.handed_over = True
                    if self.s.stopped and not self.s.stopped.done():
                        self.s.stopped.set_result(0)
        except (Gone, OSError) as fault:
            return self.core.back(f"{a.value}: {fault}")
        except StoreFault as fault:
            log.error("the store is not to be had again", why=str(fault))
            self.s.stop(4)
        return None

    async def send_state(self) -> None:
        s = self.s
        assert self.pipe
        state = capture(s.engine, s.config.steward.number, boot_id(), s.clock.zero, s.view.origins, s.log_number)
        if state is None:
            raise OSError("this module's state cannot be handed over")
        links = [x for x in s.links if x.link.hello and not x.over and x.transport]
        v = s.view
        roster = (v.version, list(v.entries.values()), dict(v.addresses), dict(v.starts), sorted(v.known))
        rows = [link_state(x.link, x.joined, x.paused, x.beat_at) for x in links]
        body = snapshots.pack(hand(s.engine, state, s.channel, rows, s.joins, s.config.door is not None, roster))
        fds = [server.sockets[0].fileno() for server in s.servers]
        fds += [x.transport.get_extra_info("socket").fileno() for x in links if x.transport]

        def work() -> None:
            assert self.pipe
            self.pipe.say("state", body)
            self.pipe.say("sockets", str(len(fds)).encode())
            self.pipe.give(fds)

        await asyncio.get_running_loop().run_in_executor(None, work)


class Taker:
    """The process that is to speak. `start(handed, fds)` builds the steward and opens the store (raises `StoreFault`,
    `OSError`, `Unfit`); `check(handed)` tells whether the state can be used."""

    def __init__(
        self, pipe: Pipe, within: float, store: str, check: Callable[[Handed], None],
        start: Callable[[Handed | None, list[int]], Awaitable[None]],
    ) -> None:  # fmt: skip
        self.pipe, self.core = pipe, New(within)
        self.arbiter, self.check, self.start = Arbiter(f"{store}.handover"), check, start
        self.handed: Handed | None = None
        self.fds: list[int] = []
        self.why = ""

    async def run(self) -> bool:
        """True once this process speaks; false if it is to end."""
        loop = asyncio.get_running_loop()
        old, user = peer_of(self.pipe.sock)
        if user != os.getuid():
            log.error("handover refused: the other side is of another user", user=user)
            return False
        todo = self.core.begin(self.now())
        hearing: asyncio.Future[tuple[str, bytes]] | None = None
        while True:
            for a in todo:
                halt(f"new before {a.value}")
                more = await self.do(a, old)
                if more is not None:
                    todo = more
                    break
            else:
                if self.core.phase is Phase.OWNER:
                    halt("new after all")
                    self.pipe.close()
                    return True
                if self.core.phase is Phase.OVER:
                    return False
                if hearing is None:
                    hearing = loop.run_in_executor(None, self.pipe.hear)
                done, _ = await asyncio.wait({hearing}, timeout=max(0.0, self.core.deadline - self.now()) / 1000.0)
                if not done:
                    todo = self.core.tick(self.now())
                    continue
                try:
                    word, detail = hearing.result()
                    if word == "state":
                        self.body = detail
                        count_word, count = await loop.run_in_executor(None, self.pipe.hear)
                        if count_word != "sockets":
                            raise Gone(f"{count_word!r} in place of sockets")
                        self.fds = await loop.run_in_executor(None, self.pipe.receive, int(count))
                    todo = self.core.heard(self.now(), word)
                except Gone:
                    # Its end of the pipe closes before its lock on the store does.
                    await self.gone(old)
                    todo = self.core.lost(self.now())
                hearing = None

    def now(self) -> float:
        return time.monotonic() * 1000.0

    async def do(self, a: Do, old: int) -> list[Do] | None:
        try:
            match a:
                case Do.SEND_READY:
                    self.pipe.say("ready", str(PROTOCOL).encode())
                case Do.LOAD:
                    try:
                        self.handed = snapshots.unpack(self.body, Handed)
                        self.check(self.handed)
                    except (snapshots.SnapshotFault, Unfit) as fault:
                        # Versions or settings that share no state: sockets are taken, forwarders dial anew.
                        log.warning("state not used; forwarders will join anew", why=str(fault))
                        self.handed = None
                    return self.core.loaded(self.now(), True)
                case Do.SEND_CHECKED:
                    self.pipe.say("checked")
                case Do.OPEN_STORE | Do.COLD_START:
                    # Steward and store in one: nothing of it speaks before it returns.
                    await self.start(self.handed, self.fds)
                case Do.SEND_TAKEN:
                    self.pipe.say("taken")
                case Do.SEND_FAILED:
                    self.pipe.say("failed", self.why.encode())
                case Do.END_OTHER:
                    if not self.arbiter.take():
                        return self.core.beaten()
                    await self.end(old)
                    self.arbiter.drop()
        except (StoreFault, Unfit, OSError) as fault:
            self.why = str(fault)
            log.error("cannot take over", why=self.why)
            return self.core.opened(self.now(), False)
        except Gone:
            return self.core.lost(self.now()) if a is not Do.SEND_TAKEN else None
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


