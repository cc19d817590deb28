"""Stand-in of the discovery agent on a steward's machine."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit


class Agent:
    """Answers with the lists that it has been sent. `on_told(entries, is_whole)` is called when they are written."""

    def __init__(self, on_told: Callable[[list[dict[str, Any]], bool], None]) -> None:
        self.on_told = on_told
        self.seq = 40
        self.entries: dict[str, dict[str, Any]] = {}
        self.changed_at: dict[str, int] = {}
        self.news = asyncio.Event()
        self.speaks = asyncio.Event()
        self.speaks.set()
        self.servers: list[asyncio.Server] = []
        self.address = ""
        self.writers: set[asyncio.StreamWriter] = set()

    @property
    def is_silent(self) -> bool:
        """Whether discovery is down, so that the agent says nothing."""
        return not self.speaks.is_set()

    @is_silent.setter
    def is_silent(self, value: bool) -> None:
        if value:
            self.speaks.clear()
        else:
            self.speaks.set()

    async def listen(self) -> None:
        """Listen at a new address."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.servers.append(server)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def close_old(self) -> None:
        """Take no new connection at the address before the last."""
        self.servers[-2].close()

    def take(self, entries: list[dict[str, Any]]) -> None:
        """Take in changed entries as the next version of the list."""
        self.seq += 1
        for entry in entries:
            self.changed_at[entry["host"]] = self.seq
            self.entries[entry["host"]] = entry
        self.news.set()
        self.news = asyncio.Event()

    def whole(self) -> dict[str, Any]:
        """Return the whole list."""
        hosts = [entry for entry in self.entries.values() if entry["health"] != "terminated"]
        return {"seq": self.seq, "whole": True, "hosts": hosts}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                query = parse_qs(urlsplit(head.split(b" ")[1].decode()).query)
                answer = await self._answer(query)
                await self.speaks.wait()
                body = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                await writer.drain()
                self.on_told(answer["hosts"], answer["whole"])
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, query: dict[str, list[str]]) -> dict[str, Any]:
        if "index" not in query:
            return self.whole()
        index = int(query["index"][0])
        if index >= self.seq:
            news = self.news
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(news.wait(), min(60_000, int(query.get("wait", ["0"])[0])) / 1000.0)
        changed = [self.entries[host] for host, seq in self.changed_at.items() if seq > index]
        return {"seq": self.seq, "whole": False, "hosts": changed}
