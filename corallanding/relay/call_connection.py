"""The connection that sends calls to the relay. `pending_calls` builds the calls and interprets the answers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..connection import Address, Connector, ReadTimeout
from .line_protocol import LineConnection
from .orders import Order
from .pending_calls import PendingCalls


class CallConnection:
    """Sends `calls` one at a time. Times are in ms.

    `on_confirmed` receives the orders that the relay confirmed. No answer is expected after `answer_timeout_ms`. A
    connection that was idle for over `max_idle_ms` is not reused, since the relay may be closing it at that moment.
    """

    def __init__(
        self,
        address: Address,
        calls: PendingCalls,
        clock: Callable[[], float],
        on_confirmed: Callable[[list[Order]], None],
        answer_timeout_ms: float = 100.0,
        connect_timeout_ms: float = 300.0,
        max_idle_ms: float = 2_000.0,
    ) -> None:
        self.address = address
        self.calls = calls
        self.clock = clock
        self.on_confirmed = on_confirmed
        self.answer_timeout_ms = answer_timeout_ms
        self.max_idle_ms = max_idle_ms
        self.loop = asyncio.get_running_loop()
        self.connector = Connector(
            lambda address: LineConnection(address, self.on_lines, self.on_connection_lost),
            self.on_connected,
            self.on_connect_failed,
            connect_timeout_ms,
        )
        self.connection: LineConnection | None = None
        self.last_used_ms = 0.0
        self.send_timer: asyncio.TimerHandle | None = None  # runs until the next call may be sent
        self.answer_timeout: ReadTimeout | None = None  # set while a call is in flight
        self.is_finishing = False  # no further call is sent
        self.finished = asyncio.Event()  # set once no call is in flight and none will be sent

    def send_next(self) -> None:
        """Send the next call now, or schedule it for the time from which it may be sent."""
        if self.calls.in_flight or self.connector.is_connecting or self.is_finishing:
            return
        self.cancel_send_timer()
        now_ms = self.clock()
        send_at_ms = self.calls.next_send_ms(now_ms)
        if send_at_ms is None:
            return
        if send_at_ms > now_ms:
            self.send_timer = self.loop.call_later((send_at_ms - now_ms) / 1000.0, self.send_next)
            return
        connection = self.connection
        is_idle = now_ms - self.last_used_ms > self.max_idle_ms
        if connection is None or connection.address != self.address or is_idle:
            self.connector.connect(self.address)
        else:
            self.send(connection, now_ms)

    def cancel_send_timer(self) -> None:
        """Cancel the scheduled sending of the next call."""
        if self.send_timer:
            self.send_timer.cancel()
            self.send_timer = None

    def send(self, connection: LineConnection, now_ms: float) -> None:
        """Send the call that is due on this connection."""
        if call := self.calls.next_call(now_ms):
            connection.transport.write(call.line)
            self.last_used_ms = now_ms
            self.answer_timeout = ReadTimeout(self.loop, self.answer_timeout_ms, self.on_outcome_unknown)

    def on_connected(self, connection: LineConnection) -> None:
        """Replace the old connection by the new one."""
        self.discard_connection()
        self.connection = connection
        self.last_used_ms = self.clock()
        self.send_next()

    def on_connect_failed(self, _: str) -> None:
        """Retry after the backoff."""
        self.calls.on_not_sent(self.clock())
        self.send_next()

    def on_lines(self, connection: LineConnection, lines: list[bytes]) -> None:
        """Process the answers in received lines."""
        for line in lines:
            if not connection.is_open or not self.calls.in_flight:
                return
            confirmed = self.calls.on_answer(self.clock(), line)
            if confirmed is None:
                self.on_outcome_unknown()
                return
            self.last_used_ms = self.clock()
            self.on_confirmed(confirmed)
        if not self.calls.in_flight:
            self.on_call_ended()

    def on_connection_lost(self, _: LineConnection) -> None:
        """Resend the call that was in flight, if any, since its outcome is unknown."""
        self.connection = None
        if self.calls.in_flight:
            self.on_outcome_unknown()

    def on_outcome_unknown(self) -> None:
        """Discard the connection, on which a late answer may still arrive, and resend the call."""
        self.discard_connection()
        self.calls.on_outcome_unknown(self.clock())
        self.on_call_ended()

    def on_call_ended(self) -> None:
        """Continue with the next call after one has ended with any outcome."""
        if self.answer_timeout:
            self.answer_timeout.cancel()
            self.answer_timeout = None
        if self.is_finishing:
            self.finished.set()
        self.send_next()

    def discard_connection(self) -> None:
        """Close the connection, if there is one."""
        if self.connection:
            self.connection.discard()
            self.connection = None

    def set_address(self, address: Address) -> None:
        """Use another address from the next call on; a call in flight ends at the old one."""
        if address != self.address:
            self.address = address
            self.connector.cancel()
            self.send_next()

    def finish(self) -> None:
        """Send no further call; `finished` is set once the call in flight, if any, has ended."""
        self.is_finishing = True
        self.cancel_send_timer()
        self.connector.cancel()
        if not self.calls.in_flight:
            self.finished.set()

    def close(self) -> None:
        """Stop at once, without waiting for a call in flight."""
        self.finish()
        if self.answer_timeout:
            self.answer_timeout.cancel()
        self.discard_connection()
