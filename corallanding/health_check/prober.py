"""One probe is one `GET` on the host's address; its end is one of the module's `ProbeEnd`s.

2xx is OK, 503 and 429 are FULL (draining, or too many probes at once), any other status ERROR; no answer in
time is TIMEOUT, a refused or impossible connection UNREACHABLE, one that breaks RESET, an answer that is no
HTTP OTHER. Load stands in the answer's `X-Load` header as `name=value` pairs, or in its body, joined by commas, where
that is asked for.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import cast

import httptools

from .. import interface as api
from ..endpoints.endpoint_list import loopback

MOST_ANSWER = 16_384


class Probing(asyncio.Protocol):
    def __init__(
        self,
        path: str,
        done: asyncio.Future[tuple[api.HealthCheckOutcome, dict[str, float]]],
        load_in_body: bool = False,
    ) -> None:
        self.done, self.path, self.load_in_body = done, path, load_in_body
        self.parser = httptools.HttpResponseParser(self)
        self.seen, self.load, self.body = 0, dict[str, float](), b""
        self.headed = self.measured = False  # the head has come; it says where the body ends

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)
        self.transport = transport
        transport.write(f"GET {self.path} HTTP/1.1\r\nHost: probe\r\nConnection: close\r\n\r\n".encode())

    def finish(self, end: api.HealthCheckOutcome) -> None:
        if not self.done.done():
            self.done.set_result((end, self.load))

    def on_header(self, name: bytes, value: bytes) -> None:
        self.measured = self.measured or name.lower() in (b"content-length", b"transfer-encoding")
        if name.lower() == b"x-load":
            self.pairs(value.decode("ascii", "replace").split())

    def pairs(self, pairs: list[str]) -> None:
        for pair in pairs[:16]:
            key, _, figure = pair.partition("=")
            try:
                self.load[key] = float(figure)
            except ValueError:
                continue

    def on_headers_complete(self) -> None:
        self.headed = True
        if not self.load_in_body:
            self.conclude()

    def on_body(self, body: bytes) -> None:
        self.body += body  # `data_received` bounds it

    def on_message_complete(self) -> None:
        if self.load_in_body:
            self.pairs(self.body.decode("ascii", "replace").strip().split(","))
            self.conclude()

    def conclude(self) -> None:
        status = self.parser.get_status_code()
        good, full = 200 <= status < 300, status in (429, 503)
        self.finish(
            api.HealthCheckOutcome.OK if good else api.HealthCheckOutcome.FULL if full else api.HealthCheckOutcome.ERROR
        )

    def data_received(self, data: bytes) -> None:
        self.seen += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.finish(api.HealthCheckOutcome.OTHER)
        if self.seen > MOST_ANSWER:
            self.finish(api.HealthCheckOutcome.OTHER)

    def connection_lost(self, exc: Exception | None) -> None:
        if exc is None and self.headed and not self.measured:
            self.on_message_complete()  # the end of the connection is that of the body, as HTTP/1.1 has it
        self.finish(api.HealthCheckOutcome.RESET)


class Prober:
    """done(event) is called once for every probe asked. Beyond `most_in_flight` probes wait, each host once;
    beyond `most_waiting` a probe ends OTHER at once, so that a question is never left open."""

    def __init__(
        self,
        done: Callable[[api.HealthCheckResult], None],
        clock: Callable[[], float],
        path: str = "/health",
        timeout: float = 250.0,
        most_in_flight: int = 16,
        most_waiting: int = 1_000,
        where: Callable[[str], tuple[str, int]] = loopback,
        load_in_body: bool = False,
    ) -> None:
        """where: what an address may be; raises ValueError on one that is not allowed."""
        self.where, self.load_in_body = where, load_in_body
        self.done, self.clock, self.path, self.timeout = done, clock, path, timeout
        self.most_in_flight, self.most_waiting = most_in_flight, most_waiting
        self.waiting: deque[tuple[int, str]] = deque()
        self.running: set[asyncio.Task[api.HealthCheckResult]] = set()
        self.most_running = 0

    def ask(self, host: int, address: str) -> None:
        if len(self.waiting) >= self.most_waiting:
            self.done(api.HealthCheckResult(host, api.HealthCheckOutcome.OTHER))
            return
        self.waiting.append((host, address))
        self.fill()

    def fill(self) -> None:
        while self.waiting and len(self.running) < self.most_in_flight:
            host, address = self.waiting.popleft()
            task = asyncio.get_running_loop().create_task(self.probe(host, address))
            self.running.add(task)
            self.most_running = max(self.most_running, len(self.running))
            task.add_done_callback(partial(self.over, host, address))

    def over(self, host: int, address: str, task: asyncio.Task[api.HealthCheckResult]) -> None:
        """However it ended: a question left open would keep its host from ever being probed again."""
        self.running.discard(task)
        if task.cancelled():
            return
        if fault := task.exception():
            told = {"message": f"a probe of {address} failed", "exception": fault}
            asyncio.get_running_loop().call_exception_handler(told)
        self.done(api.HealthCheckResult(host, api.HealthCheckOutcome.OTHER) if fault else task.result())
        self.fill()

    async def probe(self, host: int, address: str) -> api.HealthCheckResult:
        loop, begun = asyncio.get_running_loop(), self.clock()
        done: asyncio.Future[tuple[api.HealthCheckOutcome, dict[str, float]]] = loop.create_future()
        end, load, transport = api.HealthCheckOutcome.OTHER, dict[str, float](), None
        try:
            async with asyncio.timeout(self.timeout / 1000.0):
                probing = Probing(self.path, done, self.load_in_body)
                transport, _ = await loop.create_connection(lambda: probing, *self.where(address))
                end, load = await done
        except TimeoutError:
            end = api.HealthCheckOutcome.TIMEOUT
        except ConnectionResetError:
            end = api.HealthCheckOutcome.RESET
        except (OSError, ValueError):
            end = api.HealthCheckOutcome.UNREACHABLE
        finally:
            if transport:
                transport.abort()
        return api.HealthCheckResult(host, end, self.clock() - begun, load)

    def stop(self) -> None:
        self.waiting.clear()
        for task in self.running:
            task.cancel()
