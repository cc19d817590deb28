"""Runs a `WatchState` over connections: sends its requests and forwards its reports; all decisions are in the state."""

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
    """Receives the changes of a watched prefix; implemented by the owner of the watch."""

    def on_watching(self) -> None:
        """Handle a complete view that is now being watched."""

    def on_view_change(self, change: ViewChange) -> None:
        """Handle a change of the view; every change is reported once, in revision order."""

    def on_watch_failure(self, text: str) -> None:
        """Handle a failure that operators should know of."""

    def on_disconnected(self) -> None:
        """Handle the loss of the connection."""


class WatchInterruptedError(CorallandingError):
    """The watch must end, as its state needs another request. Raised through the connection's `watch` call."""

    def __init__(self, next_request: WatchRequest) -> None:
        super().__init__()
        self.next_request = next_request


class MissingRequestError(CorallandingError):
    """The watch state returned no next request, which is a bug in it."""


class Watcher(Generic[ConnectionT]):
    """Watches one prefix continuously. connect: opens a new connection. clock: returns ms."""

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
        """Watch until cancelled, reconnecting after each lost connection."""
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

    # ---- events of a watch (`connection.WatchListener`) --------------------------------------------------------------

    def on_created(self, header: ResponseHeader) -> None:
        """Forward the creation of the watch to the state."""
        self._perform_watch_actions(self.state.on_watch_created(self.clock(), header))

    def on_changes(self, header: ResponseHeader, changes: list[KeyValue], *, is_fragment: bool) -> None:
        """Forward changes to the state."""
        actions = self.state.on_changes(self.clock(), header, changes, is_fragment=is_fragment)
        self._perform_watch_actions(actions)

    def on_progress(self, header: ResponseHeader) -> None:
        """Forward a progress notification to the state."""
        self._perform_watch_actions(self.state.on_progress(self.clock(), header))

    def on_cancelled(self, header: ResponseHeader | None, compact_revision: int, reason: str) -> None:
        """Forward the end of the watch to the state."""
        self._perform_watch_actions(self.state.on_watch_cancelled(self.clock(), header, compact_revision, reason))

    # ---- helpers -----------------------------------------------------------------------------------------------------

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
        """Report messages and changes to the listener, and return the next request."""
        request: WatchRequest | None = None
        for action in actions:
            if isinstance(action, LogMessage):
                self.listener.on_watch_failure(f"registry: {action.text}")
            elif isinstance(action, ViewChange):
                self.listener.on_view_change(action)
            else:
                request = action
        if request is None:
            raise MissingRequestError("the watch state returned no next request")
        if isinstance(request, StartWatch):
            self.listener.on_watching()
        return request

    def _perform_watch_actions(self, actions: list[WatchAction]) -> None:
        """Report changes; end the watch at any other action by raising `WatchInterruptedError`."""
        for position, action in enumerate(actions):
            if not isinstance(action, ViewChange):
                raise WatchInterruptedError(self._perform(actions[position:]))
            self.listener.on_view_change(action)
