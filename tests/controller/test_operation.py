"""A running controller: HTTP, reload, a failing assigner, the clock, and messages between controllers."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import msgspec
import pytest
from sockets import CONFIG, Running, until

from corallanding import interface as api
from corallanding.controller.clock import ORIGIN_MS, Clock
from corallanding.telemetry import configure
from tests.controller.support import run_scenario


def test_http_server_when_limits_are_exceeded_then_rejected_with_a_status(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Running(tmp_path) as running:
            running.apply_actions(api.SetWeight(0, 10, 1.0))
            await asyncio.sleep(0.05)
            status, body = await running.send_http_request(
                "GET /tables HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
            )
            assert status == 200
            assert msgspec.json.decode(body.split(b"\r\n\r\n")[1])["tables"]["0"] == {"10": 1.0}
            assert (await running.send_http_request("GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"))[
                0
            ] == 200
            assert (await running.send_http_request("GET /nothing HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"))[
                0
            ] == 404
            assert (await running.send_http_request("POST /tables HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"))[
                0
            ] == 405
            assert (await running.send_http_request("no http at all\r\n\r\n"))[0] == 400
            assert (await running.send_http_request("GET / HTTP/1.1\r\nHost: x\r\nHost: x\r\nX: " + "y" * 2000))[
                0
            ] == 431
            assert (await running.send_http_request("GET /tables HTTP/1.1\r\nHost: x\r\nX-Slow"))[0] == 408
            connections = [await asyncio.open_connection("127.0.0.1", running.http_port) for _ in range(4)]
            assert (await running.send_http_request("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"))[0] == 503
            for _, writer in connections:
                writer.close()

    run_scenario(scenario())


def test_reload_when_the_file_changed_then_settings_are_applied_or_reported_as_needing_a_restart(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    async def scenario() -> None:
        async with Running(tmp_path) as running:
            configure("json", "info")
            running.path.write_text("steward {")
            running.steward.reload()
            text = CONFIG % (tmp_path / "s.db") + "reports {\n  every_ms = 7\n}\n"
            running.path.write_text(
                text.replace("frame_most_bytes = 4096", "frame_most_bytes = 9999").replace(
                    'level = "error"', 'level = "info"'
                )
            )
            running.steward.reload()
            running.path.write_text(
                text.replace("frame_most_bytes = 4096", "frame_most_bytes = 9999").split("door {")[0]
            )
            running.steward.reload()  # the file has no door block: removing it needs a restart, until then it stays
            assert running.steward.context.config.door is not None
            assert running.steward.connections.limits.max_frame_bytes == 9999
            assert running.steward.context.settings.report_interval_ms == 1000.0
        log_output = capsys.readouterr().err
        assert "reload rejected; the old configuration stays in effect" in log_output
        assert '"taken": ["forwarders.frame_most_bytes", "log.level"]' in log_output
        assert '"needs_restart": ["reports.every_ms"]' in log_output

    run_scenario(scenario())


def test_controller_when_the_assigner_fails_then_it_stops_with_the_exit_code_for_it(tmp_path: Path) -> None:
    class FailingAssigner:
        def __init__(self, settings: api.Settings, seed: int) -> None: ...

        def step(self, now: float, events: Any) -> list[api.Action]:
            raise ZeroDivisionError("raised by the assigner")

    async def scenario() -> None:
        async with Running(tmp_path, decider=FailingAssigner) as running:
            assert await running.steward.wait_stopped() == 3

    run_scenario(scenario())


def test_clock_when_its_source_goes_back_then_it_does_not_decrease() -> None:
    times = iter([5.0, 5.5, 5.2, 6.0])
    clock = Clock(lambda: next(times))
    assert [clock() - ORIGIN_MS for _ in range(3)] == [500.0, 500.0, 1000.0]


def test_peers_when_unknown_senders_send_too_then_only_messages_of_peers_are_received(tmp_path: Path) -> None:
    async def scenario() -> None:
        ports = []
        for _ in range(2):
            transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
                asyncio.DatagramProtocol, local_addr=("127.0.0.1", 0)
            )
            ports.append(transport.get_extra_info("sockname")[1])
            transport.close()
        controllers = []
        for number in (0, 1):
            (tmp_path / str(number)).mkdir()
            peers = f'peers = {{ "{1 - number}" = "127.0.0.1:{ports[1 - number]}" }}'
            settings = f'number = {number}\n  stewards = 2\n  peer_listen = "127.0.0.1:{ports[number]}"\n  {peers}'
            text = CONFIG.replace("steward {", f"steward {{\n  {settings}")
            controllers.append(Running(tmp_path / str(number), config=text))
        async with controllers[0] as first, controllers[1] as second:
            assert first.steward.peers.transport
            first.steward.peers.transport.socket.sendto(b"\xc1 rubbish", ("127.0.0.1", ports[1]))
            first.steward.peers.transport.socket.sendto(msgspec.msgpack.encode([7, b"x"]), ("127.0.0.1", ports[1]))
            first.apply_actions(api.SendToPeer(None, b"hi"), api.SendToPeer(1, b"there"), api.SendToPeer(5, b"nobody"))
            await until(lambda: sum(isinstance(e, api.PeerMessage) for e in second.module.told) == 2)
            received = [e for e in second.module.told if isinstance(e, api.PeerMessage)]
            assert received == [api.PeerMessage(0, b"hi"), api.PeerMessage(0, b"there")]
            assert "peer_messages_dropped_total 2.0" in second.steward.metrics.exposition().decode()

    run_scenario(scenario())
