"""The asyncio protocol of a proxy's connection: a thin layer around `wire.link_state.LinkState`."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from ..read_scheduler import ReadScheduler, ScheduledConnection
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
    from .partial_frames import PartialFrames

NO_PROXY = -1  # proxy number of a connection before its Hello
MAX_REASON_CHARACTERS = 200
ABORT_AFTER_S = 1.0  # a proxy that does not read its last frame must not hold the file descriptor
ABORTED_CODES = (CloseCode.NOT_READING, CloseCode.SILENT)  # closed without a last frame, which would not be read


class ConnectionOwner(Protocol):
    """The interface that a connection needs from its controller."""

    config: ControllerConfig
    limits: LinkLimits
    rate_limited_log: RateLimitedLogger
    metrics: Metrics
    links: dict[ProxyConnection, None]
    proxies: dict[int, ProxyConnection]
    unidentified: dict[ProxyConnection, None]  # connections without a Hello so far
    partial_frames: PartialFrames[ProxyConnection]
    read_scheduler: ReadScheduler

    @property
    def clock(self) -> Callable[[], float]:
        """The controller's clock, in ms."""

    def on_frame(self, link: ProxyConnection, frame: frames.Frame) -> None:
        """Handle a received frame."""

    def on_writable(self, link: ProxyConnection, *, is_writable: bool) -> None:
        """Handle a socket buffer that became full or writable."""

    def on_closed(self, link: ProxyConnection) -> None:
        """Handle the end of a connection."""


class ProxyConnection(ScheduledConnection):
    """One connection of a proxy. `is_joined`: its tables were sent.

    `inherited` is the state of a connection taken over from the previous process.
    """

    def __init__(self, owner: ConnectionOwner, inherited: ConnectionState | None = None) -> None:
        super().__init__(owner.read_scheduler)
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

    @property
    def proxy(self) -> int:
        """The number of the proxy; `NO_PROXY` before its Hello."""
        return self.link.hello.proxy if self.link.hello else NO_PROXY

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the new connection. Beyond the limits close it, or the oldest one without a Hello."""
        super().connection_made(transport)
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
            # A proxy sends its Hello at once: silent connections must not use up the capacity for new ones.
            next(iter(owner.unidentified)).close(CloseCode.NO_HELLO, "others wait for the place")

    @property
    def is_identified(self) -> bool:
        """Return whether the proxy has sent its Hello."""
        return self.link.hello is not None

    def on_data(self, data: bytes) -> None:
        """Pass received frames to the owner; close the connection on a protocol error."""
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
        if not self.is_closed:
            self._limit_partial_frames(is_new=bool(received))

    def _limit_partial_frames(self, *, is_new: bool) -> None:
        """Close connections until the incomplete frames of all connections are within their limit."""
        partial_frames = self.owner.partial_frames
        partial_frames.update(self, len(self.link.reader.buffer), is_new=is_new)
        while connection := partial_frames.excess():
            connection.close(CloseCode.FULL, "others need the memory of its incomplete frame")

    @property
    def unsent_bytes(self) -> int:
        """The number of bytes in the transport's write buffer."""
        return 0 if self.is_closed else self.transport.get_write_buffer_size()

    def send(self, data: bytes) -> bool:
        """Send a frame. Return False if the connection is closed, or is closed now because the proxy reads too slowly.

        A proxy that was closed reads all tables when it reconnects.
        """
        if self.is_closed:
            return False
        self.transport.write(data)
        if self.transport.get_write_buffer_size() > self.owner.limits.max_buffer_bytes:
            self.owner.rate_limited_log.warn("slow link closed", proxy=self.proxy, why="the proxy does not read")
            self.close(CloseCode.NOT_READING, "")
            return False
        return True

    def pause_writing(self) -> None:
        """Handle a full write buffer: later frames wait in the channel, where urgent ones can overtake."""
        self.is_write_paused = True
        self.owner.on_writable(self, is_writable=False)

    def resume_writing(self) -> None:
        """Handle a write buffer that has capacity again."""
        self.is_write_paused = False
        if not self.is_closed:
            self.owner.on_writable(self, is_writable=True)

    def close(self, code: CloseCode, text: str = "") -> None:
        """Close the connection; send a last frame with the reason if the proxy still reads."""
        if self.is_closed:
            return
        self.is_closed = True
        self.owner.metrics.links_closed.labels(code).inc()
        if code in ABORTED_CODES:
            self.transport.abort()
        else:
            self.transport.write(frames.encode(frames.Goodbye(code, text[:MAX_REASON_CHARACTERS])))
            self.transport.close()
            asyncio.get_running_loop().call_later(ABORT_AFTER_S, self.transport.abort)
        self.owner.on_closed(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle a connection that ended without being closed here."""
        if not self.is_closed:
            self.is_closed = True
            self.owner.metrics.links_closed.labels(CloseCode.BROKEN if exc else CloseCode.CLOSED).inc()
            self.owner.on_closed(self)
