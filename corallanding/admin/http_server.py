"""The HTTP door, by aiohttp's server. GET and HEAD only; what aiohttp leaves open is bounded here: connections, the
bytes of a request's head, and the time that a request or a connection without one may take."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import cast

from aiohttp import web
from aiohttp.web_protocol import RequestHandler


@dataclass(frozen=True)
class HttpResponse:
    status: int
    body: bytes
    content_type: str = "application/json"


Route = Callable[[], HttpResponse]


def error_response(status: int, text: str) -> HttpResponse:
    return HttpResponse(status, f"{text}\n".encode(), "text/plain")


class AdminServer(web.Server):
    """routes: path to a function that answers. Limits may be changed by a reload; within: ms. Made inside the loop."""

    def __init__(self, routes: dict[str, Route], connections: int, header_most: int, within: float) -> None:
        super().__init__(self.answer)
        self.routes = routes
        self.max_connections, self.max_header_bytes, self.request_timeout_ms = connections, header_most, within
        self.open_connections: set[AdminConnection] = set()

    def __call__(self) -> AdminConnection:
        return AdminConnection(self)

    async def answer(self, request: web.BaseRequest) -> web.Response:
        cast(AdminConnection, request.protocol).await_request()
        if request.method not in ("GET", "HEAD"):
            found = error_response(405, "only GET and HEAD")
        elif request.path not in self.routes:
            found = error_response(404, f"no such path; there are {', '.join(sorted(self.routes))}")
        else:
            found = self.routes[request.path]()
        return web.Response(status=found.status, body=found.body, headers={"Content-Type": found.content_type})

    def close(self) -> None:
        for visit in list(self.open_connections):
            visit.disconnect()


class AdminConnection(RequestHandler):
    """One connection. seen: bytes since the last whole request, its body included: none is asked for."""

    def __init__(self, admin_server: AdminServer) -> None:
        super().__init__(admin_server, loop=asyncio.get_running_loop(), access_log=None, lingering_time=0.0)  # type: ignore[arg-type]
        self.admin_server, self.unparsed_bytes, self.is_closing = admin_server, 0, False
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.tcp_transport = cast(asyncio.Transport, transport)
        if len(self.admin_server.open_connections) >= self.admin_server.max_connections:
            self.reject(error_response(503, "too many connections"))
            return
        self.admin_server.open_connections.add(self)
        super().connection_made(transport)
        self.await_request()

    def await_request(self) -> None:
        self.unparsed_bytes = 0
        if self.timer:
            self.timer.cancel()
        self.timer = asyncio.get_running_loop().call_later(
            self.admin_server.request_timeout_ms / 1000.0, self.on_timeout
        )

    def on_timeout(self) -> None:
        # Idle between requests: no one asked anything. Half a request: slow on purpose, or broken.
        if self.unparsed_bytes:
            self.reject(error_response(408, "the request took too long"))
        else:
            self.disconnect()

    def data_received(self, data: bytes) -> None:
        if self.is_closing:
            return
        self.unparsed_bytes += len(data)
        if self.unparsed_bytes > self.admin_server.max_header_bytes:
            self.reject(error_response(431, f"more than {self.admin_server.max_header_bytes} bytes"))
        else:
            super().data_received(data)

    def reject(self, answer: HttpResponse) -> None:
        """Outside of any request that aiohttp knows of, so that the words are ours."""
        head = (
            f"HTTP/1.1 {answer.status} {HTTPStatus(answer.status).phrase}\r\nContent-Type: {answer.content_type}\r\n"
            f"Content-Length: {len(answer.body)}\r\nConnection: close\r\n\r\n"
        )
        self.tcp_transport.write(head.encode() + answer.body)
        self.disconnect()

    def disconnect(self) -> None:
        self.is_closing = True
        self.tcp_transport.close()

    def connection_lost(self, exc: BaseException | None) -> None:
        if self.timer:
            self.timer.cancel()
        if self in self.admin_server.open_connections:
            self.admin_server.open_connections.discard(self)
            super().connection_lost(exc)
