"""Which updates a message carries: those that were sent least often, each a bounded number of times."""

from __future__ import annotations


class UpdateQueue:
    """The members whose state still goes out, each with the number of transmissions that are left."""

    def __init__(self) -> None:
        self.transmissions_left: dict[int, int] = {}

    def add(self, member: int, transmissions: int) -> None:
        """Send the state of a member so many times."""
        self.transmissions_left[member] = transmissions

    def take(self, limit: int) -> list[int]:
        """Up to `limit` members, those with most transmissions left first; one transmission of each is used up."""
        left = self.transmissions_left
        members = sorted(left, key=lambda member: -left[member])[:limit]
        for member in members:
            left[member] -= 1
            if left[member] <= 0:
                del left[member]
        return members
