"""Loopback peers and connection attempts that a test controls step by step.

With these a test forces an order of events that would otherwise occur only by chance.
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
from platform_standins import TEST_TIMEOUT_SECONDS

Address = tuple[str, int]
LONG_TIMEOUT_MS = 60_000.0  # longer than any test may run


def clock() -> float:
    """Return the monotonic time in milliseconds."""
    return time.monotonic() * 1000.0


def run_async(scenario: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run a scenario on the event loop that the controller uses. Exceptions in callbacks fail the test."""
    callback_errors: list[dict[str, Any]] = []

    async def run_with_timeout() -> None:
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: callback_errors.append(context))
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            await scenario()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run_with_timeout())
    assert not callback_errors, callback_errors


async def until(condition: Callable[[], Any]) -> None:
    """Run the event loop until the condition holds."""
    while not condition():  # noqa: ASYNC110 - the condition belongs to the code under test
        await asyncio.sleep(0.001)


async def yield_to_loop(count: int = 20) -> None:
    """Let the event loop run `count` iterations."""
    for _ in range(count):
        await asyncio.sleep(0)


def block_loop(work: Callable[[], None], seconds: float) -> None:
    """Call `work` in the read callback of an unrelated socket, then block the event loop there for `seconds`."""
    loop = asyncio.get_running_loop()
    reading, writing = socket.socketpair()

    def on_readable() -> None:
        loop.remove_reader(reading)
        reading.close()
        writing.close()
        work()
        time.sleep(seconds)

    loop.add_reader(reading, on_readable)
    writing.send(b"x")


class PeerConnection:
    """The peer's end of one connection. It reads, sends and closes only when the test calls for it."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def read_message(self) -> dict[str, Any]:
        """Return the next line, decoded from JSON."""
        message: dict[str, Any] = msgspec.json.decode(await self.reader.readline())
        return message

    async def read_request_path(self) -> str:
        """Read the head of an HTTP request and return its path."""
        return (await self.reader.readuntil(b"\r\n\r\n")).split(b" ")[1].decode()

    def send(self, *messages: bytes | dict[str, Any]) -> None:
        """Send raw bytes and JSON lines in one write."""
        self.writer.write(b"".join(x if isinstance(x, bytes) else msgspec.json.encode(x) + b"\n" for x in messages))

    def send_notifications(self, *notifications: tuple[str, dict[str, Any]]) -> None:
        """Send JSON-RPC notifications, each given by its method and parameters, in one write."""
        self.send(*({"jsonrpc": "2.0", "method": method, "params": params} for method, params in notifications))

    def send_answer(self, body: bytes, headers: bytes = b"") -> None:
        """Send an HTTP answer with status 200; its headers are the content length unless `headers` replaces it."""
        self.send(b"HTTP/1.1 200 OK\r\n" + (headers or b"Content-Length: %d\r\n" % len(body)) + b"\r\n" + body)

    def send_at_once(self, *messages: bytes) -> None:
        """Pass the bytes to the kernel synchronously, which works also while the event loop is blocked."""
        raw = socket.socket(fileno=os.dup(self.writer.get_extra_info("socket").fileno()))
        raw.sendall(b"".join(messages))
        raw.close()

    def close(self) -> None:
        """Close the connection after the buffered data is sent."""
        self.writer.close()

    def reset(self) -> None:
        """Abort the connection with a TCP reset."""
        raw: socket.socket = self.writer.get_extra_info("socket")
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()

    async def wait_closed(self) -> None:
        """Return once the other end has closed the connection; received data is discarded."""
        with contextlib.suppress(ConnectionError):
            while await self.reader.read(65_536):
                pass


class StandInServer:
    """A server on a loopback port whose connections are controlled by the test.

    `accepted`: connections that `next_connection` has not returned yet. `connections`: all accepted connections.
    """

    def __init__(self) -> None:
        self.accepted: asyncio.Queue[PeerConnection] = asyncio.Queue()
        self.connections: list[PeerConnection] = []

    async def __aenter__(self) -> StandInServer:
        def on_accepted(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.connections.append(PeerConnection(reader, writer))
            self.accepted.put_nowait(self.connections[-1])

        self.server = await asyncio.start_server(on_accepted, "127.0.0.1", 0)
        self.address: Address = ("127.0.0.1", self.server.sockets[0].getsockname()[1])
        return self

    async def __aexit__(self, *exception: object) -> None:
        self.server.close()
        for connection in self.connections:
            connection.writer.transport.abort()

    async def next_connection(self) -> PeerConnection:
        """Wait for the next accepted connection and return it."""
        return await self.accepted.get()


class ConnectionAttempts:
    """Counts the connection attempts of the running event loop, and holds them back for the test.

    `hold_before_connect` holds an attempt back before it begins; `hold_after_connect` holds it back when the connection
    is established, before the caller continues. `release` ends both. `started`, `ended`: number of attempts by address.
    """

    def __init__(self) -> None:
        self.loop: Any = asyncio.get_running_loop()
        self.create_connection: Callable[..., Awaitable[Any]] = self.loop.create_connection
        self.loop.create_connection = self.connect
        self.holds: dict[tuple[str, Address], asyncio.Event] = {}
        self.started: dict[Address, int] = {}
        self.ended: dict[Address, int] = {}

    def hold_before_connect(self, address: Address) -> None:
        self.holds["before", address] = asyncio.Event()

    def hold_after_connect(self, address: Address) -> None:
        self.holds["after", address] = asyncio.Event()

    def release(self, address: Address) -> None:
        for stage in ("before", "after"):
            if event := self.holds.pop((stage, address), None):
                event.set()

    async def wait_released(self, stage: str, address: Address) -> None:
        if event := self.holds.get((stage, address)):
            await event.wait()

    async def connect(self, factory: Any, host: str, port: int) -> Any:
        """Replace the event loop's `create_connection`."""
        address = (host, port)
        self.started[address] = self.started.get(address, 0) + 1
        try:
            await self.wait_released("before", address)
            established = await self.create_connection(factory, host, port)
            await self.wait_released("after", address)
            return established
        finally:
            self.ended[address] = self.ended.get(address, 0) + 1


async def unused_address() -> Address:
    """Return an address on which no server listens."""
    async with StandInServer() as server:
        return server.address
