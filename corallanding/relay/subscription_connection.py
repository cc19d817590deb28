"""The connections of the relay's watch. What notifications mean: `subscription`."""

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
SILENCE_CHECKS = 4.0  # within one silence timeout
MAX_ENTRIES_WAIT = 5.0  # times the quiet period, that a slice waits for its entries at most


@dataclass(frozen=True)
class WatchTimings:
    """Times of a watch, in ms.

    A connection that says nothing for `silence_timeout_ms` is given up. Without a line for `initial_quiet_ms`, what is
    in force counts as complete (a ping says so at once). A slice that is given waits `entries_quiet_ms` after the last
    entry of any slice, up to `MAX_ENTRIES_WAIT` times that.
    """

    silence_timeout_ms: float = 2_500.0
    initial_quiet_ms: float = 150.0
    entries_quiet_ms: float = 30.0
    connect_timeout_ms: float = 300.0


class Subscription:
    """Keeps a watch open. `on_events` takes events, `unconfirmed_orders` gives table orders that are out."""

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
        self.on_gap_bridged: Callable[[], None] = lambda: None  # called when the watch goes on after an interruption
        self.loop = asyncio.get_running_loop()
        self.connector = Connector(
            lambda address: WatchConnection(address, self.on_lines, self.on_connection_ended),
            self.on_connected,
            self.on_connect_failed,
            self.timings.connect_timeout_ms,
        )
        self.current: WatchConnection | None = None  # whose notifications count
        self.candidate: WatchConnection | None = None  # that will take its place
        self.silence_timer: ReadTimeout | None = None
        self.reconnect_timer: asyncio.TimerHandle | None = None
        self.backoff_ms = 0.0
        self.entries_timer: asyncio.TimerHandle | None = None
        self.entries_since_ms = 0.0
        self.is_closed = False
        self.has_been_ready = False
        self.break_count = 0
        self.bridged_breaks = 0  # the count when the watch last went on

    def start(self) -> None:
        """Open the watch."""
        self.check_silence()

    def check_silence(self) -> None:
        """Give up connections that fell silent; runs some times within a silence timeout."""
        now_ms = self.clock()
        for connection in (self.current, self.candidate):
            if connection and now_ms - connection.last_received_ms > self.timings.silence_timeout_ms:
                if connection is self.current:
                    self.on_warning("news has fallen silent")
                connection.discard()
                self.on_connection_ended(connection)
        self.reconnect()
        self.silence_timer = ReadTimeout(
            self.loop, self.timings.silence_timeout_ms / SILENCE_CHECKS, self.check_silence
        )

    # ---- connections -----------------------------------------------------------------------------------------

    def reconnect(self) -> None:
        """Connect after the backoff, if a connection is wanted and none is on its way."""
        is_wanted = self.current is None or self.current.address != self.address
        is_on_its_way = self.candidate or self.connector.is_connecting or self.reconnect_timer
        if is_wanted and not is_on_its_way and not self.is_closed:
            self.reconnect_timer = self.loop.call_later(self.backoff_ms / 1000.0, self.connect_now)
            self.backoff_ms = next_backoff_ms(self.backoff_ms, MAX_BACKOFF_MS)

    def connect_now(self) -> None:
        """Connect at the end of the backoff."""
        self.reconnect_timer = None
        self.connector.connect(self.address)

    def on_connect_failed(self, _: str) -> None:
        """Try again."""
        self.reconnect()

    def on_connected(self, connection: WatchConnection) -> None:
        """Request the watch on a new connection."""
        connection.last_received_ms = self.clock()
        connection.initial_state = self.view.begin_initial_state()
        self.candidate = connection
        connection.transport.write(WATCH_REQUEST)

    def on_connection_ended(self, connection: WatchConnection) -> None:
        """Reconnect after a connection ended, by itself or because it was given up."""
        connection.cancel_quiet_timer()
        if connection is self.current:
            self.current = None
            self.break_count += 1
        elif connection is self.candidate:
            self.candidate = None
        self.reconnect()

    def set_address(self, address: Address) -> None:
        """Move to another address: the old connection counts until the new one knows what is in force."""
        if address != self.address:
            self.address = address
            self.backoff_ms = 0.0
            self.cancel_candidate()
            self.reconnect()

    def cancel_candidate(self) -> None:
        """Give up the connection that is on its way, if any."""
        self.connector.cancel()
        if self.reconnect_timer:
            self.reconnect_timer.cancel()
            self.reconnect_timer = None
        if self.candidate:
            self.candidate.discard()
            self.candidate = None

    def close(self) -> None:
        """End the watch."""
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
        """Take lines of a connection; one that cannot be used is reported and passed over."""
        connection.last_received_ms = self.clock()
        events: list[api.Event] = []
        for line in lines:
            try:
                notification = parse_notification(line)
                if connection.initial_state is None:
                    events += self._on_notification(notification)
                elif notification.error is not None:
                    connection.discard()  # not yet, or not here: requested again after the backoff
                    self.on_connection_ended(connection)
                    return
                else:
                    self._on_initial_notification(connection, connection.initial_state, notification)
            except InvalidNotificationError as error:
                self.on_warning(f"news that cannot be used: {error}")
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
        """Let a new connection, which now knows what is in force, take the place of the old one."""
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
        if self.break_count > self.bridged_breaks:
            self.bridged_breaks = self.break_count
            self.on_gap_bridged()
        self.reconnect()

    def on_entries(self) -> None:
        """Wait for a quiet period before slices that were given are delivered, but not without end."""
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
        """Deliver slices that were given, with their entries."""
        self.entries_timer = None
        if events := self.view.complete_slices():
            self.on_events(events)
