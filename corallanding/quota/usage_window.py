"""A count of the units in use, in buckets by the end of their use."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

BUCKETS_PER_WINDOW = 64  # units of a bucket count until the last of them ends


@dataclass(slots=True)
class UsageBucket:
    """Units whose use ends at nearly the same instant."""

    ends_at_ms: float
    count: int


@dataclass(slots=True)
class UsageWindow:
    """The units in use. hold_ms: how long each stays in use; it determines the width of a bucket."""

    hold_ms: float
    buckets: deque[UsageBucket] = field(default_factory=deque)  # in ascending order of `ends_at_ms`

    def add(self, ends_at_ms: float, count: int) -> None:
        """Add units whose use ends at `ends_at_ms`. Must be called in ascending order of `ends_at_ms`."""
        if self.buckets and ends_at_ms - self.buckets[-1].ends_at_ms < self.hold_ms / BUCKETS_PER_WINDOW:
            last = self.buckets[-1]
            last.ends_at_ms = ends_at_ms
            last.count += count
        else:
            self.buckets.append(UsageBucket(ends_at_ms, count))

    def count(self, now_ms: float) -> int:
        """Return the number of units in use now. Buckets that have ended are dropped."""
        while self.buckets and self.buckets[0].ends_at_ms <= now_ms:
            self.buckets.popleft()
        return sum(bucket.count for bucket in self.buckets)

    def count_after(self, instant_ms: float) -> int:
        """Return the number of units still in use after that instant."""
        return sum(bucket.count for bucket in self.buckets if bucket.ends_at_ms > instant_ms)
