"""Divides the time for reading among the connections of a server.

The transport of the event loop reads megabytes from one socket before it looks at timers and other sockets. A peer that
sends small messages at full speed would then hold up all others for seconds. Here each read is small, and once the
reads of one iteration of the event loop have taken too long, further data waits, at most one piece for each connection,
with reading paused. The pieces are then processed in turns, between pauses of the same length. Identified and
unidentified peers take turns, so that neither can hold up the other.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable
from typing import cast

READ_BYTES = 8_192
"""Size of one read, and the most that waits for one connection."""

MAX_TURN_MS = 5.0
"""Time that the reads of one iteration of the event loop may take before further ones wait."""

MIN_PAUSE_MS = 1.0  # resolution of the event loop's timers


def monotonic_ms() -> float:
    """Return the time in ms on the monotonic clock, which all processes of the machine share."""
    return time.monotonic() * 1000.0


class ReadScheduler:
    """The connections of one server whose received data waits to be processed. clock: returns ms."""

    def __init__(self, clock: Callable[[], float] = monotonic_ms) -> None:
        self.clock = clock
        self.loop = asyncio.get_running_loop()
        self.buffer = memoryview(bytearray(READ_BYTES))
        self.waiting_identified: deque[ScheduledConnection] = deque()
        self.waiting_unidentified: deque[ScheduledConnection] = deque()
        self.spent_ms = 0.0  # on reads since the last turn began
        self.next_turn: asyncio.Handle | None = None
        self.wait_count = 0  # pieces of data that had to wait, since the start

    def on_received(self, connection: ScheduledConnection, data: bytes) -> None:
        """Process the data now if there is time left, or let it wait."""
        if self._has_waiting() or self.spent_ms >= MAX_TURN_MS:
            self._let_wait(connection, data)
            return
        started_ms = self.clock()
        connection.on_data(data)
        self.spent_ms += self.clock() - started_ms
        if self.spent_ms and self.next_turn is None:
            self._schedule_turn(0.0)

    def _has_waiting(self) -> bool:
        return bool(self.waiting_identified or self.waiting_unidentified)

    def _let_wait(self, connection: ScheduledConnection, data: bytes) -> None:
        is_first = not self._has_waiting()
        self.wait_count += 1
        connection.waiting_data = data
        connection.transport.pause_reading()
        (self.waiting_identified if connection.is_identified else self.waiting_unidentified).append(connection)
        if is_first:
            self._schedule_turn(self.spent_ms)

    def _schedule_turn(self, pause_ms: float) -> None:
        """Schedule the next turn for the next iteration of the event loop, or after a pause."""
        if self.next_turn:
            self.next_turn.cancel()
        if pause_ms >= MIN_PAUSE_MS:
            self.next_turn = self.loop.call_later(pause_ms / 1000.0, self._run_turn)
        else:
            self.next_turn = self.loop.call_soon(self._run_turn)

    def _run_turn(self) -> None:
        """Process data that waits, as far as the time of one turn permits, and resume reading for it."""
        self.next_turn = None
        self.spent_ms = 0.0
        try:
            self._serve(self.waiting_identified)
            self._serve(self.waiting_unidentified)
        finally:  # an error ends one connection, and must not keep the others waiting
            if self._has_waiting():
                self._schedule_turn(self.spent_ms)
            elif self.spent_ms:
                self._schedule_turn(0.0)

    def _serve(self, waiting: deque[ScheduledConnection]) -> None:
        """Process what waits in one of the two queues, for half of the time of a turn at most."""
        started_ms = self.clock()
        elapsed_ms = 0.0
        for _ in range(len(waiting)):
            waiting.popleft().process_waiting_data()
            elapsed_ms = self.clock() - started_ms
            if elapsed_ms >= MAX_TURN_MS / 2.0:
                break
        self.spent_ms += elapsed_ms


class ScheduledConnection(asyncio.BufferedProtocol):
    """A connection whose reads are divided by a `ReadScheduler`. Subclasses process data in `on_data`.

    Reading is paused by the scheduler, or by the owner with `suspend_reading`.
    """

    def __init__(self, scheduler: ReadScheduler) -> None:
        self.scheduler = scheduler
        self.waiting_data = b""
        self.is_reading_suspended = False
        self.transport: asyncio.Transport

    @property
    def is_identified(self) -> bool:
        """Return whether the peer has identified itself."""
        raise NotImplementedError

    def on_data(self, data: bytes) -> None:
        """Process received data."""
        raise NotImplementedError

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def get_buffer(self, _sizehint: int) -> memoryview:
        """Return the buffer for one read, which all connections share."""
        return self.scheduler.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Pass one read to the scheduler."""
        self.scheduler.on_received(self, bytes(self.scheduler.buffer[:nbytes]))

    def process_waiting_data(self) -> None:
        """Process the data that waits, if any, and resume reading; drop it if the connection is closing."""
        data, self.waiting_data = self.waiting_data, b""
        if self.transport.is_closing():
            return
        if data:
            self._process_or_abort(data)
        if not self.transport.is_closing() and not self.is_reading_suspended:
            self.transport.resume_reading()

    def _process_or_abort(self, data: bytes) -> None:
        """Process data; end the connection if that raises, as the transport does for data that did not wait."""
        is_processed = False
        try:
            self.on_data(data)
            is_processed = True
        finally:
            if not is_processed:
                self.transport.abort()

    def suspend_reading(self) -> None:
        """Stop reading until `resume_reading`; what has been received is processed first."""
        self.process_waiting_data()
        self.is_reading_suspended = True
        if not self.transport.is_closing():
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Read again."""
        self.is_reading_suspended = False
        if not self.transport.is_closing() and not self.waiting_data:
            self.transport.resume_reading()
