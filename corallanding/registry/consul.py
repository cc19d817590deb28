"""Blocking reads by index over HTTP, as Consul publishes them, on the same interface as `etcd`.

The registry gives whole answers with an index and no history: each answer is a full read at its index, and the
view's difference to it is the change. An index that goes back (a restore) begins anew, as Consul's pages ask.
"""

from __future__ import annotations

import asyncio
import base64
from typing import Any, cast

import httptools
import msgspec

from ..roster.view import loopback
from .connection import Lost, Stream
from .sync import Header, Row

MOST = 64 << 20


class Entry(msgspec.Struct, rename="pascal"):
    key: str
    value: str | None
    modify_index: int


class Answer(asyncio.Protocol):
    """One HTTP answer on one connection."""

    def __init__(self) -> None:
        self.done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.parser = httptools.HttpResponseParser(self)
        self.body, self.index = bytearray(), 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"x-consul-index" and value.isdigit():
            self.index = int(value)

    def on_body(self, body: bytes) -> None:
        self.body += body
        if len(self.body) > MOST:
            self.transport.abort()

    def on_message_complete(self) -> None:
        if not self.done.done():
            self.done.set_result(None)

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.done.done():
            self.done.set_exception(Lost("the answer broke off"))


class Consul:
    """One source. timeout, wait: ms for an answer, and how long a read may block on the registry's side."""

    def __init__(self, address: str, timeout: float, wait: float = 10_000.0, token: str = "") -> None:
        self.where, self.timeout, self.wait, self.token = loopback(address), timeout, wait, token
        self.epoch, self.index = 1, 0
        self.kept: tuple[int, list[Row]] | None = None  # what a blocking read brought

    async def read(self, prefix: bytes, index: int) -> tuple[int, list[Row]]:
        path = f"/v1/kv/{prefix.decode()}?recurse=true&index={index}&wait={max(1, int(self.wait / 1000))}s"
        token = f"X-Consul-Token: {self.token}\r\n" if self.token else ""
        limit = (self.timeout + (self.wait if index else 0.0)) / 1000.0
        transport: Any = None
        try:
            async with asyncio.timeout(limit):
                loop = asyncio.get_running_loop()
                transport, answer = await loop.create_connection(Answer, *self.where)
                transport.write(f"GET {path} HTTP/1.1\r\nHost: registry\r\n{token}\r\n".encode())
                await answer.done
        except (OSError, TimeoutError) as fault:
            raise Lost(str(fault) or "timed out") from None
        finally:
            if transport:
                transport.abort()
        status = answer.parser.get_status_code()
        if status not in (200, 404):
            raise Lost(f"the registry answered {status}")
        try:
            found = msgspec.json.decode(bytes(answer.body), type=list[Entry]) if status == 200 else []
            rows = [Row(e.key.encode(), base64.b64decode(e.value or ""), e.modify_index) for e in found]
        except (msgspec.DecodeError, ValueError) as fault:
            raise Lost(f"not an answer: {fault}"[:200]) from None
        return max(1, answer.index), rows

    def header(self, index: int) -> Header:
        return Header(self.epoch, index)

    async def page(self, prefix: bytes, after: bytes, revision: int, most: int) -> tuple[Header, list[Row], bool]:
        kept, self.kept = self.kept, None
        index, rows = kept or await self.read(prefix, 0)
        if index < self.index:
            self.epoch += 1  # the published rule: an index that goes back means starting over
        self.index = index
        return self.header(index), rows, False

    async def watch(self, prefix: bytes, revision: int, told: Stream) -> None:
        """Blocks until the index moves; then asks the owner for a full read, which is all that there is here."""
        told.created(self.header(self.index))
        while True:
            index, rows = await self.read(prefix, self.index)
            if index != self.index:
                self.kept = (index, rows)
                told.cancelled(None, index + revision, "the index moved")
                return

    async def close(self) -> None:
        return None
