"""What both kinds of registry share: a connection, and how a watch tells what came. No library of either is needed."""

from __future__ import annotations

from typing import Protocol

from .watch_messages import KeyValue, ResponseHeader


class WatchListener(Protocol):
    """Where a watch tells what came."""

    def on_created(self, header: ResponseHeader) -> None: ...

    def on_changes(self, header: ResponseHeader, rows: list[KeyValue], fragment: bool) -> None: ...

    def on_progress(self, header: ResponseHeader) -> None: ...

    def on_cancelled(self, header: ResponseHeader | None, compacted: int, why: str) -> None: ...


class RegistryConnection(Protocol):
    async def list_page(
        self, prefix: bytes, after: bytes, revision: int, most: int
    ) -> tuple[ResponseHeader, list[KeyValue], bool]:
        """A page of a full read. Raises `RegistryUnavailableError`, `CompactedError`."""

    async def watch(self, prefix: bytes, revision: int, told: WatchListener) -> None:
        """Tells what comes until the registry ends it. Raises `RegistryUnavailableError` when the way breaks."""

    async def close(self) -> None: ...
