"""How operations wait, and what stewards tell each other of it. ms."""

from __future__ import annotations

from dataclasses import dataclass

OVERDUE = 1e6  # added to the standing of a job that has waited for as long as it may


@dataclass(frozen=True)
class Kind:
    """An operation that may wait. priority: its standing at the beginning. patience: ms of waiting that are worth one
    priority. most: the longest that a job may wait. jobs: that one steward holds."""

    name: str
    priority: float = 0.0
    patience: float = 10_000.0
    most: float = 600_000.0
    jobs: int = 100_000

    def standing(self, waited: float, rise: float = 0.0) -> float:
        """A job that is over its time goes before all that are not, the oldest first."""
        own = self.priority + rise + max(0.0, waited) / self.patience
        return own + (OVERDUE if waited >= self.most else 0.0)


@dataclass(frozen=True)
class WaitTerms:
    """tell: between two words to the others. stale: without a word for so long, another steward is not waited for.
    slack: ms of waiting by which a job may go before one that stands higher elsewhere. hold: for how long a steward
    without rights to release holds up the others with what it has. rise: priorities that a job gains while its run
    keeps a set from being retired. rate: releases a second of the whole fleet. batch: releases in one turn. claims:
    fingerprints that may be asked for at once."""

    tell: float = 100.0
    stale: float = 1_000.0
    slack: float = 200.0
    hold: float = 6_000.0
    rise: float = 2.0
    rate: float = 10.0
    batch: int = 64
    claims: int = 256
