"""A steward in this process on real sockets, and raw peers that speak to it byte by byte."""

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

CONFIG = """\
steward {
  listen = "127.0.0.1:0"
}
store {
  path = "%s"
  retry_ms = 30
  retry_most_ms = 60
}
roster {
  address = "127.0.0.1:1"
}
slices {
  count = 4
}
operation "quote" {
  repeat = "idempotent"
  latency_objective_ms = 1200
  integration_timeout_ms = 3000
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


class Scripted:
    """A decider that hands out what a test puts into `todo` at its next step."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.todo: list[api.Action] = []
        self.told: list[api.Event] = []

    def step(self, now: float, events: Sequence[api.Event]) -> list[api.Action]:
        self.told += events
        todo, self.todo = self.todo, []
        return todo


class Peer:
    """One raw connection to the steward's link."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.frames = frames.FrameReader(frames.proxy_decoder, 16 << 20)
        self.got: list[Any] = []
        self.closed = False

    def say(self, *said: frames.Frame) -> None:
        self.writer.write(b"".join(frames.encode(f) for f in said))

    def hello(self, f: int, session: str = "", **more: Any) -> None:
        self.say(frames.Hello(frames.PROTOCOL_VERSION, f, session or f"{f}-1", **more))

    async def until(self, kind: type, wanted: Callable[[Any], bool] = lambda f: True, within: float = 5.0) -> Any:
        """The next frame of a kind; everything that came stands in `got`."""
        async with asyncio.timeout(within):
            seen = 0
            while True:
                for f in self.got[seen:]:
                    seen += 1
                    if isinstance(f, kind) and wanted(f):
                        return f
                data = await self.reader.read(65536)
                if not data:
                    self.closed = True
                    raise EOFError(f"closed after {[type(f).__name__ for f in self.got]}")
                self.got += self.frames.feed(data)

    async def ended(self, within: float = 5.0) -> str:
        """Waits for the end of the link; the code of the last word."""
        with contextlib.suppress(EOFError, ConnectionError):
            await self.until(type(None), within=within)
        return next((f.code for f in reversed(self.got) if isinstance(f, frames.Goodbye)), "none")


class Running:
    """A controller that runs in this process; port, door: where it listens for proxies and for HTTP."""

    def __init__(self, tmp: Path, text: str = "", decider: Any = Scripted, config: str = CONFIG) -> None:
        path = tmp / "s.hcl"
        path.write_text(config % (tmp / "s.db") + text)
        self.path = path
        self.steward = Controller(load_controller(path), decider, config_path=str(path))

    async def __aenter__(self) -> Running:
        await self.steward.start()
        self.port, self.door = (s.sockets[0].getsockname()[1] for s in self.steward.network.servers)
        return self

    async def __aexit__(self, *why: object) -> None:
        self.steward.stop()
        await asyncio.sleep(0.02)

    @property
    def module(self) -> Scripted:
        module = self.steward.engine.assigner
        assert isinstance(module, Scripted)
        return module

    def do(self, *actions: api.Action) -> None:
        self.module.todo += actions
        self.steward.engine.add_event(self.steward.clock(), api.TimerFired(99))
        self.steward.timer.request_step()

    async def peer(self) -> Peer:
        return Peer(*await asyncio.open_connection("127.0.0.1", self.port))

    async def joined(self, f: int, **more: Any) -> Peer:
        peer = await self.peer()
        peer.hello(f, **more)
        await peer.until(frames.Tables)
        return peer

    async def get(self, text: str) -> tuple[int, bytes]:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.door)
        writer.write(text.encode())
        async with asyncio.timeout(5):
            data = await reader.read()
        writer.close()
        return int(data.split()[1]) if data else 0, data


async def until(wanted: Callable[[], Any], within: float = 5.0) -> None:
    """Wait until a condition holds; raises TimeoutError after `within` seconds."""
    async with asyncio.timeout(within):
        while True:
            if wanted():
                return
            await asyncio.sleep(0.005)
