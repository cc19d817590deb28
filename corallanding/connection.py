"""Outbound connections: each is adopted or discarded in one place, and each attempt has a time limit.

A connection is passed to its owner in the callback that reports it as established, so that it cannot be lost, nor its
attempt be cancelled, before its owner has it. The owner is notified once when the connection ends, and not at all after
it has discarded the connection itself.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Any, Generic, TypeVar, cast

Address = tuple[str, int]
"""Host and port."""

READ_GRACE_SECONDS = 0.005  # after a timeout, for data that the event loop has received and not delivered yet
MIN_BACKOFF_MS = 20.0  # shortest backoff other than 0
MAX_TIMEOUT_FACTOR = 4.0  # maximum growth of an attempt's time limit


def next_backoff_ms(backoff_ms: float, max_backoff_ms: float) -> float:
    """Return the backoff after `backoff_ms`: twice as long, from `MIN_BACKOFF_MS` to `max_backoff_ms`."""
    return min(max_backoff_ms, max(MIN_BACKOFF_MS, backoff_ms * 2.0))


class OutboundConnection(asyncio.Protocol):
    """A connection to `address`.

    `on_lost` is called with the connection, once, if it ends without being discarded. `close_reason` is then the
    reason passed to `fail`, or empty.
    """

    def __init__(self, address: Address, on_lost: Callable[[Any], None]) -> None:
        self.address = address
        self.on_lost = on_lost
        self.on_connected: Callable[[Any], None] = lambda _: None
        self.is_open = False
        self.close_reason = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Pass the connection to its owner."""
        self.transport = cast(asyncio.Transport, transport)
        self.is_open = True
        self.on_connected(self)

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - the signature is asyncio's
        """Notify the owner, unless the connection was discarded."""
        if self.is_open:
            self.is_open = False
            self.on_lost(self)

    def fail(self, reason: str) -> None:
        """Close an unusable connection; the owner is notified as if the peer had closed it."""
        self.close_reason = reason
        self.transport.abort()

    def discard(self) -> None:
        """Close the connection without notifying the owner."""
        self.is_open = False
        self.transport.abort()


class ReadTimeout:
    """A time limit on data that may already have arrived.

    After one long callback the event loop runs due timers before it reads the other sockets, and reports an established
    connection one iteration later. So `on_timeout` is called `READ_GRACE_SECONDS` after the time limit, when data that
    arrived in time has been read.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, timeout_ms: float, on_timeout: Callable[[], None]) -> None:
        self.loop = loop
        self.on_timeout = on_timeout
        self.timer = loop.call_later(timeout_ms / 1000.0, self.on_expired)

    def on_expired(self) -> None:
        """Give the event loop time to deliver what it has received."""
        self.timer = self.loop.call_later(READ_GRACE_SECONDS, self.on_timeout)

    def cancel(self) -> None:
        """Stop waiting."""
        self.timer.cancel()


ConnectionT = TypeVar("ConnectionT", bound=OutboundConnection)


class Connector(Generic[ConnectionT]):
    """Connects to one address at a time.

    `create_connection` makes the protocol object of an attempt. For each attempt that is not cancelled, exactly one of
    `on_connected` (with the established connection) and `on_failed` (with the reason) is called.

    An attempt may take `timeout_ms`. The limit doubles after each attempt that took longer, up to `MAX_TIMEOUT_FACTOR`
    times, until one succeeds: otherwise an address whose connections are always established slightly too late would
    never be reached.
    """

    def __init__(
        self,
        create_connection: Callable[[Address], ConnectionT],
        on_connected: Callable[[ConnectionT], None],
        on_failed: Callable[[str], None],
        timeout_ms: float,
    ) -> None:
        self.create_connection = create_connection
        self.on_connected = on_connected
        self.on_failed = on_failed
        self.timeout_ms = timeout_ms
        self.loop = asyncio.get_running_loop()
        self.pending: ConnectionT | None = None
        self.task: asyncio.Task[None] | None = None
        self.timeout: ReadTimeout | None = None
        self.timeout_factor = 1.0

    @property
    def is_connecting(self) -> bool:
        """Whether an attempt is in progress."""
        return self.pending is not None

    def connect(self, address: Address) -> None:
        """Start an attempt; one in progress is cancelled."""
        self.cancel()
        connection = self.create_connection(address)
        connection.on_connected = self.on_established
        self.pending = connection
        self.timeout = ReadTimeout(self.loop, self.timeout_ms * self.timeout_factor, self.on_timeout)
        self.task = self.loop.create_task(self.open_connection(connection))
        self.task.add_done_callback(partial(self.on_attempt_done, connection))

    async def open_connection(self, connection: ConnectionT) -> None:
        """Open the socket. Raises what `create_connection` of the event loop raises."""
        await self.loop.create_connection(lambda: connection, *connection.address)

    def on_established(self, connection: ConnectionT) -> None:
        """Pass an established connection to the owner."""
        if connection is not self.pending:  # its attempt was cancelled before it was established
            connection.discard()
            return
        # The task must not be cancelled from here on, although it may need more loop iterations: uvloop would close the
        # connection without notifying anyone.
        self.finish_attempt()
        self.timeout_factor = 1.0
        self.on_connected(connection)

    def on_attempt_done(self, connection: ConnectionT, task: asyncio.Task[None]) -> None:
        """Report an attempt that raised."""
        if connection is self.pending and not task.cancelled():
            self.finish_attempt()
            self.on_failed(str(task.exception()))

    def on_timeout(self) -> None:
        """Cancel and report an attempt that took too long."""
        self.cancel()
        self.timeout_factor = min(MAX_TIMEOUT_FACTOR, self.timeout_factor * 2.0)
        self.on_failed("connection attempt timed out")

    def cancel(self) -> None:
        """Cancel the attempt in progress, if any."""
        if self.pending and self.task:
            self.task.cancel()
        self.finish_attempt()

    def finish_attempt(self) -> None:
        """Clear the attempt and its time limit."""
        self.pending = None
        self.task = None
        if self.timeout:
            self.timeout.cancel()
            self.timeout = None
