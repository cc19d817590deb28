"""The steward's side of forwarder links on sockets: a thin protocol around `wire.link.Link`."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol, cast

from ..wire import frames
from ..wire.frames import LinkFault
from ..wire.link import Link
from .handover_state import restore_connection

if TYPE_CHECKING:
    from ..config import ControllerConfig
    from ..telemetry import Metrics, RateLimitedLogger
    from ..wire.link import Limits
    from .handover_state import ConnectionState


class Owner(Protocol):
    """What a link asks of the steward that it belongs to."""

    config: ControllerConfig
    limits: Limits
    rate_limited_log: RateLimitedLogger
    metrics: Metrics
    links: dict[ProxyConnection, None]
    forwarders: dict[int, ProxyConnection]
    strangers: dict[ProxyConnection, None]

    @property
    def clock(self) -> Callable[[], float]: ...

    def frame(self, link: ProxyConnection, frame: frames.Frame) -> None: ...

    def takes(self, link: ProxyConnection, takes: bool) -> None: ...

    def gone(self, link: ProxyConnection) -> None: ...


class ProxyConnection(asyncio.Protocol):
    """One connection of a forwarder. `joined` once its tables were sent."""

    def __init__(self, steward: Owner, handed: ConnectionState | None = None) -> None:
        """handed: the connection was another process's."""
        self.steward, self.handed = steward, handed
        self.link = Link(steward.limits, steward.clock())
        self.is_joined = self.is_closed = self.is_write_paused = False
        self.heartbeat_sent_at = steward.clock()
        if handed:
            restore_connection(self.link, handed)
            self.is_joined, self.heartbeat_sent_at = handed.is_joined, handed.heartbeat_sent_at
        self.transport: asyncio.Transport | None = None

    @property
    def proxy(self) -> int:
        return self.link.hello.forwarder if self.link.hello else -1

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)
        self.transport = transport
        s, f = self.steward, self.steward.config.forwarders
        if len(s.links) >= f.most + f.strangers_most:
            self.close("full", "too many links")
            return
        s.links[self] = None
        if self.handed:
            s.forwarders[self.proxy] = self
            return
        s.strangers[self] = None
        if len(s.strangers) > f.strangers_most:
            # Who means it says hello at once: those that keep silent must not take the places of those that come.
            next(iter(s.strangers)).close("no-hello", "others wait for the place")

    def data_received(self, data: bytes) -> None:
        if self.is_closed:
            return
        try:
            found = self.link.receive(self.steward.clock(), data)
        except LinkFault as fault:
            self.steward.rate_limited_log.warn("link fault", proxy=self.proxy, code=fault.code, why=str(fault))
            self.close(fault.code, str(fault))
            return
        for frame in found:
            if not self.is_closed:
                self.steward.frame(self, frame)

    @property
    def unsent_bytes(self) -> int:
        return self.transport.get_write_buffer_size() if self.transport and not self.is_closed else 0

    def send(self, data: bytes) -> bool:
        """False if the forwarder reads too slowly: it is cut off, and reads the store when it is back."""
        if self.is_closed or self.transport is None:
            return False
        self.transport.write(data)
        if self.transport.get_write_buffer_size() > self.steward.limits.buffer_most:
            self.steward.rate_limited_log.warn("link cut off", proxy=self.proxy, why="it does not read")
            self.close("not-reading", "")
            return False
        return True

    def pause_writing(self) -> None:
        """The socket's buffer is full: later orders wait in the channel, where a drain can still overtake them."""
        self.is_write_paused = True
        self.steward.takes(self, False)

    def resume_writing(self) -> None:
        self.is_write_paused = False
        if not self.is_closed:
            self.steward.takes(self, True)

    def close(self, code: str, text: str = "") -> None:
        """Close this one link, saying why if the other side still reads."""
        if self.is_closed:
            return
        self.is_closed = True
        self.steward.metrics.links_closed.labels(code).inc()
        if self.transport:
            if code in ("not-reading", "silent"):
                self.transport.abort()
            else:
                self.transport.write(frames.encode(frames.Bye(code, text[:200])))
                self.transport.close()
                # A peer that does not read its last frame must not keep the descriptor.
                asyncio.get_running_loop().call_later(1.0, self.transport.abort)
        self.steward.gone(self)

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.is_closed:
            self.is_closed = True
            self.steward.metrics.links_closed.labels("broken" if exc else "closed").inc()
            self.steward.gone(self)
