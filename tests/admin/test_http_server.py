"""Requests of the admin server when it is closed."""

from __future__ import annotations

import asyncio

import pytest
from sockets import until

from corallanding.admin.http_server import AdminServer, HttpResponse

REQUEST = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"


@pytest.mark.parametrize("received", [REQUEST, REQUEST[:20], b""])
def test_request_when_the_server_is_closed_before_the_answer_then_it_gets_an_error(received: bytes) -> None:
    """Guards against a request that was read and whose connection is closed with no answer."""

    async def scenario() -> None:
        admin = AdminServer({"/healthz": lambda: HttpResponse(200, b"ok\n")}, 4, 1024, 10_000.0)
        server = await asyncio.get_running_loop().create_server(admin, "127.0.0.1", 0)
        reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname()[:2])
        await until(lambda: admin.open_connections)
        connection = next(iter(admin.open_connections))
        if received:
            connection.data_received(received)
        admin.close()
        answer = await reader.read()
        assert answer.startswith(b"HTTP/1.1 503") == bool(received)
        writer.close()
        server.close()

    asyncio.run(scenario())
