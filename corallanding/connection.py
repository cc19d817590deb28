"""Connections that we dial: the one place where each is adopted or discarded, and limits on what may be read.

A connection is adopted in the very callback that says it stands, so that nothing comes between: it cannot have been
lost, nor its dial been given up, before its owner has it. The owner hears of its end once, and of nothing after it
dropped the connection itself.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Any, Generic, TypeVar, cast

Address = tuple[str, int]
GRACE = 0.005  # s
LATE = 4.0


class Dialled(asyncio.Protocol):
    """A connection to `where`. lost: told once, with the connection, if it ends by itself; `why` says the
    reason if it was given up as of no use."""

    def __init__(self, where: Address, lost: Callable[[Any], None]) -> None:
        self.where, self.lost = where, lost
        self.stands: Callable[[Any], None] = lambda conn: None
        self.open = False
        self.why = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.open = True
        self.stands(self)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.open:
            self.open = False
            self.lost(self)

    def fail(self, why: str) -> None:
        """It is of no further use: ends as if by itself."""
        self.why = why
        self.transport.abort()

    def drop(self) -> None:
        """Done with it: nothing of it is told any more."""
        self.open = False
        self.transport.abort()


class Limit:
    """A time limit on what may be read. Where the loop was busy in one read, timers that are due come before the other
    reads of that turn; and a connection that is up is told a turn later. So what came meanwhile is read first."""

    def __init__(self, loop: asyncio.AbstractEventLoop, ms: float, over: Callable[[], None]) -> None:
        self.loop, self.over = loop, over
        self.timer = loop.call_later(ms / 1000.0, self.once_read)

    def once_read(self) -> None:
        self.timer = self.loop.call_later(GRACE, self.over)

    def cancel(self) -> None:
        self.timer.cancel()


C = TypeVar("C", bound=Dialled)


class Dialer(Generic[C]):
    """Dials one address at a time. make: a connection to be. adopt: takes one that stands. failed: told why a dial came
    to nothing. One of the two comes for every dial that is not cancelled.

    within: ms a dial may take. Doubled after each that took longer, up to LATE times, until one stands: guards against
    an address whose connections come up later than that every time, and never would. Where connections do not come up
    at all, a dial that would is begun up to that much later.
    """

    def __init__(
        self, make: Callable[[Address], C], adopt: Callable[[C], None], failed: Callable[[str], None], within: float
    ) -> None:
        self.make, self.adopt, self.failed, self.within = make, adopt, failed, within
        self.loop = asyncio.get_running_loop()
        self.coming: C | None = None
        self.task: asyncio.Task[None] | None = None
        self.limit: Limit | None = None
        self.patience = 1.0

    @property
    def busy(self) -> bool:
        return self.coming is not None

    def dial(self, where: Address) -> None:
        """A dial under way is cancelled."""
        self.cancel()
        conn = self.coming = self.make(where)
        conn.stands = self.stands
        self.limit = Limit(self.loop, self.within * self.patience, self.late)
        self.task = self.loop.create_task(self.connect(conn))
        self.task.add_done_callback(partial(self.over, conn))

    async def connect(self, conn: C) -> None:
        await self.loop.create_connection(lambda: conn, *conn.where)

    def stands(self, conn: C) -> None:
        if conn is not self.coming:  # cancelled in the moment in which it came up
            conn.drop()
            return
        # From here on it is not cancelled, though its task may have some turns to go: uvloop would close the connection
        # and tell nobody.
        self.done()
        self.patience = 1.0
        self.adopt(conn)

    def over(self, conn: C, task: asyncio.Task[None]) -> None:
        if conn is self.coming and not task.cancelled():
            self.done()
            self.failed(str(task.exception()))

    def late(self) -> None:
        self.cancel()
        self.patience = min(LATE, self.patience * 2.0)
        self.failed("no connection in time")

    def cancel(self) -> None:
        if self.coming and self.task:
            self.task.cancel()
        self.done()

    def done(self) -> None:
        self.coming = self.task = None
        if self.limit:
            self.limit.cancel()
            self.limit = None
