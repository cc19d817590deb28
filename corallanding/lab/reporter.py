"""Load reports of stand-in hosts: several processes per host, correct or faulty, and floods from a separate process."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import socket
import sys
import time
from collections.abc import Generator
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, cast

import numpy as np

from ..load_reports.envelope import NO_NONCE, ReportHeader, encode_binary, encode_json
from .host import Host
from .trace import clock, wall

if TYPE_CHECKING:
    from .scenario import LoadReportsTraffic
    from .stage import Stage


@dataclass(frozen=True)
class ReportMode:
    """How a host reports; the defaults apply without a fault."""

    silent: bool = False
    fixed_load: float | None = None
    delay_ms: float = 0.0
    clock_skew_ms: float = 0.0
    loss_share: float = 0.0


ACCURATE = ReportMode()


def report_body(load: float, json_form: bool) -> bytes:
    """Return the body of a report, as JSON or protobuf."""
    if json_form:
        return json.dumps({"application_utilization": load, "rps_fractional": 1.0}).encode()
    from xds.data.orca.v3.orca_load_report_pb2 import OrcaLoadReport

    return cast(bytes, OrcaLoadReport(application_utilization=load, rps_fractional=1.0).SerializeToString())


class ReportSocket(asyncio.DatagramProtocol):
    """The socket of one host: sends the reports of its processes and receives the controller's nonces."""

    def __init__(self) -> None:
        self.echo = NO_NONCE

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        if data[:2] == b"oT":
            self.echo = data[2:10]

    def error_received(self, exc: Exception) -> None:
        """Ignore that nobody listens, as while the controller is down."""


class Reporter:
    """The sender of the load reports of all hosts. report_modes: by host, while a fault applies."""

    def __init__(self, lab: Stage, conf: LoadReportsTraffic, port: int, key: bytes) -> None:
        self.lab, self.conf, self.where, self.key = lab, conf, ("127.0.0.1", port), key or None
        self.report_modes: dict[int, ReportMode] = {}
        self.sockets: dict[int, ReportSocket] = {}
        self.streams: dict[int, asyncio.StreamWriter] = {}
        self.chance = np.random.default_rng([lab.seed, 5])
        self.numbers = itertools.count(1)
        self.clock_skews: dict[int, float] = {}
        self.process: asyncio.subprocess.Process | None = None

    async def run(self) -> None:
        """Send one report per process of every host in each interval of `every_ms`, spread over it."""
        loop, parts = asyncio.get_running_loop(), 10
        for part in itertools.cycle(range(parts)):
            begun = clock()
            for h in list(self.lab.hosts.values()):
                if not h.up:
                    continue
                if h.number not in self.sockets:
                    _, report_socket = await loop.create_datagram_endpoint(ReportSocket, remote_addr=self.where)
                    self.sockets[h.number] = report_socket
                for process in range(self.conf.processes):
                    if (h.number + process) % parts == part:
                        await self.report(h, process)
            wait = self.conf.every_ms / parts - (clock() - begun)
            await asyncio.sleep(max(0.001, wait / 1000.0))

    async def report(self, h: Host, process: int) -> None:
        """Send one report of a process."""
        mode = self.report_modes.get(h.number, ACCURATE)
        load = round(h.utilization(self.conf.every_ms * 2), 4)
        if mode.silent or (mode.loss_share and self.chance.random() < mode.loss_share):
            return
        clock_skew_ms = 0.0
        if mode.clock_skew_ms:
            clock_skew_ms = self.clock_skews.setdefault(
                h.number, float(self.chance.uniform(-mode.clock_skew_ms, mode.clock_skew_ms))
            )
        uptime_ms = clock() - h.since if h.started else clock() + 1e7
        echo = self.sockets[h.number].echo if self.conf.echo and not mode.delay_ms else NO_NONCE
        header = ReportHeader(
            h.number,
            process,
            round(h.started),
            next(self.numbers),
            max(0.0, uptime_ms - mode.delay_ms),
            wall() - mode.delay_ms + clock_skew_ms,
            echo,
        )
        json_form = self.conf.form == "json"
        data = report_body(load if mode.fixed_load is None else mode.fixed_load, json_form)
        packet = encode_json(header, data, self.key) if json_form else encode_binary(header, data, self.key)
        if self.conf.form == "stream":
            await self.stream(h.number, packet)
        else:
            self.sockets[h.number].transport.sendto(packet)

    async def stream(self, host: int, packet: bytes) -> None:
        """Send a report over the host's TCP stream; connect first if needed."""
        writer = self.streams.get(host)
        try:
            if writer is None or writer.is_closing():
                reader, writer = await asyncio.open_connection(*self.where)
                self.streams[host] = writer
                self.lab.spawn(self.read_nonces(host, reader))
            if writer.transport.get_write_buffer_size() < 1 << 16:
                writer.write(len(packet).to_bytes(2, "big") + packet)
        except OSError:
            self.streams.pop(host, None)

    async def read_nonces(self, host: int, reader: asyncio.StreamReader) -> None:
        """Keep the latest nonce of the controller until the stream ends."""
        try:
            while True:
                self.sockets[host].echo = (await reader.readexactly(10))[2:]
        except (OSError, asyncio.IncompleteReadError):
            return

    async def flood(self, hosts: list[int], times: float, seconds: float) -> None:
        """Run a flood of `times` the usual volume in a separate process and wait for its end."""
        usual = len(self.lab.hosts) * self.conf.processes * 1000.0 / self.conf.every_ms
        started = {n: round(self.lab.hosts[n].started) for n in hosts}
        key = (self.key or b"").hex()
        args = json.dumps(
            {"port": self.where[1], "hosts": started, "per_s": usual * times, "seconds": seconds, "key": key}
        )
        command = ["-m", "corallanding.lab.reporter", args]
        env = {**os.environ, "PYTHONPATH": os.pathsep.join(p for p in sys.path if p)}
        self.process = await asyncio.create_subprocess_exec(sys.executable, *command, env=env)
        await self.process.wait()

    def stop(self) -> None:
        """End a running flood."""
        if self.process and self.process.returncode is None:
            self.process.terminate()


def send_flood(port: int, hosts: dict[int, int], per_s: float, seconds: float, key: bytes | None = None) -> int:
    """Send `per_s` reports a second for `seconds`; return how many were sent.

    One in ten is from an unknown host; with a key, half of them are forged.
    """
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sender.setblocking(False)
    packets = flooding(hosts, key)
    next(packets)
    begun, sent = time.monotonic(), 0
    while (spent := time.monotonic() - begun) < seconds:
        for _ in range(max(0, min(2_000, int(per_s * spent) - sent))):
            with contextlib.suppress(OSError):
                sender.sendto(packets.send((spent * 1000.0, time.time() * 1000.0)), ("127.0.0.1", port))
            sent += 1
        time.sleep(0.002)
    return sent


def flooding(hosts: dict[int, int], key: bytes | None) -> Generator[bytes, tuple[float, float], None]:
    """Yield packets of a flood; each is sent (ms since its begin, wall clock in ms)."""
    numbers = [*hosts] * 9 + [4_000_000_000 + k for k in range(max(1, len(hosts)))]
    body, packet = report_body(0.9, False), b""
    for sent in itertools.count():
        spent, wall_ms = yield packet
        host = numbers[sent % len(numbers)]
        header = ReportHeader(host, sent % 7, hosts.get(host, 0), sent + 1, spent + 1e7, wall_ms)
        packet = encode_binary(header, body, key if sent % 2 else None)


if __name__ == "__main__":
    a = json.loads(sys.argv[1])
    send_flood(a["port"], {int(k): v for k, v in a["hosts"].items()}, a["per_s"], a["seconds"], bytes.fromhex(a["key"]))
