"""Tests of the handover of the load report intake process and of the socket to other controllers."""

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
from tests.upgrade.support import HOSTS, ControllerEnvironment, run_scenario

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


def processes_of_group(group: int, command_part: str) -> list[int]:
    """Return the other processes of a process group whose command line contains `command_part`."""
    process_ids = []
    for name in os.listdir("/proc"):
        if name.isdigit() and int(name) != group:
            try:
                if os.getpgid(int(name)) == group and command_part in Path(f"/proc/{name}/cmdline").read_text():
                    process_ids.append(int(name))
            except (OSError, ProcessLookupError):
                continue
    return process_ids


def test_intake_and_peers_when_handed_over_then_they_continue(tmp_path: Path) -> None:
    """The intake process keeps running: senders receive ticks of the new controller, and load factors are kept.

    A new intake process is started if its settings differ, or after a failed handover in which the new controller may
    have read some of its messages.
    """

    async def scenario() -> None:
        peer = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        peer.bind(("127.0.0.1", 0))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as free_socket:
            free_socket.bind(("127.0.0.1", 0))
            peer_port = free_socket.getsockname()[1]
        async with ControllerEnvironment(
            tmp_path, extra_config=REPORTS, peers=(peer_port, peer.getsockname()[1])
        ) as environment:
            await until(lambda: environment.log_entries("load reports ready"), 10)
            port = environment.log_entries("load reports ready")[0]["port"]
            last_tick, ticks = [b"\0" * 8], set[bytes]()
            udp, _ = await asyncio.get_running_loop().create_datagram_endpoint(
                lambda: TickRecorder(last_tick, ticks), remote_addr=("127.0.0.1", port)
            )

            async def send_reports() -> None:
                for seq in range(1_000_000):
                    for host in range(HOSTS):
                        now_ms = time.monotonic() * 1000.0
                        load = OrcaLoadReport(application_utilization=2.0 if host == 4 else 0.6 + 0.01 * (seq % 2))
                        header = ReportHeader(host, 0, 0, seq, now_ms, 5.0, last_tick[0])
                        udp.sendto(encode_binary(header, load.SerializeToString()))
                    await asyncio.sleep(0.05)

            sending = asyncio.create_task(send_reports())
            await until(lambda: any("4" in entry["factors"] for entry in environment.log_entries("load factors")), 20)
            intake = processes_of_group(environment.process.pid, "reports.intake")
            assert len(intake) == 1
            for n in range(2):
                assert (await environment.upgrade()).startswith("ok: handed over")
                earlier = set(ticks)
                await until(lambda earlier=earlier: len(ticks - earlier) >= 4, 5)
                await environment.check_drain_reaches_proxies(n)
                environment.host_list.put(n, state="up")
                peer.sendto(msgspec.msgpack.encode([2, b"word"]), ("127.0.0.1", peer_port))
                peer.sendto(msgspec.msgpack.encode([7, b"a stranger's"]), ("127.0.0.1", peer_port))
            assert processes_of_group(environment.process.pid, "reports.intake") == intake
            assert len(environment.log_entries("load reports ready")) == 1
            assert all("4" in entry["factors"] for entry in environment.log_entries("load factors")[1:]), (
                "the load factors are kept"
            )
            page = await environment.get_page("/metrics")
            assert f"report_senders {HOSTS}.0" in page
            assert "peer_messages_dropped_total 1.0" in page
            environment.path.write_text(environment.path.read_text().replace("tick_ms = 10", "tick_ms = 11"))
            assert (await environment.upgrade()).startswith("ok: handed over")
            await until(lambda: len(environment.log_entries("load reports ready")) == 2, 10)
            assert processes_of_group(environment.process.pid, "reports.intake") != intake, (
                "started with other settings"
            )
            await environment.check_drain_reaches_proxies(5)
            sending.cancel()
            udp.close()
        peer.close()

    run_scenario(scenario())


class TickRecorder(asyncio.DatagramProtocol):
    """Records the ticks received; senders return the last one in their reports."""

    def __init__(self, last_tick: list[bytes], ticks: set[bytes]) -> None:
        self.last_tick, self.ticks = last_tick, ticks

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.last_tick[0] = data[2:10]
        self.ticks.add(self.last_tick[0])
