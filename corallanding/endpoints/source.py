"""The endpoint list over one connection, as lines of JSON. `docs/protocol.md` has the format.

A pushed list comes by itself; one on request comes after `{"ask": "follow"}` or `{"ask": "fetch"}`. The source
reconnects with backoff and jitter, and names the version that it has, so that nothing is missed.
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
MIN_JITTER = 0.5  # the smallest fraction of a backoff that is waited
MAX_FORM_CHARACTERS = 40
FULL = "full"
CHANGES = "changes"


class EndpointListener(Protocol):
    """The controller, which is notified of what a source receives."""

    def on_host_rows(self, full: bool, version: int, rows: list[Any]) -> None:
        """Rows of a full list, or of changes."""

    def on_source_failure(self, why: str) -> None:
        """The source cannot be reached, or what it sent cannot be read."""


class EndpointSource(Protocol):
    """A registry of hosts; one class implements this for each kind of registry."""

    def start(self) -> None:
        """Connect, and keep connected."""

    def follow(self, on: bool) -> None:
        """Receive every change from here on, or no longer."""

    def fetch(self) -> None:
        """Request the list once."""

    def stop(self) -> None:
        """Disconnect for good."""


class RequestKind(StrEnum):
    """What a source can be asked for; the values are the wire's."""

    FOLLOW = "follow"
    FETCH = "fetch"
    STOP = "stop"


class ListRequest(msgspec.Struct):
    """A request; the names of its fields are the wire's. after: the version that is known, 0 for a full list."""

    ask: str
    after: int


class ListLine(msgspec.Struct):
    """One line as it arrives; the names of its fields are the wire's.

    form: "full" or "changes". after: the version that changes build on.
    """

    form: str
    version: int
    hosts: list[Any]
    after: int | None = None


class ListLineError(ProtocolError):
    """A line of the source cannot be read."""


line_decoder = msgspec.json.Decoder(ListLine)


def parse_line(line: bytes) -> ListLine:
    """Read one line. Raises `ListLineError`."""
    try:
        parsed = line_decoder.decode(line)
    except msgspec.DecodeError as error:
        raise ListLineError(f"a line of the roster cannot be read: {error}") from None
    if parsed.form not in (FULL, CHANGES):
        form = parsed.form[:MAX_FORM_CHARACTERS]
        raise ListLineError(f"a line of the roster cannot be read: form {form!r} is not full or changes")
    return parsed


@dataclass(frozen=True)
class LineJsonSourceConfig:
    """Where the list comes from, and the bounds of it. is_on_request: the list comes only after a request."""

    address: str
    is_on_request: bool = False
    max_line_bytes: int = 4 << 20
    min_backoff_ms: float = 100.0
    max_backoff_ms: float = 2_000.0
    timeout_ms: float = 2_000.0
    seed: int = 0


class LineJsonSource(asyncio.Protocol):
    """An `EndpointSource` at one address. known_version: the version that the listener has."""

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
        self._has_list = False  # whether a list was received since the start
        self._answer_timer: asyncio.TimerHandle | None = None
        self._reconnect_timer: asyncio.TimerHandle | None = None
        self._connecting: asyncio.Task[None] | None = None

    # ---- what the controller asks for (`EndpointSource`) -------------------------------------------------------------

    def start(self) -> None:
        """Connect, and keep connected."""
        is_connecting = self._connecting is not None and not self._connecting.done()
        if not self._is_stopped and self._transport is None and not is_connecting:
            self._connecting = asyncio.get_running_loop().create_task(self._connect())

    def follow(self, on: bool) -> None:
        """Receive every change from here on, or no longer."""
        self._is_following = on
        self._request(RequestKind.FOLLOW if on else RequestKind.STOP)

    def fetch(self) -> None:
        """Request the list once."""
        self._request(RequestKind.FETCH)

    def stop(self) -> None:
        """Disconnect for good."""
        self._is_stopped = True
        for timer in (self._answer_timer, self._reconnect_timer):
            if timer:
                timer.cancel()
        if self._transport:
            self._transport.abort()

    # ---- the connection (`asyncio.Protocol`) -------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin on a new connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._received = bytearray()
        if self._is_following:
            self._request(RequestKind.FOLLOW)

    def data_received(self, data: bytes) -> None:
        """Take complete lines; a line that grows too long ends the connection."""
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
            self.listener.on_source_failure(f"a line of the roster is over {self.config.max_line_bytes} bytes")
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Reconnect, unless stopped."""
        self._transport = None
        if not self._is_stopped:
            self._on_disconnected(f"roster connection broke: {exc or 'closed'}")

    # ---- steps -------------------------------------------------------------------------------------------------------

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        timeout_seconds = self.config.timeout_ms / MS_PER_SECOND
        try:
            await asyncio.wait_for(loop.create_connection(lambda: self, *self._address), timeout_seconds)
        except (OSError, TimeoutError) as error:
            self._on_disconnected(f"roster not reached: {error or 'timed out'}")

    def _request(self, kind: RequestKind) -> None:
        if self._transport:
            # The first list after a start is requested in full: what was saved may be out of date.
            after = self.known_version() if self._has_list else 0
            self._transport.write(msgspec.json.encode(ListRequest(kind.value, after)) + b"\n")
            self._await_answer()
        elif self.config.is_on_request:
            self.listener.on_source_failure("roster not connected")
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
            self._request(RequestKind.FETCH)  # changes in between are missing: the full list has them
            return
        self._has_list = True
        self.listener.on_host_rows(line.form == FULL, line.version, line.hosts)

    def _on_disconnected(self, reason: str) -> None:
        """Report a lost connection, and reconnect after a backoff."""
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
