"""A small HTTP/1.1 door, parsed by httptools. GET and HEAD only; header size, time and connections are bounded."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

import httptools


@dataclass(frozen=True)
class Answer:
    status: int
    body: bytes
    kind: str = "application/json"


Route = Callable[[], Answer]
REASONS = {
    200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout",
    431: "Request Header Fields Too Large", 503: "Service Unavailable",
}  # fmt: skip


def problem(status: int, text: str) -> Answer:
    return Answer(status, f"{text}\n".encode(), "text/plain")


class Door:
    """routes: path to a function that answers. Limits may be changed by a reload."""

    def __init__(self, routes: dict[str, Route], connections: int, header_most: int, within: float) -> None:
        self.routes = routes
        self.connections, self.header_most, self.within = connections, header_most, within
        self.open: set[Visit] = set()

    def protocol(self) -> Visit:
        return Visit(self)

    def close(self) -> None:
        for visit in list(self.open):
            visit.drop()


class Visit(asyncio.Protocol):
    def __init__(self, door: Door) -> None:
        self.door, self.parser, self.seen = door, httptools.HttpRequestParser(self), 0
        self.url, self.over = b"", False
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)
        self.transport = transport
        if len(self.door.open) >= self.door.connections:
            self.over = True
            self.reply(problem(503, "too many connections"))
            return
        self.door.open.add(self)
        self.await_request()

    def await_request(self) -> None:
        if self.timer:
            self.timer.cancel()
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(self.door.within / 1000.0, self.late)

    def late(self) -> None:
        # Idle between requests: no one asked anything. Half a request: slow on purpose, or broken.
        if self.seen:
            self.reply(problem(408, "the request took too long"))
        self.drop()

    def drop(self) -> None:
        self.over = True
        self.transport.close()

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_message_complete(self) -> None:
        method = self.parser.get_method()
        path = self.url.split(b"?")[0].decode("latin-1")
        keep = self.parser.should_keep_alive()
        if method not in (b"GET", b"HEAD"):
            answer = problem(405, "only GET and HEAD")
        elif path not in self.door.routes:
            answer = problem(404, f"no such path; there are {', '.join(sorted(self.door.routes))}")
        else:
            answer = self.door.routes[path]()
        self.reply(answer, keep, head=method == b"HEAD")
        self.url, self.seen = b"", 0
        self.await_request()

    def data_received(self, data: bytes) -> None:
        if self.over:
            return
        self.seen += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.reply(problem(400, "not HTTP"))
            self.drop()
            return
        if self.seen > self.door.header_most:
            self.reply(problem(431, f"more than {self.door.header_most} bytes"))
            self.drop()

    def reply(self, answer: Answer, keep: bool = False, head: bool = False) -> None:
        text = (
            f"HTTP/1.1 {answer.status} {REASONS.get(answer.status, 'Status')}\r\n"
            f"Content-Type: {answer.kind}\r\nContent-Length: {len(answer.body)}\r\n"
            f"Connection: {'keep-alive' if keep else 'close'}\r\n\r\n"
        )
        self.transport.write(text.encode() + (b"" if head else answer.body))
        if not keep:
            self.drop()

    def connection_lost(self, exc: Exception | None) -> None:
        self.door.open.discard(self)
        if self.timer:
            self.timer.cancel()
