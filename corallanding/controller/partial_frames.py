"""Counts the bytes of incomplete frames that all connections of proxies hold together. Pure."""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

Connection = TypeVar("Connection", bound=Hashable)


class PartialFrames(Generic[Connection]):
    """The connections with an incomplete frame, the one that began its frame first in front."""

    def __init__(self) -> None:
        self.sizes: dict[Connection, int] = {}  # bytes
        self.total_bytes = 0

    def update(self, connection: Connection, size: int, *, is_new: bool) -> None:
        """Set the bytes that a connection holds. is_new: another frame has begun since the last call."""
        if is_new or size == 0:
            self.remove(connection)
        if size:
            self.total_bytes += size - self.sizes.get(connection, 0)
            self.sizes[connection] = size

    def remove(self, connection: Connection) -> None:
        """Remove a connection that has ended."""
        self.total_bytes -= self.sizes.pop(connection, 0)
