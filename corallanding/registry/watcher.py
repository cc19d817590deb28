"""Runs a `WatchState` over connections: sends its requests, and reports what it says. No decisions are made here."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

from ..errors import CorallandingError
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
    WatchRequest,
)
from .watch_state import WatchState

MS_PER_SECOND = 1000.0

ConnectionT = TypeVar("ConnectionT", bound=RegistryConnection)


class ViewListener(Protocol):
    """The owner of a watched prefix."""

    def on_watching(self) -> None:
        """The view is complete, and watched from here on."""

    def on_view_change(self, change: ViewChange) -> None:
        """Something changed; every change is reported once, in order."""

    def on_watch_failure(self, text: str) -> None:
        """Something that operators should know."""

    def on_disconnected(self) -> None:
        """The connection is lost."""


class WatchInterruptedError(CorallandingError):
    """A report of the watch calls for another request, which ends the watch."""

    def __init__(self, next_request: WatchRequest) -> None:
        super().__init__()
        self.next_request = next_request


class MissingRequestError(CorallandingError):
    """The state says nothing of what to do next: a mistake in it."""


class Watcher(Generic[ConnectionT]):
    """Keeps one prefix watched. connect: opens a new connection. clock: ms."""

    def __init__(
        self,
        connect: Callable[[], ConnectionT],
        prefix: bytes,
        state: WatchState,
        clock: Callable[[], float],
        listener: ViewListener,
    ) -> None:
        self.connect = connect
        self.prefix = prefix
        self.state = state
        self.clock = clock
        self.listener = listener
        self.connection: ConnectionT | None = None

    async def run(self) -> None:
        """Watch, over one connection after another, until cancelled."""
        while True:
            connection = self.connect()
            self.connection = connection
            try:
                disconnect = await self._serve(connection)
            finally:
                self.connection = None
                await connection.close()
            self.listener.on_disconnected()
            self.listener.on_watch_failure(f"registry: {disconnect.reason}")
            await asyncio.sleep(disconnect.retry_after_ms / MS_PER_SECOND)

    # ---- what a watch reports (`connection.WatchListener`) -----------------------------------------------------------

    def on_created(self, header: ResponseHeader) -> None:
        """The registry serves the watch."""
        self._perform_watch_actions(self.state.on_watch_created(self.clock(), header))

    def on_changes(self, header: ResponseHeader, changes: list[KeyValue], *, is_fragment: bool) -> None:
        """Changes, in order."""
        actions = self.state.on_changes(self.clock(), header, changes, is_fragment=is_fragment)
        self._perform_watch_actions(actions)

    def on_progress(self, header: ResponseHeader) -> None:
        """All changes up to the header's revision were sent."""
        self._perform_watch_actions(self.state.on_progress(self.clock(), header))

    def on_cancelled(self, header: ResponseHeader | None, compact_revision: int, reason: str) -> None:
        """The registry ended the watch."""
        self._perform_watch_actions(self.state.on_watch_cancelled(self.clock(), header, compact_revision, reason))

    # ---- steps -------------------------------------------------------------------------------------------------------

    async def _serve(self, connection: ConnectionT) -> Disconnect:
        request = self._perform(self.state.on_connected(self.clock()))
        while not isinstance(request, Disconnect):
            request = await self._send(connection, request)
        return request

    async def _send(self, connection: ConnectionT, request: ListPage | StartWatch) -> WatchRequest:
        """Send one request and return the next one."""
        state = self.state
        try:
            if isinstance(request, ListPage):
                page_size = state.limits.page_size
                page = await connection.list_page(self.prefix, request.after_key, request.revision, page_size)
                actions = state.on_page(self.clock(), page.header, page.key_values, has_more=page.has_more)
                return self._perform(actions)
            await connection.watch(self.prefix, request.revision, self)
            return self._perform(state.on_disconnected("the watch ended"))
        except WatchInterruptedError as interruption:
            return interruption.next_request
        except CompactedError:
            return self._perform(state.on_page_compacted(self.clock()))
        except RegistryUnavailableError as error:
            return self._perform(state.on_disconnected(str(error)))

    def _perform(self, actions: list[WatchAction]) -> WatchRequest:
        """Report what is to be reported, and return what is to be requested next."""
        request: WatchRequest | None = None
        for action in actions:
            if isinstance(action, LogMessage):
                self.listener.on_watch_failure(f"registry: {action.text}")
            elif isinstance(action, ViewChange):
                self.listener.on_view_change(action)
            else:
                request = action
        if request is None:
            raise MissingRequestError("no request follows")
        if isinstance(request, StartWatch):
            self.listener.on_watching()
        return request

    def _perform_watch_actions(self, actions: list[WatchAction]) -> None:
        """Report changes; anything else ends the watch."""
        for position, action in enumerate(actions):
            if not isinstance(action, ViewChange):
                raise WatchInterruptedError(self._perform(actions[position:]))
            self.listener.on_view_change(action)
