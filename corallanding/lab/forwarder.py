"""A stand-in forwarder: does what its tables say and judges nothing. Written from `docs/protocol.md`."""

from __future__ import annotations

import asyncio
import itertools
from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, cast

import msgspec
import numpy as np

from ..wire import frames
from .chance import at, uniform
from .net import Cancel, Done, Invoke, Net, at_forwarder
from .trace import Trace, clock


@dataclass(frozen=True)
class Rules:
    """How forwarders act where no order says it. Times in ms; `report_late`: how late its sums go out."""

    pick: str = "p2c"
    usual_retry: int = 0
    try_aims: float = 1.0
    ejects: int = 0
    eject_ms: float = 4_000.0
    table_wait: float = 500.0
    dial_timeout: float = 300.0
    transit: float = 0.0
    report_late: float = 0.0
    redial: float = 150.0
    aims: tuple[float, ...] = ()


@dataclass(eq=False)
class Try:
    inv: int
    attempt: int
    operation: int
    slice: int
    work: float
    until: float
    done: Callable[[str], None]  # "ok", "rate-limited", "errored", "timed-out"
    again: int = 0
    host: int = -1
    sent: float = 0.0
    ended: bool = False
    timer: asyncio.TimerHandle | None = None
    tried: list[int] = field(default_factory=list)


class HostConn(asyncio.Protocol):
    def __init__(self, forwarder: Forwarder, host: int, zone: int) -> None:
        self.forwarder, self.host, self.zone = forwarder, host, zone
        self.reader = frames.Reader(at_forwarder, 1 << 16)
        self.transport: asyncio.Transport | None = None
        self.waiting: list[bytes] = []
        self.out: dict[tuple[int, int, int], Try] = {}
        self.over = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)
        self.transport = transport
        for data in self.waiting:
            transport.write(data)
        self.waiting = []

    def write(self, data: bytes) -> None:
        way = self.forwarder.net.way(self.forwarder.zone, self.zone)
        if way is None:
            return
        if way > 0:
            asyncio.get_running_loop().call_later(way / 1000.0, self.put, data)
        else:
            self.put(data)

    def put(self, data: bytes) -> None:
        if self.transport is None:
            self.waiting.append(data)
        elif not self.transport.is_closing():
            self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        f = self.forwarder
        for done in self.reader.feed(data):
            way = f.net.way(self.zone, f.zone)
            lost = f.net.answers_lost.get(self.host, 0.0)
            if way is None or (lost and f.drawn(done.inv, done.attempt, done.again, 3) < lost):
                continue
            if way > 0:
                asyncio.get_running_loop().call_later(way / 1000.0, f.answered, self, done)
            else:
                f.answered(self, done)

    def connection_lost(self, exc: Exception | None) -> None:
        self.fail()

    def fail(self) -> None:
        if not self.over:
            self.over = True
            self.forwarder.broken(self)


@dataclass
class Said:
    """What the forwarder holds of one steward, beside tables."""

    life: int = 0
    next_life: int = 0
    seq: int = 0
    joined: bool = False
    levels: dict[tuple[int, int], tuple[float, int]] = field(default_factory=dict)
    cordons: set[int] = field(default_factory=set)


class Steward(asyncio.Protocol):
    """The forwarder's link to its steward number `k`."""

    def __init__(self, forwarder: Forwarder, k: int) -> None:
        self.k = k
        self.forwarder, self.reader = forwarder, frames.Reader(frames.to_forwarder, 16 << 20)
        self.transport: asyncio.Transport | None = None
        self.heard = clock()
        self.coming: deque[tuple[float, Any]] = deque()
        self.next_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)
        self.transport = transport
        f = self.forwarder
        said = f.said[self.k]
        hello = frames.Hello(
            frames.VERSION, f.number, f.session, f.zone, f.rate, not f.tables, said.life, said.seq
        )
        self.send(hello)

    def send(self, frame: frames.Frame) -> None:
        f = self.forwarder
        if self.transport and not self.transport.is_closing() and f.net.way(f.zone, f.steward_zone) is not None:
            self.transport.write(frames.encode(frame))

    def data_received(self, data: bytes) -> None:
        f = self.forwarder
        if f.net.way(f.steward_zone, f.zone) is None:
            return  # the bytes never came; the stream is of no use after the cut
        for frame in self.reader.feed(data):
            self.heard = clock()
            if isinstance(frame, frames.Orders | frames.Tables):
                f.witness.saw("frame", msgspec.to_builtins(frame), self.k)
            # The way of a message takes its time, in order (timers alone would swap what falls due together).
            delay = float(f.ways.exponential(f.rules.transit)) if f.rules.transit else 0.0
            self.next_at = max(self.next_at, clock() + delay)
            self.coming.append((self.next_at, frame))
        self.arrive()

    def arrive(self) -> None:
        while self.coming and self.coming[0][0] <= clock():
            self.forwarder.told(self, self.coming.popleft()[1])
        if self.coming:
            wait = max(0.001, (self.coming[0][0] - clock()) / 1000.0)
            asyncio.get_running_loop().call_later(wait, self.arrive)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.forwarder.link_lost(self)


class Forwarder:
    def __init__(
        self, number: int, zone: int, rate: float, stewards: list[tuple[str, int]], steward_zone: int, rules: Rules,
        zones: dict[int, int], net: Net, trace: Trace, seed: int,
    ) -> None:  # fmt: skip
        self.number, self.zone, self.rate, self.where = number, zone, rate, stewards
        self.steward_zone, self.rules, self.zones, self.net = steward_zone, rules, zones, net
        self.chance, self.ways = np.random.default_rng([seed, number]), np.random.default_rng([seed, number, 1])
        self.seed = seed
        self.witness = trace.witness(f"forwarder {number}")
        self.sessions = itertools.count(1)
        self.links: list[Steward | None] = [None] * len(stewards)
        self.cut_off = self.down = self.stalled = False
        self.kept: list[Any] = []  # what came while it stood still
        self.conns: dict[int, HostConn] = {}
        self.beat, self.silence, self.report_every = 500.0, 2_500.0, 1_000.0
        self.outstanding: defaultdict[int, int] = defaultdict(int)
        self.turns = itertools.count()
        self.stopped = False
        self.clear()

    def clear(self) -> None:
        """A new process: nothing of the old one is left."""
        self.session = f"{self.number}-{next(self.sessions)}"
        self.tables: dict[int, dict[int, float]] = {}
        self.owner: dict[int, int] = {}  # slice: the steward whose table it is
        self.said = [Said() for _ in self.where]
        self.addresses: dict[int, str] = {}
        self.runs: dict[int, int] = {}
        self.ejected: dict[int, float] = {}
        self.host_sums: dict[tuple[int, int], list[float]] = {}  # by steward and host
        self.slice_sums: dict[tuple[int, int], list[int]] = {}
        self.counted = clock()
        self.parked: list[Try] = []

    # ---- the link --------------------------------------------------------------------------------------

    @property
    def joined(self) -> bool:
        return any(x.joined for x in self.said)

    @property
    def seq(self) -> int:
        return sum(x.seq for x in self.said)

    def cut_links(self) -> None:
        for link in self.links:
            if link and link.transport:
                link.transport.abort()

    async def run(self) -> None:
        """Dials each steward while it lives, and gives up links that fell silent."""
        while not self.stopped:
            await asyncio.sleep(self.rules.redial * float(self.chance.uniform(0.7, 1.3)) / 1000.0)
            for k, link in enumerate(self.links):
                if link and link.transport:
                    if clock() - link.heard > self.silence:
                        link.transport.abort()
                elif not (self.cut_off or self.down or self.stalled):
                    await self.dial_steward(k)

    async def dial_steward(self, k: int) -> None:
        if self.net.way(self.zone, self.steward_zone) is None:
            return
        loop, link = asyncio.get_running_loop(), Steward(self, k)
        self.links[k] = link
        try:
            await asyncio.wait_for(loop.create_connection(lambda: link, *self.where[k]), 1.0)
        except (OSError, TimeoutError):
            self.links[k] = None

    async def report(self) -> None:
        beat = 0.0
        while not self.stopped:
            await asyncio.sleep(min(self.report_every, self.beat) / 2000.0)
            if self.stalled or not self.joined:
                continue
            if clock() - beat >= self.beat:
                beat = clock()
                for link in self.links:
                    if link and self.said[link.k].joined:
                        link.send(frames.Beat(beat))
            if clock() - self.counted >= self.report_every:
                self.send_sums()

    def send_sums(self) -> None:
        """To each steward what was met on its slices."""
        span = clock() - self.counted
        met, came = self.host_sums, self.slice_sums
        self.host_sums, self.slice_sums, self.counted = {}, {}, clock()
        late = self.rules.report_late * float(self.chance.uniform(0.3, 1.7))
        for link in self.links:
            if link is None or not self.said[link.k].joined:
                continue
            hosts = [
                (h, int(n), int(bad), good / max(n - bad, 1)) for (k, h), (n, bad, good) in met.items() if k == link.k
            ]
            slices = [(s, o, n, bad) for (s, o), (n, bad) in came.items() if self.owner.get(s, 0) == link.k]
            asyncio.get_running_loop().call_later(late / 1000.0, link.send, frames.Sums(span, hosts, slices))

    def link_lost(self, link: Steward) -> None:
        if self.links[link.k] is link:
            self.links[link.k] = None
            if self.said[link.k].joined:
                self.said[link.k].joined = False
                self.witness.saw("left", link.k)

    def told(self, link: Steward, frame: Any) -> None:
        if self.stalled:
            self.kept.append((self.told, link, frame))
            return
        if self.links[link.k] is not link:
            return
        k, said = link.k, self.said[link.k]
        match frame:
            case frames.Welcome():
                said.next_life, self.beat, self.silence = frame.life, frame.beat, frame.silence
                self.report_every = frame.report_every
                if said.joined:
                    said.life = frame.life  # another process of the steward goes on: what we hold is of its life
            case frames.Tables():
                rows = {t: {h: w for h, w in lines} for t, lines in frame.tables}
                if not frame.given:
                    for t in [t for t, at in self.owner.items() if at == k and t not in rows]:
                        del self.owner[t]  # not its any more: the lines stand until another's come
                    said.cordons = set(frame.cordons)
                    said.levels = {(t, bits): (a, r) for t, bits, a, r in frame.levels}
                    said.joined, said.life = True, said.next_life
                    self.witness.saw("joined", said.life, k)
                self.tables.update(rows)
                self.owner.update(dict.fromkeys(rows, k))
                self.addresses.update(frame.addresses)
                self.applied(link, frame.seq, frame.mark)
            case frames.Orders():
                for table in frame.resets:
                    self.tables[table] = {}
                for table in frame.withdrawn:
                    if self.owner.get(table) == k:
                        del self.owner[table]
                self.addresses.update(frame.addresses)
                for table, host, weight in frame.lines:
                    lines = self.tables.setdefault(table, {})
                    self.owner[table] = k
                    if weight > 0:
                        lines[host] = weight
                    else:
                        lines.pop(host, None)
                for table, bits, amount, retry in frame.levels:
                    said.levels[table, bits] = (amount, retry)
                for host, on in frame.cordons:
                    (said.cordons.add if on else said.cordons.discard)(host)
                self.applied(link, frame.seq, frame.mark)
            case frames.Recall():
                held = [(t, list(lines.items())) for t, lines in self.tables.items()]
                link.send(frames.Held(said.life, said.seq, held))

    def applied(self, link: Steward, seq: int, mark: int) -> None:
        self.said[link.k].seq = seq
        self.witness.saw("applied", seq, link.k)
        if mark >= 0:
            link.send(frames.Ack(mark))
        waiting, self.parked = self.parked, []
        for t in waiting:
            self.send(t)

    def stall(self, on: bool) -> None:
        self.stalled = on
        self.witness.saw("stall", on)
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
            self.cut_links()
            for t in self.parked:
                self.end(t, "errored")
            self.clear()

    # ---- invocations -----------------------------------------------------------------------------------

    def level(self, slice: int, operation: int) -> tuple[float, int]:
        amount, retry = 1.0, self.rules.usual_retry
        for table in (65535, slice):
            for (t, bits), (a, r) in self.said[self.owner.get(slice, 0)].levels.items():
                if t == table and (bits == 0 or bits >> operation & 1):
                    amount, retry = min(amount, a), r
        return amount, retry

    def invoke(self, t: Try) -> None:
        """One try of a client. `t.done` is called once."""
        if self.down:
            t.done("errored")
            return
        if self.stalled:
            self.kept.append((self.invoke, t))
            return
        count = self.slice_sums.setdefault((t.slice, t.operation), [0, 0])
        count[0] += 1
        amount, _ = self.level(t.slice, t.operation)
        if amount < 1.0 and self.drawn(t.inv, t.attempt, 0, 0) >= amount:
            self.witness.saw("refused", t.inv, t.attempt)
            t.done("rate-limited")
            return
        t.timer = asyncio.get_running_loop().call_later((t.until - clock()) / 1000.0, self.give_up, t)
        self.send(t)

    def usable(self, t: Try) -> list[tuple[int, float]]:
        now = clock()
        shut = self.said[self.owner.get(t.slice, 0)].cordons
        lines = [(h, w) for h, w in self.tables.get(t.slice, {}).items() if h not in shut]
        lines = [(h, w) for h, w in lines if h not in t.tried]
        sound = [(h, w) for h, w in lines if self.ejected.get(h, 0.0) <= now]
        return sound or lines

    def drawn(self, inv: int, attempt: int, again: int, what: int) -> float:
        """By what is drawn for, not by how many were drawn before: two runs that are compared meet the same chances."""
        return uniform(self.seed, self.number, inv, attempt * 16 + again, what)

    def pick(self, t: Try, lines: list[tuple[int, float]]) -> int:
        if len(lines) == 1:
            return lines[0][0]
        if self.rules.pick == "rotate":
            return lines[next(self.turns) % len(lines)][0]
        first = at(lines, self.drawn(t.inv, t.attempt, t.again, 1))
        if self.rules.pick == "random":
            return first
        second = at(lines, self.drawn(t.inv, t.attempt, t.again, 2))
        return second if self.outstanding[second] < self.outstanding[first] else first

    def send(self, t: Try) -> None:
        if t.ended:
            return
        lines = self.usable(t)
        if not lines:
            if t.tried:
                self.end(t, "errored")
                return
            self.witness.saw("none", t.slice, t.inv)
            self.parked.append(t)
            loop = asyncio.get_running_loop()
            loop.call_later(self.rules.table_wait / 1000.0, self.waited, t)
            return
        t.host, t.sent = self.pick(t, lines), clock()
        t.tried.append(t.host)
        conn = self.conn(t.host)
        conn.out[t.inv, t.attempt, t.again] = t
        self.outstanding[t.host] += 1
        k = self.owner.get(t.slice, -1)
        self.witness.saw("send", t.inv, t.attempt, t.again, t.operation, t.slice, t.host, k)
        conn.write(
            frames.encode(Invoke(t.inv, t.attempt, t.again, self.number, t.operation, t.slice, t.work))
        )
        _, retry = self.level(t.slice, t.operation)
        if retry >= 2 and t.again < retry - 1:
            wait = self.rules.aims[t.operation] * self.rules.try_aims / 1000.0
            asyncio.get_running_loop().call_later(wait, self.overdue, t, t.again)

    def overdue(self, t: Try, again: int) -> None:
        """A try that may be followed has waited its time."""
        if not t.ended and t.again == again:
            self.drop(t, cancel=True)
            self.met(t, ok=False)
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
            asyncio.get_running_loop().create_task(self.dial(conn, self.addresses.get(host, "127.0.0.1:1")))
        return conn

    async def dial(self, conn: HostConn, address: str) -> None:
        name, _, port = address.rpartition(":")
        try:
            loop = asyncio.get_running_loop()
            async with asyncio.timeout(self.rules.dial_timeout / 1000.0):
                if self.net.way(self.zone, conn.zone) is None:
                    await asyncio.sleep(3600)
                await loop.create_connection(lambda: conn, name, int(port))
        except (OSError, TimeoutError):
            conn.fail()

    def drop(self, t: Try, cancel: bool) -> None:
        conn = self.conns.get(t.host)
        if conn and conn.out.pop((t.inv, t.attempt, t.again), None):
            self.outstanding[t.host] -= 1
            if cancel:
                conn.write(frames.encode(Cancel(t.inv, t.attempt, t.again)))

    def met(self, t: Try, ok: bool) -> None:
        """Counts one end at a host, for the sums and for its own ejection."""
        sums = self.host_sums.setdefault((self.owner.get(t.slice, 0), t.host), [0, 0, 0.0])
        sums[0] += 1
        if ok:
            sums[2] += clock() - t.sent
            self.runs[t.host] = 0
            return
        sums[1] += 1
        self.runs[t.host] = self.runs.get(t.host, 0) + 1
        if self.rules.ejects and self.runs[t.host] >= self.rules.ejects:
            self.runs[t.host] = 0
            self.ejected[t.host] = clock() + self.rules.eject_ms

    def answered(self, conn: HostConn, done: Done) -> None:
        if self.stalled:
            self.kept.append((self.answered, conn, done))
            return
        t = conn.out.get((done.inv, done.attempt, done.again))
        if t is None:
            return
        self.drop(t, cancel=False)
        self.met(t, done.status == "ok")
        if done.status == "ok":
            self.end(t, "ok")
        elif self.level(t.slice, t.operation)[1] >= 1 and t.again == 0:
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
            self.met(t, ok=False)
            retry = self.level(t.slice, t.operation)[1]
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
            self.met(t, ok=False)
        self.end(t, "timed-out")

    def end(self, t: Try, status: str) -> None:
        if t.ended:
            return
        t.ended = True
        if t.timer:
            t.timer.cancel()
        if status not in ("ok", "rate-limited") and (t.slice, t.operation) in self.slice_sums:
            self.slice_sums[t.slice, t.operation][1] += 1
        t.done(status)
