"""The connections of the relay's watch. `subscription` interprets the notifications."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from .. import interface as api
from ..connection import Address, Connector, ReadTimeout, next_backoff_ms
from .notifications import InvalidNotificationError, Notification, parse_notification
from .orders import TableOrder
from .subscription import InitialState, RelayView
from .watch_connection import WatchConnection

WATCH_REQUEST = b'{"jsonrpc":"2.0","id":1,"method":"relay.watch"}\n'
MAX_BACKOFF_MS = 500.0
SILENCE_CHECKS = 4.0  # checks per silence timeout
MAX_ENTRIES_WAIT = 5.0  # longest wait of a new slice for its entries, in multiples of `entries_quiet_ms`


@dataclass(frozen=True)
class WatchTimings:
    """Times of a watch, in ms.

    A connection that receives no data for `silence_timeout_ms` is closed. The initial state counts as complete after
    `initial_quiet_ms` without a line, or at the first ping. A newly assigned slice is delivered `entries_quiet_ms`
    after the last entry of any slice, but no later than `MAX_ENTRIES_WAIT` times that.
    """

    silence_timeout_ms: float = 2_500.0
    initial_quiet_ms: float = 150.0
    entries_quiet_ms: float = 30.0
    connect_timeout_ms: float = 300.0


class Subscription:
    """Keeps a watch open. `on_events` receives events; `unconfirmed_orders` returns the unconfirmed table orders."""

    def __init__(
        self,
        address: Address,
        view: RelayView,
        clock: Callable[[], float],
        on_events: Callable[[list[api.Event]], None],
        unconfirmed_orders: Callable[[], list[TableOrder]],
        on_warning: Callable[[str], None],
        timings: WatchTimings | None = None,
    ) -> None:
        self.address = address
        self.view = view
        self.clock = clock
        self.on_events = on_events
        self.unconfirmed_orders = unconfirmed_orders
        self.on_warning = on_warning
        self.timings = timings or WatchTimings()
        self.on_watch_resumed: Callable[[], None] = lambda: None  # called when the watch resumes after an interruption
        self.loop = asyncio.get_running_loop()
        self.connector = Connector(
            lambda address: WatchConnection(address, self.on_lines, self.on_connection_ended),
            self.on_connected,
            self.on_connect_failed,
            self.timings.connect_timeout_ms,
        )
        self.current: WatchConnection | None = None  # the connection whose notifications are applied
        self.candidate: WatchConnection | None = None  # replaces `current` once its initial state is complete
        self.silence_timer: ReadTimeout | None = None
        self.reconnect_timer: asyncio.TimerHandle | None = None
        self.backoff_ms = 0.0
        self.entries_timer: asyncio.TimerHandle | None = None
        self.entries_since_ms = 0.0
        self.is_closed = False
        self.has_been_ready = False
        self.break_count = 0
        self.resumed_break_count = 0  # `break_count` when the watch last resumed

    def start(self) -> None:
        """Open the watch."""
        self.check_silence()

    def check_silence(self) -> None:
        """Close connections without data for the silence timeout; runs `SILENCE_CHECKS` times per timeout."""
        now_ms = self.clock()
        for connection in (self.current, self.candidate):
            if connection and now_ms - connection.last_received_ms > self.timings.silence_timeout_ms:
                if connection is self.current:
                    self.on_warning("relay watch: no data within the silence timeout")
                connection.discard()
                self.on_connection_ended(connection)
        self.reconnect()
        self.silence_timer = ReadTimeout(
            self.loop, self.timings.silence_timeout_ms / SILENCE_CHECKS, self.check_silence
        )

    # ---- connections -----------------------------------------------------------------------------------------

    def reconnect(self) -> None:
        """Schedule a connection after the backoff, if one is needed and none is being established."""
        is_needed = self.current is None or self.current.address != self.address
        is_connecting = self.candidate or self.connector.is_connecting or self.reconnect_timer
        if is_needed and not is_connecting and not self.is_closed:
            self.reconnect_timer = self.loop.call_later(self.backoff_ms / 1000.0, self.connect_now)
            self.backoff_ms = next_backoff_ms(self.backoff_ms, MAX_BACKOFF_MS)

    def connect_now(self) -> None:
        """Open a connection at the end of the backoff."""
        self.reconnect_timer = None
        self.connector.connect(self.address)

    def on_connect_failed(self, _: str) -> None:
        """Retry after the backoff."""
        self.reconnect()

    def on_connected(self, connection: WatchConnection) -> None:
        """Request the watch on a new connection."""
        connection.last_received_ms = self.clock()
        connection.initial_state = self.view.begin_initial_state()
        self.candidate = connection
        connection.transport.write(WATCH_REQUEST)

    def on_connection_ended(self, connection: WatchConnection) -> None:
        """Reconnect after a connection was lost or discarded."""
        connection.cancel_quiet_timer()
        if connection is self.current:
            self.current = None
            self.break_count += 1
        elif connection is self.candidate:
            self.candidate = None
        self.reconnect()

    def set_address(self, address: Address) -> None:
        """Connect to another address; the old connection is used until the new initial state is complete."""
        if address != self.address:
            self.address = address
            self.backoff_ms = 0.0
            self.cancel_candidate()
            self.reconnect()

    def cancel_candidate(self) -> None:
        """Discard the connection that is being established or is receiving its initial state, if any."""
        self.connector.cancel()
        if self.reconnect_timer:
            self.reconnect_timer.cancel()
            self.reconnect_timer = None
        if self.candidate:
            self.candidate.discard()
            self.candidate = None

    def close(self) -> None:
        """Close the watch and all of its connections."""
        self.is_closed = True
        self.cancel_candidate()
        if self.current:
            self.current.discard()
            self.current = None
        for timer in (self.silence_timer, self.entries_timer):
            if timer:
                timer.cancel()

    # ---- notifications ---------------------------------------------------------------------------------------

    def on_lines(self, connection: WatchConnection, lines: list[bytes]) -> None:
        """Process received lines; an invalid line is reported and skipped."""
        connection.last_received_ms = self.clock()
        events: list[api.Event] = []
        for line in lines:
            try:
                notification = parse_notification(line)
                if connection.initial_state is None:
                    events += self._on_notification(notification)
                elif notification.error is not None:
                    connection.discard()  # the relay refused the watch: retry after the backoff
                    self.on_connection_ended(connection)
                    return
                else:
                    self._on_initial_notification(connection, connection.initial_state, notification)
            except InvalidNotificationError as error:
                self.on_warning(f"invalid watch notification: {error}")
        self._restart_quiet_timer(connection)
        if events:
            self.on_events(events)

    def _on_notification(self, notification: Notification) -> list[api.Event]:
        events = self.view.apply(notification)
        if notification.method in ("owner", "entry"):
            self.on_entries()
        return events

    def _on_initial_notification(
        self, connection: WatchConnection, state: InitialState, notification: Notification
    ) -> None:
        if notification.method == "ping" and connection.is_accepted:
            self.complete_initial_state(connection)
        elif notification.method:
            self.view.add_initial(state, notification)
        elif notification.result is True:
            connection.is_accepted = True

    def _restart_quiet_timer(self, connection: WatchConnection) -> None:
        if connection.initial_state is not None and connection.is_accepted:
            connection.cancel_quiet_timer()
            connection.quiet_timer = self.loop.call_later(
                self.timings.initial_quiet_ms / 1000.0, self.complete_initial_state, connection
            )

    def complete_initial_state(self, connection: WatchConnection) -> None:
        """Replace the current connection by a new one whose initial state is complete."""
        state = connection.initial_state
        if state is None or connection is not self.candidate:
            return
        connection.cancel_quiet_timer()
        connection.initial_state = None
        if self.current:
            self.current.discard()
        self.current = connection
        self.candidate = None
        self.backoff_ms = 0.0
        self.has_been_ready = True
        self.on_events(self.view.replace_state(state, self.unconfirmed_orders()))
        if self.break_count > self.resumed_break_count:
            self.resumed_break_count = self.break_count
            self.on_watch_resumed()
        self.reconnect()

    def on_entries(self) -> None:
        """Restart the quiet period before newly assigned slices are delivered, within its upper limit."""
        now_ms = self.clock()
        if self.entries_timer:
            self.entries_timer.cancel()
        else:
            self.entries_since_ms = now_ms
        latest_ms = self.entries_since_ms + MAX_ENTRIES_WAIT * self.timings.entries_quiet_ms
        deliver_at_ms = min(now_ms + self.timings.entries_quiet_ms, latest_ms)
        delay_ms = max(0.0, deliver_at_ms - now_ms)
        self.entries_timer = self.loop.call_later(delay_ms / 1000.0, self.deliver_slices)

    def deliver_slices(self) -> None:
        """Deliver newly assigned slices with their entries."""
        self.entries_timer = None
        if events := self.view.complete_slices():
            self.on_events(events)
