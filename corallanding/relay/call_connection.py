"""The connection for calls. What is said and meant: `calls`."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..connection import Address, Connector, ReadTimeout
from .line_protocol import Lines
from .orders import Order
from .pending_calls import Calls


class CallLink:
    """Carries `calls` out, one after the other. Times in ms.

    answer_within: after which an answer never comes. idle_most: a connection that stood idle longer is not trusted with
    a call, as the relay may be closing it just then. stood: takes the orders that the relay confirmed.
    """

    def __init__(
        self,
        where: Address,
        calls: Calls,
        clock: Callable[[], float],
        stood: Callable[[list[Order]], None],
        answer_within: float = 100.0,
        dial_within: float = 300.0,
        idle_most: float = 2_000.0,
    ) -> None:
        self.where, self.calls, self.clock, self.stood = where, calls, clock, stood
        self.answer_within, self.idle_most = answer_within, idle_most
        self.loop = asyncio.get_running_loop()
        self.dialer = Connector(lambda at: Lines(at, self.heard, self.lost), self.adopted, self.unreached, dial_within)
        self.conn: Lines | None = None
        self.used = 0.0
        self.waits: asyncio.TimerHandle | None = None  # for the time of the next call
        self.limit: ReadTimeout | None = None  # of the call in flight
        self.last = False  # no call begins any more
        self.idle = asyncio.Event()  # none is in flight, and none will be

    def kick(self) -> None:
        """Something waits, or may go now."""
        if self.calls.flying or self.dialer.is_connecting or self.last:
            return
        self.stop_waiting()
        now = self.clock()
        at = self.calls.next_at(now)
        if at is None:
            return
        if at > now:
            self.waits = self.loop.call_later((at - now) / 1000.0, self.kick)
        elif self.conn is None or self.conn.address != self.where or now - self.used > self.idle_most:
            self.dialer.connect(self.where)
        else:
            self.send(self.conn, now)

    def stop_waiting(self) -> None:
        if self.waits:
            self.waits.cancel()
            self.waits = None

    def adopted(self, conn: Lines) -> None:
        self.give_up()
        self.conn, self.used = conn, self.clock()
        self.kick()

    def unreached(self, why: str) -> None:
        self.calls.unsent(self.clock())
        self.kick()

    def send(self, conn: Lines, now: float) -> None:
        if call := self.calls.next(now):
            conn.transport.write(call.line)
            self.used = now
            self.limit = ReadTimeout(self.loop, self.answer_within, self.unknown)

    def unknown(self) -> None:
        self.give_up()
        self.calls.unknown(self.clock())
        self.ended()

    def give_up(self) -> None:
        if self.conn:
            self.conn.discard()
            self.conn = None

    def heard(self, conn: Lines, lines: list[bytes]) -> None:
        for line in lines:
            if not conn.is_open or not self.calls.flying:
                return
            orders = self.calls.answered(self.clock(), line)
            if orders is None:
                self.unknown()
                return
            self.used = self.clock()
            self.stood(orders)
        if not self.calls.flying:
            self.ended()

    def ended(self) -> None:
        """The call in flight has ended, one way or the other."""
        if self.limit:
            self.limit.cancel()
            self.limit = None
        if self.last:
            self.idle.set()
        self.kick()

    def lost(self, conn: Lines) -> None:
        self.conn = None
        if self.calls.flying:
            self.unknown()

    def move(self, where: Address) -> None:
        """The relay is elsewhere from now on. An outstanding call ends first, one way or the other."""
        if where != self.where:
            self.where = where
            self.dialer.cancel()
            self.kick()

    def finish(self) -> None:
        """The call in flight may end, none begins after it: `idle` says when."""
        self.last = True
        self.stop_waiting()
        self.dialer.cancel()
        if not self.calls.flying:
            self.idle.set()

    def close(self) -> None:
        self.finish()
        if self.limit:
            self.limit.cancel()
        self.give_up()
