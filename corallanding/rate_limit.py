"""Token buckets that bound how many messages one sender may deliver. No input or output; times in ms."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass
class TokenBucket:
    """A token bucket that holds at most one second of its rate.

    `tokens` is what was left at `updated_at_ms`. A message that is rejected costs nothing, so that a sender that sends
    too much still gets its rate through.
    """

    rate_per_second: float
    tokens: float
    updated_at_ms: float

    def try_take(self, now: float) -> bool:
        """Take one token; False if there is none."""
        gained = (now - self.updated_at_ms) / 1000.0 * self.rate_per_second
        self.tokens = min(self.rate_per_second, self.tokens + gained)
        self.updated_at_ms = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class PeerRateLimiter:
    """One token bucket for each of the controllers in `numbers`; any other sender is rejected."""

    def __init__(self, numbers: Iterable[int], rate_per_second: float, now: float) -> None:
        self.buckets = {number: TokenBucket(rate_per_second, rate_per_second, now) for number in numbers}

    def try_take(self, sender: int, now: float) -> bool:
        """Whether one more message of this sender may be taken now; it is counted if so."""
        bucket = self.buckets.get(sender)
        return bucket is not None and bucket.try_take(now)
