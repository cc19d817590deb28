"""The host list received over one connection, as lines of JSON. `docs/protocol.md` describes the format.

The server pushes the list, or sends it after `{"ask": "follow"}` or `{"ask": "fetch"}`. The source reconnects with
backoff and jitter, and sends the version that it has, so that no change is missed.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Protocol, cast

import msgspec

from ..errors import ProtocolError
from .endpoint_list import parse_loopback_address

MS_PER_SECOND = 1000.0
MAX_BACKOFF_DOUBLINGS = 10
MIN_JITTER = 0.5  # lower bound of the random factor on a backoff
MAX_FORM_CHARACTERS = 40
FULL = "full"
CHANGES = "changes"


class EndpointListener(Protocol):
    """Receives the host rows and failures of a source; implemented by the controller."""

    def on_host_rows(self, full: bool, version: int, rows: list[Any]) -> None:
        """Process the rows of a full list, or of changes to it."""

    def on_source_failure(self, reason: str) -> None:
        """Handle a source that cannot be reached, or whose data is invalid."""


class EndpointSource(Protocol):
    """A source of the host list; each kind of registry has its own implementation."""

    def start(self) -> None:
        """Connect, and reconnect after each loss."""

    def follow(self, on: bool) -> None:
        """Subscribe to changes, or unsubscribe."""

    def fetch(self) -> None:
        """Request the list once."""

    def stop(self) -> None:
        """Disconnect and do not reconnect."""


class RequestKind(StrEnum):
    """The kinds of requests; the values are those on the wire."""

    FOLLOW = "follow"
    FETCH = "fetch"
    STOP = "stop"


class ListRequest(msgspec.Struct):
    """A request; field names are those on the wire. after: the known version, 0 to request a full list."""

    ask: str
    after: int


class ListLine(msgspec.Struct):
    """One line as received; field names are those on the wire.

    form: "full" or "changes". after: the version to which the changes apply.
    """

    form: str
    version: int
    hosts: list[Any]
    after: int | None = None


class ListLineError(ProtocolError):
    """A line from the source is invalid."""


line_decoder = msgspec.json.Decoder(ListLine)


def parse_line(line: bytes) -> ListLine:
    """Return one line, decoded and validated. Raises `ListLineError`."""
    try:
        parsed = line_decoder.decode(line)
    except msgspec.DecodeError as error:
        raise ListLineError(f"a line of the host list cannot be read: {error}") from None
    if parsed.form not in (FULL, CHANGES):
        form = parsed.form[:MAX_FORM_CHARACTERS]
        raise ListLineError(f"a line of the host list cannot be read: form {form!r} is neither full nor changes")
    return parsed


@dataclass(frozen=True)
class LineJsonSourceConfig:
    """Address and limits of a source. is_on_request: the server sends the list only after a request."""

    address: str
    is_on_request: bool = False
    max_line_bytes: int = 4 << 20
    min_backoff_ms: float = 100.0
    max_backoff_ms: float = 2_000.0
    timeout_ms: float = 2_000.0
    seed: int = 0


class LineJsonSource(asyncio.Protocol):
    """An `EndpointSource` at one address. known_version: returns the list version that the listener has."""

    def __init__(
        self, config: LineJsonSourceConfig, listener: EndpointListener, known_version: Callable[[], int]
    ) -> None:
        self.config = config
        self.listener = listener
        self.known_version = known_version
        self._address = parse_loopback_address(config.address)
        self._random = random.Random(config.seed)
        self._transport: asyncio.Transport | None = None
        self._received = bytearray()
        self._failed_attempts = 0
        self._is_stopped = False
        self._is_following = not config.is_on_request
        self._has_list = False  # a list was received since the start
        self._answer_timer: asyncio.TimerHandle | None = None
        self._reconnect_timer: asyncio.TimerHandle | None = None
        self._connecting: asyncio.Task[None] | None = None

    # ---- `EndpointSource` --------------------------------------------------------------------------------------------

    def start(self) -> None:
        """Connect, and reconnect after each loss."""
        is_connecting = self._connecting is not None and not self._connecting.done()
        if not self._is_stopped and self._transport is None and not is_connecting:
            self._connecting = asyncio.get_running_loop().create_task(self._connect())

    def follow(self, on: bool) -> None:
        """Subscribe to changes, or unsubscribe."""
        self._is_following = on
        self._request(RequestKind.FOLLOW if on else RequestKind.STOP)

    def fetch(self) -> None:
        """Request the list once."""
        self._request(RequestKind.FETCH)

    def stop(self) -> None:
        """Disconnect and do not reconnect."""
        self._is_stopped = True
        for timer in (self._answer_timer, self._reconnect_timer):
            if timer:
                timer.cancel()
        if self._transport:
            self._transport.abort()

    # ---- `asyncio.Protocol` ------------------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Initialize a new connection, and subscribe on it if changes are followed."""
        self._transport = cast(asyncio.Transport, transport)
        self._received = bytearray()
        if self._is_following:
            self._request(RequestKind.FOLLOW)

    def data_received(self, data: bytes) -> None:
        """Process complete lines; a line over `max_line_bytes` closes the connection."""
        self._received += data
        while (end := self._received.find(b"\n")) >= 0:
            line = bytes(self._received[:end])
            del self._received[: end + 1]
            try:
                parsed = parse_line(line)
            except ListLineError as error:
                self.listener.on_source_failure(str(error))
            else:
                self._on_line(parsed)
        if len(self._received) > self.config.max_line_bytes and self._transport:
            self.listener.on_source_failure(f"a line of the host list is over {self.config.max_line_bytes} bytes")
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Reconnect, unless stopped."""
        self._transport = None
        if not self._is_stopped:
            self._on_disconnected(f"host list connection lost: {exc or 'closed'}")

    # ---- internals ---------------------------------------------------------------------------------------------------

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        timeout_seconds = self.config.timeout_ms / MS_PER_SECOND
        try:
            await asyncio.wait_for(loop.create_connection(lambda: self, *self._address), timeout_seconds)
        except (OSError, TimeoutError) as error:
            self._on_disconnected(f"host list source not reached: {error or 'timed out'}")

    def _request(self, kind: RequestKind) -> None:
        if self._transport:
            # The first list after a start is requested in full, since the saved one may be out of date.
            after = self.known_version() if self._has_list else 0
            self._transport.write(msgspec.json.encode(ListRequest(kind.value, after)) + b"\n")
            self._await_answer()
        elif self.config.is_on_request:
            self.listener.on_source_failure("host list source not connected")
            self.start()

    def _await_answer(self) -> None:
        self._cancel_answer_timer()
        timeout_seconds = self.config.timeout_ms / MS_PER_SECOND
        self._answer_timer = asyncio.get_running_loop().call_later(timeout_seconds, self._on_answer_timeout)

    def _cancel_answer_timer(self) -> None:
        if self._answer_timer:
            self._answer_timer.cancel()
            self._answer_timer = None

    def _on_answer_timeout(self) -> None:
        self._answer_timer = None
        if self._transport:
            self._transport.abort()

    def _on_line(self, line: ListLine) -> None:
        self._cancel_answer_timer()
        self._failed_attempts = 0
        if line.form == CHANGES and line.after is not None and line.after != self.known_version():
            self._request(RequestKind.FETCH)  # the full list contains the changes that were missed
            return
        self._has_list = True
        self.listener.on_host_rows(line.form == FULL, line.version, line.hosts)

    def _on_disconnected(self, reason: str) -> None:
        """Report a lost or failed connection, and reconnect after a backoff."""
        self._cancel_answer_timer()
        if self._is_stopped:
            return
        self.listener.on_source_failure(reason)
        doublings = min(self._failed_attempts, MAX_BACKOFF_DOUBLINGS)
        backoff_ms = min(self.config.max_backoff_ms, self.config.min_backoff_ms * 2**doublings)
        jitter = self._random.uniform(MIN_JITTER, 1.0)
        self._failed_attempts += 1
        delay_seconds = backoff_ms * jitter / MS_PER_SECOND
        self._reconnect_timer = asyncio.get_running_loop().call_later(delay_seconds, self.start)
