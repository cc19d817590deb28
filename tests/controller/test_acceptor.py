"""Connections are accepted at a bounded rate, even if file descriptors run out or clients connect in a loop."""

from __future__ import annotations

import asyncio
import errno
import resource
import socket
from pathlib import Path
from typing import Any

import pytest
from sockets import CONFIG, Running, until

from corallanding import interface as api
from corallanding.controller.acceptor import Listener
from corallanding.wire import frames


class FailingSocket(socket.socket):
    """A listening socket whose first three calls of `accept` fail."""

    def __init__(self, number: int) -> None:
        super().__init__(socket.AF_INET, socket.SOCK_STREAM)
        self.number = number
        self.failures_left = 3

    def accept(self) -> Any:
        if self.failures_left:
            self.failures_left -= 1
            raise OSError(self.number, "planted")
        return super().accept()


def test_connections_when_descriptors_run_out_then_accepted_later_at_the_rate() -> None:
    async def scenario() -> None:
        warnings: list[str] = []
        connected_at: list[float] = []

        class RecordingProtocol(asyncio.Protocol):
            def connection_made(self, transport: Any) -> None:
                connected_at.append(asyncio.get_running_loop().time())

        server = Listener("127.0.0.1", 0, 200, 100.0, RecordingProtocol, warnings.append)
        port = server.socket.getsockname()[1]
        client_sockets = [socket.create_connection(("127.0.0.1", port)) for _ in range(30)]
        await until(lambda: len(connected_at) == 30)
        assert connected_at[-1] - connected_at[0] >= 0.2, "30 connections at 100 per second, 5 of them at once"
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        extra_sockets = [socket.socket() for _ in range(10)]
        descriptor_limit = max(s.fileno() for s in extra_sockets) + 40
        resource.setrlimit(resource.RLIMIT_NOFILE, (descriptor_limit, hard))
        filler = []
        try:
            while True:
                filler.append(socket.socket())
        except OSError:
            pass
        try:
            for sock in extra_sockets[:5]:
                sock.connect(("127.0.0.1", port))
            await until(lambda: any("descriptor" in text for text in warnings))
            assert len(connected_at) == 30
            while filler:
                filler.pop().close()
            await until(lambda: len(connected_at) == 35)
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
            server.close()
            for sock in (*client_sockets, *extra_sockets, *filler):
                sock.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("number", [errno.EPROTO, errno.ENETDOWN, errno.EHOSTUNREACH, errno.ECONNABORTED, errno.EINTR])
def test_connections_when_accept_fails_for_one_of_them_then_the_others_are_accepted(number: int) -> None:
    """Guards against errors of one connection that are taken for errors of the listening socket."""

    async def scenario() -> None:
        loop_errors: list[Any] = []
        asyncio.get_running_loop().set_exception_handler(lambda _, context: loop_errors.append(context))
        connected: list[Any] = []

        class RecordingProtocol(asyncio.Protocol):
            def connection_made(self, transport: Any) -> None:
                connected.append(transport)

        listening = FailingSocket(number)
        listening.bind(("127.0.0.1", 0))
        listening.listen(10)
        server = Listener("", 0, 10, 100.0, RecordingProtocol, lambda _: None, inherited=listening)
        with socket.create_connection(listening.getsockname()):
            await until(lambda: connected)
        server.close()
        assert loop_errors == []

    asyncio.run(scenario())


@pytest.mark.parametrize("sends_hello", range(2))
def test_connections_when_clients_connect_in_a_loop_then_others_are_not_delayed(
    tmp_path: Path, sends_hello: int
) -> None:
    """Clients connect and disconnect repeatedly, with or without a Hello."""

    async def scenario() -> None:
        config = CONFIG.replace("beat_ms = 100", "beat_ms = 100\n  accepts_per_s = 200\n  strangers_most = 4")
        async with Running(tmp_path, config=config) as running, asyncio.timeout(25):
            good = await running.join_proxy(1)
            is_done = False

            async def reconnect_repeatedly(client: int) -> None:
                while not is_done:
                    peer = await running.connect_proxy()
                    if sends_hello:
                        peer.send_hello(2 + client % 3)
                    peer.writer.close()

            tasks = [asyncio.create_task(reconnect_repeatedly(client)) for client in range(8)]
            for number in range(1, 30):
                running.apply_actions(api.SetWeight(0, number, 1.0), api.PublishVersion(number))
                await good.wait_for_frame(frames.Orders, lambda frame, number=number: frame.version == number)
                good.send(frames.Ack(number))
                await asyncio.sleep(0.03)
            is_done = True
            for task in tasks:
                task.cancel()
            assert 1 in running.steward.connections.proxies
            listener = running.steward.network.listener
            assert listener
            assert listener.accepted_count < 29 * 0.5 * 200 + 200

    asyncio.run(scenario())
