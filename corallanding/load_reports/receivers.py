"""Protocols of the sockets on which load reports arrive: datagrams and streams."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, cast

from .envelope import MAX_REPORT_BYTES

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


class StreamReceiver(asyncio.Protocol):
    """Receives reports that are preceded by two bytes of length each. A stream over its rate is read more slowly."""

    def __init__(self, intake: LoadReportIntake) -> None:
        self._intake = intake
        self._buffer = bytearray()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the stream, or close it if there are too many."""
        self._transport = cast(asyncio.Transport, transport)
        if len(self._intake.streams) >= self._intake.settings["streams_most"]:
            self._intake.rejected_streams += 1
            self._transport.abort()
            return
        self._intake.streams.add(self)

    def data_received(self, data: bytes) -> None:
        """Pass complete reports to the intake; pause a stream whose last report was rejected."""
        self._buffer += data
        is_accepted = True
        while len(self._buffer) >= STREAM_LENGTH_BYTES:
            length = int.from_bytes(self._buffer[:STREAM_LENGTH_BYTES], "big")
            end = STREAM_LENGTH_BYTES + length
            if length > MAX_REPORT_BYTES:
                self._intake.shedder.counts.invalid += 1
                if self._transport:
                    self._transport.abort()
                return
            if len(self._buffer) < end:
                break
            is_accepted = self._intake.on_report(bytes(self._buffer[STREAM_LENGTH_BYTES:end]), self)
            del self._buffer[:end]
        if not is_accepted and self._transport:
            self._transport.pause_reading()
            asyncio.get_running_loop().call_later(1.0 / self._intake.settings["sender_rate"], self._resume)

    def _resume(self) -> None:
        if self._transport and not self._transport.is_closing():
            self._transport.resume_reading()

    def send_nonce(self, message: bytes) -> None:
        """Send a nonce, unless the sender does not read."""
        if self._transport is None or self._transport.is_closing():
            return
        if self._transport.get_write_buffer_size() < MAX_UNSENT_STREAM_BYTES:
            self._transport.write(message)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Unregister the stream."""
        self._intake.streams.discard(self)
