"""The times that an office rests on, and those of what is lent under it."""

from __future__ import annotations

from dataclasses import dataclass

SALT = 12  # bits of a fence that tell dealers apart, should two ever count from the same number


@dataclass(frozen=True)
class ElectionTimings:
    """ms. office: for how long a vote is lent. drift: the share by which a clock may run fast or slow; all that is lent
    is used for less by the one, and waited for longer by the other."""

    office: float = 2_000.0
    drift: float = 0.02

    def mine(self, span: float) -> float:
        """How long one may use what was lent for `span`, by its own clock."""
        return span * (1.0 - self.drift)

    def theirs(self, span: float) -> float:
        """How long to wait, by our own clock, until another surely has ended."""
        return span * (1.0 + self.drift)


@dataclass(frozen=True)
class LeaseTimings(ElectionTimings):
    """lease: ms for which tasks are dealt. again: ms between two words of a holder, a part of the lease. turn: ms for
    which one that lost its turn at a task does not ask for it, in leases."""

    lease: float = 3_000.0
    turn: float = 2.0

    @property
    def again(self) -> float:
        return self.lease / 6.0
