"""Drives `sync` over connections: asks what it wants asked, hands on what it tells. No decision here."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Generic, TypeVar

from .connection import Compacted, Connection, Lost
from .watch_state import Action, Close, Delta, Follow, Header, List, Row, Say, Sync

Conn = TypeVar("Conn", bound=Connection)


class Switch(Exception):
    """The watch has told something that ends it: what to ask instead."""

    def __init__(self, then: List | Follow | Close) -> None:
        super().__init__()
        self.then = then


class Follower(Generic[Conn]):
    """dial(): a new connection; clock: ms. delta: every change, in order. said: what staff should know.

    up(): the view is whole now, and followed; down(): the way is gone.
    """

    def __init__(
        self,
        dial: Callable[[], Conn],
        prefix: bytes,
        sync: Sync,
        clock: Callable[[], float],
        delta: Callable[[Delta], None],
        said: Callable[[str], None],
        up: Callable[[], None],
        down: Callable[[], None] = lambda: None,
    ) -> None:
        self.dial, self.prefix, self.sync, self.clock = dial, prefix, sync, clock
        self.delta, self.said, self.up, self.down = delta, said, up, down
        self.conn: Conn | None = None

    async def run(self) -> None:
        """Until it is cancelled."""
        while True:
            self.conn = conn = self.dial()
            try:
                then = self.carry(self.sync.connected(self.clock()))
                while not isinstance(then, Close):
                    then = await self.ask(conn, then)
            finally:
                self.conn = None
                await conn.close()
            self.down()
            self.said(f"registry: {then.why}")
            await asyncio.sleep(then.wait / 1000.0)

    async def ask(self, conn: Conn, what: List | Follow) -> List | Follow | Close:
        sync = self.sync
        try:
            if isinstance(what, List):
                header, rows, more = await conn.page(self.prefix, what.after, what.revision, sync.limits.page)
                return self.carry(sync.listed(self.clock(), header, rows, more))
            await conn.watch(self.prefix, what.revision, self)
            return self.carry(sync.broken(self.clock(), "the watch ended"))
        except Switch as s:
            return s.then
        except Compacted:
            return self.carry(sync.list_compacted(self.clock()))
        except Lost as fault:
            return self.carry(sync.broken(self.clock(), str(fault)))

    def carry(self, actions: list[Action]) -> List | Follow | Close:
        """Tell what is to be told; what is to be asked next."""
        then: List | Follow | Close | None = None
        for a in actions:
            if isinstance(a, Say):
                self.said(f"registry: {a.text}")
            elif isinstance(a, Delta):
                self.delta(a)
            else:
                then = a
        assert then is not None
        if isinstance(then, Follow):
            self.up()
        return then

    # ---- what a watch tells ----------------------------------------------------------------------------

    def heard(self, actions: list[Action]) -> None:
        for k, a in enumerate(actions):
            if not isinstance(a, Delta):
                raise Switch(self.carry(actions[k:]))
            self.delta(a)

    def created(self, header: Header) -> None:
        self.heard(self.sync.created(self.clock(), header))

    def changes(self, header: Header, rows: list[Row], fragment: bool) -> None:
        self.heard(self.sync.watched(self.clock(), header, rows, fragment))

    def progress(self, header: Header) -> None:
        self.heard(self.sync.progress(self.clock(), header))

    def cancelled(self, header: Header | None, compacted: int, why: str) -> None:
        self.heard(self.sync.cancelled(self.clock(), header, compacted, why))
