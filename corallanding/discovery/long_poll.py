"""Long polls of the platform's discovery service, one after the other on one connection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from ..connection import Address, Connector, ReadTimeout, next_backoff_ms
from .http_connection import HttpConnection

UNCHANGED_PAUSE_SECONDS = 0.02  # after an answer that came early with nothing new


class HostListReceiver(Protocol):
    """Where the answers go."""

    @property
    def version(self) -> int:
        """The version of the list that is in force."""
        ...

    def on_list(self, body: bytes) -> bool:
        """Take an answer; false if it cannot be parsed."""
        ...

    def on_list_failed(self, reason: str) -> None:
        """Learn that a request failed; called only for lists on request."""
        ...


class DiscoveryClient:
    """Keeps one request open at the discovery service. Times are in ms.

    `poll_wait_ms` is how long the service may hold a poll; it is short, since a connection that fell silent shows only
    by the end of a poll. `answer_timeout_ms` is allowed beyond it. With `on_request` nothing is requested until `watch`
    or `fetch`, and a failure is reported to the receiver. The pause after failures doubles up to `max_backoff_ms`.
    """

    def __init__(
        self,
        address: Address,
        receiver: HostListReceiver,
        on_request: bool = False,
        poll_wait_ms: float = 1_000.0,
        answer_timeout_ms: float = 400.0,
        max_backoff_ms: float = 400.0,
    ) -> None:
        self.address = address
        self.receiver = receiver
        self.on_request = on_request
        self.poll_wait_ms = poll_wait_ms
        self.answer_timeout_ms = answer_timeout_ms
        self.max_backoff_ms = max_backoff_ms
        self.loop = asyncio.get_running_loop()
        self.connector = Connector(
            lambda address: HttpConnection(address, self.on_answer, self.on_connection_lost),
            self.on_connected,
            self.on_connect_failed,
            answer_timeout_ms,
        )
        self.connection: HttpConnection | None = None
        self.is_watching = not on_request
        self.is_fetch_due = False  # the full list is to be requested
        self.is_stopped = True
        # Of the open request:
        self.is_full_request = False
        self.requested_at = 0.0  # s, on the loop's clock
        self.requested_version = 0
        self.request_timeout: ReadTimeout | None = None
        # After a failure:
        self.retry_timer: asyncio.TimerHandle | None = None
        self.backoff_ms = 0.0  # of the next pause
        self.poll_count = 0
        self.on_warning: Callable[[str], None] = lambda _: None

    def start(self) -> None:
        """Begin to request lists."""
        self.is_stopped = False
        self.request_next()

    def watch(self, is_watching: bool) -> None:
        """Keep polling for changes, or stop doing so."""
        self.is_watching = is_watching
        self.request_next()

    def fetch(self) -> None:
        """Request the full list once."""
        self.is_fetch_due = True
        self.request_next()

    def set_address(self, address: Address) -> None:
        """Move to another address: the old connection is used until the new one is established."""
        if address != self.address:
            self.address = address
            if not self.is_stopped:
                self.connector.connect(address)

    def stop(self) -> None:
        """End the request, the pause and the connection."""
        self.is_stopped = True
        self.connector.cancel()
        self.finish_request()
        if self.retry_timer:
            self.retry_timer.cancel()
            self.retry_timer = None
        if self.connection:
            self.connection.discard()
            self.connection = None

    def request_next(self) -> None:
        """Send a request, if one is wanted and none is open or paused."""
        is_wanted = self.is_watching or self.is_fetch_due
        if self.is_stopped or self.request_timeout or self.retry_timer or not is_wanted:
            return
        is_connected = self.connection is not None and self.connection.address == self.address
        if not is_connected and not self.connector.is_connecting:
            self.connector.connect(self.address)
        if self.connection:
            self.is_full_request = self.is_fetch_due
            self.is_fetch_due = False
            self.send_request(self.connection)

    def send_request(self, connection: HttpConnection) -> None:
        """Send the request that is due on this connection."""
        self.poll_count += 1
        self.requested_at = self.loop.time()
        self.requested_version = self.receiver.version
        if self.is_full_request:
            connection.request("/v1/servers")
            timeout_ms = self.answer_timeout_ms
        else:
            connection.request(f"/v1/servers?index={self.receiver.version}&wait={self.poll_wait_ms:.0f}")
            timeout_ms = self.answer_timeout_ms + self.poll_wait_ms
        self.request_timeout = ReadTimeout(self.loop, timeout_ms, self.on_request_timeout)

    # ---- what becomes of a connection or a request ----------------------------------------------------------

    def on_connected(self, connection: HttpConnection) -> None:
        """Replace the old connection; a request that was open there is sent here."""
        if self.connection:
            self.connection.discard()
        self.connection = connection
        if self.request_timeout:
            self.request_timeout.cancel()
            self.send_request(connection)
        else:
            self.request_next()

    def on_connect_failed(self, reason: str) -> None:
        """Pause, unless an old connection goes on; then the next poll connects again."""
        if self.connection is None:
            self.on_failure(reason)

    def on_request_timeout(self) -> None:
        """Give up a connection on which no answer came."""
        if self.connection:
            self.connection.discard()
        self.connection = None
        self.on_failure("no answer in time")

    def on_connection_lost(self, connection: HttpConnection) -> None:
        """Fail the open request, if any."""
        self.connection = None
        if self.request_timeout:
            self.on_failure(connection.close_reason or "the connection broke")

    def on_answer(self, connection: HttpConnection, body: bytes, error: str) -> None:
        """Hand an answer to the receiver and send the next request."""
        if not connection.is_open:
            self.connection = None
        if error:
            self.on_failure(error)
        elif not self.receiver.on_list(body):
            self.on_failure("an answer that cannot be read")
        else:
            self.backoff_ms = 0.0
            self.finish_request()
            if self._is_answer_early_and_unchanged():
                # A service that does not hold polls would be asked without end.
                self.pause(UNCHANGED_PAUSE_SECONDS)
            self.request_next()

    def _is_answer_early_and_unchanged(self) -> bool:
        elapsed_ms = (self.loop.time() - self.requested_at) * 1000.0
        return self.receiver.version == self.requested_version and elapsed_ms < self.poll_wait_ms / 2.0

    def finish_request(self) -> None:
        """Forget the open request."""
        if self.request_timeout:
            self.request_timeout.cancel()
            self.request_timeout = None

    def on_failure(self, reason: str) -> None:
        """Pause after a request that failed, or could not be sent."""
        if self.request_timeout is not None and self.is_full_request:
            self.is_fetch_due = True
        self.finish_request()
        self.pause(self.backoff_ms / 1000.0)
        self.backoff_ms = next_backoff_ms(self.backoff_ms, self.max_backoff_ms)
        self.on_warning(f"discovery: {reason}")
        if self.on_request:
            # One report for each call that failed; the assigner asks again as it sees fit.
            self.is_watching = False
            self.is_fetch_due = False
            self.receiver.on_list_failed(reason)

    def pause(self, seconds: float) -> None:
        """Send nothing for a while; replaces a pause that is running."""
        if self.retry_timer:
            self.retry_timer.cancel()
        self.retry_timer = self.loop.call_later(seconds, self.on_pause_over)

    def on_pause_over(self) -> None:
        """Go on after a pause."""
        self.retry_timer = None
        self.request_next()
