"""How much one sender may say: a rate, and at most a second of it at once. Pure; times in ms."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass
class TokenBucket:
    """rate: a second. left: what it may say now, as of `at`.

    What is refused costs nothing, so that one that says too much still gets its rate through.
    """

    rate: float
    left: float
    at: float

    def take(self, now: float) -> bool:
        self.left = min(self.rate, self.left + (now - self.at) / 1000.0 * self.rate)
        self.at = now
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True


class PeerRateLimiter:
    """One for each of those that may speak, by number; nobody else may."""

    def __init__(self, numbers: Iterable[int], rate: float, now: float) -> None:
        self.by = {n: TokenBucket(rate, rate, now) for n in numbers}

    def take(self, sender: int, now: float) -> bool:
        may = self.by.get(sender)
        return may is not None and may.take(now)
