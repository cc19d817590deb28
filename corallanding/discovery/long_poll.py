"""Client of the platform's discovery service: long polls, one at a time on one connection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from ..connection import Address, Connector, ReadTimeout, next_backoff_ms
from .http_connection import HttpConnection

UNCHANGED_PAUSE_SECONDS = 0.02  # after an answer without changes before the end of the poll


class HostListReceiver(Protocol):
    """Receives the answers of the discovery service."""

    @property
    def version(self) -> int:
        """The version of the current list."""
        ...

    def on_list(self, body: bytes) -> bool:
        """Process an answer; return False if it cannot be parsed."""
        ...

    def on_list_failed(self, reason: str) -> None:
        """Handle a failed request; called only by a client with `on_request`."""
        ...


class DiscoveryClient:
    """Keeps one request open at the discovery service. Times are in ms.

    `poll_wait_ms` is how long the service may hold a poll; it is short, since a silent connection is detected only at
    the end of a poll. An answer may take `answer_timeout_ms` longer. With `on_request` nothing is requested until
    `watch` or `fetch`, and each failure is reported to the receiver. The backoff doubles up to `max_backoff_ms`.
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
        # The open request:
        self.is_full_request = False
        self.requested_at = 0.0  # seconds on the event loop's clock
        self.requested_version = 0
        self.request_timeout: ReadTimeout | None = None
        # Retries:
        self.retry_timer: asyncio.TimerHandle | None = None
        self.backoff_ms = 0.0  # delay after the next failure
        self.poll_count = 0
        self.on_warning: Callable[[str], None] = lambda _: None

    def start(self) -> None:
        """Start requesting lists."""
        self.is_stopped = False
        self.request_next()

    def watch(self, is_watching: bool) -> None:
        """Start or stop polling for changes."""
        self.is_watching = is_watching
        self.request_next()

    def fetch(self) -> None:
        """Request the full list once."""
        self.is_fetch_due = True
        self.request_next()

    def set_address(self, address: Address) -> None:
        """Connect to another address; the old connection is used until the new one is established."""
        if address != self.address:
            self.address = address
            if not self.is_stopped:
                self.connector.connect(address)

    def stop(self) -> None:
        """Cancel the open request and the retry timer, and close the connection."""
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
        """Send a request, if one is needed, none is open and no retry is scheduled."""
        is_needed = self.is_watching or self.is_fetch_due
        if self.is_stopped or self.request_timeout or self.retry_timer or not is_needed:
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

    # ---- outcomes of connections and requests ---------------------------------------------------------------

    def on_connected(self, connection: HttpConnection) -> None:
        """Replace the old connection; a request that was open on it is sent again on the new one."""
        if self.connection:
            self.connection.discard()
        self.connection = connection
        if self.request_timeout:
            self.request_timeout.cancel()
            self.send_request(connection)
        else:
            self.request_next()

    def on_connect_failed(self, reason: str) -> None:
        """Schedule a retry, unless an old connection is in use; in that case the next poll connects again."""
        if self.connection is None:
            self.on_failure(reason)

    def on_request_timeout(self) -> None:
        """Discard a connection on which no answer arrived in time."""
        if self.connection:
            self.connection.discard()
        self.connection = None
        self.on_failure("no answer within the timeout")

    def on_connection_lost(self, connection: HttpConnection) -> None:
        """Handle the loss of the connection as a failure of the open request, if any."""
        self.connection = None
        if self.request_timeout:
            self.on_failure(connection.close_reason or "connection lost")

    def on_answer(self, connection: HttpConnection, body: bytes, error: str) -> None:
        """Pass an answer to the receiver and send the next request."""
        if not connection.is_open:
            self.connection = None
        if error:
            self.on_failure(error)
        elif not self.receiver.on_list(body):
            self.on_failure("invalid answer")
        else:
            self.backoff_ms = 0.0
            self.finish_request()
            if self._is_answer_early_and_unchanged():
                # A service that does not hold polls would otherwise be polled in a tight loop.
                self.schedule_retry(UNCHANGED_PAUSE_SECONDS)
            self.request_next()

    def _is_answer_early_and_unchanged(self) -> bool:
        elapsed_ms = (self.loop.time() - self.requested_at) * 1000.0
        return self.receiver.version == self.requested_version and elapsed_ms < self.poll_wait_ms / 2.0

    def finish_request(self) -> None:
        """Mark the open request as finished."""
        if self.request_timeout:
            self.request_timeout.cancel()
            self.request_timeout = None

    def on_failure(self, reason: str) -> None:
        """Back off after a request that failed or could not be sent, and log a warning."""
        if self.request_timeout is not None and self.is_full_request:
            self.is_fetch_due = True
        self.finish_request()
        self.schedule_retry(self.backoff_ms / 1000.0)
        self.backoff_ms = next_backoff_ms(self.backoff_ms, self.max_backoff_ms)
        self.on_warning(f"discovery: {reason}")
        if self.on_request:
            # One report for each failed `watch` or `fetch`; the assigner decides whether to request again.
            self.is_watching = False
            self.is_fetch_due = False
            self.receiver.on_list_failed(reason)

    def schedule_retry(self, seconds: float) -> None:
        """Delay the next request by `seconds`; replaces a scheduled retry."""
        if self.retry_timer:
            self.retry_timer.cancel()
        self.retry_timer = self.loop.call_later(seconds, self.on_retry_due)

    def on_retry_due(self) -> None:
        """Send the next request after a delay."""
        self.retry_timer = None
        self.request_next()
