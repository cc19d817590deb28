"""A stand-in forwarder: does what its tables say and judges nothing. Written from `docs/protocol.md`."""

from __future__ import annotations

import asyncio
import itertools
from collections import defaultdict
from typing import Any

import numpy as np

from ..wire import frames
from .chance import uniform
from .holdings import Holdings
from .host_link import HostConn, Rules, Try, pick
from .net import Cancel, Done, Invoke, Net
from .pinned import Pinned
from .steward_link import Links, Steward
from .sums import Sums
from .trace import Trace, clock
from .waits import Waits

__all__ = ["Forwarder", "Rules", "Try"]

TRIES_MOST = 4  # at hosts that turn out to serve another version


class Forwarder:
    """parts: what else of the link it speaks."""

    def __init__(
        self,
        number: int,
        zone: int,
        rate: float,
        stewards: list[tuple[str, int]],
        steward_zone: int,
        rules: Rules,
        zones: dict[int, int],
        net: Net,
        trace: Trace,
        seed: int,
        parts: int = 0,
    ) -> None:
        self.number, self.zone, self.rate, self.parts = number, zone, rate, parts
        self.steward_zone, self.rules, self.zones, self.net = steward_zone, rules, zones, net
        self.chance, self.ways = np.random.default_rng([seed, number]), np.random.default_rng([seed, number, 1])
        self.seed = seed
        self.observer = trace.observer(f"forwarder {number}")
        self.sessions = itertools.count(1)
        self.links = Links(self, stewards)
        self.cut_off = self.down = self.stalled = False
        self.kept: list[Any] = []  # what came while it stood still
        self.conns: dict[int, HostConn] = {}
        self.outstanding: defaultdict[int, int] = defaultdict(int)
        self.turns = itertools.count()
        self.stopped = False
        self.clear()

    def clear(self) -> None:
        """A new process: nothing of the old one is left."""
        self.session = f"{self.number}-{next(self.sessions)}"
        self.held = Holdings(len(self.links.where), self.rules.usual_retry)
        self.sums = Sums(self)
        self.parked: list[Try] = []
        self.pinned, self.waits = Pinned(self), Waits(self)

    @property
    def joined(self) -> bool:
        return any(x.joined for x in self.held.said)

    @property
    def seq(self) -> int:
        return sum(x.seq for x in self.held.said)

    @property
    def tables(self) -> dict[int, dict[int, float]]:
        return self.held.tables

    def told(self, link: Steward, frame: Any) -> None:
        if self.stalled:
            self.kept.append((self.told, link, frame))
        else:
            self.links.told(link, frame)

    def unpark(self) -> None:
        """Something has changed: what waits for a line looks again."""
        waiting, self.parked = self.parked, []
        for t in waiting:
            self.send(t)

    def stall(self, on: bool) -> None:
        self.stalled = on
        self.observer.record("stall", on)
        if not on:
            kept, self.kept = self.kept, []
            for call, *args in kept:
                call(*args)

    def restart(self, down: bool) -> None:
        """Its process dies (`down`) or is there again, empty."""
        self.down = down
        if down:
            for conn in list(self.conns.values()):
                if conn.transport:
                    conn.transport.abort()
                conn.fail()
            self.links.cut()
            self.waits.end()
            for t in self.parked:
                self.end(t, "errored")
            self.clear()

    def invoke(self, t: Try) -> None:
        """One try of a client. `t.done` is called once."""
        if self.down:
            t.done("errored")
            return
        if self.stalled:
            self.kept.append((self.invoke, t))
            return
        self.sums.came(t)
        amount, _ = self.held.level(t.slice, t.operation)
        if amount < 1.0 and self.drawn(t.inv, t.attempt, 0, 0) >= amount:
            self.observer.record("refused", t.inv, t.attempt)
            t.done("rate-limited")
            return
        t.timer = asyncio.get_running_loop().call_later((t.until - clock()) / 1000.0, self.give_up, t)
        (self.pinned.enter if t.run else self.send)(t)

    def usable(self, t: Try) -> list[tuple[int, float]]:
        now = clock()
        lines = self.pinned.lines(t) if t.run else self.held.lines(t.slice)
        lines = [(h, w) for h, w in lines if h not in t.tried]
        sound = [(h, w) for h, w in lines if self.sums.ejected.get(h, 0.0) <= now]
        return sound or lines

    def drawn(self, inv: int, attempt: int, again: int, what: int) -> float:
        """By what is drawn for, not by how many were drawn before: two runs that are compared meet the same chances."""
        return uniform(self.seed, self.number, inv, attempt * 16 + again, what)

    def send(self, t: Try) -> None:
        if t.ended:
            return
        lines = self.usable(t)
        if not lines:
            if t.tried and not t.unfit:
                self.end(t, "errored")
                return
            self.observer.record("none", t.slice, t.inv)
            wait = self.pinned.wait(t) if t.run else self.rules.table_wait
            if t.parked is None:
                t.parked = clock() + wait
            if t.parked <= clock():
                self.end(t, "rate-limited")
                return
            self.parked.append(t)
            asyncio.get_running_loop().call_later((t.parked - clock()) / 1000.0, self.waited, t)
            return
        t.host, t.sent, t.unfit = pick(self, t, lines), clock(), False
        t.tried.append(t.host)
        conn = self.conn(t.host)
        conn.out[t.inv, t.attempt, t.again] = t
        self.outstanding[t.host] += 1
        k = self.held.owner.get(t.slice, -1)
        self.observer.record("send", t.inv, t.attempt, t.again, t.operation, t.slice, t.host, k)
        conn.write(
            frames.encode(
                Invoke(t.inv, t.attempt, t.again, self.number, t.operation, t.slice, t.work, t.run, t.version)
            )
        )
        _, retry = self.held.level(t.slice, t.operation)
        if retry >= 2 and t.again < retry - 1:
            wait = self.rules.aims[t.operation] * self.rules.try_aims / 1000.0
            asyncio.get_running_loop().call_later(wait, self.overdue, t, t.again)

    def overdue(self, t: Try, again: int) -> None:
        """A try that may be followed has waited its time."""
        if not t.ended and t.again == again:
            self.drop(t, cancel=True)
            self.sums.met(t, ok=False)
            self.next_try(t)

    def next_try(self, t: Try) -> None:
        t.again += 1
        self.send(t)

    def waited(self, t: Try) -> None:
        if t in self.parked:
            self.parked.remove(t)
            self.end(t, "rate-limited")

    def conn(self, host: int) -> HostConn:
        conn = self.conns.get(host)
        if conn is None or conn.over:
            conn = self.conns[host] = HostConn(self, host, self.zones.get(host, 0))
            asyncio.get_running_loop().create_task(conn.dial(self.held.addresses.get(host, "127.0.0.1:1")))
        return conn

    def drop(self, t: Try, cancel: bool) -> None:
        conn = self.conns.get(t.host)
        if conn and conn.out.pop((t.inv, t.attempt, t.again), None):
            self.outstanding[t.host] -= 1
            if cancel:
                conn.write(frames.encode(Cancel(t.inv, t.attempt, t.again)))

    def answered(self, conn: HostConn, done: Done) -> None:
        if self.stalled:
            self.kept.append((self.answered, conn, done))
            return
        t = conn.out.get((done.inv, done.attempt, done.again))
        if t is None:
            return
        self.drop(t, cancel=False)
        self.sums.met(t, done.status == "ok")
        if done.status == "ok":
            self.end(t, "ok")
        elif done.status == "version" and t.again < TRIES_MOST:
            t.unfit = True
            self.next_try(t)  # it never ran
        elif self.held.level(t.slice, t.operation)[1] >= 1 and t.again == 0:
            self.next_try(t)  # full or draining: proof that it never ran
        else:
            self.end(t, "rate-limited" if done.status != "error" else "errored")

    def broken(self, conn: HostConn) -> None:
        """A connection ended, or never was: what was never written has not run; the rest may have."""
        if self.conns.get(conn.host) is conn:
            del self.conns[conn.host]
        unsent = conn.transport is None
        for t in list(conn.out.values()):
            self.outstanding[conn.host] -= 1
            self.sums.met(t, ok=False)
            retry = self.held.level(t.slice, t.operation)[1]
            if retry >= (1 if unsent else 2) and t.again < max(1, retry - 1):
                self.next_try(t)
            else:
                self.end(t, "rate-limited" if unsent else "errored")
        conn.out.clear()

    def give_up(self, t: Try) -> None:
        """The client has given this try up: it is answered at once, and the host told."""
        if t.ended:
            return
        if t in self.parked:
            self.parked.remove(t)
        elif t.host >= 0:
            self.drop(t, cancel=True)
            self.sums.met(t, ok=False)
        self.end(t, "timed-out")

    def end(self, t: Try, status: str) -> None:
        if t.ended:
            return
        t.ended = True
        if t.timer:
            t.timer.cancel()
        if status not in ("ok", "rate-limited"):
            self.sums.unanswered(t)
        t.done(status)
