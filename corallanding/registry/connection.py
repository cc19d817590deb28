"""What all kinds of registry have in common: a connection, and how a watch reports. Needs no library of either kind."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from .watch_messages import KeyValue, ResponseHeader


class ListedPage(NamedTuple):
    """A page of a full read; has_more: further keys follow."""

    header: ResponseHeader
    key_values: list[KeyValue]
    has_more: bool


class WatchListener(Protocol):
    """Where a watch reports what the registry sends."""

    def on_created(self, header: ResponseHeader) -> None:
        """The registry serves the watch."""

    def on_changes(self, header: ResponseHeader, changes: list[KeyValue], *, is_fragment: bool) -> None:
        """Changes, in order. is_fragment: more changes of the same answer follow."""

    def on_progress(self, header: ResponseHeader) -> None:
        """All changes up to the header's revision were sent."""

    def on_cancelled(self, header: ResponseHeader | None, compact_revision: int, reason: str) -> None:
        """The registry ended the watch. compact_revision: the oldest one it still has, 0 if that is not why."""


class RegistryConnection(Protocol):
    """A connection to one member of a registry."""

    async def list_page(self, prefix: bytes, after_key: bytes, revision: int, max_keys: int) -> ListedPage:
        """Read up to `max_keys` keys of the prefix after a key, at a revision (0: the present one).

        Raises `RegistryUnavailableError`, and `CompactedError` if the revision is compacted away.
        """
        ...

    async def watch(self, prefix: bytes, revision: int, listener: WatchListener) -> None:
        """Report the changes of the prefix from a revision on, until the registry ends the watch.

        Raises `RegistryUnavailableError` if the connection is lost.
        """

    async def close(self) -> None:
        """Close the connection."""
