"""Interfaces shared by all registry kinds: a connection and a watch listener. Imports neither client library."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from .watch_messages import KeyValue, ResponseHeader


class ListedPage(NamedTuple):
    """One page of a full read; `has_more` is true if further keys follow."""

    header: ResponseHeader
    key_values: list[KeyValue]
    has_more: bool


class WatchListener(Protocol):
    """Receives the responses of a watch."""

    def on_created(self, header: ResponseHeader) -> None:
        """Handle the confirmation that the registry created the watch."""

    def on_changes(self, header: ResponseHeader, changes: list[KeyValue], *, is_fragment: bool) -> None:
        """Handle changes, in revision order. is_fragment: more changes of the same response follow."""

    def on_progress(self, header: ResponseHeader) -> None:
        """Handle a progress notification: all changes up to the header's revision were sent."""

    def on_cancelled(self, header: ResponseHeader | None, compact_revision: int, reason: str) -> None:
        """Handle the end of the watch. compact_revision: the oldest available, 0 if compaction is not the reason."""


class RegistryConnection(Protocol):
    """A connection to one member of a registry."""

    async def list_page(self, prefix: bytes, after_key: bytes, revision: int, max_keys: int) -> ListedPage:
        """Read up to `max_keys` keys of the prefix after a key, at a revision (0: the latest).

        Raises `RegistryUnavailableError`, and `CompactedError` if the revision has been compacted.
        """
        ...

    async def watch(self, prefix: bytes, revision: int, listener: WatchListener) -> None:
        """Report changes under the prefix to the listener, starting at `revision`, until the registry ends the watch.

        Raises `RegistryUnavailableError` if the connection is lost.
        """

    async def close(self) -> None:
        """Close the connection."""
