"""Limits the bytes of incomplete frames that all connections of proxies hold together. Pure."""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

Connection = TypeVar("Connection", bound=Hashable)


MIN_TOTAL_BYTES = 1 << 24
"""Lower bound of the limit, whatever the size of a frame."""

MIN_TOTAL_FRAMES = 2
"""Largest frames that fit into the limit at least."""


class PartialFrames(Generic[Connection]):
    """The connections with an incomplete frame, the one that began its frame first in front.

    A proxy at work completes a frame within moments, so beyond the limit the frame that began first is given up.
    max_frame_bytes: size of the largest frame.
    """

    def __init__(self, max_frame_bytes: int) -> None:
        self.max_frame_bytes = max_frame_bytes
        self.sizes: dict[Connection, int] = {}  # bytes
        self.total_bytes = 0

    def update(self, connection: Connection, size: int, *, is_new: bool) -> None:
        """Set the bytes that a connection holds. is_new: another frame has begun since the last call."""
        if is_new or size == 0:
            self.remove(connection)
        if size:
            self.total_bytes += size - self.sizes.get(connection, 0)
            self.sizes[connection] = size

    def excess(self) -> Connection | None:
        """Return the connection to close first while the limit is exceeded, else None."""
        max_bytes = max(MIN_TOTAL_BYTES, MIN_TOTAL_FRAMES * self.max_frame_bytes)
        return next(iter(self.sizes)) if self.total_bytes > max_bytes else None

    def remove(self, connection: Connection) -> None:
        """Remove a connection that has ended."""
        self.total_bytes -= self.sizes.pop(connection, 0)
