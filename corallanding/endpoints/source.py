"""The line-JSON roster: one connection, lists and changes as lines of JSON. `docs/protocol.md` has the format.

Pushed, it speaks unasked; on request, only after `{"ask": "follow"}` or `{"ask": "fetch"}`. The source
connects again with a jittered, capped wait and says where it stood, so that nothing is missed.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any, Protocol, cast

import msgspec

from .endpoint_list import parse_loopback_address


class EndpointListener(Protocol):
    """What a source tells its steward."""

    def on_host_rows(self, full: bool, version: int, rows: list[Any]) -> None: ...

    def on_source_failure(self, why: str) -> None: ...


class EndpointSource(Protocol):
    """A registry of hosts: further kinds implement this."""

    def start(self) -> None: ...

    def follow(self, on: bool) -> None: ...

    def fetch(self) -> None: ...

    def stop(self) -> None: ...


class Line(msgspec.Struct):
    """One line of the roster. form: "full" or "changes"; `after`: the version that changes build on."""

    form: str
    version: int
    hosts: list[Any]
    after: int | None = None


decoder = msgspec.json.Decoder(Line)


class LineJsonSource(asyncio.Protocol):
    """One roster at ADDRESS:PORT, as a `Source`. Limits: bytes of a line, milliseconds of waits."""

    def __init__(
        self,
        address: str,
        listener: EndpointListener,
        version: Callable[[], int],
        on_request: bool = False,
        line_most: int = 4 << 20,
        wait: float = 100.0,
        wait_most: float = 2_000.0,
        timeout: float = 2_000.0,
        seed: int = 0,
    ) -> None:
        self.where, self.listener, self.version, self.on_request = (
            parse_loopback_address(address),
            listener,
            version,
            on_request,
        )
        self.line_most, self.wait, self.wait_most, self.timeout = line_most, wait, wait_most, timeout
        self.chance = random.Random(seed)
        self.transport: asyncio.Transport | None = None
        self.held = bytearray()
        self.tries, self.stopped, self.following = 0, False, not on_request
        self.asked: asyncio.TimerHandle | None = None
        self.task: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.heard_list = False

    def start(self) -> None:
        if not self.stopped and self.transport is None and (self.task is None or self.task.done()):
            self.task = asyncio.get_running_loop().create_task(self.dial())

    async def dial(self) -> None:
        try:
            loop = asyncio.get_running_loop()
            await asyncio.wait_for(loop.create_connection(lambda: self, *self.where), self.timeout / 1000.0)
        except (OSError, TimeoutError) as fault:
            self.broken(f"roster not reached: {fault or 'timed out'}")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)
        self.transport, self.held = transport, bytearray()
        if self.following:
            self.ask("follow")

    def ask(self, what: str) -> None:
        if self.transport:
            # At the first time in a life the list is asked whole: what was saved may be out of date.
            after = self.version() if self.heard_list else 0
            self.transport.write(msgspec.json.encode({"ask": what, "after": after}) + b"\n")
            self.expect()
        elif self.on_request:
            self.listener.on_source_failure("roster not connected")
            self.start()

    def expect(self) -> None:
        if self.asked:
            self.asked.cancel()
        loop = asyncio.get_running_loop()
        self.asked = loop.call_later(self.timeout / 1000.0, self.unanswered)

    def unanswered(self) -> None:
        self.asked = None
        if self.transport:
            self.transport.abort()

    def follow(self, on: bool) -> None:
        self.following = on
        self.ask("follow" if on else "stop")

    def fetch(self) -> None:
        self.ask("fetch")

    def data_received(self, data: bytes) -> None:
        self.held += data
        while (end := self.held.find(b"\n")) >= 0:
            line = bytes(self.held[:end])
            del self.held[: end + 1]
            try:
                said = decoder.decode(line)
                if said.form not in ("full", "changes"):
                    raise msgspec.ValidationError(f"form {said.form[:40]!r} is not full or changes")
            except msgspec.DecodeError as fault:
                self.listener.on_source_failure(f"a line of the roster cannot be read: {fault}")
                continue
            if self.asked:
                self.asked.cancel()
                self.asked = None
            self.tries = 0
            if said.form == "changes" and said.after is not None and said.after != self.version():
                self.ask("fetch")  # a gap: the whole list mends it
                continue
            self.heard_list = True
            self.listener.on_host_rows(said.form == "full", said.version, said.hosts)
        if len(self.held) > self.line_most and self.transport:
            self.listener.on_source_failure(f"a line of the roster is over {self.line_most} bytes")
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if not self.stopped:
            self.broken(f"roster connection broke: {exc or 'closed'}")

    def broken(self, why: str) -> None:
        if self.asked:
            self.asked.cancel()
            self.asked = None
        if self.stopped:
            return
        self.listener.on_source_failure(why)
        wait = min(self.wait_most, self.wait * 2 ** min(self.tries, 10)) * self.chance.uniform(0.5, 1.0)
        self.tries += 1
        self.timer = asyncio.get_running_loop().call_later(wait / 1000.0, self.start)

    def stop(self) -> None:
        self.stopped = True
        for handle in (self.asked, self.timer):
            if handle:
                handle.cancel()
        if self.transport:
            self.transport.abort()
