"""The intake process: `python -m corallanding.load_reports.intake FD SETTINGS`. Reads datagrams and streams.

A process of its own, so that a flood takes its core and never the steward's turn. It checks and parses at most
`reports_per_s`, the fair choice of `triage`; what it hands on goes to the steward by the socket FD, and what it
shed is counted by reason. What the kernel dropped unread shows in /proc and is counted too.
"""

from __future__ import annotations

import asyncio
import json
import os
import socket
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, cast

import uvloop

from ..endpoints.endpoint_list import parse_loopback_address
from .envelope import MOST, BadReport, Head, Load, genuine, read, sender
from .framing import pack, unpack
from .load_shedding import Triage

TICK = b"oT"


def now() -> float:
    """Milliseconds on the machine's monotonic clock, the same for all its processes."""
    return time.monotonic() * 1000.0


def row_of(arrived: float, head: Head, load: Load) -> tuple[Any, ...]:
    """A report as it goes to the steward, whose process may be of another version: the order is frozen."""
    who = (head.host, head.process, head.started, head.seq)
    when = (head.uptime, head.at, head.echo)
    return (arrived, *who, *when, load.utilization, load.rps, load.eps)


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, intake: Intake) -> None:
        self.intake = intake

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.intake.udp = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.intake.came(data, addr)

    def error_received(self, exc: Exception) -> None:
        """A sender that is gone refuses its tick: nothing to do."""


class Stream(asyncio.Protocol):
    """Reports with two bytes of length before each. A stream that is too loud is read more slowly."""

    def __init__(self, intake: Intake) -> None:
        self.intake, self.held = intake, bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if len(self.intake.streams) >= self.intake.conf["streams_most"]:
            self.intake.refused += 1
            self.transport.abort()
            return
        self.intake.streams.add(self)

    def data_received(self, data: bytes) -> None:
        self.held += data
        waits = True
        while len(self.held) >= 2:
            length = int.from_bytes(self.held[:2], "big")
            if length > MOST:
                self.intake.triage.counts.bad += 1
                self.transport.abort()
                return
            if len(self.held) < 2 + length:
                break
            waits = self.intake.came(bytes(self.held[2 : 2 + length]), self)
            del self.held[: 2 + length]
        if not waits:
            self.transport.pause_reading()
            asyncio.get_running_loop().call_later(1.0 / self.intake.conf["sender_rate"], self.resume)

    def resume(self) -> None:
        if not self.transport.is_closing():
            self.transport.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        self.intake.streams.discard(self)


class Intake(asyncio.Protocol):
    """conf: listen, sender_rate, sender_burst, processes_most, reports_per_s, tick_ms, streams_most, key (hex)."""

    def __init__(self, conf: dict[str, Any], clock: Callable[[], float] = now) -> None:
        self.conf, self.clock = conf, clock
        self.triage = Triage(conf["sender_rate"], conf["sender_burst"], conf["processes_most"])
        self.key = bytes.fromhex(conf["key"]) if conf["key"] else None
        self.udp: asyncio.DatagramTransport | None = None
        self.streams: set[Stream] = set()
        self.tick, self.refused, self.held = b"", 0, bytearray()
        self.allowance = 0.0
        self.forged = self.bad_body = 0
        self.over = asyncio.get_running_loop().create_future()

    # ---- reports ---------------------------------------------------------------------------------------

    def came(self, data: bytes, whence: Any) -> bool:
        try:
            who = sender(data)
        except BadReport:
            self.triage.counts.came += 1
            self.triage.counts.bad += 1
            return False
        if self.key and not genuine(data, self.key):
            self.triage.counts.came += 1
            self.forged += 1  # before triage: a forger must not take the slot of whom it claims to be
            return False
        return self.triage.come(self.clock(), who, (data, whence))

    def turn(self) -> None:
        """A tick's share of the budget: check, parse, hand on, and answer with the steward's tick."""
        if self.over.done():
            return  # the loop runs on for a moment after the steward's death, and its socket takes no more
        tick, rate = self.conf["tick_ms"], self.conf["reports_per_s"]
        asyncio.get_running_loop().call_later(tick / 1000.0, self.turn)
        self.allowance = min(rate * tick / 1000.0 + 1.0, self.allowance + rate * tick / 1000.0)
        rows = []
        # Hold back while the steward does not read: the newest of each sender waits in its slot.
        if self.steward.get_write_buffer_size() == 0:
            for arrived, (data, whence) in self.triage.turn(int(self.allowance)):
                self.allowance -= 1.0
                try:
                    head, load = read(data, None)
                except BadReport:
                    self.bad_body += 1
                    continue
                rows.append(row_of(arrived, head, load))
                if self.tick and isinstance(whence, tuple) and self.udp:
                    self.udp.sendto(TICK + self.tick, whence)
                elif self.tick and isinstance(whence, Stream) and not whence.transport.is_closing():
                    if whence.transport.get_write_buffer_size() < 1024:
                        whence.transport.write(TICK + self.tick)
        if rows:
            self.say(["reports", rows])

    def tell_counts(self) -> None:
        if self.over.done():
            return
        asyncio.get_running_loop().call_later(0.5, self.tell_counts)
        counts = self.triage.counts.by_name()
        counts.update(forged=self.forged, body=self.bad_body, kernel=self.kernel_drops(), refused=self.refused)
        counts.update(senders=len(self.triage.slots), waiting=len(self.triage.waiting))
        if self.steward.get_write_buffer_size() < 1 << 16:
            self.say(["counts", counts])

    def kernel_drops(self) -> int:
        """Datagrams that the kernel dropped on our socket, from /proc; 0 where there is no such file."""
        try:
            inode = str(os.fstat(self.udp.get_extra_info("socket").fileno()).st_ino) if self.udp else ""
            for name in ("udp", "udp6"):
                for line in Path(f"/proc/self/net/{name}").read_text().splitlines()[1:]:
                    fields = line.split()
                    if fields[9] == inode:
                        return int(fields[-1])
        except (OSError, IndexError, ValueError):
            pass
        return 0

    # ---- the steward -----------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.steward = cast(asyncio.Transport, transport)

    def say(self, item: Any) -> None:
        self.steward.write(pack(item))

    def data_received(self, data: bytes) -> None:
        self.held += data
        for kind, value in unpack(self.held):
            if kind == "hosts":
                self.triage.listed(value)
            elif kind == "tick":
                self.tick = value

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.over.done():
            self.over.set_result(None)  # the steward is gone: so is this


async def main(fd: int, conf: dict[str, Any]) -> None:
    loop = asyncio.get_running_loop()
    intake = Intake(conf)
    await loop.create_connection(lambda: intake, sock=socket.socket(fileno=fd))
    host, port = parse_loopback_address(conf["listen"])
    udp = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_DGRAM)
    udp.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, conf["buffer_bytes"])
    udp.bind((host, port))
    udp.setblocking(False)
    await loop.create_datagram_endpoint(lambda: Datagrams(intake), sock=udp)
    await attend(intake, host, udp.getsockname()[1])


async def attend(intake: Intake, host: str, port: int) -> None:
    """From the moment at which datagrams are heard until the steward is gone."""
    server = await asyncio.get_running_loop().create_server(lambda: Stream(intake), host, port, backlog=512)
    intake.say(["ready", port])
    intake.turn()
    intake.tell_counts()
    await intake.over
    server.close()


if __name__ == "__main__":
    os.nice(5)  # on a small machine the steward goes first
    uvloop.run(main(int(sys.argv[1]), json.loads(sys.argv[2])))
