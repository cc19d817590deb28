"""Token buckets that limit the message rate of each sender. Pure; times in ms."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass
class TokenBucket:
    """A token bucket that holds at most one second of its rate.

    `tokens` is the number left at `updated_at_ms`. A rejected message takes no token, so that a sender that exceeds its
    rate still has that rate admitted.
    """

    rate_per_second: float
    tokens: float
    updated_at_ms: float

    def whole_tokens(self, now_ms: float) -> int:
        """Add the tokens gained until now, and return how many can be taken."""
        gained = (now_ms - self.updated_at_ms) / 1000.0 * self.rate_per_second
        self.tokens = min(self.rate_per_second, self.tokens + gained)
        self.updated_at_ms = now_ms
        return int(self.tokens)

    def try_take(self, now_ms: float) -> bool:
        """Take one token; return False if there is none."""
        if not self.whole_tokens(now_ms):
            return False
        self.tokens -= 1.0
        return True


class PeerRateLimiter:
    """One token bucket for each of the controllers in `numbers`; any other sender is rejected."""

    def __init__(self, numbers: Iterable[int], rate_per_second: float, now_ms: float) -> None:
        self.buckets = {number: TokenBucket(rate_per_second, rate_per_second, now_ms) for number in numbers}

    def try_take(self, sender: int, now_ms: float) -> bool:
        """Take one token of `sender`; return False if it has none or is not one of the controllers."""
        bucket = self.buckets.get(sender)
        return bucket is not None and bucket.try_take(now_ms)
