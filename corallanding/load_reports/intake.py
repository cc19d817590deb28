"""The intake process: `python -m corallanding.load_reports.intake FD SETTINGS`. Receives datagrams and streams.

It is a separate process, so that a flood of reports uses its core and not the controller's. It checks and parses at
most `reports_per_s`, selected by `load_shedding`. Valid reports are sent to the controller on the socket FD; rejected
ones are counted by reason, together with datagrams that the kernel dropped (from /proc).
"""

from __future__ import annotations

import asyncio
import json
import os
import socket
import sys
from collections.abc import Callable
from typing import Any, cast

import uvloop

from ..endpoints.endpoint_list import parse_loopback_address
from ..read_scheduler import ReadScheduler, monotonic_ms
from .envelope import ReportHeader, is_authentic, read_report, read_sender
from .errors import InvalidReportError
from .framing import decode_messages, encode_message
from .kernel_drops import count_kernel_drops
from .load_shedding import LoadShedder
from .orca import ReportedLoad
from .receivers import DatagramReceiver, StreamReceiver

NONCE_PREFIX = b"oT"
MAX_UNSENT_COUNTS_BYTES = 1 << 16
COUNTS_INTERVAL_S = 0.5
STREAM_BACKLOG = 512
NICE_INCREMENT = 5
"""Gives the controller precedence on a small machine."""


def report_row(arrived_at_ms: float, header: ReportHeader, load: ReportedLoad) -> tuple[Any, ...]:
    """Return a report as sent to the controller, which may be of another version: the order must not change."""
    sender = (header.host, header.process, header.process_started_ms, header.seq)
    times = (header.uptime_ms, header.sent_at_ms, header.echoed_nonce)
    return (arrived_at_ms, *sender, *times, load.utilization, load.rps_fractional, load.eps)


class LoadReportIntake(asyncio.Protocol):
    """Selects, checks and parses reports, and sends them on its connection to the controller.

    settings: listen, sender_rate, sender_burst, processes_most, reports_per_s, tick_ms, streams_most, key (hex), named
    as in the JSON of the command line. ended: done when the controller has closed the connection.
    """

    def __init__(self, settings: dict[str, Any], clock: Callable[[], float] = monotonic_ms) -> None:
        self.settings = settings
        self.shedder = LoadShedder(settings["sender_rate"], settings["sender_burst"], settings["processes_most"])
        self.datagrams: asyncio.DatagramTransport | None = None
        self.streams: dict[StreamReceiver, None] = {}  # the oldest first
        self.read_scheduler = ReadScheduler(clock)
        self.rejected_streams = 0
        self.ended = asyncio.get_running_loop().create_future()
        self._clock = clock
        self._key = bytes.fromhex(settings["key"]) if settings["key"] else None
        self._controller: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._nonce = b""
        self._allowance = 0.0
        self._forged = 0
        self._invalid_bodies = 0

    # ---- reports ---------------------------------------------------------------------------------------

    def on_report(self, data: bytes, source: Any) -> bool:
        """Queue a report; return false if it is rejected. source: the sender's address (datagram), or the stream."""
        try:
            sender = read_sender(data)
        except InvalidReportError:
            self.shedder.counts.arrived += 1
            self.shedder.counts.invalid += 1
            return False
        if self._key and not is_authentic(data, self._key):
            self.shedder.counts.arrived += 1
            self._forged += (
                1  # checked before load shedding: a forged report must not take the slot of the host that it names
            )
            return False
        return self.shedder.offer(self._clock(), sender, (data, source))

    def process_waiting(self) -> None:
        """Check, parse and send as many reports as the rate permits in one interval; repeat every `tick_ms`."""
        if self.ended.done():
            return  # the event loop runs briefly after the controller has exited, and its socket is closed
        interval_ms = self.settings["tick_ms"]
        permitted = self.settings["reports_per_s"] * interval_ms / 1000.0
        asyncio.get_running_loop().call_later(interval_ms / 1000.0, self.process_waiting)
        self._allowance = min(permitted + 1.0, self._allowance + permitted)
        # Send nothing while the controller does not read: the newest report of each sender stays in its slot.
        if self._unsent_bytes() > 0:
            return
        rows = []
        for arrived_at_ms, (data, source) in self.shedder.take(int(self._allowance)):
            self._allowance -= 1.0
            try:
                header, load = read_report(data, None)
            except InvalidReportError:
                self._invalid_bodies += 1
                continue
            rows.append(report_row(arrived_at_ms, header, load))
            self._answer(source)
        if rows:
            self.send(["reports", rows])

    def _answer(self, source: Any) -> None:
        """Send the newest nonce to the sender of a report."""
        if not self._nonce:
            return
        message = NONCE_PREFIX + self._nonce
        if isinstance(source, StreamReceiver):
            source.send_nonce(message)
        elif isinstance(source, tuple) and self.datagrams:
            self.datagrams.sendto(message, source)

    def send_counts(self) -> None:
        """Send the counts of all reports by outcome to the controller; repeat every `COUNTS_INTERVAL_S`."""
        if self.ended.done():
            return
        asyncio.get_running_loop().call_later(COUNTS_INTERVAL_S, self.send_counts)
        counts = self.shedder.counts.by_name()
        counts.update(
            forged=self._forged,
            body=self._invalid_bodies,
            kernel=self.kernel_drops(),
            refused=self.rejected_streams,
            senders=len(self.shedder.slots),
            waiting=len(self.shedder.waiting),
        )
        if self._unsent_bytes() < MAX_UNSENT_COUNTS_BYTES:
            self.send(["counts", counts])

    def kernel_drops(self) -> int:
        """Return the number of datagrams that the kernel dropped."""
        return count_kernel_drops(self.datagrams)

    # ---- the controller --------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the connection to the controller."""
        self._controller = cast(asyncio.Transport, transport)

    def _unsent_bytes(self) -> int:
        return self._controller.get_write_buffer_size() if self._controller else 0

    def send(self, message: list[Any]) -> None:
        """Send a message to the controller."""
        if self._controller:
            self._controller.write(encode_message(message))

    def data_received(self, data: bytes) -> None:
        """Handle the messages of the controller."""
        self._buffer += data
        for kind, value in decode_messages(self._buffer):
            if kind == "hosts":
                self.shedder.set_hosts(value)
            elif kind == "tick":
                self._nonce = value

    def connection_lost(self, _exc: Exception | None) -> None:
        """End the intake when the controller has closed the connection."""
        if not self.ended.done():
            self.ended.set_result(None)


async def main(fd: int, settings: dict[str, Any]) -> None:
    """Run the intake until the controller closes the connection. fd: the intake's end of the socket."""
    loop = asyncio.get_running_loop()
    intake = LoadReportIntake(settings)
    await loop.create_connection(lambda: intake, sock=socket.socket(fileno=fd))
    host, port = parse_loopback_address(settings["listen"])
    udp = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_DGRAM)
    udp.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, settings["buffer_bytes"])
    udp.bind((host, port))
    udp.setblocking(False)
    await loop.create_datagram_endpoint(lambda: DatagramReceiver(intake), sock=udp)
    await serve(intake, host, udp.getsockname()[1])


async def serve(intake: LoadReportIntake, host: str, port: int) -> None:
    """Accept streams and process reports until the controller closes the connection. Datagrams are received already."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: StreamReceiver(intake), host, port, backlog=STREAM_BACKLOG)
    intake.send(["ready", port])
    intake.process_waiting()
    intake.send_counts()
    await intake.ended
    server.close()


if __name__ == "__main__":
    os.nice(NICE_INCREMENT)
    uvloop.run(main(int(sys.argv[1]), json.loads(sys.argv[2])))
