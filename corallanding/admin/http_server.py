"""The admin server, on aiohttp's server: GET and HEAD only.

What aiohttp leaves open is bounded here: connections, the bytes of a request's head, and the time that a request, or a
connection without one, may take.
"""

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
    """What a path answers. status: of HTTP."""

    status: int
    body: bytes
    content_type: str = "application/json"


Route = Callable[[], HttpResponse]


def error_response(status: int, text: str) -> HttpResponse:
    """An error as one line of plain text."""
    return HttpResponse(int(status), f"{text}\n".encode(), "text/plain")


class AdminServer(web.Server):
    """Answers each path by its route; made inside the event loop.

    routes: path to the function that answers. max_connections: at one time. max_header_bytes: of a request.
    request_timeout_ms: also of a connection on which none comes. The limits may change while it runs.
    """

    def __init__(
        self, routes: dict[str, Route], max_connections: int, max_header_bytes: int, request_timeout_ms: float
    ) -> None:
        super().__init__(self.answer)
        self.routes = routes
        self.max_connections = max_connections
        self.max_header_bytes = max_header_bytes
        self.request_timeout_ms = request_timeout_ms
        self.open_connections: set[AdminConnection] = set()

    def __call__(self) -> AdminConnection:
        """Make the protocol of a new connection, as asyncio asks for it."""
        return AdminConnection(self)

    async def answer(self, request: web.BaseRequest) -> web.Response:
        """Answer one request."""
        cast(AdminConnection, request.protocol).await_request()
        if request.method not in ("GET", "HEAD"):
            found = error_response(HTTPStatus.METHOD_NOT_ALLOWED, "only GET and HEAD")
        elif request.path not in self.routes:
            paths = ", ".join(sorted(self.routes))
            found = error_response(HTTPStatus.NOT_FOUND, f"no such path; there are {paths}")
        else:
            found = self.routes[request.path]()
        return web.Response(status=found.status, body=found.body, headers={"Content-Type": found.content_type})

    def close(self) -> None:
        """Close all connections at once."""
        for connection in list(self.open_connections):
            connection.disconnect()


class AdminConnection(RequestHandler):
    """One connection, within the limits of its server."""

    def __init__(self, server: AdminServer) -> None:
        super().__init__(server, loop=asyncio.get_running_loop(), access_log=None, lingering_time=0.0)  # type: ignore[arg-type]
        self.server = server
        self.received_bytes = 0  # since the last complete request, its body included: none is asked for
        self.is_closing = False
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take a connection, or reject it if there are too many."""
        self.tcp_transport = cast(asyncio.Transport, transport)
        if len(self.server.open_connections) >= self.server.max_connections:
            self.reject(error_response(HTTPStatus.SERVICE_UNAVAILABLE, "too many connections"))
            return
        self.server.open_connections.add(self)
        super().connection_made(transport)
        self.await_request()

    def await_request(self) -> None:
        """A request is complete: the next one has its own limits."""
        self.received_bytes = 0
        if self.timer:
            self.timer.cancel()
        timeout_s = self.server.request_timeout_ms / 1000.0
        self.timer = asyncio.get_running_loop().call_later(timeout_s, self.on_timeout)

    def on_timeout(self) -> None:
        """Answer half a request with an error; close a connection on which none was begun."""
        if self.received_bytes:
            self.reject(error_response(HTTPStatus.REQUEST_TIMEOUT, "the request took too long"))
        else:
            self.disconnect()

    def data_received(self, data: bytes) -> None:
        """Hand data to aiohttp, up to the limit of a request."""
        if self.is_closing:
            return
        self.received_bytes += len(data)
        limit = self.server.max_header_bytes
        if self.received_bytes > limit:
            self.reject(error_response(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, f"more than {limit} bytes"))
        else:
            super().data_received(data)

    def reject(self, response: HttpResponse) -> None:
        """Write a response outside of any request that aiohttp knows of, and close the connection."""
        phrase = HTTPStatus(response.status).phrase
        lines = (
            f"HTTP/1.1 {response.status} {phrase}",
            f"Content-Type: {response.content_type}",
            f"Content-Length: {len(response.body)}",
            "Connection: close",
        )
        head = "".join(f"{line}\r\n" for line in lines) + "\r\n"
        self.tcp_transport.write(head.encode() + response.body)
        self.disconnect()

    def disconnect(self) -> None:
        """Close the connection; data that still comes is ignored."""
        self.is_closing = True
        self.tcp_transport.close()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget the connection."""
        if self.timer:
            self.timer.cancel()
        if self in self.server.open_connections:
            self.server.open_connections.discard(self)
            super().connection_lost(exc)
