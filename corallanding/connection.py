"""Outbound connections: each is adopted or discarded in one place, and waiting for one has a time limit.

A connection is handed to its owner in the very callback that says it is established, so that nothing can come between:
it cannot have been lost, nor its attempt been cancelled, before its owner has it. The owner is told of its end once,
and of nothing after it has discarded the connection itself.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Any, Generic, TypeVar, cast

Address = tuple[str, int]
"""Host and port."""

READ_GRACE_SECONDS = 0.005  # after a timeout, for data that the event loop has received and not delivered yet
MIN_BACKOFF_MS = 20.0  # of the shortest pause between attempts, other than none
MAX_TIMEOUT_FACTOR = 4.0  # to which the time limit of an attempt grows at most


def next_backoff_ms(backoff_ms: float, max_backoff_ms: float) -> float:
    """The backoff that follows `backoff_ms`: twice as long, within `MIN_BACKOFF_MS` and `max_backoff_ms`."""
    return min(max_backoff_ms, max(MIN_BACKOFF_MS, backoff_ms * 2.0))


class OutboundConnection(asyncio.Protocol):
    """A connection to `address`.

    `on_lost` is called with the connection, once, if it ends by itself; `close_reason` then says why it was closed as
    of no use, or is empty.
    """

    def __init__(self, address: Address, on_lost: Callable[[Any], None]) -> None:
        self.address = address
        self.on_lost = on_lost
        self.on_connected: Callable[[Any], None] = lambda _: None
        self.is_open = False
        self.close_reason = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Hand the connection to its owner."""
        self.transport = cast(asyncio.Transport, transport)
        self.is_open = True
        self.on_connected(self)

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - the signature is asyncio's
        """Tell the owner, unless the connection was discarded."""
        if self.is_open:
            self.is_open = False
            self.on_lost(self)

    def fail(self, reason: str) -> None:
        """Close a connection that is of no further use; the owner is told as if it had ended by itself."""
        self.close_reason = reason
        self.transport.abort()

    def discard(self) -> None:
        """Close the connection without telling the owner anything more."""
        self.is_open = False
        self.transport.abort()


class ReadTimeout:
    """A time limit on data that may already have arrived.

    After one long callback the event loop runs due timers before it reads the other sockets, and reports an established
    connection one iteration later. So `on_timeout` is called a short grace after the time limit, when what arrived in
    time has been read.
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
    times, until one succeeds: else an address whose connections always come up a little too late would never be
    reached.
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
        """Whether an attempt is under way."""
        return self.pending is not None

    def connect(self, address: Address) -> None:
        """Begin an attempt; one that is under way is cancelled."""
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
        """Hand an established connection to the owner."""
        if connection is not self.pending:  # its attempt was cancelled while it came up
            connection.discard()
            return
        # From here on the task must not be cancelled, though it may have some iterations to go: uvloop would close the
        # connection and tell nobody.
        self.finish_attempt()
        self.timeout_factor = 1.0
        self.on_connected(connection)

    def on_attempt_done(self, connection: ConnectionT, task: asyncio.Task[None]) -> None:
        """Report an attempt that raised."""
        if connection is self.pending and not task.cancelled():
            self.finish_attempt()
            self.on_failed(str(task.exception()))

    def on_timeout(self) -> None:
        """Report an attempt that took too long."""
        self.cancel()
        self.timeout_factor = min(MAX_TIMEOUT_FACTOR, self.timeout_factor * 2.0)
        self.on_failed("no connection in time")

    def cancel(self) -> None:
        """Give up the attempt that is under way, if any."""
        if self.pending and self.task:
            self.task.cancel()
        self.finish_attempt()

    def finish_attempt(self) -> None:
        """Forget the attempt and its time limit."""
        self.pending = None
        self.task = None
        if self.timeout:
            self.timeout.cancel()
            self.timeout = None
