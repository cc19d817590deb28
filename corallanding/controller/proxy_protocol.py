"""A proxy's connection on a socket: a thin asyncio protocol around `wire.link_state.LinkState`."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol, cast

from ..wire import frames
from ..wire.errors import LinkError
from ..wire.link_state import LinkState
from .close_codes import CloseCode
from .connection_state import restore_connection

if TYPE_CHECKING:
    from ..config import ControllerConfig
    from ..telemetry import Metrics, RateLimitedLogger
    from ..wire.link_state import LinkLimits
    from .connection_state import ConnectionState

NO_PROXY = -1  # in place of a number, before the hello
MAX_REASON_CHARACTERS = 200
ABORT_AFTER_S = 1.0  # a peer that does not read its last frame must not keep the descriptor
ABORTED_CODES = (CloseCode.NOT_READING, CloseCode.SILENT)  # closed without a last frame: the peer would not read it


class ConnectionOwner(Protocol):
    """What a connection needs of the controller that it belongs to."""

    config: ControllerConfig
    limits: LinkLimits
    rate_limited_log: RateLimitedLogger
    metrics: Metrics
    links: dict[ProxyConnection, None]
    proxies: dict[int, ProxyConnection]
    unidentified: dict[ProxyConnection, None]  # no hello yet

    @property
    def clock(self) -> Callable[[], float]:
        """The controller's clock, ms."""

    def on_frame(self, link: ProxyConnection, frame: frames.Frame) -> None:
        """A frame has come."""

    def on_writable(self, link: ProxyConnection, *, is_writable: bool) -> None:
        """The socket takes no more for now, or takes more again."""

    def on_closed(self, link: ProxyConnection) -> None:
        """The connection is closed."""


class ProxyConnection(asyncio.Protocol):
    """One connection of a proxy. `is_joined` once its tables were sent.

    `inherited` is the state of a connection that was the predecessor's.
    """

    def __init__(self, owner: ConnectionOwner, inherited: ConnectionState | None = None) -> None:
        self.owner = owner
        self.inherited = inherited
        self.link = LinkState(owner.limits, owner.clock())
        self.is_joined = False
        self.is_closed = False
        self.is_write_paused = False
        self.heartbeat_sent_at = owner.clock()
        if inherited:
            restore_connection(self.link, inherited)
            self.is_joined = inherited.is_joined
            self.heartbeat_sent_at = inherited.heartbeat_sent_at
        self.transport: asyncio.Transport | None = None

    @property
    def proxy(self) -> int:
        """The number of the proxy; `NO_PROXY` before its hello."""
        return self.link.hello.proxy if self.link.hello else NO_PROXY

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by asyncio. Connections beyond the limits are closed, the oldest without a hello first."""
        self.transport = cast(asyncio.Transport, transport)
        owner = self.owner
        limits = owner.config.forwarders
        if len(owner.links) >= limits.most + limits.strangers_most:
            self.close(CloseCode.FULL, "too many links")
            return
        owner.links[self] = None
        if self.inherited:
            owner.proxies[self.proxy] = self
            return
        owner.unidentified[self] = None
        if len(owner.unidentified) > limits.strangers_most:
            # A proxy sends its hello at once: silent connections must not take the places of those that come.
            next(iter(owner.unidentified)).close(CloseCode.NO_HELLO, "others wait for the place")

    def data_received(self, data: bytes) -> None:
        """Called by asyncio."""
        if self.is_closed:
            return
        try:
            received = self.link.receive(self.owner.clock(), data)
        except LinkError as error:
            self.owner.rate_limited_log.warn("link protocol error", proxy=self.proxy, code=error.code, why=str(error))
            self.close(CloseCode(error.code), str(error))
            return
        for frame in received:
            if not self.is_closed:
                self.owner.on_frame(self, frame)

    @property
    def unsent_bytes(self) -> int:
        """What waits in the socket's buffer."""
        return self.transport.get_write_buffer_size() if self.transport and not self.is_closed else 0

    def send(self, data: bytes) -> bool:
        """Send a frame. False if the proxy reads too slowly: it is cut off, and reads all tables when it is back."""
        if self.is_closed or self.transport is None:
            return False
        self.transport.write(data)
        if self.transport.get_write_buffer_size() > self.owner.limits.max_buffer_bytes:
            self.owner.rate_limited_log.warn("link cut off", proxy=self.proxy, why="it does not read")
            self.close(CloseCode.NOT_READING, "")
            return False
        return True

    def pause_writing(self) -> None:
        """Called by asyncio when the buffer is full: later frames wait in the channel, where urgent ones overtake."""
        self.is_write_paused = True
        self.owner.on_writable(self, is_writable=False)

    def resume_writing(self) -> None:
        """Called by asyncio when the buffer has room again."""
        self.is_write_paused = False
        if not self.is_closed:
            self.owner.on_writable(self, is_writable=True)

    def close(self, code: CloseCode, text: str = "") -> None:
        """Close the connection, with a last frame that says why if the other side still reads."""
        if self.is_closed:
            return
        self.is_closed = True
        self.owner.metrics.links_closed.labels(code).inc()
        if self.transport:
            if code in ABORTED_CODES:
                self.transport.abort()
            else:
                self.transport.write(frames.encode(frames.Goodbye(code, text[:MAX_REASON_CHARACTERS])))
                self.transport.close()
                asyncio.get_running_loop().call_later(ABORT_AFTER_S, self.transport.abort)
        self.owner.on_closed(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by asyncio."""
        if not self.is_closed:
            self.is_closed = True
            self.owner.metrics.links_closed.labels(CloseCode.BROKEN if exc else CloseCode.CLOSED).inc()
            self.owner.on_closed(self)
