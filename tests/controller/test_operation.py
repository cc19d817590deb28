"""A running controller: HTTP, reload, a failing assigner, its clock, and messages between controllers."""

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
from tests.controller.support import play


def test_http_server_when_limits_are_exceeded_then_it_refuses_by_status(tmp_path: Path) -> None:
    async def scene() -> None:
        async with Running(tmp_path) as r:
            r.do(api.SetWeight(0, 10, 1.0))
            await asyncio.sleep(0.05)
            status, body = await r.get("GET /tables HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            assert status == 200
            assert msgspec.json.decode(body.split(b"\r\n\r\n")[1])["tables"]["0"] == {"10": 1.0}
            assert (await r.get("GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"))[0] == 200
            assert (await r.get("GET /nothing HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"))[0] == 404
            assert (await r.get("POST /tables HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"))[0] == 405
            assert (await r.get("no http at all\r\n\r\n"))[0] == 400
            assert (await r.get("GET / HTTP/1.1\r\nHost: x\r\nHost: x\r\nX: " + "y" * 2000))[0] == 431
            assert (await r.get("GET /tables HTTP/1.1\r\nHost: x\r\nX-Slow"))[0] == 408
            held = [await asyncio.open_connection("127.0.0.1", r.door) for _ in range(4)]
            assert (await r.get("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"))[0] == 503
            for _, writer in held:
                writer.close()

    play(scene())


def test_reload_when_the_file_changed_then_it_takes_what_it_can_and_names_the_rest(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    async def scene() -> None:
        async with Running(tmp_path) as r:
            configure("json", "info")
            r.path.write_text("steward {")
            r.steward.reload()
            text = CONFIG % (tmp_path / "s.db") + "reports {\n  every_ms = 7\n}\n"
            r.path.write_text(
                text.replace("frame_most_bytes = 4096", "frame_most_bytes = 9999").replace(
                    'level = "error"', 'level = "info"'
                )
            )
            r.steward.reload()
            r.path.write_text(text.replace("frame_most_bytes = 4096", "frame_most_bytes = 9999").split("door {")[0])
            r.steward.reload()  # the door is gone from the file: that needs a restart, and harms nothing
            assert r.steward.context.config.door is not None
            assert r.steward.connections.limits.max_frame_bytes == 9999
            assert r.steward.context.settings.report_interval_ms == 1000.0
        said = capsys.readouterr().err
        assert "reload refused; the old configuration stands" in said
        assert '"taken": ["forwarders.frame_most_bytes", "log.level"]' in said
        assert '"needs_restart": ["reports.every_ms"]' in said

    play(scene())


def test_controller_when_the_assigner_fails_then_it_ends_with_the_exit_code_of_that(tmp_path: Path) -> None:
    class Broken:
        def __init__(self, settings: api.Settings, seed: int) -> None: ...

        def step(self, now: float, events: Any) -> list[api.Action]:
            raise ZeroDivisionError("by a module")

    async def scene() -> None:
        async with Running(tmp_path, decider=Broken) as r:
            assert await r.steward.wait_stopped() == 3

    play(scene())


def test_clock_when_its_source_goes_back_then_it_stands() -> None:
    times = iter([5.0, 5.5, 5.2, 6.0])
    clock = Clock(lambda: next(times))
    assert [clock() - ORIGIN_MS for _ in range(3)] == [500.0, 500.0, 1000.0]


def test_peers_when_others_send_too_then_they_receive_each_other_alone(tmp_path: Path) -> None:
    async def scene() -> None:
        ports = []
        for _ in range(2):
            t, _ = await asyncio.get_running_loop().create_datagram_endpoint(
                asyncio.DatagramProtocol, local_addr=("127.0.0.1", 0)
            )
            ports.append(t.get_extra_info("sockname")[1])
            t.close()
        stewards = []
        for me in (0, 1):
            (tmp_path / str(me)).mkdir()
            peers = f'peers = {{ "{1 - me}" = "127.0.0.1:{ports[1 - me]}" }}'
            mine = f'number = {me}\n  stewards = 2\n  peer_listen = "127.0.0.1:{ports[me]}"\n  {peers}'
            text = CONFIG.replace("steward {", f"steward {{\n  {mine}")
            stewards.append(Running(tmp_path / str(me), config=text))
        async with stewards[0] as a, stewards[1] as b:
            assert a.steward.peers.transport
            a.steward.peers.transport.socket.sendto(b"\xc1 rubbish", ("127.0.0.1", ports[1]))
            a.steward.peers.transport.socket.sendto(msgspec.msgpack.encode([7, b"x"]), ("127.0.0.1", ports[1]))
            a.do(api.SendToPeer(None, b"hi"), api.SendToPeer(1, b"there"), api.SendToPeer(5, b"nobody"))
            await until(lambda: sum(isinstance(e, api.PeerMessage) for e in b.module.told) == 2)
            got = [e for e in b.module.told if isinstance(e, api.PeerMessage)]
            assert got == [api.PeerMessage(0, b"hi"), api.PeerMessage(0, b"there")]
            assert "peer_messages_dropped_total 2.0" in b.steward.metrics.exposition().decode()

    play(scene())
