"""How operations wait, and what stewards tell each other of it. ms."""

from __future__ import annotations

from dataclasses import dataclass

OVERDUE_PRIORITY = 1e6  # added to the standing of a job that has waited for as long as it may


@dataclass(frozen=True)
class JobClass:
    """An operation that may wait. priority: its standing at the beginning. patience: ms of waiting that are worth one
    priority. most: the longest that a job may wait. jobs: that one steward holds."""

    name: str
    priority: float = 0.0
    aging_interval_ms: float = 10_000.0
    max_wait_ms: float = 600_000.0
    max_jobs: int = 100_000

    def effective_priority(self, waited: float, rise: float = 0.0) -> float:
        """A job that is over its time goes before all that are not, the oldest first."""
        own = self.priority + rise + max(0.0, waited) / self.aging_interval_ms
        return own + (OVERDUE_PRIORITY if waited >= self.max_wait_ms else 0.0)


@dataclass(frozen=True)
class SchedulingLimits:
    """tell: between two words to the others. stale: without a word for so long, another steward is not waited for.
    slack: ms of waiting by which a job may go before one that stands higher elsewhere. hold: for how long a steward
    without rights to release holds up the others with what it has. rise: priorities that a job gains while its run
    keeps a set from being retired. rate: releases a second of the whole fleet. batch: releases in one turn. claims:
    fingerprints that may be asked for at once."""

    announce_interval_ms: float = 100.0
    peer_timeout_ms: float = 1_000.0
    order_slack_ms: float = 200.0
    blocked_ms: float = 6_000.0
    retirement_boost: float = 2.0
    dispatches_per_second: float = 10.0
    max_dispatches_per_tick: int = 64
    max_claims_in_flight: int = 256
