"""Load reports in the steward: keeps the intake process, feeds `worth`, and says when factors change."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from collections.abc import Callable
from contextlib import suppress
from typing import Any, cast

from .. import interface as api
from .envelope import Head, Load
from .framing import pack, unpack
from .load_estimator import Policy, Worth
from .state import FeedState, digest, hand, take


class Feed(asyncio.Protocol):
    """clock: the steward's, in ms; wall: ms of the wall clock; zero: the steward's time of monotonic 0.

    `changed()` is called when `worth.factors()` did; `counts` holds the intake's newest counts.
    """

    def __init__(
        self,
        conf: dict[str, Any],
        policy: Policy,
        clock: Callable[[], float],
        wall: Callable[[], float],
        zero: float,
        changed: Callable[[], None],
        log: Any,
        restart_most: float = 10_000.0,
    ) -> None:
        self.conf, self.clock, self.wall, self.zero, self.changed, self.log = conf, clock, wall, zero, changed, log
        self.worth, self.counts, self.restart_most = Worth(policy), dict[str, int](), restart_most
        self.hosts: list[int] = []
        self.pid = 0  # of the intake
        self.ended: asyncio.Future[None] | None = None  # of an intake that is no child of ours
        self.transport: asyncio.Transport | None = None
        self.held, self.stopped, self.restarts, self.port = bytearray(), False, 0, 0
        self.carried = b""  # the part of a message that the process before this one had read
        self.task: asyncio.Task[None] | None = None
        self.timers: dict[str, asyncio.TimerHandle] = {}

    def start(self, handed: FeedState | None = None, sock: socket.socket | None = None) -> None:
        """handed, sock: what the process before this one knew, and its end of the intake's socket, which is taken if
        the settings of the intake are the same; else the old one's end ends it, and another begins."""
        if handed:
            take(self.worth, handed)
        same = handed is not None and handed.intake == digest(self.conf)
        if not same and sock:
            sock.close()
        self.task = asyncio.get_running_loop().create_task(self.keep(handed if same else None, sock if same else None))
        self.turn()
        self.tick()

    async def keep(self, handed: FeedState | None, sock: socket.socket | None) -> None:
        """Runs the intake, and again if it dies, with a growing, capped wait. Without it reports only age."""
        loop = asyncio.get_running_loop()
        while not self.stopped:
            begun = self.clock()
            if handed and sock:
                self.pid, self.port, self.carried = handed.process, handed.port, handed.held
                self.counts = dict(handed.reported)
                sock.setblocking(False)
                await loop.create_connection(lambda: self, sock=sock)
                handed = sock = None
                await self.until_gone()
                code: int | None = None
            else:
                process, ours = await self.spawn()
                await loop.create_connection(lambda: self, sock=ours)
                self.pid = process.pid
                self.say(["hosts", self.hosts])
                code = await process.wait()
            self.pid = 0
            if self.stopped:
                return
            self.restarts = 0 if self.clock() - begun > self.restart_most else self.restarts + 1
            wait = min(self.restart_most, 100.0 * 2 ** min(self.restarts, 10))
            self.log.error("intake of load reports ended", code=code, again_in_ms=wait)
            await asyncio.sleep(wait / 1000.0)

    async def spawn(self) -> tuple[asyncio.subprocess.Process, socket.socket]:
        ours, theirs = socket.socketpair()
        theirs.set_inheritable(True)
        command = ["-m", "corallanding.load_reports.intake", str(theirs.fileno()), json.dumps(self.conf)]
        env = {**os.environ, "PYTHONPATH": os.pathsep.join(p for p in sys.path if p)}
        process = await asyncio.create_subprocess_exec(sys.executable, *command, pass_fds=[theirs.fileno()], env=env)
        theirs.close()
        ours.setblocking(False)
        return process, ours

    async def until_gone(self) -> None:
        """An intake that is no child of ours has ended when its end of the socket closes."""
        self.ended = asyncio.get_running_loop().create_future()
        if self.transport:
            await self.ended

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport, self.held, self.carried = cast(asyncio.Transport, transport), bytearray(self.carried), b""

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if self.ended and not self.ended.done():
            self.ended.set_result(None)

    def say(self, item: Any) -> None:
        if self.transport and not self.transport.is_closing():
            self.transport.write(pack(item))

    def data_received(self, data: bytes) -> None:
        self.held += data
        for kind, value in unpack(self.held):
            if kind == "reports":
                wall = self.wall()
                for mono, host, process, started, seq, uptime, at, echo, utilization, rps, eps in value:
                    head = Head(host, process, started, seq, uptime, at, echo)
                    self.worth.report(self.zero + mono, wall, head, Load(utilization, rps, eps))
            elif kind == "counts":
                self.counts = value
            elif kind == "ready":
                self.port = value
                self.log.info("load reports", port=value)

    def listed(self, entries: dict[int, api.HostEntry], starts: dict[int, float], cold: float) -> None:
        """The list as it stands: who may report, and since when each process runs."""
        rows = {
            h: (e.online_since, round(starts.get(h, 0.0)), e.online_since + cold if e.online_since else 0.0)
            for h, e in entries.items()
        }
        self.worth.listed(rows)
        hosts = sorted(rows)
        if hosts != self.hosts:
            self.hosts = hosts
            self.say(["hosts", hosts])

    def turn(self) -> None:
        loop, worth = asyncio.get_running_loop(), self.worth
        if worth.turn(self.clock()):
            self.changed()
        self.timers["turn"] = loop.call_later(worth.policy.window / 4000.0, self.turn)

    def tick(self) -> None:
        """A new tick, so that what echoes it shows its age. Unforeseeable: it cannot be echoed in advance."""
        nonce = os.urandom(8)
        self.worth.tick(self.clock(), nonce)
        self.say(["tick", nonce])
        wait = self.worth.policy.half_life / 8000.0
        self.timers["tick"] = asyncio.get_running_loop().call_later(wait, self.tick)

    # ---- handover --------------------------------------------------------------------------------------

    def hold(self) -> None:
        """Read nothing and say nothing: the socket may be another process's."""
        for timer in self.timers.values():
            timer.cancel()
        if self.transport:
            self.transport.pause_reading()

    def handed(self) -> tuple[FeedState, socket.socket | None]:
        """Between `hold` and `resume`."""
        sock = self.transport.get_extra_info("socket") if self.transport else None
        return hand(self.worth, digest(self.conf), self.pid, self.port, bytes(self.held), self.counts), sock

    def resume(self, heard: bool) -> None:
        """heard: another process may have read of the intake's words. What comes next may begin in the middle of
        one, so that the intake is ended and another begins."""
        if self.transport and heard:
            self.end()
        elif self.transport:
            self.transport.resume_reading()
        self.turn()
        self.tick()

    def end(self) -> None:
        """While its socket is open the process is there, and its number is no other's."""
        if self.transport and self.pid:
            with suppress(ProcessLookupError):
                os.kill(self.pid, signal.SIGTERM)
        if self.transport:
            self.transport.abort()

    def stop(self) -> None:
        self.stopped = True
        for timer in self.timers.values():
            timer.cancel()
        self.end()
