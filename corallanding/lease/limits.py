"""Durations of the leader election and of the leases that the leader grants."""

from __future__ import annotations

from dataclasses import dataclass

TOKEN_SALT_BITS = 12  # low bits of a fencing token; they differ between leaders that start at the same count


@dataclass(frozen=True)
class ElectionTimings:
    """Durations of an election, in ms by each controller's own clock.

    A vote is valid for `vote_lease_ms`. `max_clock_drift` is the fraction by which a clock may run fast or slow: the
    receiver of a grant uses it for a shorter time, and its grantor waits for longer.
    """

    vote_lease_ms: float = 2_000.0
    max_clock_drift: float = 0.02

    def usable_ms(self, span_ms: float) -> float:
        """Return how long (ms) the receiver of a grant for `span_ms` may use it, by its own clock."""
        return span_ms * (1.0 - self.max_clock_drift)

    def expiry_ms(self, span_ms: float) -> float:
        """Return how long (ms) to wait, by the local clock, until a remote grant for `span_ms` has certainly ended."""
        return span_ms * (1.0 + self.max_clock_drift)


@dataclass(frozen=True)
class LeaseTimings(ElectionTimings):
    """Durations of an election and of the task leases under it.

    A holder whose task made no progress does not request it again for `cooldown_leases` times `lease_ms`.
    """

    lease_ms: float = 3_000.0
    cooldown_leases: float = 2.0

    @property
    def request_interval_ms(self) -> float:
        """Time between two requests of a lease holder, in ms."""
        return self.lease_ms / 6.0

    @property
    def cooldown_ms(self) -> float:
        """Time for which a holder that made no progress does not request the task again, in ms."""
        return self.cooldown_leases * self.lease_ms
