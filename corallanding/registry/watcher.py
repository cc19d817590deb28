"""Drives `sync` over connections: asks what it wants asked, hands on what it tells. No decision here."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Generic, TypeVar

from .connection import RegistryConnection
from .errors import CompactedError, RegistryUnavailableError
from .watch_messages import (
    Disconnect,
    KeyValue,
    ListPage,
    LogMessage,
    ResponseHeader,
    StartWatch,
    ViewChange,
    WatchAction,
)
from .watch_state import WatchState

ConnectionT = TypeVar("ConnectionT", bound=RegistryConnection)


class WatchInterrupted(Exception):
    """The watch has told something that ends it: what to ask instead."""

    def __init__(self, then: ListPage | StartWatch | Disconnect) -> None:
        super().__init__()
        self.next_request = then


class Watcher(Generic[ConnectionT]):
    """dial(): a new connection; clock: ms. delta: every change, in order. said: what staff should know.

    up(): the view is whole now, and followed; down(): the way is gone.
    """

    def __init__(
        self,
        dial: Callable[[], ConnectionT],
        prefix: bytes,
        sync: WatchState,
        clock: Callable[[], float],
        delta: Callable[[ViewChange], None],
        said: Callable[[str], None],
        up: Callable[[], None],
        down: Callable[[], None] = lambda: None,
    ) -> None:
        self.connect, self.prefix, self.state, self.clock = dial, prefix, sync, clock
        self.on_change, self.on_failure, self.on_watching, self.on_disconnected = delta, said, up, down
        self.connection: ConnectionT | None = None

    async def run(self) -> None:
        """Until it is cancelled."""
        while True:
            self.connection = conn = self.connect()
            try:
                then = self.perform(self.state.on_connected(self.clock()))
                while not isinstance(then, Disconnect):
                    then = await self.send(conn, then)
            finally:
                self.connection = None
                await conn.close()
            self.on_disconnected()
            self.on_failure(f"registry: {then.reason}")
            await asyncio.sleep(then.retry_after_ms / 1000.0)

    async def send(self, conn: ConnectionT, what: ListPage | StartWatch) -> ListPage | StartWatch | Disconnect:
        sync = self.state
        try:
            if isinstance(what, ListPage):
                header, rows, more = await conn.list_page(
                    self.prefix, what.after_key, what.revision, sync.limits.page_size
                )
                return self.perform(sync.on_page(self.clock(), header, rows, more))
            await conn.watch(self.prefix, what.revision, self)
            return self.perform(sync.on_disconnected(self.clock(), "the watch ended"))
        except WatchInterrupted as s:
            return s.next_request
        except CompactedError:
            return self.perform(sync.on_page_compacted(self.clock()))
        except RegistryUnavailableError as fault:
            return self.perform(sync.on_disconnected(self.clock(), str(fault)))

    def perform(self, actions: list[WatchAction]) -> ListPage | StartWatch | Disconnect:
        """Tell what is to be told; what is to be asked next."""
        then: ListPage | StartWatch | Disconnect | None = None
        for a in actions:
            if isinstance(a, LogMessage):
                self.on_failure(f"registry: {a.text}")
            elif isinstance(a, ViewChange):
                self.on_change(a)
            else:
                then = a
        assert then is not None
        if isinstance(then, StartWatch):
            self.on_watching()
        return then

    # ---- what a watch tells ----------------------------------------------------------------------------

    def perform_watch_actions(self, actions: list[WatchAction]) -> None:
        for k, a in enumerate(actions):
            if not isinstance(a, ViewChange):
                raise WatchInterrupted(self.perform(actions[k:]))
            self.on_change(a)

    def on_created(self, header: ResponseHeader) -> None:
        self.perform_watch_actions(self.state.on_watch_created(self.clock(), header))

    def on_changes(self, header: ResponseHeader, rows: list[KeyValue], fragment: bool) -> None:
        self.perform_watch_actions(self.state.on_changes(self.clock(), header, rows, fragment))

    def on_progress(self, header: ResponseHeader) -> None:
        self.perform_watch_actions(self.state.on_progress(self.clock(), header))

    def on_cancelled(self, header: ResponseHeader | None, compacted: int, why: str) -> None:
        self.perform_watch_actions(self.state.on_watch_cancelled(self.clock(), header, compacted, why))
