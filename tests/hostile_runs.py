"""Programs under hostile clients: starts them, probes how long another client waits, and reads their memory."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import sys
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

from platform_standins import free_address
from sockets import QUOTE_FIELDS, ROSTER_AND_SLICES, RawProxyConnection, until

from corallanding.wire import frames
from tests.controller.program import ControllerProgram
from tests.platform.setup import running_platform

ROOT = Path(__file__).parent.parent
PROBE_INTERVAL_SECONDS = 0.05
MAX_PROBE_SECONDS = 10.0
SETTLE_SECONDS = 0.3  # before the hostile clients start, for a first probe
HEALTH_REQUEST = b"GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
IMPOSSIBLE_REPORT_LENGTH = b"\xff\xff"  # it ends a stream of load reports
HONEST_PROXY = 4_000  # the hostile proxies have the numbers from 0
STEWARD_CONFIG = (
    """
zones = ["a", "b"]
steward {
  listen = "%(proxies)s"
  peer_listen = "%(peers)s"
  peers = { "1" = "%(other_controller)s" }
  control = "%(control)s"
}
store {
  path = "%(store)s"
}
"""
    + ROSTER_AND_SLICES
    + 'operation "quote" {\n'
    + QUOTE_FIELDS
    + """\
}
forwarders {
  count = 2
  ack_within_ms = 600000
  silence_ms = 60000
}
door {
  listen = "%(admin)s"
}
load_reports {
  listen = "%(load_reports)s"
}
"""
)

Probe = Callable[[], Awaitable[None]]


@dataclass
class Program:
    """A running program. probes: by the first word of a kind of hostile client, a request that is answered."""

    pid: int
    addresses: dict[str, str]
    probes: dict[str, Probe]

    def peak_memory_mib(self) -> float:
        """Return the most memory that the process had so far."""
        return memory_mib(self.pid)


@dataclass
class HostileRun:
    """The result of one run. peak_mib: memory of the program; probe_seconds: how long each probe took."""

    kind: str
    peak_mib: float
    probe_seconds: list[float]
    closed: int
    sent_bytes: int

    def __str__(self) -> str:
        worst = max(self.probe_seconds)
        sent = f"{self.closed} closed, {self.sent_bytes} bytes sent"
        return f"{self.kind}: {self.peak_mib:.0f} MiB, probes up to {worst:.2f} s, {sent}"


def memory_mib(pid: int) -> float:
    """Return the most memory that a process had so far."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) / 1024.0 for line in lines if line.startswith("VmHWM"))


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def port_of(address: str) -> str:
    return address.rpartition(":")[2]


async def probe_proxy(port: str, peer: RawProxyConnection) -> None:
    """Let a joined proxy violate the protocol on a new connection: it is told so at once."""
    probe = RawProxyConnection(*await asyncio.open_connection("127.0.0.1", port))
    probe.send(frames.Heartbeat())
    await probe.wait_for_frame(frames.Goodbye, timeout_seconds=MAX_PROBE_SECONDS)
    probe.writer.close()
    peer.send(frames.Heartbeat())
    await peer.writer.drain()


async def request(port: str, data: bytes) -> None:
    """Send a request on a connection of its own, and read until the program ends the connection."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    with contextlib.suppress(ConnectionResetError):
        await reader.read()
    writer.close()


@contextlib.asynccontextmanager
async def platform_program(folder: Path) -> AsyncIterator[Program]:
    """Run `python -m corallanding.platform` against stand-ins."""
    async with running_platform(folder) as setup:
        port = port_of(setup.controller.config["listen"])
        yield Program(setup.controller.process.pid, {"report": port}, {"report": setup.check_heartbeat})


@contextlib.asynccontextmanager
async def steward_program(folder: Path) -> AsyncIterator[Program]:
    """Run `corallanding steward` with its ports for proxies, load reports and admin requests."""
    names = ("proxies", "admin", "load_reports", "peers", "other_controller")
    addresses = {name: free_address() for name in names}
    control = folder / "control"
    text = STEWARD_CONFIG % {**addresses, "store": folder / "s.db", "control": control}
    with ControllerProgram(folder, text) as program:
        await program.start()
        await until(lambda: program.entries("load reports ready"), MAX_PROBE_SECONDS)
        assert program.process
        targets = {
            "frame": port_of(addresses["proxies"]),
            "http": port_of(addresses["admin"]),
            "load": port_of(addresses["load_reports"]),
            "peer": port_of(addresses["peers"]),
            "control": str(control),
        }
        peer = RawProxyConnection(*await asyncio.open_connection("127.0.0.1", targets["frame"]))
        peer.send_hello(HONEST_PROXY)
        await peer.wait_for_frame(frames.Tables)
        probes: dict[str, Probe] = {
            "frame": lambda: probe_proxy(targets["frame"], peer),
            "http": lambda: request(targets["http"], HEALTH_REQUEST),
            "load": lambda: request(targets["load"], IMPOSSIBLE_REPORT_LENGTH),
        }
        probes["peer"] = probes["control"] = probes["frame"]
        yield Program(program.process.pid, targets, probes)


def intake_pid(pid: int) -> int:
    """Return the process that receives load reports, the only child of a controller."""
    return int(Path(f"/proc/{pid}/task/{pid}/children").read_text().split()[0])


async def run_hostile_clients(program: Program, kind: str, count: int, seconds: float) -> HostileRun:
    """Run hostile clients against a program, and probe it until they have ended."""
    target = kind.partition("-")[0]
    probe_seconds: list[float] = []
    probing = asyncio.create_task(_probe_repeatedly(program.probes[target], probe_seconds))
    await asyncio.sleep(SETTLE_SECONDS)
    arguments = [program.addresses[target], str(count), str(seconds), kind]
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        str(ROOT / "tests" / "hostile_clients.py"),
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
    )
    output, _ = await process.communicate()
    probing.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await probing
    sent = json.loads(output)
    return HostileRun(kind, program.peak_memory_mib(), probe_seconds, sent["closed"], sent["sent"])


async def _probe_repeatedly(probe: Probe, probe_seconds: list[float]) -> None:
    """Probe one time after the other; one that is cut off counts with the time that it has taken."""
    while True:
        started = time.monotonic()
        try:
            async with asyncio.timeout(MAX_PROBE_SECONDS):
                await probe()
        finally:
            probe_seconds.append(time.monotonic() - started)
        await asyncio.sleep(PROBE_INTERVAL_SECONDS)
