"""A stand-in proxy's connections to hosts, and the attempts of requests on them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, cast

from ..wire import frames
from .chance import at
from .net import proxy_decoder

if TYPE_CHECKING:
    from .forwarder import Proxy


@dataclass(frozen=True)
class ProxyRules:
    """Behaviour of proxies that controllers do not set. Times in ms.

    try_aims: latency objectives after which an attempt is retried. ejects: failures in a row that eject a host; 0 for
    never. transit: mean delay of messages from controllers. report_late: mean delay of usage reports.
    """

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
class Attempt:
    """One attempt of a client, with the proxy's own retries of it. Times are instants in ms."""

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
    wrong_version: bool = False  # the last host serves another version: nothing ran there
    parked: float | None = None  # until when it waits for a host; None: it has not waited
    run: str = ""  # workflow run that the request belongs to
    version: int = 0  # requested version; 0: any that the host serves
    set: int = 0  # release that the run is pinned to


class HostConnection(asyncio.Protocol):
    """A connection to a host, over the simulated network between the zones."""

    def __init__(self, proxy: Proxy, host: int, zone: int) -> None:
        self.proxy, self.host, self.zone = proxy, host, zone
        self.reader = frames.FrameReader(proxy_decoder, 1 << 16)
        self.transport: asyncio.Transport | None = None
        self.unsent: list[bytes] = []
        self.in_flight: dict[tuple[int, int, int], Attempt] = {}
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)
        self.transport = transport
        for data in self.unsent:
            transport.write(data)
        self.unsent = []

    def write(self, data: bytes) -> None:
        """Send data with the delay of the link; drop it if the link is partitioned."""
        delay_ms = self.proxy.net.delay_ms(self.proxy.zone, self.zone)
        if delay_ms is None:
            return
        if delay_ms > 0:
            asyncio.get_running_loop().call_later(delay_ms / 1000.0, self.put, data)
        else:
            self.put(data)

    def put(self, data: bytes) -> None:
        """Write data to the transport, or keep it until the connection is established."""
        if self.transport is None:
            self.unsent.append(data)
        elif not self.transport.is_closing():
            self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        proxy = self.proxy
        for response in self.reader.feed(data):
            delay_ms = proxy.net.delay_ms(self.zone, proxy.zone)
            lost = proxy.net.answers_lost.get(self.host, 0.0)
            if delay_ms is None or (lost and proxy.draw(response.inv, response.attempt, response.again, 3) < lost):
                continue
            if delay_ms > 0:
                asyncio.get_running_loop().call_later(delay_ms / 1000.0, proxy.on_response, self, response)
            else:
                proxy.on_response(self, response)

    def connection_lost(self, exc: Exception | None) -> None:
        self.fail()

    def fail(self) -> None:
        """Notify the proxy once that the connection is lost."""
        if not self.closed:
            self.closed = True
            self.proxy.on_connection_lost(self)

    async def dial(self, address: str) -> None:
        """Connect, within the proxy's timeout."""
        proxy, (name, _, port) = self.proxy, address.rpartition(":")
        try:
            async with asyncio.timeout(proxy.rules.dial_timeout / 1000.0):
                if proxy.net.delay_ms(proxy.zone, self.zone) is None:
                    await asyncio.sleep(3600)
                await asyncio.get_running_loop().create_connection(lambda: self, name, int(port))
        except (OSError, TimeoutError):
            self.fail()


def pick_host(proxy: Proxy, t: Attempt, lines: list[tuple[int, float]]) -> int:
    """Choose a host by the proxy's load balancing policy. lines: usable hosts and weights."""
    if len(lines) == 1:
        return lines[0][0]
    if proxy.rules.pick == "rotate":
        return lines[next(proxy.turns) % len(lines)][0]
    first = at(lines, proxy.draw(t.inv, t.attempt, t.again, 1))
    if proxy.rules.pick == "random":
        return first
    second = at(lines, proxy.draw(t.inv, t.attempt, t.again, 2))
    return second if proxy.outstanding[second] < proxy.outstanding[first] else first
