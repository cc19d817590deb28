"""Long polls of the platform's discovery agent over HTTP/1.1, one after the other on one connection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol, cast

import httptools

MOST = 8 << 20  # bytes of an answer


class Lost(Exception):
    """No answer: not reached, broken off, no HTTP, too late. The text says which."""


class Conversation(asyncio.Protocol):
    """One connection, one question at a time."""

    def __init__(self) -> None:
        self.answer: asyncio.Future[bytes] | None = None
        self.lost = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.parser = httptools.HttpResponseParser(self)
        self.body = bytearray()

    def ask(self, path: str, host: str) -> asyncio.Future[bytes]:
        self.answer = asyncio.get_running_loop().create_future()
        if self.lost:
            self.answer.set_exception(Lost("the connection is closed"))
        else:
            self.body.clear()
            self.transport.write(f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
        return self.answer

    def fail(self, why: str) -> None:
        self.lost = True
        if self.answer and not self.answer.done():
            self.answer.set_exception(Lost(why))
        self.transport.abort()

    def on_body(self, body: bytes) -> None:
        self.body += body
        if len(self.body) > MOST:
            self.fail(f"an answer of over {MOST} bytes")

    def on_message_complete(self) -> None:
        status = self.parser.get_status_code()
        self.lost = self.lost or not self.parser.should_keep_alive()
        if self.answer and not self.answer.done():
            if status == 200:
                self.answer.set_result(bytes(self.body))
            else:
                self.answer.set_exception(Lost(f"status {status}"))

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as fault:
            self.fail(f"no HTTP: {fault}")

    def connection_lost(self, exc: Exception | None) -> None:
        self.fail("the connection broke")


class Listener(Protocol):
    """What the agent's answers come to."""

    @property
    def version(self) -> int: ...

    def listed(self, body: bytes) -> bool:
        """Takes an answer; false if it cannot be read."""
        ...

    def unlisted(self, why: str) -> None: ...


class Agent:
    """Times in ms. wait: how long a poll may stand; short, as a connection that fell silent shows only by its end.

    on_request: nothing is asked until `follow` or `fetch`, and a failure is told. Waits after failures double up to
    `again_most`.
    """

    def __init__(
        self, where: tuple[str, int], listener: Listener, on_request: bool = False, wait: float = 1_000.0,
        late: float = 400.0, again_most: float = 400.0,
    ) -> None:  # fmt: skip
        self.where, self.listener, self.wait, self.late, self.again_most = where, listener, wait, late, again_most
        self.following, self.fetching, self.asked = not on_request, False, on_request
        self.wanted = asyncio.Event()
        self.conn: Conversation | None = None
        self.task: asyncio.Task[None] | None = None
        self.moving: asyncio.Task[None] | None = None
        self.polls = 0
        self.said: Callable[[str], None] = lambda text: None

    def start(self) -> None:
        self.task = asyncio.get_running_loop().create_task(self.run())
        if self.following:
            self.wanted.set()

    def follow(self, on: bool) -> None:
        self.following = on
        if on:
            self.wanted.set()

    def fetch(self) -> None:
        self.fetching = True
        self.wanted.set()

    async def run(self) -> None:
        again = 0.0
        while True:
            if not (self.following or self.fetching):
                self.wanted.clear()
                await self.wanted.wait()
            whole, self.fetching = self.fetching, False
            try:
                body = await self.get(whole)
                if not self.listener.listed(body):
                    raise Lost("an answer that cannot be read")
                again = 0.0
            except Lost as fault:
                if self.asked:
                    # One word for each call that failed; the module asks again as it sees fit.
                    self.following = False
                    self.listener.unlisted(str(fault))
                self.said(f"discovery: {fault}")
                if again:
                    await asyncio.sleep(again / 1000.0)
                again = min(self.again_most, max(20.0, again * 2.0))

    async def get(self, whole: bool) -> bytes:
        path = "/v1/servers" if whole else f"/v1/servers?index={self.listener.version}&wait={self.wait:.0f}"
        self.polls += 1
        conn = self.conn if self.conn and not self.conn.lost else None
        try:
            if conn is None:
                async with asyncio.timeout(self.late / 1000.0):
                    conn = await self.dial(self.where)
                self.conn = conn
            limit = self.late + (0.0 if whole else self.wait)
            async with asyncio.timeout(limit / 1000.0):
                return await conn.ask(path, self.where[0])
        except (OSError, Lost) as fault:
            if conn and conn is self.conn:  # else it has moved meanwhile
                self.drop()
            late = isinstance(fault, TimeoutError)
            raise Lost("no answer in time" if late else str(fault) or type(fault).__name__) from None

    async def dial(self, where: tuple[str, int]) -> Conversation:
        _, conn = await asyncio.get_running_loop().create_connection(Conversation, *where)
        return conn

    def drop(self) -> None:
        if self.conn:
            self.conn.fail("given up")
            self.conn = None

    def move(self, where: tuple[str, int]) -> None:
        """The agent is elsewhere: it is dialled first, then the old poll ends."""
        if where != self.where:
            self.where = where
            if self.moving:
                self.moving.cancel()
            self.moving = asyncio.get_running_loop().create_task(self.change(where))

    async def change(self, where: tuple[str, int]) -> None:
        try:
            async with asyncio.timeout(self.late / 1000.0):
                conn = await self.dial(where)
        except OSError:
            return  # the poll dials by itself once the old connection ends
        old, self.conn = self.conn, conn
        if old:
            old.fail("discovery is elsewhere now")

    def stop(self) -> None:
        for task in (self.task, self.moving):
            if task:
                task.cancel()
        self.drop()
