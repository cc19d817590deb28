"""How many units are in use, counted by the instants at which their use ends."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

BUCKETS = 64  # of one window; every use in a bucket counts until the last of them ends


@dataclass(slots=True)
class UsageBucket:
    """Units whose use ends at nearly the same instant."""

    ends_at_ms: float
    count: int


@dataclass(slots=True)
class UsageWindow:
    """Units in use. hold_ms: for how long each stays in use; it sets the width of a bucket."""

    hold_ms: float
    buckets: deque[UsageBucket] = field(default_factory=deque)  # by ascending end

    def add(self, ends_at_ms: float, count: int) -> None:
        """Count units whose use ends then; ends are added in ascending order."""
        if self.buckets and ends_at_ms - self.buckets[-1].ends_at_ms < self.hold_ms / BUCKETS:
            last = self.buckets[-1]
            last.ends_at_ms = ends_at_ms
            last.count += count
        else:
            self.buckets.append(UsageBucket(ends_at_ms, count))

    def count(self, now: float) -> int:
        """How many are in use now. Buckets that have ended are dropped."""
        while self.buckets and self.buckets[0].ends_at_ms <= now:
            self.buckets.popleft()
        return sum(bucket.count for bucket in self.buckets)

    def count_after(self, instant: float) -> int:
        """How many are still in use after the instant."""
        return sum(bucket.count for bucket in self.buckets if bucket.ends_at_ms > instant)
