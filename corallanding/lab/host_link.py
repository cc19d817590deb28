"""A stand-in forwarder's connections to hosts, and one try of an invocation on them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, cast

from ..wire import frames
from .chance import at
from .net import at_forwarder

if TYPE_CHECKING:
    from .forwarder import Forwarder


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
    unfit: bool = False  # the last host serves another version: nothing ran
    parked: float | None = None  # until when it waits for a line, once it had to
    run: str = ""  # the chain of invocations that it belongs to
    version: int = 0  # that the host is asked for, 0: whichever it serves
    set: int = 0  # that its run is pinned to


class HostConn(asyncio.Protocol):
    def __init__(self, forwarder: Forwarder, host: int, zone: int) -> None:
        self.forwarder, self.host, self.zone = forwarder, host, zone
        self.reader = frames.FrameReader(at_forwarder, 1 << 16)
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
        way = self.forwarder.net.delay_ms(self.forwarder.zone, self.zone)
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
            way = f.net.delay_ms(self.zone, f.zone)
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

    async def dial(self, address: str) -> None:
        f, (name, _, port) = self.forwarder, address.rpartition(":")
        try:
            async with asyncio.timeout(f.rules.dial_timeout / 1000.0):
                if f.net.delay_ms(f.zone, self.zone) is None:
                    await asyncio.sleep(3600)
                await asyncio.get_running_loop().create_connection(lambda: self, name, int(port))
        except (OSError, TimeoutError):
            self.fail()


def pick(f: Forwarder, t: Try, lines: list[tuple[int, float]]) -> int:
    """Of the lines that it may use, by the rules of the run."""
    if len(lines) == 1:
        return lines[0][0]
    if f.rules.pick == "rotate":
        return lines[next(f.turns) % len(lines)][0]
    first = at(lines, f.drawn(t.inv, t.attempt, t.again, 1))
    if f.rules.pick == "random":
        return first
    second = at(lines, f.drawn(t.inv, t.attempt, t.again, 2))
    return second if f.outstanding[second] < f.outstanding[first] else first
