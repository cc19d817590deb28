"""The intake of load reports and the socket of peers are handed over."""

from __future__ import annotations

import asyncio
import os
import socket
import time
from pathlib import Path
from typing import Any

import msgspec
import pytest
from sockets import until
from xds.data.orca.v3.orca_load_report_pb2 import OrcaLoadReport

from corallanding.load_reports.envelope import ReportHeader, encode_binary
from tests.upgrade.support import HOSTS, Scene, play

pytestmark = pytest.mark.processes


REPORTS = """
load_reports {
  listen = "127.0.0.1:0"
  window_ms = 200
  half_life_ms = 2000
  expiry_ms = 8000
  tick_ms = 10
}
"""


def children(group: int, of: str) -> list[int]:
    """Processes of a scene by a word of their command."""
    found = []
    for name in os.listdir("/proc"):
        if name.isdigit() and int(name) != group:
            try:
                if os.getpgid(int(name)) == group and of in Path(f"/proc/{name}/cmdline").read_text():
                    found.append(int(name))
            except (OSError, ProcessLookupError):
                continue
    return found


def test_intake_and_peers_when_handed_over_then_go_on(tmp_path: Path) -> None:
    """The intake's process never stops: its senders see ticks of the new steward, what was learnt stands, and a
    handover that fails after the new one may have read of its words begins another."""

    async def scene() -> None:
        peer = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        peer.bind(("127.0.0.1", 0))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as free:
            free.bind(("127.0.0.1", 0))
            peer_port = free.getsockname()[1]
        async with Scene(tmp_path, more=REPORTS, peers=(peer_port, peer.getsockname()[1])) as running:
            await until(lambda: running.entries("load reports ready"), 10)
            port = running.entries("load reports ready")[0]["port"]
            echo, ticks = [b"\0" * 8], set[bytes]()
            udp, _ = await asyncio.get_running_loop().create_datagram_endpoint(
                lambda: Echo(echo, ticks), remote_addr=("127.0.0.1", port)
            )

            async def report() -> None:
                for seq in range(1_000_000):
                    for h in range(HOSTS):
                        up = time.monotonic() * 1000.0
                        load = OrcaLoadReport(application_utilization=2.0 if h == 4 else 0.6 + 0.01 * (seq % 2))
                        head = ReportHeader(h, 0, 0, seq, up, 5.0, echo[0])
                        udp.sendto(encode_binary(head, load.SerializeToString()))
                    await asyncio.sleep(0.05)

            sending = asyncio.create_task(report())
            await until(lambda: any("4" in w["factors"] for w in running.entries("load factors")), 20)
            intake = children(running.process.pid, "reports.intake")
            assert len(intake) == 1
            for n in range(2):
                assert (await running.upgrade()).startswith("ok: handed over")
                seen = set(ticks)
                await until(lambda seen=seen: len(ticks - seen) >= 4, 5)
                await running.drains(n)
                running.roster.put(n, state="up")
                peer.sendto(msgspec.msgpack.encode([2, b"word"]), ("127.0.0.1", peer_port))
                peer.sendto(msgspec.msgpack.encode([7, b"a stranger's"]), ("127.0.0.1", peer_port))
            assert children(running.process.pid, "reports.intake") == intake
            assert len(running.entries("load reports ready")) == 1
            assert all("4" in w["factors"] for w in running.entries("load factors")[1:]), "what was learnt stands"
            page = await running.page("/metrics")
            assert f"report_senders {HOSTS}.0" in page
            assert "peer_messages_dropped_total 1.0" in page
            running.path.write_text(running.path.read_text().replace("tick_ms = 10", "tick_ms = 11"))
            assert (await running.upgrade()).startswith("ok: handed over")
            await until(lambda: len(running.entries("load reports ready")) == 2, 10)
            assert children(running.process.pid, "reports.intake") != intake, "other settings of it begin another"
            await running.drains(5)
            sending.cancel()
            udp.close()
        peer.close()

    play(scene())


class Echo(asyncio.DatagramProtocol):
    """Notes the ticks that come, and sends the last one back in reports."""

    def __init__(self, echo: list[bytes], ticks: set[bytes]) -> None:
        self.echo, self.ticks = echo, ticks

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.echo[0] = data[2:10]
        self.ticks.add(self.echo[0])
