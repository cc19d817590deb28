"""The JSON line source with a server that closes connections, skips versions, sends invalid lines or never answers."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any

from corallanding.endpoints.endpoint_list import EndpointList
from corallanding.endpoints.source import LineJsonSource, LineJsonSourceConfig


def make_row(host: int, **fields: Any) -> dict[str, Any]:
    return {"host": host, "address": "127.0.0.1:9", "state": "up", **fields}


class ScriptedServer:
    """A server that sends scripted lines, and records the requests and reports of the source."""

    def __init__(self) -> None:
        self.requests: list[dict[str, Any]] = []
        self.reports: list[Any] = []
        self.writers: list[asyncio.StreamWriter] = []
        self.endpoints = EndpointList()

    async def open(self, *, is_on_request: bool = False) -> LineJsonSource:
        """Listen, and start a source that connects to this server."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        config = LineJsonSourceConfig(
            f"127.0.0.1:{port}",
            is_on_request,
            max_line_bytes=4096,
            min_backoff_ms=10,
            max_backoff_ms=50,
            timeout_ms=200,
        )
        source = LineJsonSource(config, self, lambda: self.endpoints.version)
        source.start()
        return source

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        while line := await reader.readline():
            self.requests.append(json.loads(line))

    def send(self, **line: Any) -> None:
        self.writers[-1].write(json.dumps(line).encode() + b"\n")

    def on_host_rows(self, full: bool, version: int, rows: list[Any]) -> None:
        self.endpoints.apply(0.0, 0.0, full, version, rows)
        self.reports.append((full, version, len(rows)))

    def on_source_failure(self, reason: str) -> None:
        self.reports.append(reason)

    async def until(self, condition: Callable[[], Any]) -> None:
        for _ in range(500):
            if condition():
                return
            await asyncio.sleep(0.01)
        raise AssertionError(f"requests {self.requests}, reports {self.reports}")


def test_source_when_changes_are_missing_then_it_sends_its_version_and_fetches_the_list() -> None:
    async def scenario() -> None:
        server = ScriptedServer()
        source = await server.open()
        await server.until(lambda: server.requests)
        server.send(form="full", version=4, hosts=[make_row(1)], after=None)
        server.send(form="changes", version=5, hosts=[make_row(2)], after=4)
        await server.until(lambda: server.reports == [(True, 4, 1), (False, 5, 1)])
        server.send(form="changes", version=9, hosts=[make_row(3)], after=8)  # 6 to 8 are missing
        await server.until(lambda: server.requests[-1] == {"ask": "fetch", "after": 5})
        server.send(form="full", version=9, hosts=[make_row(3)], after=None)
        await server.until(lambda: server.reports[-1] == (True, 9, 1))
        server.writers[-1].transport.abort()
        await server.until(lambda: server.requests[-1] == {"ask": "follow", "after": 9})
        assert isinstance(server.reports[-1], str)
        assert "connection lost" in server.reports[-1]
        server.writers[-1].write(b"not json\n")
        await server.until(lambda: "cannot be read" in str(server.reports[-1]))
        server.writers[-1].write(b"x" * 5000)
        await server.until(lambda: any("over 4096 bytes" in str(report) for report in server.reports))
        source.stop()
        server.server.close()

    asyncio.run(scenario())


def test_source_on_request_when_followed_then_it_sends_a_request_and_reports_a_missing_answer() -> None:
    async def scenario() -> None:
        server = ScriptedServer()
        source = await server.open(is_on_request=True)
        await server.until(lambda: server.writers)
        assert server.requests == []
        source.follow(True)
        await server.until(lambda: server.requests == [{"ask": "follow", "after": 0}])
        # The server does not answer within the timeout of 200 ms.
        await server.until(lambda: any("connection lost" in str(report) for report in server.reports))
        source.stop()
        server.server.close()

    asyncio.run(scenario())
