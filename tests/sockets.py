"""A controller that runs in the process of the tests on real sockets, and raw connections to it."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

from corallanding import interface as api
from corallanding.config import load_controller
from corallanding.controller.daemon import Controller
from corallanding.wire import frames

ROSTER_AND_SLICES = """\
roster {
  address = "127.0.0.1:1"
}
slices {
  count = 4
}
"""
"""A host list that cannot be reached, and four slices."""

QUOTE_FIELDS = """\
  repeat = "idempotent"
  latency_objective_ms = 1200
  integration_timeout_ms = 3000
"""
"""The fields of the operation "quote"."""

CONFIG = (
    """\
steward {
  listen = "127.0.0.1:0"
}
store {
  path = "%s"
  retry_ms = 30
  retry_most_ms = 60
}
"""
    + ROSTER_AND_SLICES
    + 'operation "quote" {\n'
    + QUOTE_FIELDS
    + """\
}
forwarders {
  count = 2
  most = 8
  beat_ms = 100
  silence_ms = 600
  hello_within_ms = 300
  frame_most_bytes = 4096
  buffer_most_bytes = 65536
}
door {
  listen = "127.0.0.1:0"
  connections_most = 4
  header_most_bytes = 1024
  request_within_ms = 300
}
log {
  level = "error"
}
"""
)


class ScriptedAssigner:
    """An assigner whose next step returns `next_actions`; `told` holds the events that it received."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.next_actions: list[api.Action] = []
        self.told: list[api.Event] = []

    def step(self, now: float, events: Sequence[api.Event]) -> list[api.Action]:
        self.told += events
        actions = self.next_actions
        self.next_actions = []
        return actions


class RawProxyConnection:
    """A proxy's end of one connection to the controller. It sends only the frames that the test passes to it."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.frame_reader = frames.FrameReader(frames.proxy_decoder, 16 << 20)
        self.received: list[Any] = []
        self.is_closed = False

    def send(self, *sent_frames: frames.Frame) -> None:
        """Send the frames in one write."""
        self.writer.write(b"".join(frames.encode(frame) for frame in sent_frames))

    def send_hello(self, proxy: int, session: str = "", **fields: Any) -> None:
        """Send the hello of a proxy; its session defaults to the proxy's first one."""
        self.send(frames.Hello(frames.PROTOCOL_VERSION, proxy, session or f"{proxy}-1", **fields))

    async def wait_for_frame(
        self, kind: type, is_wanted: Callable[[Any], bool] = lambda frame: True, timeout_seconds: float = 5.0
    ) -> Any:
        """Return the first frame of a kind in `received`, waiting for it if necessary.

        Raises EOFError when the controller closes the connection, and TimeoutError.
        """
        async with asyncio.timeout(timeout_seconds):
            checked = 0
            while True:
                for frame in self.received[checked:]:
                    checked += 1
                    if isinstance(frame, kind) and is_wanted(frame):
                        return frame
                data = await self.reader.read(65536)
                if not data:
                    self.is_closed = True
                    raise EOFError(f"closed after {[type(frame).__name__ for frame in self.received]}")
                self.received += self.frame_reader.feed(data)

    async def wait_close_code(self, timeout_seconds: float = 5.0) -> str:
        """Wait until the connection ends; return the code of the last goodbye frame, or "none"."""
        with contextlib.suppress(EOFError, ConnectionError):
            await self.wait_for_frame(type(None), timeout_seconds=timeout_seconds)
        return next((frame.code for frame in reversed(self.received) if isinstance(frame, frames.Goodbye)), "none")


class Running:
    """A running controller. It listens for proxies on `proxy_port` and for HTTP requests on `http_port`.

    `text` is appended to the configuration.
    """

    def __init__(self, directory: Path, text: str = "", decider: Any = ScriptedAssigner, config: str = CONFIG) -> None:
        path = directory / "s.hcl"
        path.write_text(config % (directory / "s.db") + text)
        self.path = path
        self.steward = Controller(load_controller(path), decider, config_path=str(path))

    async def __aenter__(self) -> Running:
        await self.steward.start()
        self.proxy_port, self.http_port = (
            server.sockets[0].getsockname()[1] for server in self.steward.network.servers
        )
        return self

    async def __aexit__(self, *exception: object) -> None:
        self.steward.stop()
        await asyncio.sleep(0.02)

    @property
    def module(self) -> ScriptedAssigner:
        """The controller's scripted assigner."""
        assigner = self.steward.engine.assigner
        assert isinstance(assigner, ScriptedAssigner)
        return assigner

    def apply_actions(self, *actions: api.Action) -> None:
        """Let the assigner return the actions in its next step, and request that step."""
        self.module.next_actions += actions
        self.steward.engine.add_event(self.steward.clock(), api.TimerFired(99))
        self.steward.timer.request_step()

    async def connect_proxy(self) -> RawProxyConnection:
        """Open a connection on which nothing is sent yet."""
        return RawProxyConnection(*await asyncio.open_connection("127.0.0.1", self.proxy_port))

    async def join_proxy(self, proxy: int, **fields: Any) -> RawProxyConnection:
        """Open a connection, send the hello of a proxy and wait for the tables."""
        peer = await self.connect_proxy()
        peer.send_hello(proxy, **fields)
        await peer.wait_for_frame(frames.Tables)
        return peer

    async def send_http_request(self, request: str) -> tuple[int, bytes]:
        """Send an HTTP request as it stands; return the status, 0 without an answer, and the complete answer."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.http_port)
        writer.write(request.encode())
        async with asyncio.timeout(5):
            data = await reader.read()
        writer.close()
        return int(data.split()[1]) if data else 0, data


async def until(condition: Callable[[], Any], timeout_seconds: float = 5.0) -> None:
    """Wait until the condition holds. Raises TimeoutError after `timeout_seconds`."""
    async with asyncio.timeout(timeout_seconds):
        while True:
            if condition():
                return
            await asyncio.sleep(0.005)
