"""Health checks: one HTTP `GET` on a host's address each, with exactly one `HealthCheckOutcome`.

Status 2xx is OK; 503 and 429 are FULL (draining, or too many checks at once); any other status is ERROR. No answer in
time is TIMEOUT, a refused or impossible connection UNREACHABLE, a broken one RESET, an answer that is not HTTP OTHER. A
connection that this machine cannot open is no evidence on the host: it is tried again, and is FULL at the time limit.
The host reports its load as `name=value` pairs: in the `X-Load` header, separated by blanks, or, if `load_in_body` is
set, in the body, separated by commas.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import NamedTuple, cast

import httptools

from .. import interface as api
from ..endpoints.endpoint_list import parse_loopback_address
from ..transient_errors import LOCAL_ERRNOS, RETRY_INTERVAL_SECONDS

MAX_ANSWER_BYTES = 16_384
MAX_LOAD_VALUES = 16
OVERLOADED_STATUSES = (429, 503)


class HealthCheckAnswer(NamedTuple):
    """The outcome of one connection, and the load values that the host reported."""

    outcome: api.HealthCheckOutcome
    load: dict[str, float]


class HealthCheckConnection(asyncio.Protocol):
    """Sends one request and sets `answer` once. The parser calls the `on_` methods."""

    def __init__(self, path: str, answer: asyncio.Future[HealthCheckAnswer], load_in_body: bool = False) -> None:
        self.path = path
        self.answer = answer
        self.load_in_body = load_in_body
        self.parser = httptools.HttpResponseParser(self)
        self.received_bytes = 0
        self.load: dict[str, float] = {}
        self.body = b""
        self.has_headers = False
        self.has_body_length = False  # the headers define where the body ends
        self.has_local_failure = False  # this machine could not open the connection at first

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.write(f"GET {self.path} HTTP/1.1\r\nHost: probe\r\nConnection: close\r\n\r\n".encode())

    def data_received(self, data: bytes) -> None:
        """Parse the answer; end the check if it is not HTTP or too long."""
        self.received_bytes += len(data)
        if self.received_bytes > MAX_ANSWER_BYTES:
            self.finish(api.HealthCheckOutcome.OTHER)
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.finish(api.HealthCheckOutcome.OTHER)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the check, if the answer has not done so."""
        if exc is None and self.has_headers and not self.has_body_length:
            self.on_message_complete()  # an HTTP/1.1 body without a length ends with the connection
        self.finish(api.HealthCheckOutcome.RESET)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Read the load, and record whether the body has a length."""
        if name.lower() in (b"content-length", b"transfer-encoding"):
            self.has_body_length = True
        if name.lower() == b"x-load":
            self._add_load(value.decode("ascii", "replace").split())

    def on_headers_complete(self) -> None:
        """End the check, unless the load is in the body."""
        self.has_headers = True
        if not self.load_in_body:
            self._finish_by_status()

    def on_body(self, body: bytes) -> None:
        """Collect the body; `data_received` limits its size."""
        self.body += body

    def on_message_complete(self) -> None:
        """Read the load from the body, if it is there, and end the check."""
        if self.load_in_body:
            self._add_load(self.body.decode("ascii", "replace").strip().split(","))
            self._finish_by_status()

    def finish(self, outcome: api.HealthCheckOutcome) -> None:
        """Set the answer; every call but the first does nothing."""
        if not self.answer.done():
            self.answer.set_result(HealthCheckAnswer(outcome, self.load))

    def _finish_by_status(self) -> None:
        status = self.parser.get_status_code()
        if 200 <= status < 300:
            self.finish(api.HealthCheckOutcome.OK)
        elif status in OVERLOADED_STATUSES:
            self.finish(api.HealthCheckOutcome.FULL)
        else:
            self.finish(api.HealthCheckOutcome.ERROR)

    def _add_load(self, pairs: list[str]) -> None:
        for pair in pairs[:MAX_LOAD_VALUES]:
            name, _, value = pair.partition("=")
            try:
                self.load[name] = float(value)
            except ValueError:
                continue


class HealthChecker:
    """Runs health checks; `on_result` is called once for each requested one.

    Checks beyond `max_in_flight` wait in a queue; beyond `max_waiting` a check ends as OTHER at once, so that each one
    has a result. `clock` returns ms; `parse_address` turns an address into host and port, and raises ValueError for
    one that is not allowed.
    """

    def __init__(
        self,
        on_result: Callable[[api.HealthCheckResult], None],
        clock: Callable[[], float],
        path: str = "/health",
        timeout_ms: float = 250.0,
        max_in_flight: int = 16,
        max_waiting: int = 1_000,
        parse_address: Callable[[str], tuple[str, int]] = parse_loopback_address,
        load_in_body: bool = False,
    ) -> None:
        self.on_result = on_result
        self.clock = clock
        self.path = path
        self.timeout_ms = timeout_ms
        self.max_in_flight = max_in_flight
        self.max_waiting = max_waiting
        self.parse_address = parse_address
        self.load_in_body = load_in_body
        self.waiting: deque[tuple[int, str]] = deque()  # host and address
        self.running: set[asyncio.Task[api.HealthCheckResult]] = set()
        self.max_in_flight_seen = 0

    def check(self, host: int, address: str) -> None:
        """Start a health check, now or when another one has ended."""
        if len(self.waiting) >= self.max_waiting:
            self.on_result(api.HealthCheckResult(host, api.HealthCheckOutcome.OTHER))
            return
        self.waiting.append((host, address))
        self.start_waiting()

    def start_waiting(self) -> None:
        """Start waiting checks, up to `max_in_flight`."""
        while self.waiting and len(self.running) < self.max_in_flight:
            host, address = self.waiting.popleft()
            task = asyncio.get_running_loop().create_task(self.run_check(host, address))
            self.running.add(task)
            self.max_in_flight_seen = max(self.max_in_flight_seen, len(self.running))
            task.add_done_callback(partial(self.on_check_done, host, address))

    def on_check_done(self, host: int, address: str, task: asyncio.Task[api.HealthCheckResult]) -> None:
        """Report the result, also of a check that raised: without one its host would never be checked again."""
        self.running.discard(task)
        if task.cancelled():
            return
        if error := task.exception():
            context = {"message": f"health check of {address} failed", "exception": error}
            asyncio.get_running_loop().call_exception_handler(context)
            self.on_result(api.HealthCheckResult(host, api.HealthCheckOutcome.OTHER))
        else:
            self.on_result(task.result())
        self.start_waiting()

    async def run_check(self, host: int, address: str) -> api.HealthCheckResult:
        """Run one health check and return its result."""
        started_at_ms = self.clock()
        answer = await self._request(address)
        return api.HealthCheckResult(host, answer.outcome, self.clock() - started_at_ms, answer.load)

    async def _request(self, address: str) -> HealthCheckAnswer:
        answer: asyncio.Future[HealthCheckAnswer] = asyncio.get_running_loop().create_future()
        connection = HealthCheckConnection(self.path, answer, self.load_in_body)
        transport: asyncio.Transport | None = None
        try:
            async with asyncio.timeout(self.timeout_ms / 1000.0):
                while transport is None:
                    transport = await self._open_connection(connection, address)
                return await answer
        except TimeoutError:
            outcome = api.HealthCheckOutcome.TIMEOUT if transport else self._outcome_without_connection(connection)
            return HealthCheckAnswer(outcome, {})
        except ConnectionResetError:
            return HealthCheckAnswer(api.HealthCheckOutcome.RESET, {})
        except (OSError, ValueError):
            return HealthCheckAnswer(api.HealthCheckOutcome.UNREACHABLE, {})
        finally:
            if transport:
                transport.abort()

    async def _open_connection(self, connection: HealthCheckConnection, address: str) -> asyncio.Transport | None:
        """Return the transport of a new connection; None after a pause if this machine could not open it."""
        loop = asyncio.get_running_loop()
        try:
            transport, _ = await loop.create_connection(lambda: connection, *self.parse_address(address))
        except OSError as error:
            if error.errno not in LOCAL_ERRNOS:
                raise
            connection.has_local_failure = True
            await asyncio.sleep(RETRY_INTERVAL_SECONDS)
            return None
        return transport

    @staticmethod
    def _outcome_without_connection(connection: HealthCheckConnection) -> api.HealthCheckOutcome:
        return api.HealthCheckOutcome.FULL if connection.has_local_failure else api.HealthCheckOutcome.TIMEOUT

    def stop(self) -> None:
        """Cancel every check; none of them is reported."""
        self.waiting.clear()
        for task in self.running:
            task.cancel()
