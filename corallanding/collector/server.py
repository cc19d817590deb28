"""Sockets of the listening address: thin protocol objects over `session`, accepted at a limited rate."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable

from ..connection import Address, ReadTimeout
from ..controller.acceptor import Listener
from ..rate_limit import TokenBucket
from ..read_scheduler import ReadScheduler, ScheduledConnection, monotonic_ms
from .reports import ReportIntake, UsageReport
from .session import HEARTBEAT_ANSWER, REJECT, CollectorSession

MAX_UNREAD_BYTES = 4_096  # answers that a peer may leave unread
IDENTIFICATION_TIMEOUT_MS = 1_000.0
MAX_HEARTBEATS_PER_SECOND = 100.0  # of one connection; it is also the largest burst
MIN_REPORTS_PER_SECOND = 2_000.0
MAX_REPORT_RATE_FACTOR = 10.0
"""Reports that one connection may send, as a multiple of the rate of the whole site; at least the number above."""

STOPPED = "stopped before the answer"
"""Reason for closing a connection whose heartbeat requests are rejected at the stop."""

LISTEN_BACKLOG = 1024
ACCEPTED_PER_SECOND = 2_000.0


class CollectorConnection(ScheduledConnection):
    """One connection: a collector's, or one of a peer that has not identified itself."""

    def __init__(self, server: CollectorServer) -> None:
        super().__init__(server.read_scheduler)
        self.server = server
        self.session = CollectorSession(server.intake)
        self.heartbeat_allowance = TokenBucket(MAX_HEARTBEATS_PER_SECOND, MAX_HEARTBEATS_PER_SECOND, monotonic_ms())
        self.report_allowance = TokenBucket(server.max_report_rate, server.max_report_rate, monotonic_ms())
        self.pending_heartbeats = 0
        self.is_half_closed = False  # the peer sends no more, but may wait for an answer
        self.identification_timeout: ReadTimeout | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the first message."""
        super().connection_made(transport)
        self.transport.set_write_buffer_limits(high=MAX_UNREAD_BYTES)
        self.identification_timeout = self.start_identification_timeout()
        self.server.on_connected(self)

    def start_identification_timeout(self) -> ReadTimeout:
        """Start the time limit for the peer to identify itself, and return it."""
        return ReadTimeout(asyncio.get_running_loop(), IDENTIFICATION_TIMEOUT_MS, self.on_identification_timeout)

    @property
    def is_identified(self) -> bool:
        """Return whether the peer is a collector."""
        return self.session.zone is not None

    def on_data(self, data: bytes) -> None:
        """Deliver reports, answer heartbeats, and close the connection if the peer breaks the protocol."""
        now_ms = monotonic_ms()
        max_heartbeats = self.heartbeat_allowance.whole_tokens(now_ms)
        result = self.session.feed(data, max_heartbeats, self.report_allowance.whole_tokens(now_ms))
        self.heartbeat_allowance.tokens -= result.heartbeats
        self.report_allowance.tokens -= result.report_count
        if self.session.zone is not None and self.identification_timeout:
            self.identification_timeout.cancel()
            self.identification_timeout = None
            self.server.on_identified(self, self.session.zone)
        if result.reports:
            self.server.on_reports(result.reports)
        if result.heartbeats:
            self.pending_heartbeats += result.heartbeats
            self.server.on_heartbeat(self)
        if result.close_reason:
            self.close(result.close_reason, result.answer)

    def on_identification_timeout(self) -> None:
        """Close the connection of an unidentified peer, unless the peer still waits for a heartbeat."""
        self.process_waiting_data()
        if self.is_identified:
            return
        self.identification_timeout = None
        if not self.pending_heartbeats:
            self.close("not identified in time", REJECT)

    def answer_heartbeats(self) -> None:
        """Answer the pending heartbeat requests."""
        if self.pending_heartbeats and not self.transport.is_closing():
            self.transport.write(HEARTBEAT_ANSWER * self.pending_heartbeats)
            self.pending_heartbeats = 0
            if self.is_half_closed:
                self.transport.close()
            elif self.identification_timeout is None and self.session.zone is None:  # it expired before this answer
                self.identification_timeout = self.start_identification_timeout()

    def eof_received(self) -> bool:
        """Keep the connection open while a heartbeat request of the peer is unanswered."""
        self.process_waiting_data()
        self.is_half_closed = True
        return bool(self.pending_heartbeats)

    def pause_writing(self) -> None:
        """Close the connection of a peer that does not read."""
        self.close("answers not read")

    def close(self, reason: str, answer: bytes = b"") -> None:
        """Close the connection after sending `answer`, and count it by `reason`.

        Heartbeat requests that have no answer yet are rejected: a request that was read needs a final answer.
        """
        if self.transport.is_closing():
            return
        self.server.close_reasons[reason] += 1
        if self.pending_heartbeats:
            answer = answer or REJECT
        if answer:
            self.transport.write(answer)
            self.transport.close()
        else:
            # With a peer that sends without end and never reads, an orderly close would not finish.
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - the signature is asyncio's
        """Remove the connection from the server."""
        if self.identification_timeout:
            self.identification_timeout.cancel()
        self.server.on_lost(self)


class CollectorServer:
    """Accepts connections at the listening address.

    `on_reports` receives parsed reports, `on_warning` texts for the log. At most `max_unidentified` connections may be
    unidentified; beyond that the oldest is closed. A collector that reconnects is accepted while its old connection
    still seems open. Beyond `max_per_zone` the oldest connection of a zone is closed, since half-open ones would hold
    their descriptors forever. `close_reasons` counts the connections closed by this server.
    """

    def __init__(
        self,
        address: Address,
        intake: ReportIntake,
        max_unidentified: int,
        on_reports: Callable[[list[UsageReport]], None],
        on_warning: Callable[[str], None],
        max_per_zone: int = 4,
    ) -> None:
        self.intake = intake
        self.read_scheduler = ReadScheduler()
        self.max_report_rate = max(MIN_REPORTS_PER_SECOND, MAX_REPORT_RATE_FACTOR * intake.settings.reports_per_second)
        self.max_unidentified = max_unidentified
        self.max_per_zone = max_per_zone
        self.on_reports = on_reports
        self.unidentified: dict[CollectorConnection, None] = {}  # the oldest first
        self.collectors: dict[int, list[CollectorConnection]] = {}  # by zone, the oldest first
        self.close_reasons: Counter[str] = Counter()
        self.is_ready = False  # whether heartbeats are answered
        # Hundreds of silent connections must be accepted to be rejected, so that none stays in the kernel's queue.
        self.listener = Listener(
            *address, LISTEN_BACKLOG, ACCEPTED_PER_SECOND, lambda: CollectorConnection(self), on_warning
        )

    def on_connected(self, connection: CollectorConnection) -> None:
        """Add a new connection; close the oldest unidentified ones if there are too many."""
        self.unidentified[connection] = None
        while len(self.unidentified) > self.max_unidentified:
            # One that requested a heartbeat before the controller is ready may be its supervisor: it is closed last.
            oldest = next(
                (candidate for candidate in self.unidentified if not candidate.pending_heartbeats),
                next(iter(self.unidentified)),
            )
            del self.unidentified[oldest]
            oldest.close("too many unidentified connections", REJECT)

    def on_identified(self, connection: CollectorConnection, zone: int) -> None:
        """Record a connection as the collector of a zone; close the oldest ones of the zone if there are too many."""
        self.unidentified.pop(connection, None)
        connections = self.collectors.setdefault(zone, [])
        connections.append(connection)
        while len(connections) > self.max_per_zone:
            connections.pop(0).close("replaced by a newer collector of its zone")

    def on_lost(self, connection: CollectorConnection) -> None:
        """Remove a connection that has ended."""
        self.unidentified.pop(connection, None)
        for connections in self.collectors.values():
            if connection in connections:
                connections.remove(connection)

    def on_heartbeat(self, connection: CollectorConnection) -> None:
        """Answer a heartbeat request if the controller is ready; reject it if it never will be."""
        if self.is_ready:
            connection.answer_heartbeats()
        elif self.listener.is_closed:
            connection.close(STOPPED)

    def set_ready(self) -> None:
        """Answer heartbeats from now on, and those that were requested before."""
        self.is_ready = True
        for connection in self._connections():
            connection.answer_heartbeats()

    @property
    def unanswered_count(self) -> int:
        """The number of connections with a heartbeat request that is not answered yet."""
        return sum(bool(connection.pending_heartbeats) for connection in self._connections())

    def close(self) -> None:
        """Stop accepting connections, and reject the heartbeat requests that have been received and not answered."""
        self.listener.close()
        for connection in self._connections():
            connection.process_waiting_data()
            if connection.pending_heartbeats:
                connection.close(STOPPED)

    def _connections(self) -> list[CollectorConnection]:
        collectors = [connection for connections in self.collectors.values() for connection in connections]
        return [*self.unidentified, *collectors]
