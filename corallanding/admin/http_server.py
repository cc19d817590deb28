"""The admin server, based on aiohttp's server: GET and HEAD only.

Adds limits that aiohttp lacks: on the number of connections, on the bytes of a request's header, and on the time of a
request or of a connection without one.
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
    """Response of a route. status: HTTP status code."""

    status: int
    body: bytes
    content_type: str = "application/json"


Route = Callable[[], HttpResponse]


def error_response(status: int, text: str) -> HttpResponse:
    """Return an error response with one line of plain text."""
    return HttpResponse(int(status), f"{text}\n".encode(), "text/plain")


class AdminServer(web.Server):
    """Serves each path by its route. Must be created inside the event loop.

    routes: path to the function that returns its response. max_connections: open at one time. max_header_bytes: per
    request. request_timeout_ms: also applies to a connection without a request. The limits may change while it runs.
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
        """Return the protocol of a new connection, as a protocol factory of asyncio."""
        return AdminConnection(self)

    async def answer(self, request: web.BaseRequest) -> web.Response:
        """Answer one request."""
        cast(AdminConnection, request.protocol).await_request()
        if request.method not in ("GET", "HEAD"):
            response = error_response(HTTPStatus.METHOD_NOT_ALLOWED, "only GET and HEAD")
        elif request.path not in self.routes:
            paths = ", ".join(sorted(self.routes))
            response = error_response(HTTPStatus.NOT_FOUND, f"no such path; there are {paths}")
        else:
            response = self.routes[request.path]()
        return web.Response(status=response.status, body=response.body, headers={"Content-Type": response.content_type})

    def close(self) -> None:
        """Close all connections at once; requests that have been received and not answered get an error."""
        for connection in list(self.open_connections):
            if connection.received_bytes:
                connection.reject(error_response(HTTPStatus.SERVICE_UNAVAILABLE, "stopping"))
            else:
                connection.disconnect()


class AdminConnection(RequestHandler):
    """One connection, within the limits of its server."""

    def __init__(self, server: AdminServer) -> None:
        super().__init__(server, loop=asyncio.get_running_loop(), access_log=None, lingering_time=0.0)  # type: ignore[arg-type]
        self.server = server
        self.received_bytes = 0  # since the last complete request, including any body, which no route needs
        self.is_closing = False
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept a connection, or reject it if too many are open."""
        self.tcp_transport = cast(asyncio.Transport, transport)
        if len(self.server.open_connections) >= self.server.max_connections:
            self.reject(error_response(HTTPStatus.SERVICE_UNAVAILABLE, "too many connections"))
            return
        self.server.open_connections.add(self)
        super().connection_made(transport)
        self.await_request()

    def await_request(self) -> None:
        """Reset the limits for the next request."""
        self.received_bytes = 0
        if self.timer:
            self.timer.cancel()
        timeout_s = self.server.request_timeout_ms / 1000.0
        self.timer = asyncio.get_running_loop().call_later(timeout_s, self.on_timeout)

    def on_timeout(self) -> None:
        """Answer an incomplete request with an error; close a connection without a request."""
        if self.received_bytes:
            self.reject(error_response(HTTPStatus.REQUEST_TIMEOUT, "the request took too long"))
        else:
            self.disconnect()

    def data_received(self, data: bytes) -> None:
        """Pass data to aiohttp, up to the size limit of a request."""
        if self.is_closing:
            return
        self.received_bytes += len(data)
        limit = self.server.max_header_bytes
        if self.received_bytes > limit:
            self.reject(error_response(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, f"more than {limit} bytes"))
        else:
            super().data_received(data)

    def reject(self, response: HttpResponse) -> None:
        """Write a response that belongs to no request of aiohttp, and close the connection."""
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
        """Close the connection; data that arrives afterwards is ignored."""
        self.is_closing = True
        self.tcp_transport.close()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the timer of the connection and remove it from the server."""
        if self.timer:
            self.timer.cancel()
        if self in self.server.open_connections:
            self.server.open_connections.discard(self)
            super().connection_lost(exc)
