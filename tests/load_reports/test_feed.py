"""The intake process and the controller's feed, with real sockets."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import time
from pathlib import Path
from typing import Any

import pytest
import uvloop
from sockets import CONFIG, Running, until

from corallanding import interface as api
from corallanding.load_reports.envelope import NO_NONCE, ReportHeader, encode_binary
from corallanding.load_reports.intake import LoadReportIntake
from tests.load_reports.support import KEY, orca

BLOCK = """
load_reports {{
  listen = "127.0.0.1:0"
  key_file = "{key}"
  window_ms = 100
  half_life_ms = 400
  expiry_ms = 1000
  sender_rate = 50
  processes_most = 2
  reports_per_s = 300
  tick_ms = 10
}}
"""


class NonceReceiver(asyncio.DatagramProtocol):
    """Stores the newest nonce that the intake sent."""

    def __init__(self) -> None:
        self.nonce = NO_NONCE

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.nonce = data[2:10]


def listed_weights(running: Running) -> dict[int, float]:
    """Return the weights that the assigner received, by host."""
    weights: dict[int, float] = {}
    for event in running.module.told:
        if isinstance(event, api.HostListUpdate):
            weights.update({entry.host: entry.weight for entry in event.entries})
    return weights


def send_round(udp: asyncio.DatagramTransport, writer: asyncio.StreamWriter, nonce: bytes) -> None:
    """Send a report of each host (host 2 on a stream), one of an unlisted host, forged reports and garbage."""
    for host in (0, 1, 2, 3, 4, 77):
        uptime_ms = time.monotonic() * 1000.0
        header = ReportHeader(host, 0, 0, int(uptime_ms * 10), uptime_ms, 5.0, nonce)
        utilization = 3.0 if host == 4 else 0.5 + 0.01 * (uptime_ms % 2)
        data = encode_binary(header, orca(application_utilization=utilization), KEY)
        if host == 2:
            writer.write(len(data).to_bytes(2, "big") + data)
        else:
            udp.sendto(data)
        udp.sendto(data[:-1])
        udp.sendto(b"rubbish")


def test_reports_when_they_arrive_then_weights_change_until_they_stop(tmp_path: Path) -> None:
    (tmp_path / "key").write_bytes(KEY + b"\n")
    rows = [{"host": host, "address": "127.0.0.1:9", "state": "up", "started": 0.0, "weight": 2.0} for host in range(5)]

    async def run_scenario() -> None:
        async with Running(tmp_path, BLOCK.format(key=tmp_path / "key"), config=CONFIG) as running:
            feed = running.steward.load_weights.feed
            assert feed is not None
            await until(lambda: feed.port)
            loop = asyncio.get_running_loop()
            udp, receiver = await loop.create_datagram_endpoint(NonceReceiver, remote_addr=("127.0.0.1", feed.port))
            _, writer = await asyncio.open_connection("127.0.0.1", feed.port)
            running.steward.host_sources.on_host_rows(True, 1, rows)
            await until(lambda: feed.transport and feed.hosts == [0, 1, 2, 3, 4])

            deadline_s = time.monotonic() + 15.0
            while time.monotonic() < deadline_s and listed_weights(running).get(4) != 1.0:
                send_round(udp, writer, receiver.nonce)
                await asyncio.sleep(0.03)
            weights = {0: 2.0, 1: 2.0, 2: 2.0, 3: 2.0, 4: 1.0}
            assert listed_weights(running) == weights, "host 4 has half of its listed weight, the others all of it"
            await until(lambda: feed.intake_counts.get("forged"))
            assert feed.intake_counts["unknown"] > 0
            assert feed.intake_counts["bad"] > 0
            assert feed.intake_counts["senders"] == 5
            stopped_at_s = time.monotonic()
            await until(lambda: listed_weights(running)[4] == 2.0)
            assert time.monotonic() - stopped_at_s < 5.0
            # The intake is killed: it is restarted, and the controller continues.
            killed_process_id = feed.process_id
            os.kill(killed_process_id, signal.SIGKILL)
            await until(lambda: feed.process_id not in (0, killed_process_id) and feed.transport)
            udp.close()
            writer.close()

    asyncio.run(run_scenario())


def test_intake_when_its_controller_has_exited_then_it_sends_nothing_more() -> None:
    """Reports are still queued when the controller exits: its socket is closed, but the event loop runs briefly."""

    async def run_scenario() -> None:
        settings = {
            "sender_rate": 10.0,
            "sender_burst": 10,
            "processes_most": 2,
            "reports_per_s": 1000,
            "tick_ms": 1000,
        }
        intake = LoadReportIntake({**settings, "key": ""})
        intake_socket, controller_socket = socket.socketpair()
        intake_socket.setblocking(False)
        await asyncio.get_running_loop().create_connection(lambda: intake, sock=intake_socket)
        intake.shedder.set_hosts([1])
        report = encode_binary(ReportHeader(1, 0, 0, 1, 1.0, 5.0), orca(application_utilization=0.5))
        assert intake.on_report(report, None)
        controller_socket.close()
        await intake.ended
        await asyncio.sleep(0.05)
        intake.process_waiting()
        intake.send_counts()

    uvloop.run(run_scenario())


def test_key_when_missing_then_the_error_names_its_file(tmp_path: Path) -> None:
    async def run_scenario() -> None:
        with pytest.raises(OSError, match=r"none\.key"):
            async with Running(tmp_path, BLOCK.format(key=tmp_path / "none.key"), config=CONFIG):
                pass

    asyncio.run(run_scenario())
