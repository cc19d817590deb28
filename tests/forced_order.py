"""Peers on loopback that send nothing but what the test says, and connections established when it says so.

With them a test forces each order of events that could otherwise occur by chance.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import struct
import time
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import msgspec
import uvloop
from platform_standins import LONG

Address = tuple[str, int]
FOR_EVER = 60_000.0  # ms


def clock() -> float:
    return time.monotonic() * 1000.0


def play(scene: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """On the loop that the steward runs on; faults of callbacks fail the test."""
    faults: list[dict[str, Any]] = []

    async def bounded() -> None:
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: faults.append(context))
        async with asyncio.timeout(LONG):
            await scene()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(bounded())
    assert not faults, faults


async def until(true: Callable[[], Any]) -> None:
    """Turns of the loop, until it is so."""
    while not true():  # noqa: ASYNC110 - the condition belongs to the code under test
        await asyncio.sleep(0.001)


async def turns(count: int = 20) -> None:
    for _ in range(count):
        await asyncio.sleep(0)


def busy(work: Callable[[], None], s: float) -> None:
    """The loop does `work` in a read of something else, and then stands still in it for so long."""
    loop, (here, there) = asyncio.get_running_loop(), socket.socketpair()

    def read() -> None:
        loop.remove_reader(here)
        here.close()
        there.close()
        work()
        time.sleep(s)

    loop.add_reader(here, read)
    there.send(b"x")


class Side:
    """One connection as its far end holds it: nothing is read, said or closed but by the test."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def line(self) -> dict[str, Any]:
        said: dict[str, Any] = msgspec.json.decode(await self.reader.readline())
        return said

    async def question(self) -> str:
        """The path of an HTTP request."""
        return (await self.reader.readuntil(b"\r\n\r\n")).split(b" ")[1].decode()

    def say(self, *said: bytes | dict[str, Any]) -> None:
        """In one write."""
        self.writer.write(b"".join(x if isinstance(x, bytes) else msgspec.json.encode(x) + b"\n" for x in said))

    def tell(self, *rows: tuple[str, dict[str, Any]]) -> None:
        self.say(*({"jsonrpc": "2.0", "method": method, "params": params} for method, params in rows))

    def answer(self, body: bytes, head: bytes = b"") -> None:
        self.say(b"HTTP/1.1 200 OK\r\n" + (head or b"Content-Length: %d\r\n" % len(body)) + b"\r\n" + body)

    def now(self, *said: bytes) -> None:
        """In the kernel's hands at once, also while the loop stands still."""
        raw = socket.socket(fileno=os.dup(self.writer.get_extra_info("socket").fileno()))
        raw.sendall(b"".join(said))
        raw.close()

    def close(self) -> None:
        self.writer.close()

    def reset(self) -> None:
        raw: socket.socket = self.writer.get_extra_info("socket")
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()

    async def gone(self) -> None:
        """Returns once the other end has let go of it."""
        with contextlib.suppress(ConnectionError):
            while await self.reader.read(65_536):
                pass


class Stand:
    """A listening address. `next`: the next connection that came."""

    def __init__(self) -> None:
        self.came: asyncio.Queue[Side] = asyncio.Queue()
        self.sides: list[Side] = []

    async def __aenter__(self) -> Stand:
        def came(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.sides.append(Side(reader, writer))
            self.came.put_nowait(self.sides[-1])

        self.server = await asyncio.start_server(came, "127.0.0.1", 0)
        self.where: Address = ("127.0.0.1", self.server.sockets[0].getsockname()[1])
        return self

    async def __aexit__(self, *why: object) -> None:
        self.server.close()
        for side in self.sides:
            side.writer.transport.abort()

    async def next(self) -> Side:
        return await self.came.get()


class Dials:
    """Dials of this loop. `early` holds a dial back before it begins, `late` once it is up, before its dialler goes on.
    `let` releases. `count`, `over`: of dials begun and ended, by address."""

    def __init__(self) -> None:
        self.loop: Any = asyncio.get_running_loop()
        self.real: Callable[..., Awaitable[Any]] = self.loop.create_connection
        self.loop.create_connection = self.dial
        self.held: dict[tuple[str, Address], asyncio.Event] = {}
        self.count: dict[Address, int] = {}
        self.over: dict[Address, int] = {}

    def early(self, where: Address) -> None:
        self.held["early", where] = asyncio.Event()

    def late(self, where: Address) -> None:
        self.held["late", where] = asyncio.Event()

    def let(self, where: Address) -> None:
        for when in ("early", "late"):
            if event := self.held.pop((when, where), None):
                event.set()

    async def wait(self, when: str, where: Address) -> None:
        if event := self.held.get((when, where)):
            await event.wait()

    async def dial(self, factory: Any, host: str, port: int) -> Any:
        where = (host, port)
        self.count[where] = self.count.get(where, 0) + 1
        try:
            await self.wait("early", where)
            up = await self.real(factory, host, port)
            await self.wait("late", where)
            return up
        finally:
            self.over[where] = self.over.get(where, 0) + 1


async def nobody() -> Address:
    """An address where nobody listens."""
    async with Stand() as stand:
        return stand.where
