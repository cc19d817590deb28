"""Selects the updates that a message carries: the least often sent first, each a bounded number of times."""

from __future__ import annotations


class UpdateQueue:
    """The members whose state is still to be sent, each with its number of remaining transmissions."""

    def __init__(self) -> None:
        self.transmissions_left: dict[int, int] = {}

    def add(self, member: int, transmissions: int) -> None:
        """Queue the state of a member for a number of transmissions."""
        self.transmissions_left[member] = transmissions

    def take(self, limit: int) -> list[int]:
        """Return up to `limit` members, those with most transmissions left first; decrement each count."""
        left = self.transmissions_left
        members = sorted(left, key=lambda member: -left[member])[:limit]
        for member in members:
            left[member] -= 1
            if left[member] <= 0:
                del left[member]
        return members
