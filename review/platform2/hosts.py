"""Stand-in hosts: a health check server each, and a model of how long a request takes."""

from __future__ import annotations

import asyncio
import random
import socket
import time
from typing import Any

CORES = 4
MOST_HELD = 56  # requests in work and waiting
WORK_S = 0.25


def free_port() -> int:
    """Return a port that nobody uses now, below those that the system gives out by itself."""
    source = random.SystemRandom()
    while True:
        port = source.randrange(12_000, 30_000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


class Host:
    """One host. `born_ms` is the start of its process in Unix ms, 0 for long ago."""

    def __init__(self, name: str, zone: str, block: int, born_ms: float = 0.0) -> None:
        self.name = name
        self.zone = zone
        self.block = block
        self.born_ms = born_ms
        self.health = "in_service"
        self.is_alive = True
        self.is_hung = False
        self.held = 0
        self.cold_from = 1.0
        self.cold_ms = 1.0
        self.server: asyncio.Server | None = None
        self.port = free_port()
        self.writers: set[asyncio.StreamWriter] = set()
        self.checks = 0

    async def start(self) -> None:
        """Listen for health checks, on the former port unless another program has taken it meanwhile."""
        self.is_alive = True
        try:
            self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        except OSError:
            self.port = free_port()
            self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    def die(self) -> None:
        """End the process: connections are reset, new ones refused."""
        self.is_alive = False
        self.held = 0
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            await reader.readuntil(b"\r\n\r\n")
            self.checks += 1
            if self.is_hung:
                await asyncio.sleep(10.0)
            body = b"inflight=%d" % self.held
            status = b"200 OK" if self.health == "in_service" else b"503 Service Unavailable"
            writer.write(b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body))
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def share(self) -> float:
        """Return the present part of the full capacity."""
        if not self.born_ms:
            return 1.0
        age = time.time() * 1000.0 - self.born_ms
        return min(1.0, self.cold_from + (1.0 - self.cold_from) * age / self.cold_ms)

    def latency_s(self) -> float:
        """Return how long a request that begins now takes."""
        return WORK_S / self.share() * max(1.0, (self.held + 1) / CORES)

    def entry(self) -> dict[str, Any]:
        """Return the host's entry in discovery's list."""
        return {
            "host": self.name,
            "dial": f"127.0.0.1:{self.port}",
            "site": self.zone,
            "class": "std-4c",
            "block": self.block,
            "health": self.health,
            "share": 1.0,
            "born_ms": int(self.born_ms),
        }
