"""A server of the listening address on the event loop of the test, and its peers."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Any

from forced_order import PeerConnection
from platform_samples import report_intake

from corallanding.collector.server import CollectorServer
from corallanding.resp import encode

IDENTIFICATION = encode(["telemetry", "locality", "a"])
HEARTBEAT = encode(["hb"])


class ServerHarness:
    """A server on this event loop, the reports it received, and connections to it."""

    def __init__(self, max_unidentified: int = 16) -> None:
        self.events: list[Any] = []
        self.server = CollectorServer(
            ("127.0.0.1", 0), report_intake({3}), max_unidentified, self.events.extend, lambda text: None
        )

    async def connect(self, *messages: bytes) -> PeerConnection:
        peer = PeerConnection(*await asyncio.open_connection(*self.server.listener.socket.getsockname()))
        peer.send(*messages)
        return peer


@contextlib.asynccontextmanager
async def server_harness(**arguments: Any) -> AsyncIterator[ServerHarness]:
    harness = ServerHarness(**arguments)
    try:
        yield harness
    finally:
        harness.server.close()


async def read_all(peer: PeerConnection) -> bytes:
    """Return the bytes received until the connection ends."""
    return await peer.reader.read()
