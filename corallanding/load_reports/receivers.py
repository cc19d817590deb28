"""Protocols of the sockets on which load reports arrive: datagrams and streams."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, cast

from ..read_scheduler import ScheduledConnection
from .envelope import MAX_REPORT_BYTES, MIN_REPORT_BYTES

if TYPE_CHECKING:
    from .intake import LoadReportIntake

STREAM_LENGTH_BYTES = 2
"""Size of the length that precedes each report of a stream."""
MAX_UNSENT_STREAM_BYTES = 1024
"""A stream with more unsent bytes gets no further nonces."""


class DatagramReceiver(asyncio.DatagramProtocol):
    """Receives one report per datagram."""

    def __init__(self, intake: LoadReportIntake) -> None:
        self._intake = intake

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Make the socket available to the intake for answers."""
        self._intake.datagrams = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Pass a report to the intake."""
        self._intake.on_report(data, addr)

    def error_received(self, exc: Exception) -> None:
        """Ignore the error if a nonce was sent to a sender that has closed its socket."""


class StreamReceiver(ScheduledConnection):
    """Receives reports that are preceded by two bytes of length each. A stream over its rate is read more slowly."""

    def __init__(self, intake: LoadReportIntake) -> None:
        super().__init__(intake.read_scheduler)
        self._intake = intake
        self._buffer = bytearray()
        self._has_reported = False

    @property
    def is_identified(self) -> bool:
        """Return whether a report of this stream was accepted."""
        return self._has_reported

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the stream. Beyond the limit close the oldest one without an accepted report, or else this one."""
        super().connection_made(transport)
        streams = self._intake.streams
        if len(streams) >= self._intake.settings["streams_most"]:
            silent = next((stream for stream in streams if not stream.is_identified), self)
            silent.reject()
        if not self.transport.is_closing():
            streams[self] = None

    def reject(self) -> None:
        """Close the stream to keep within the limit."""
        self._intake.rejected_streams += 1
        self._intake.streams.pop(self, None)
        self.transport.abort()

    def on_data(self, data: bytes) -> None:
        """Pass complete reports to the intake; pause a stream whose last report was rejected."""
        self._buffer += data
        is_accepted = True
        start = 0
        while len(self._buffer) - start >= STREAM_LENGTH_BYTES:
            body_start = start + STREAM_LENGTH_BYTES
            length = int.from_bytes(self._buffer[start:body_start], "big")
            if not MIN_REPORT_BYTES <= length <= MAX_REPORT_BYTES:
                self._intake.shedder.counts.invalid += 1
                self.transport.abort()
                return
            if len(self._buffer) < body_start + length:
                break
            start = body_start + length
            is_accepted = self._intake.on_report(bytes(self._buffer[body_start:start]), self)
            self._has_reported = self._has_reported or is_accepted
        del self._buffer[:start]
        if not is_accepted:
            self.suspend_reading()
            asyncio.get_running_loop().call_later(1.0 / self._intake.settings["sender_rate"], self.resume_reading)

    def send_nonce(self, message: bytes) -> None:
        """Send a nonce, unless the sender does not read."""
        if not self.transport.is_closing() and self.transport.get_write_buffer_size() < MAX_UNSENT_STREAM_BYTES:
            self.transport.write(message)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Unregister the stream."""
        self._intake.streams.pop(self, None)
