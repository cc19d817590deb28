"""The relay on sockets: one connection for calls, one for news. What is said and meant: `calls` and `news`."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, cast

from .. import interface as api
from .calls import Calls, Order
from .news import BadNews, News, Standing, TableOrder

LINE_MOST = 1 << 20
WATCH = b'{"jsonrpc":"2.0","id":1,"method":"relay.watch"}\n'


class Lines(asyncio.Protocol):
    """A connection that brings lines. `heard(self, lines)` for each read, `over(self)` once when it is gone."""

    def __init__(self, heard: Callable[[Any, list[bytes]], None], over: Callable[[Any], None]) -> None:
        self.heard, self.over = heard, over
        self.rest = b""
        self.at = 0.0  # when bytes last came, as the owner notes it
        self.dropped = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        if self.dropped:
            return
        *lines, self.rest = (self.rest + data).split(b"\n")
        if len(self.rest) > LINE_MOST:
            self.transport.abort()
            return
        self.heard(self, [line for line in lines if line.strip()])

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.dropped:
            self.dropped = True
            self.over(self)

    def drop(self) -> None:
        """Done with it: nothing of it is told any more."""
        self.dropped = True
        self.transport.abort()


class CallLink:
    """Carries `calls` out, one after the other. Times in ms.

    answer_within: after which an answer never comes. idle_most: a connection that stood idle longer is not trusted with
    a call, as the relay may be closing it just then. stood: takes the orders that the relay confirmed.
    """

    def __init__(
        self, where: tuple[str, int], calls: Calls, clock: Callable[[], float], stood: Callable[[list[Order]], None],
        answer_within: float = 100.0, dial_within: float = 300.0, idle_most: float = 2_000.0,
    ) -> None:  # fmt: skip
        self.where, self.calls, self.clock, self.stood = where, calls, clock, stood
        self.answer_within, self.dial_within, self.idle_most = answer_within, dial_within, idle_most
        self.loop = asyncio.get_running_loop()
        self.conn: Lines | None = None
        self.used = 0.0
        self.dialing: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.closed = False

    def kick(self) -> None:
        """Something waits, or may go now."""
        if self.calls.flying or self.dialing or self.closed:
            return
        self.stop_timer()
        now = self.clock()
        at = self.calls.next_at(now)
        if at is None:
            return
        if at > now:
            self.timer = self.loop.call_later((at - now) / 1000.0, self.kick)
        elif self.conn is None or now - self.used > self.idle_most:
            self.dialing = self.loop.create_task(self.dial())
        else:
            self.send(self.conn)

    def stop_timer(self) -> None:
        if self.timer:
            self.timer.cancel()
            self.timer = None

    async def dial(self) -> None:
        where, conn = self.where, None
        try:
            async with asyncio.timeout(self.dial_within / 1000.0):
                _, conn = await self.loop.create_connection(lambda: Lines(self.heard, self.over), *where)
        except OSError:  # a time-out is one
            self.calls.unsent(self.clock())
        finally:
            self.dialing = None
        if conn:
            if self.conn:
                self.conn.drop()
            self.conn, self.used = conn, self.clock()
            if where != self.where:  # moved meanwhile
                self.give_up()
        self.kick()

    def send(self, conn: Lines) -> None:
        now = self.clock()
        if call := self.calls.next(now):
            conn.transport.write(call.line)
            self.used = now
            self.timer = self.loop.call_later(self.answer_within / 1000.0, self.late, call.id)

    def late(self, id: int) -> None:
        # Timers come before reads in a turn of the loop: a loop that was busy reads first what came meanwhile.
        self.timer = self.loop.call_later(0.005, self.never, id)

    def never(self, id: int) -> None:
        if self.calls.flying and self.calls.flying.id == id:
            self.unknown()

    def unknown(self) -> None:
        self.stop_timer()
        self.give_up()
        self.calls.unknown(self.clock())
        self.kick()

    def give_up(self) -> None:
        if self.conn:
            self.conn.drop()
            self.conn = None

    def heard(self, conn: Lines, lines: list[bytes]) -> None:
        for line in lines:
            if conn is not self.conn or not self.calls.flying:
                return
            orders = self.calls.answered(self.clock(), line)
            if orders is None:
                self.unknown()
                return
            self.used = self.clock()
            self.stop_timer()
            self.stood(orders)
        self.kick()

    def over(self, conn: Lines) -> None:
        if conn is self.conn:
            self.conn = None
            if self.calls.flying:
                self.unknown()

    def move(self, where: tuple[str, int]) -> None:
        """The relay is elsewhere from now on. An outstanding call ends first, one way or the other."""
        if where != self.where:
            self.where = where
            self.used = -1e18  # the next call dials
            if self.calls.flying is None:
                self.kick()

    def close(self) -> None:
        self.closed = True
        self.stop_timer()
        self.give_up()


class Session(Lines):
    """A connection with news. `standing` until what stands is known for whole."""

    def __init__(self, owner: NewsLink, where: tuple[str, int]) -> None:
        super().__init__(owner.heard, owner.over)
        self.where = where
        self.standing: Standing | None = owner.news.opening()
        self.begun = False  # the relay has said that it will tell
        self.quiet: asyncio.TimerHandle | None = None


class NewsLink:
    """Keeps a connection with news. Times in ms.

    tell: takes events. under_way: orders on tables not yet confirmed. silence: after which a connection that says
    nothing is given up. whole_after: without a word, what stands is taken for whole (a sign of life says so at once).
    """

    def __init__(
        self, where: tuple[str, int], news: News, clock: Callable[[], float], tell: Callable[[list[api.Event]], None],
        under_way: Callable[[], list[TableOrder]], said: Callable[[str], None], silence: float = 2_500.0,
        whole_after: float = 150.0, lines_after: float = 30.0, dial_within: float = 300.0,
    ) -> None:  # fmt: skip
        self.where, self.news, self.clock, self.tell = where, news, clock, tell
        self.under_way, self.said = under_way, said
        self.silence, self.dial_within = silence, dial_within
        self.whole_after, self.lines_after = whole_after, lines_after
        self.loop = asyncio.get_running_loop()
        self.current: Session | None = None  # whose news counts
        self.coming: Session | None = None  # that will take its place
        self.task: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.lines: asyncio.TimerHandle | None = None
        self.wait, self.closed, self.settled_once = 0.0, False, False
        self.breaks = self.bridged = 0
        self.gap: Callable[[], None] = lambda: None  # told when news goes on after a gap

    def start(self) -> None:
        self.watch()

    def watch(self) -> None:
        """Look after the connections, four times within a silence."""
        if self.closed:
            return
        now = self.clock()
        if self.current and now - self.current.at > self.silence:
            self.said("news has fallen silent")
            self.current.drop()
            self.current = None
            self.breaks += 1
        if self.coming and now - self.coming.at > self.silence:
            self.coming.drop()
            self.coming = None
        self.dial()
        if self.timer:
            self.timer.cancel()
        self.timer = self.loop.call_later(self.silence / 4000.0, self.watch)

    def dial(self) -> None:
        wanted = self.current is None or self.current.where != self.where
        if wanted and self.coming is None and self.task is None and not self.closed:
            self.task = self.loop.create_task(self.open())

    async def open(self) -> None:
        try:
            if self.wait:
                await asyncio.sleep(self.wait / 1000.0)
            self.wait = min(500.0, max(20.0, self.wait * 2.0))
            where = self.where
            async with asyncio.timeout(self.dial_within / 1000.0):
                _, session = await self.loop.create_connection(lambda: Session(self, where), *where)
            session.at = self.clock()
            self.coming = session
            session.transport.write(WATCH)
        except OSError:
            pass
        finally:
            self.task = None
        self.dial()

    def heard(self, session: Session, lines: list[bytes]) -> None:
        session.at = self.clock()
        events: list[api.Event] = []
        for line in lines:
            try:
                notice = self.news.read(line)
                if session.standing is None:
                    events += self.news.news(notice)
                    if notice.method in ("owner", "entry"):
                        self.lines_come()
                elif notice.error is not None:
                    session.drop()  # not yet, or not here: asked again after a wait
                    self.over(session)
                    return
                elif notice.method == "ping" and session.begun:
                    self.settle(session)
                elif notice.method:
                    self.news.begun(session.standing, notice)
                elif notice.result is True:
                    session.begun = True
            except BadNews as fault:
                self.said(f"news that cannot be used: {fault}")
        if session.standing is not None and session.begun:
            if session.quiet:
                session.quiet.cancel()
            session.quiet = self.loop.call_later(self.whole_after / 1000.0, self.settle, session)
        if events:
            self.tell(events)

    def settle(self, session: Session) -> None:
        if session.standing is None or session.dropped or session is not self.coming:
            return
        if session.quiet:
            session.quiet.cancel()
        standing, session.standing = session.standing, None
        if self.current:
            self.current.drop()
        self.current, self.coming, self.wait, self.settled_once = session, None, 0.0, True
        self.tell(self.news.settled(standing, self.under_way()))
        if self.breaks > self.bridged:
            self.bridged = self.breaks
            self.gap()
        self.dial()

    def lines_come(self) -> None:
        if self.lines:
            self.lines.cancel()
        self.lines = self.loop.call_later(self.lines_after / 1000.0, self.given)

    def given(self) -> None:
        self.lines = None
        if events := self.news.given():
            self.tell(events)

    def over(self, session: Session) -> None:
        if session.quiet:
            session.quiet.cancel()
        if session is self.current:
            self.current = None
            self.breaks += 1
        elif session is self.coming:
            self.coming = None
        self.dial()

    def move(self, where: tuple[str, int]) -> None:
        """The relay is elsewhere: the old connection goes on until the new one knows what stands."""
        if where != self.where:
            self.where, self.wait = where, 0.0
            if self.coming:
                self.coming.drop()
                self.coming = None
            self.dial()

    def close(self) -> None:
        self.closed = True
        for timer in (self.timer, self.lines):
            if timer:
                timer.cancel()
        for session in (self.current, self.coming):
            if session:
                session.drop()
        if self.task:
            self.task.cancel()
