"""Clients that misuse a listening address, as a program: many connections at once, or one at full speed.

`python tests/hostile_clients.py ADDRESS COUNT SECONDS KIND` opens COUNT connections to a loopback port, or to the path
of a UNIX socket; kinds that begin with "peer" send datagrams. Each client sends its first bytes once and then, if its
kind is a flood, further ones without end, until it is closed or SECONDS have passed. Answers are read and discarded.
It prints the number of connections that were closed and the bytes sent, as JSON.
"""

from __future__ import annotations

import itertools
import json
import selectors
import socket
import sys
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass

import msgspec

from corallanding.resp import encode as encode_resp
from corallanding.wire import frames

FRAME_BYTES = 1 << 20  # the largest frame of a proxy
MESSAGE_BYTES = 1 << 20  # the largest message of a collector
CHUNK_BYTES = 1 << 16
MAX_DATAGRAM_BYTES = 64
SLOW_CHUNK_BYTES = 8_192
SLOW_INTERVAL_SECONDS = 0.02
ZONE = "a"


@dataclass
class Script:
    """What one client sends: `first`, then the pieces of `flood`, one each `interval_seconds`."""

    first: bytes
    flood: Iterator[bytes] | None = None
    interval_seconds: float = 0.0


def hello(number: int) -> bytes:
    """Return the hello of a proxy."""
    return frames.encode(frames.Hello(frames.PROTOCOL_VERSION, number, f"hostile-{number}", features=3))


def frame(body: bytes) -> bytes:
    """Return a frame with its length."""
    return len(body).to_bytes(frames.LENGTH_BYTES, "big") + body


def half_frame() -> bytes:
    """Return the largest frame without its last byte."""
    return frame(b"\xc0" * (FRAME_BYTES - frames.LENGTH_BYTES))[:-1]


def short_rows() -> bytes:
    """Return a usage report with as many of the shortest rows as a frame may have."""
    row = (0, 0, 0, 0.0)
    count = FRAME_BYTES // (len(msgspec.msgpack.encode(row))) - 8
    return frames.encode(frames.UsageReport(1_000.0, [row] * count))


def short_fields(tag: str) -> bytes:
    """Return a frame of that tag with as many fields as it may have, one byte each."""
    count = FRAME_BYTES - 32
    return frame(b"\xdd" + count.to_bytes(4, "big") + msgspec.msgpack.encode(tag) + b"\xc0" * (count - 1))


def new_jobs() -> Iterator[bytes]:
    """Yield jobs with ever new tickets and idempotency keys."""
    for n in itertools.count():
        yield frames.encode(frames.JobSubmission(n % 2**32, 0, 0.0, f"key-{n}-" + "x" * 150))


def new_runs() -> Iterator[bytes]:
    """Yield queries on ever new workflow runs of ever new clients."""
    for n in itertools.count():
        yield frames.encode(frames.RunQuery(n % 2**32, f"run-{n}-" + "x" * 150, f"client-{n}-" + "x" * 150))


def new_reports() -> Iterator[bytes]:
    """Yield reports on ever new hosts, with ever new names of metrics."""
    for n in itertools.count():
        yield encode_resp(
            ["upstream_stats", "locality", ZONE, "endpoint", f"s-{n}", f"field-{n}", "1", "metrics", f"m{n}:{n}"]
        )


def telemetry(zone: str = ZONE) -> bytes:
    """Return the message with which a collector identifies itself."""
    return encode_resp(["telemetry", "locality", zone])


def new_paths() -> Iterator[bytes]:
    """Yield requests for ever new paths."""
    for n in itertools.count():
        yield b"GET /none-%d HTTP/1.1\r\nHost: a\r\n\r\n" % n


def joined(flood: Iterator[bytes]) -> Callable[[int], Script]:
    """Return the script of a proxy that says hello and then floods."""
    return lambda number: Script(hello(number), flood)


SLOW_BYTES = half_frame()
SLOW_PIECES = [SLOW_BYTES[n : n + SLOW_CHUNK_BYTES] for n in range(0, len(SLOW_BYTES), SLOW_CHUNK_BYTES)]
HEARTBEATS = encode_resp(["hb"])
SCRIPTS: dict[str, Callable[[int], Script]] = {
    # to the port of the proxies
    "frame-half": lambda _: Script(half_frame()),
    "frame-half-joined": lambda number: Script(hello(number) + half_frame()),
    "frame-slow": lambda number: Script(hello(number), iter(SLOW_PIECES), SLOW_INTERVAL_SECONDS),
    "frame-short-fields": lambda _: Script(short_fields("hello")),
    "frame-short-rows": lambda number: Script(hello(number) + short_rows()),
    "frame-beats": joined(itertools.repeat(frames.encode(frames.Heartbeat()) * 4_000)),
    "frame-beats-before-hello": lambda _: Script(b"", itertools.repeat(frames.encode(frames.Heartbeat()) * 4_000)),
    "frame-rows-flood": joined(itertools.repeat(short_rows())),
    "frame-rows-paced": lambda number: Script(hello(number), itertools.repeat(short_rows()), 0.3),
    "frame-new-jobs": joined(new_jobs()),
    "frame-new-runs": joined(new_runs()),
    # to the port of the collectors
    "report-half": lambda _: Script(b"*2\r\n$2\r\nhb\r\n$4000\r\n" + b"x" * 3_900),
    "report-half-joined": lambda _: Script(telemetry() + b"*2\r\n$1\r\na\r\n$1048000\r\n" + b"x" * 1_000_000),
    "report-short-fields": lambda _: Script(encode_resp([""] * 64)),
    "report-short-fields-joined": lambda _: Script(telemetry() + encode_resp([""] * 64) * 3_000),
    "report-half-array-joined": lambda _: Script(telemetry() + b"*64\r\n" + b"$0\r\n\r\n" * 63),
    "report-heartbeats": lambda _: Script(b"", itertools.repeat(HEARTBEATS * 4_000)),
    "report-heartbeats-joined": lambda _: Script(telemetry(), itertools.repeat(HEARTBEATS * 4_000)),
    "report-line-ends": lambda _: Script(b"", itertools.repeat(encode_resp(["\r\n"]) * 4_000)),
    "report-unsound": lambda _: Script(telemetry(), itertools.repeat(encode_resp(["x"]) * 4_000)),
    "report-new-names": lambda _: Script(telemetry(), new_reports()),
    # to the port of the load reports
    "load-half": lambda _: Script((4_000).to_bytes(2, "big") + b"x" * 3_990),
    "load-empty": lambda _: Script(b"", itertools.repeat(b"\0\0" * 30_000)),
    "load-json": lambda _: Script(b"", itertools.repeat(frame(b"{" + b"[" * 4_000)[2:] * 16)),
    # to the port of the other controllers, and to the socket that requests handovers
    "peer-flood": lambda _: Script(b"", itertools.repeat(msgspec.msgpack.encode((1, b"x" * 60)) * 1_000)),
    "control-half": lambda _: Script(b"x" * 60_000),
    "control-flood": lambda _: Script(b"", itertools.repeat(b"unknown\n" * 8_000)),
    # to the admin port
    "http-half": lambda _: Script(b"GET /none HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 8_000),
    "http-short-fields": lambda _: Script(b"GET /none HTTP/1.1\r\nHost: a\r\n" + b"a:\r\n" * 2_000),
    "http-pipelined": lambda _: Script(b"", itertools.repeat(b"GET /none HTTP/1.1\r\nHost: a\r\n\r\n" * 100)),
    "http-paced": lambda _: Script(b"", itertools.repeat(b"GET /none HTTP/1.1\r\nHost: a\r\n\r\n" * 30), 0.001),
    "http-new-paths": lambda _: Script(b"", new_paths()),
}


class Client:
    """One connection."""

    def __init__(self, address: str, script: Script, *, sends_datagrams: bool) -> None:
        self.script = script
        self.unsent = script.first
        self.sent_bytes = 0
        self.next_at = time.monotonic()
        is_port = address.isdigit()
        family = socket.AF_INET if is_port else socket.AF_UNIX
        self.socket = socket.socket(family, socket.SOCK_DGRAM if sends_datagrams else socket.SOCK_STREAM)
        self.socket.setblocking(False)
        self.socket.connect_ex(("127.0.0.1", int(address)) if is_port else address)
        self.max_write_bytes = MAX_DATAGRAM_BYTES if sends_datagrams else CHUNK_BYTES

    def take_piece(self) -> None:
        """Take the next bytes of the flood, in pieces that are worth a system call."""
        if self.unsent or not self.script.flood or time.monotonic() < self.next_at:
            return
        pieces = bytearray()
        for piece in self.script.flood:
            pieces += piece
            if self.script.interval_seconds or len(pieces) >= CHUNK_BYTES:
                break
        self.unsent = bytes(pieces)
        self.next_at = time.monotonic() + self.script.interval_seconds

    def is_open_after(self, events: int) -> bool:
        """Read and write what is possible; return whether the connection is still open."""
        try:
            if events & selectors.EVENT_READ and not self.socket.recv(CHUNK_BYTES):
                return False
            if events & selectors.EVENT_WRITE:
                self.take_piece()
                if self.unsent:
                    count = self.socket.send(self.unsent[: self.max_write_bytes])
                    self.unsent = self.unsent[count:]
                    self.sent_bytes += count
        except BlockingIOError:
            pass
        except OSError:
            return False
        return True


def run(address: str, count: int, seconds: float, kind: str) -> dict[str, int]:
    """Run the clients, and return how many were closed and the bytes sent."""
    ends_at = time.monotonic() + seconds
    selector = selectors.DefaultSelector()
    is_peer = kind.startswith("peer")
    clients = [Client(address, SCRIPTS[kind](number), sends_datagrams=is_peer) for number in range(count)]
    for client in clients:
        selector.register(client.socket, selectors.EVENT_READ | selectors.EVENT_WRITE, client)
    closed = 0
    while selector.get_map() and time.monotonic() < ends_at:
        is_idle = True
        for key, events in selector.select(0.1):
            client = key.data
            before = client.sent_bytes
            if not client.is_open_after(events):
                closed += 1
                selector.unregister(client.socket)
                client.socket.close()
            is_idle = is_idle and client.sent_bytes == before
        if is_idle:
            time.sleep(0.005)
    for client in clients:
        client.socket.close()
    return {"closed": closed, "sent": sum(client.sent_bytes for client in clients)}


if __name__ == "__main__":
    print(json.dumps(run(sys.argv[1], int(sys.argv[2]), float(sys.argv[3]), sys.argv[4])))
