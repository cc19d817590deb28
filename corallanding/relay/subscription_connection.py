"""The connection with news. What is said and meant: `news`."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from .. import interface as api
from ..connection import Address, Connector, ReadTimeout
from .line_protocol import Lines
from .subscription import BadNews, News, Standing, TableOrder

WATCH = b'{"jsonrpc":"2.0","id":1,"method":"relay.watch"}\n'


class Session(Lines):
    """A connection with news. `standing` until what stands is known for whole."""

    def __init__(
        self, where: Address, heard: Callable[[Session, list[bytes]], None], lost: Callable[[Session], None]
    ) -> None:
        super().__init__(where, heard, lost)
        self.standing: Standing | None = None
        self.begun = False  # the relay has said that it will tell
        self.quiet: asyncio.TimerHandle | None = None

    def discard(self) -> None:
        if self.quiet:
            self.quiet.cancel()
        super().discard()


class NewsLink:
    """Keeps a connection with news. Times in ms.

    tell: takes events. under_way: orders on tables not yet confirmed. silence: after which a connection that says
    nothing is given up. whole_after: without a word, what stands is taken for whole (a sign of life says so at once).
    lines_after: how long a slice given waits for its lines since the last word of any; five times that at most.
    """

    def __init__(
        self,
        where: Address,
        news: News,
        clock: Callable[[], float],
        tell: Callable[[list[api.Event]], None],
        under_way: Callable[[], list[TableOrder]],
        said: Callable[[str], None],
        silence: float = 2_500.0,
        whole_after: float = 150.0,
        lines_after: float = 30.0,
        dial_within: float = 300.0,
    ) -> None:
        self.where, self.news, self.clock, self.tell = where, news, clock, tell
        self.under_way, self.said = under_way, said
        self.silence, self.whole_after, self.lines_after = silence, whole_after, lines_after
        self.loop = asyncio.get_running_loop()
        self.dialer = Connector(
            lambda at: Session(at, self.heard, self.over), self.adopted, self.unreached, dial_within
        )
        self.current: Session | None = None  # whose news counts
        self.coming: Session | None = None  # that will take its place
        self.timer: ReadTimeout | None = None
        self.again: asyncio.TimerHandle | None = None  # for the next dial
        self.lines: asyncio.TimerHandle | None = None
        self.lines_since = 0.0
        self.wait, self.closed, self.settled_once = 0.0, False, False
        self.breaks = self.bridged = 0
        self.gap: Callable[[], None] = lambda: None  # told when news goes on after a gap

    def start(self) -> None:
        self.watch()

    def watch(self) -> None:
        """Look after the connections, four times within a silence."""
        now = self.clock()
        for session in (self.current, self.coming):
            if session and now - session.at > self.silence:
                if session is self.current:
                    self.said("news has fallen silent")
                session.discard()
                self.over(session)
        self.dial()
        self.timer = ReadTimeout(self.loop, self.silence / 4.0, self.watch)

    def dial(self) -> None:
        """A new connection, if one is wanted and none is on its way."""
        wanted = self.current is None or self.current.address != self.where
        if wanted and not (self.coming or self.dialer.is_connecting or self.again or self.closed):
            self.again = self.loop.call_later(self.wait / 1000.0, self.dial_now)
            self.wait = min(500.0, max(20.0, self.wait * 2.0))

    def dial_now(self) -> None:
        self.again = None
        self.dialer.connect(self.where)

    def unreached(self, why: str) -> None:
        self.dial()

    def adopted(self, session: Session) -> None:
        session.at, session.standing = self.clock(), self.news.opening()
        self.coming = session
        session.transport.write(WATCH)

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
                    session.discard()  # not yet, or not here: asked again after a wait
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
        if session.standing is None or session is not self.coming:
            return
        if session.quiet:
            session.quiet.cancel()
        standing, session.standing = session.standing, None
        if self.current:
            self.current.discard()
        self.current, self.coming, self.wait, self.settled_once = session, None, 0.0, True
        self.tell(self.news.settled(standing, self.under_way()))
        if self.breaks > self.bridged:
            self.bridged = self.breaks
            self.gap()
        self.dial()

    def lines_come(self) -> None:
        now = self.clock()
        if self.lines:
            self.lines.cancel()
        else:
            self.lines_since = now
        # Not for ever: a relay that goes on telling lines would keep a slice from ever being told.
        after = min(now + self.lines_after, self.lines_since + 5.0 * self.lines_after)
        self.lines = self.loop.call_later(max(0.0, after - now) / 1000.0, self.given)

    def given(self) -> None:
        self.lines = None
        if events := self.news.given():
            self.tell(events)

    def over(self, session: Session) -> None:
        """A connection ended, by itself or because it was given up."""
        if session.quiet:
            session.quiet.cancel()
        if session is self.current:
            self.current = None
            self.breaks += 1
        elif session is self.coming:
            self.coming = None
        self.dial()

    def move(self, where: Address) -> None:
        """The relay is elsewhere: the old connection goes on until the new one knows what stands."""
        if where != self.where:
            self.where, self.wait = where, 0.0
            self.stop_coming()
            self.dial()

    def stop_coming(self) -> None:
        self.dialer.cancel()
        if self.again:
            self.again.cancel()
            self.again = None
        if self.coming:
            self.coming.discard()
            self.coming = None

    def close(self) -> None:
        self.closed = True
        self.stop_coming()
        if self.current:
            self.current.discard()
            self.current = None
        for timer in (self.timer, self.lines):
            if timer:
                timer.cancel()
