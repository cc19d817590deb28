"""Connections are accepted at a rate, also when descriptors run out or clients connect in a loop."""

from __future__ import annotations

import asyncio
import resource
import socket
from pathlib import Path
from typing import Any

import pytest
from sockets import CONFIG, Running, until

from corallanding import interface as api
from corallanding.controller.acceptor import Listener
from corallanding.wire import frames


def test_connections_when_descriptors_run_out_then_accepted_later_at_the_rate() -> None:
    async def scene() -> None:
        warnings: list[str] = []
        made: list[float] = []

        class RecordingProtocol(asyncio.Protocol):
            def connection_made(self, transport: Any) -> None:
                made.append(asyncio.get_running_loop().time())

        server = Listener("127.0.0.1", 0, 200, 100.0, RecordingProtocol, warnings.append)
        port = server.socket.getsockname()[1]
        socks = [socket.create_connection(("127.0.0.1", port)) for _ in range(30)]
        await until(lambda: len(made) == 30)
        assert made[-1] - made[0] >= 0.2, "thirty at a hundred a second, five of them at once"
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        more = [socket.socket() for _ in range(10)]
        lowest = max(s.fileno() for s in more) + 40
        resource.setrlimit(resource.RLIMIT_NOFILE, (lowest, hard))
        filler = []
        try:
            while True:
                filler.append(socket.socket())
        except OSError:
            pass
        try:
            for sock in more[:5]:
                sock.connect(("127.0.0.1", port))
            await until(lambda: any("descriptor" in text for text in warnings))
            assert len(made) == 30
            while filler:
                filler.pop().close()
            await until(lambda: len(made) == 35)
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
            server.close()
            for sock in (*socks, *more, *filler):
                sock.close()

    asyncio.run(scene())


@pytest.mark.parametrize("loop", range(2))
def test_connections_when_clients_connect_in_a_loop_then_others_are_not_delayed(tmp_path: Path, loop: int) -> None:
    """Clients that connect and hang up over and over, with a hello or without one."""

    async def scene() -> None:
        config = CONFIG.replace("beat_ms = 100", "beat_ms = 100\n  accepts_per_s = 200\n  strangers_most = 4")
        async with Running(tmp_path, config=config) as running, asyncio.timeout(25):
            good = await running.joined(1)
            is_over = False

            async def hostile(client: int) -> None:
                while not is_over:
                    peer = await running.peer()
                    if loop:
                        peer.hello(2 + client % 3)
                    peer.writer.close()

            tasks = [asyncio.create_task(hostile(client)) for client in range(8)]
            for number in range(1, 30):
                running.do(api.SetWeight(0, number, 1.0), api.PublishVersion(number))
                await good.until(frames.Orders, lambda frame, number=number: frame.version == number)
                good.say(frames.Ack(number))
                await asyncio.sleep(0.03)
            is_over = True
            for task in tasks:
                task.cancel()
            assert 1 in running.steward.connections.proxies
            listener = running.steward.network.listener
            assert listener
            assert listener.accepted_count < 29 * 0.5 * 200 + 200

    asyncio.run(scene())
