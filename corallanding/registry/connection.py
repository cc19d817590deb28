"""What both kinds of registry share: a connection, and how a watch tells what came. No library of either is needed."""

from __future__ import annotations

from typing import Protocol

from .watch_state import Header, Row


class Lost(Exception):
    """The registry cannot be asked: not reached, refused, or broken in the middle. The text says which."""


class Compacted(Exception):
    """The revision asked for is compacted away."""


class Stream(Protocol):
    """Where a watch tells what came."""

    def created(self, header: Header) -> None: ...

    def changes(self, header: Header, rows: list[Row], fragment: bool) -> None: ...

    def progress(self, header: Header) -> None: ...

    def cancelled(self, header: Header | None, compacted: int, why: str) -> None: ...


class Connection(Protocol):
    async def page(self, prefix: bytes, after: bytes, revision: int, most: int) -> tuple[Header, list[Row], bool]:
        """A page of a full read. Raises `Lost`, `Compacted`."""

    async def watch(self, prefix: bytes, revision: int, told: Stream) -> None:
        """Tells what comes until the registry ends it. Raises `Lost` when the way breaks."""

    async def close(self) -> None: ...
