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
class Answer:
    status: int
    body: bytes
    kind: str = "application/json"


Route = Callable[[], Answer]


def problem(status: int, text: str) -> Answer:
    return Answer(status, f"{text}\n".encode(), "text/plain")


class Door(web.Server):
    """routes: path to a function that answers. Limits may be changed by a reload; within: ms. Made inside the loop."""

    def __init__(self, routes: dict[str, Route], connections: int, header_most: int, within: float) -> None:
        super().__init__(self.answer)
        self.routes = routes
        self.connections_most, self.header_most, self.within = connections, header_most, within
        self.open: set[Visit] = set()

    def __call__(self) -> Visit:
        return Visit(self)

    async def answer(self, request: web.BaseRequest) -> web.Response:
        cast(Visit, request.protocol).await_request()
        if request.method not in ("GET", "HEAD"):
            found = problem(405, "only GET and HEAD")
        elif request.path not in self.routes:
            found = problem(404, f"no such path; there are {', '.join(sorted(self.routes))}")
        else:
            found = self.routes[request.path]()
        return web.Response(status=found.status, body=found.body, headers={"Content-Type": found.kind})

    def close(self) -> None:
        for visit in list(self.open):
            visit.drop()


class Visit(RequestHandler):
    """One connection. seen: bytes since the last whole request, its body included: none is asked for."""

    def __init__(self, door: Door) -> None:
        super().__init__(door, loop=asyncio.get_running_loop(), access_log=None, lingering_time=0.0)  # type: ignore[arg-type]
        self.door, self.seen, self.over = door, 0, False
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.way = cast(asyncio.Transport, transport)
        if len(self.door.open) >= self.door.connections_most:
            self.turn_away(problem(503, "too many connections"))
            return
        self.door.open.add(self)
        super().connection_made(transport)
        self.await_request()

    def await_request(self) -> None:
        self.seen = 0
        if self.timer:
            self.timer.cancel()
        self.timer = asyncio.get_running_loop().call_later(self.door.within / 1000.0, self.late)

    def late(self) -> None:
        # Idle between requests: no one asked anything. Half a request: slow on purpose, or broken.
        if self.seen:
            self.turn_away(problem(408, "the request took too long"))
        else:
            self.drop()

    def data_received(self, data: bytes) -> None:
        if self.over:
            return
        self.seen += len(data)
        if self.seen > self.door.header_most:
            self.turn_away(problem(431, f"more than {self.door.header_most} bytes"))
        else:
            super().data_received(data)

    def turn_away(self, answer: Answer) -> None:
        """Outside of any request that aiohttp knows of, so that the words are ours."""
        head = (
            f"HTTP/1.1 {answer.status} {HTTPStatus(answer.status).phrase}\r\nContent-Type: {answer.kind}\r\n"
            f"Content-Length: {len(answer.body)}\r\nConnection: close\r\n\r\n"
        )
        self.way.write(head.encode() + answer.body)
        self.drop()

    def drop(self) -> None:
        self.over = True
        self.way.close()

    def connection_lost(self, exc: BaseException | None) -> None:
        if self.timer:
            self.timer.cancel()
        if self in self.door.open:
            self.door.open.discard(self)
            super().connection_lost(exc)
