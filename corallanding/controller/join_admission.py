"""Who may read all tables next: joins and reads admitted at a pace, each forwarder in its turn. Pure.

Guards against a thousand forwarders that come back at once, and against one that joins or reads in a loop: it waits
longer each time, and those that come seldom go first. Could harm a forwarder that restarts several times within
moments for good reasons: it holds its tables, and waits `again_most` at worst.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field


@dataclass
class JoinHistory:
    """How often one forwarder came of late."""

    last: float
    wait: float = 0.0  # ms that it had to wait before


@dataclass
class JoinAdmission:
    """rate: a second, a quarter of a second's worth at once. again, again_most: ms between two of one forwarder,
    doubling while it comes back sooner than four times its last wait. Bounded by the numbers forwarders may have."""

    rate: float
    again: float
    again_most: float
    now: float
    allowance: float = field(init=False)
    counted: float = field(init=False)
    habits: dict[int, JoinHistory] = field(default_factory=dict)
    waiting: dict[int, float] = field(default_factory=dict)  # forwarder: not before
    queue: list[tuple[float, int, int]] = field(default_factory=list)  # (not before, order of coming, forwarder)
    counter: int = 0

    def __post_init__(self) -> None:
        self.allowance, self.counted = max(1.0, self.rate / 4), self.now

    def ask(self, now: float, forwarder: int) -> float:
        """A forwarder wants its tables; when it may have them at the soonest. Asked again, it keeps its place."""
        if forwarder in self.waiting:
            return self.waiting[forwarder]
        habit, at = self.habits.get(forwarder), now
        if habit is None:
            self.habits[forwarder] = JoinHistory(now)
        else:
            soon = now - habit.last < max(self.again, habit.wait * 4.0)
            habit.wait = min(self.again_most, max(self.again, habit.wait * 2.0)) if soon else 0.0
            at = max(now, habit.last + habit.wait)
        self.waiting[forwarder] = at
        self.counter += 1
        heapq.heappush(self.queue, (at, self.counter, forwarder))
        return at

    def forget(self, forwarder: int) -> None:
        """Its link is gone; what is known of its habits stays."""
        self.waiting.pop(forwarder, None)

    def due(self, now: float) -> list[int]:
        """Who goes now, in order."""
        self.allowance = min(max(1.0, self.rate / 4), self.allowance + (now - self.counted) * self.rate / 1000.0)
        self.counted = now
        out = []
        while self.queue and self.queue[0][0] <= now and self.allowance >= 1.0:
            at, _, forwarder = heapq.heappop(self.queue)
            if self.waiting.get(forwarder) != at:
                continue
            del self.waiting[forwarder]
            self.habits[forwarder].last = now
            self.allowance -= 1.0
            out.append(forwarder)
        return out

    def next_at(self, now: float) -> float | None:
        if not self.queue:
            return None
        return max(self.queue[0][0], now + max(0.0, 1.0 - self.allowance) * 1000.0 / self.rate)
