"""The listening address on sockets: thin protocol objects over `session`, on the paced acceptor."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import cast

from ..connection import Address, ReadTimeout
from ..controller.acceptor import Listener
from .reports import ReportIntake, UsageReport
from .session import HEARTBEAT_ANSWER, REJECT, CollectorSession

MAX_UNREAD_BYTES = 4_096  # of answers that a peer may leave unread
JOIN_TIMEOUT_MS = 1_000.0
MAX_OWED_HEARTBEATS = 16
LISTEN_BACKLOG = 1024
ACCEPTED_PER_SECOND = 2_000.0


class CollectorConnection(asyncio.Protocol):
    """One connection: a collector's, or one that has not identified itself."""

    def __init__(self, server: CollectorServer) -> None:
        self.server = server
        self.session = CollectorSession(server.intake)
        self.owed_heartbeats = 0
        self.join_timeout: ReadTimeout | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the first message."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=MAX_UNREAD_BYTES)
        self.join_timeout = self.start_join_timeout()
        self.server.on_connected(self)

    def start_join_timeout(self) -> ReadTimeout:
        """Return a time limit for identifying itself."""
        return ReadTimeout(asyncio.get_running_loop(), JOIN_TIMEOUT_MS, self.on_join_timeout)

    def data_received(self, data: bytes) -> None:
        """Pass on reports, answer heartbeats, and end a connection that may not stay."""
        result = self.session.feed(data)
        if self.session.zone is not None and self.join_timeout:
            self.join_timeout.cancel()
            self.join_timeout = None
            self.server.on_identified(self, self.session.zone)
        if result.reports:
            self.server.on_reports(result.reports)
        if result.heartbeats:
            self.owed_heartbeats = min(self.owed_heartbeats + result.heartbeats, MAX_OWED_HEARTBEATS)
            self.server.on_heartbeat(self)
        if result.close_reason:
            self.close(result.close_reason, result.answer)

    def on_join_timeout(self) -> None:
        """End a connection that has not identified itself; one that waits for a heartbeat stays until it gets one."""
        self.join_timeout = None
        if not self.owed_heartbeats:
            self.close("not joined in time", REJECT)

    def answer_heartbeats(self) -> None:
        """Send the heartbeats that are owed."""
        if self.owed_heartbeats and not self.transport.is_closing():
            self.transport.write(HEARTBEAT_ANSWER * self.owed_heartbeats)
            self.owed_heartbeats = 0
            if self.join_timeout is None and self.session.zone is None:  # its time limit had passed
                self.join_timeout = self.start_join_timeout()

    def pause_writing(self) -> None:
        """End a connection whose peer does not read."""
        self.close("leaves answers unread")

    def close(self, reason: str, answer: bytes = b"") -> None:
        """End the connection after an answer."""
        if self.transport.is_closing():
            return
        self.server.close_reasons[reason] += 1
        if answer:
            self.transport.write(answer)
            self.transport.close()
        else:
            # A peer that sends without end never reads what would let an orderly close finish.
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - the signature is asyncio's
        """Forget the connection."""
        if self.join_timeout:
            self.join_timeout.cancel()
        self.server.on_lost(self)


class CollectorServer:
    """Accepts connections at the listening address.

    `on_reports` takes what reports say, `on_warning` lines for the log. At most `max_unidentified` connections may be
    unidentified; beyond it the oldest ends. A zone's collector that comes back is accepted while its old connection
    still seems to stand; past `max_per_zone` the oldest of a zone ends, since half-open connections would hold a
    descriptor for good. `close_reasons` counts ended connections.
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
        self.max_unidentified = max_unidentified
        self.max_per_zone = max_per_zone
        self.on_reports = on_reports
        self.unidentified: dict[CollectorConnection, None] = {}  # the oldest first
        self.collectors: dict[int, list[CollectorConnection]] = {}  # by zone, the oldest first
        self.close_reasons: Counter[str] = Counter()
        self.is_ready = False  # heartbeats are answered
        # Hundreds of silent connections have to be accepted to be rejected: none is left waiting in the kernel's queue.
        self.listener = Listener(
            *address, LISTEN_BACKLOG, ACCEPTED_PER_SECOND, lambda: CollectorConnection(self), on_warning
        )

    def on_connected(self, connection: CollectorConnection) -> None:
        """Take a new connection; the oldest unidentified ones end if there are too many."""
        self.unidentified[connection] = None
        while len(self.unidentified) > self.max_unidentified:
            # One that asked for a heartbeat before the controller is ready may be its supervisor: it ends last.
            oldest = next(
                (found for found in self.unidentified if not found.owed_heartbeats), next(iter(self.unidentified))
            )
            del self.unidentified[oldest]
            oldest.close("too many unidentified connections", REJECT)

    def on_identified(self, connection: CollectorConnection, zone: int) -> None:
        """A connection turned out to be the collector of a zone."""
        self.unidentified.pop(connection, None)
        connections = self.collectors.setdefault(zone, [])
        connections.append(connection)
        while len(connections) > self.max_per_zone:
            connections.pop(0).close("a newer collector of its zone")

    def on_lost(self, connection: CollectorConnection) -> None:
        """A connection has ended."""
        self.unidentified.pop(connection, None)
        for connections in self.collectors.values():
            if connection in connections:
                connections.remove(connection)

    def on_heartbeat(self, connection: CollectorConnection) -> None:
        """A connection asked for a heartbeat."""
        if self.is_ready:
            connection.answer_heartbeats()

    def set_ready(self) -> None:
        """The controller is ready: answer those that have asked meanwhile."""
        self.is_ready = True
        collectors = [found for connections in self.collectors.values() for found in connections]
        for connection in [*self.unidentified, *collectors]:
            connection.answer_heartbeats()

    def close(self) -> None:
        """Stop accepting connections."""
        self.listener.close()
