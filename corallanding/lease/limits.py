"""The durations on which an election and the leases that its leader grants rest."""

from __future__ import annotations

from dataclasses import dataclass

TOKEN_SALT_BITS = 12  # low bits of a fencing token that differ between leaders which count from the same number


@dataclass(frozen=True)
class ElectionTimings:
    """Durations of an election, in ms by each controller's own clock.

    A vote is good for `vote_lease_ms`. `max_clock_drift` is the fraction by which a clock may run fast or slow: who was
    granted something uses it for less, and who granted it waits for longer.
    """

    vote_lease_ms: float = 2_000.0
    max_clock_drift: float = 0.02

    def usable_ms(self, span_ms: float) -> float:
        """How long the receiver of a grant for `span_ms` may use it, by its own clock."""
        return span_ms * (1.0 - self.max_clock_drift)

    def expiry_ms(self, span_ms: float) -> float:
        """How long to wait, by our own clock, until another's grant for `span_ms` has surely ended."""
        return span_ms * (1.0 + self.max_clock_drift)


@dataclass(frozen=True)
class LeaseTimings(ElectionTimings):
    """Durations of an election and of the task leases under it.

    A task that made no progress is not requested again by the same holder for `barred_leases` times `lease_ms`.
    """

    lease_ms: float = 3_000.0
    barred_leases: float = 2.0

    @property
    def request_interval_ms(self) -> float:
        """Time between two requests of a lease holder."""
        return self.lease_ms / 6.0

    @property
    def barred_ms(self) -> float:
        """How long a holder that made no progress does not request the task again."""
        return self.barred_leases * self.lease_ms
