"""A crowd of clients at a controller's address, which hold their connections and ask for signs of life."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter

from corallanding.collector.session import HEARTBEAT_ANSWER, REJECT
from corallanding.resp import encode

HEARTBEAT = encode(["hb"])
REJECT_PREFIX = REJECT[: len(b"*1\r\n$6")]
ANSWER_SECONDS = 3.0
UNREAD_SECONDS = 0.05
"""A request sent within this time before the end may not have been read; one that was not is reset by the kernel."""

MAX_PAUSE_SECONDS = 0.4


class Crowd:
    """Clients of one address. `counts` has the ends of their requests.

    "lost": the connection ended in order, without an answer, so that the controller had read the request. "late": there
    was no answer in time.
    """

    def __init__(self, port: int, seed: int) -> None:
        self.port = port
        self.random = random.Random(seed)
        self.counts: Counter[str] = Counter()
        self.is_killed = False  # the controller has been killed, or will be: it can answer nothing

    async def run(self, size: int) -> None:
        """Run the clients until cancelled."""
        async with asyncio.TaskGroup() as group:
            for _ in range(size):
                group.create_task(self._client())

    async def _client(self) -> None:
        while True:
            try:
                await self._connect_and_ask()
            except OSError:
                self.counts["refused or reset"] += 1
            await asyncio.sleep(self.random.uniform(0.0, MAX_PAUSE_SECONDS))

    async def _connect_and_ask(self) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        end = "answered"
        try:
            while end == "answered":
                writer.write(HEARTBEAT)
                end = await self._end_of_request(reader)
                self.counts[end] += 1
                await asyncio.sleep(self.random.uniform(0.0, MAX_PAUSE_SECONDS))
        finally:
            writer.transport.abort()

    async def _end_of_request(self, reader: asyncio.StreamReader) -> str:
        sent_s = time.monotonic()
        try:
            async with asyncio.timeout(ANSWER_SECONDS):
                data = await reader.read(len(HEARTBEAT_ANSWER))
        except TimeoutError:
            return "killed" if self.is_killed else "late"
        if data:
            return "rejected" if data.startswith(REJECT_PREFIX) else "answered"
        if time.monotonic() - sent_s < UNREAD_SECONDS:
            return "closed as it was sent"
        return "killed" if self.is_killed else "lost"
