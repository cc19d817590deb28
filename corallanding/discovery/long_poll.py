"""Long polls of the platform's discovery agent, one after the other on one connection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from ..connection import Address, Connector, ReadTimeout
from .http_connection import Conversation

SOON = 0.02  # s: within the time that a watch continues


class Listener(Protocol):
    """What the agent's answers come to."""

    @property
    def version(self) -> int: ...

    def listed(self, body: bytes) -> bool:
        """Takes an answer; false if it cannot be read."""
        ...

    def unlisted(self, why: str) -> None: ...


class Agent:
    """Times in ms. wait: how long a poll may stand; short, as a connection that fell silent shows only by its end.

    on_request: nothing is asked until `follow` or `fetch`, and a failure is told. Waits after failures double up to
    `again_most`.
    """

    def __init__(
        self,
        where: Address,
        listener: Listener,
        on_request: bool = False,
        wait: float = 1_000.0,
        late: float = 400.0,
        again_most: float = 400.0,
    ) -> None:
        self.where, self.listener, self.wait, self.late, self.again_most = where, listener, wait, late, again_most
        self.loop = asyncio.get_running_loop()
        self.dialer = Connector(
            lambda at: Conversation(at, self.answered, self.lost), self.adopted, self.unreached, late
        )
        self.on_request = on_request
        self.following, self.fetching = not on_request, False
        self.conn: Conversation | None = None
        self.asking_whole = False  # of the question that is open
        self.asked_at, self.asked_version = 0.0, 0
        self.limit: ReadTimeout | None = None  # of that question
        self.rest: asyncio.TimerHandle | None = None  # after a failure
        self.again = 0.0  # how long the next one would be
        self.polls, self.closed = 0, True
        self.said: Callable[[str], None] = lambda text: None

    def start(self) -> None:
        self.closed = False
        self.kick()

    def follow(self, on: bool) -> None:
        self.following = on
        self.kick()

    def fetch(self) -> None:
        self.fetching = True
        self.kick()

    def kick(self) -> None:
        """Ask, if there is something to ask and nothing is under way."""
        if self.closed or self.limit or self.rest or not (self.following or self.fetching):
            return
        if (self.conn is None or self.conn.address != self.where) and not self.dialer.is_connecting:
            self.dialer.connect(self.where)
        if self.conn:
            self.asking_whole, self.fetching = self.fetching, False
            self.ask(self.conn)

    def ask(self, conn: Conversation) -> None:
        self.polls += 1
        self.asked_at, self.asked_version = self.loop.time(), self.listener.version
        path = f"/v1/servers?index={self.listener.version}&wait={self.wait:.0f}"
        conn.ask("/v1/servers" if self.asking_whole else path)
        limit = self.late + (0.0 if self.asking_whole else self.wait)
        self.limit = ReadTimeout(self.loop, limit, self.silent)

    # ---- what becomes of it ------------------------------------------------------------------------------

    def adopted(self, conn: Conversation) -> None:
        """The old connection goes now; what was asked there is asked here."""
        if self.conn:
            self.conn.discard()
        self.conn = conn
        if self.limit:
            self.limit.cancel()
            self.ask(conn)
        else:
            self.kick()

    def unreached(self, why: str) -> None:
        if self.conn is None:  # else the old connection goes on, and the next poll dials again
            self.failed(why)

    def silent(self) -> None:
        if self.conn:
            self.conn.discard()
        self.conn = None
        self.failed("no answer in time")

    def lost(self, conn: Conversation) -> None:
        self.conn = None
        if self.limit:
            self.failed(conn.close_reason or "the connection broke")

    def answered(self, conn: Conversation, body: bytes, fault: str) -> None:
        if not conn.is_open:
            self.conn = None
        if fault:
            self.failed(fault)
        elif not self.listener.listed(body):
            self.failed("an answer that cannot be read")
        else:
            self.again = 0.0
            self.done()
            if self.listener.version == self.asked_version and self.loop.time() - self.asked_at < self.wait / 2_000.0:
                # Nothing new, and its wait is not over: an agent that does not wait would be asked without end.
                self.pause(SOON)
            self.kick()

    def done(self) -> None:
        if self.limit:
            self.limit.cancel()
            self.limit = None

    def failed(self, why: str) -> None:
        """A question came to nothing, or none could be asked."""
        self.fetching = self.fetching or (self.limit is not None and self.asking_whole)
        self.done()
        self.pause(self.again / 1000.0)
        self.again = min(self.again_most, max(20.0, self.again * 2.0))
        self.said(f"discovery: {why}")
        if self.on_request:
            # One word for each call that failed; the module asks again as it sees fit.
            self.following = self.fetching = False
            self.listener.unlisted(why)

    def pause(self, s: float) -> None:
        if self.rest:
            self.rest.cancel()
        self.rest = self.loop.call_later(s, self.rested)

    def rested(self) -> None:
        self.rest = None
        self.kick()

    def move(self, where: Address) -> None:
        """The agent is elsewhere: it is dialled first, then the old connection ends."""
        if where != self.where:
            self.where = where
            if not self.closed:
                self.dialer.connect(where)

    def stop(self) -> None:
        self.closed = True
        self.dialer.cancel()
        self.done()
        if self.rest:
            self.rest.cancel()
            self.rest = None
        if self.conn:
            self.conn.discard()
            self.conn = None
