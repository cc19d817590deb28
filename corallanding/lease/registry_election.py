"""The office by the registry's compare-and-swap: one key, whose holder and create revision are office and term. Pure.

What `registry.slice_ownership` decides of slices it decides here of one thing; the registry's revisions only rise, so
that fences do through any restart, without votes and without a clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from .election import OutgoingMessage
from .messages import ElectionMessage

OFFICE = 0  # the number of the one thing that is held
WIDE = 32  # bits of a fence below the term's


class Held(Protocol):
    """As `registry.slice_ownership.SliceOwnership` keeps it."""

    fencing_tokens: dict[int, int]  # number: fence, the create revision
    observed_owners: dict[int, tuple[int, int]]  # number: (holder, create revision), as seen

    def has_valid_lease(self, now: float) -> bool: ...


class RegistryElection:
    """me, others: numbers. life: drawn at the start."""

    def __init__(self, me: int, others: tuple[int, ...], life: int, charge: Held) -> None:
        self.me, self.others, self.life, self.charge = me, others, life, charge
        self.since: float | None = None
        self.revision = 0
        self.refused = 0  # words of an office that is held by votes elsewhere

    def holds(self, now: float) -> bool:
        revision = self.charge.fencing_tokens.get(OFFICE, 0) if self.charge.has_valid_lease(now) else 0
        if revision != self.revision:
            self.revision, self.since = revision, now if revision else None
        return bool(revision)

    @property
    def term(self) -> tuple[float, int] | None:
        return None if self.since is None else (self.since, self.revision)

    @property
    def identity(self) -> int:
        return self.revision

    @property
    def holder(self) -> tuple[int | None, int, int]:
        if found := self.charge.observed_owners.get(OFFICE):
            return found[0], found[1], found[1]
        return None, 0, 0

    def base(self, wall: float) -> int:
        return self.revision << WIDE

    @property
    def ceiling(self) -> int:
        return (self.revision + 1 << WIDE) - 1

    def tell(self, top: int) -> None:
        """Nobody needs to be told: the next term's fences are above all of this one's."""

    def tick(self, now: float, alive: Iterable[int]) -> list[OutgoingMessage]:
        return []

    def heard(self, now: float, sender: int, word: ElectionMessage) -> list[OutgoingMessage]:
        self.refused += 1
        return []

    def leave(self, now: float) -> list[OutgoingMessage]:
        return []
