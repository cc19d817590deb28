"""What the relay's channel to the proxies may hold of what was sent. Pure."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass


@dataclass
class Channel:
    """What the relay's channel to the proxies holds at most of what was sent, at its stated rate. Lines; times in ms.

    A call that goes again may be carried out twice: the module counts it once. Guards against a wave of drains that
    fills more than half of the queue and is sent again. Would be late by the time of a queue where the first was lost.
    """

    most: float = float("inf")
    rate: float = 1e9  # lines a second
    head: float = 0.0  # of a message
    proxies: Callable[[], int] = lambda: 0
    held: float = 0.0
    counted: float = 0.0
    before: float = 0.0  # what was held as the last call went out, when that was, and what the call costs
    began: float = 0.0
    coming: float = 0.0

    def cost(self, orders: int) -> float:
        return (orders + self.head) * self.proxies()

    def left(self, now: float) -> float:
        self.held = max(0.0, self.held - (now - self.counted) * self.rate / 1000.0)
        self.counted = now
        return self.held

    def begin(self, now: float, orders: int) -> None:
        """A call goes out: it may be in the channel from now on."""
        self.before, self.began, self.coming = self.left(now), now, self.cost(orders)
        self.held = self.before + self.coming

    def end(self, at: float, carried_out: bool = True) -> None:
        """The call became a message by `at`, or never. Until then only what was held before has gone for sure: guards
        against a call that takes its way slower than the one after it, counted as leaving before it came."""
        self.held = max(0.0, self.before - (at - self.began) * self.rate / 1000.0) + self.coming * carried_out
        self.counted = at

    def free_at(self, now: float, orders: int) -> float:
        """When so many orders fit, or all else has gone."""
        held = self.left(now)
        over = min(held, held + self.cost(orders) - self.most)
        return now + max(0.0, over) * 1000.0 / self.rate
