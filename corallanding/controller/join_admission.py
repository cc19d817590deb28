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

    last_admitted_at: float
    interval_ms: float = 0.0  # ms that it had to wait before


@dataclass
class JoinAdmission:
    """rate: a second, a quarter of a second's worth at once. again, again_most: ms between two of one forwarder,
    doubling while it comes back sooner than four times its last wait. Bounded by the numbers forwarders may have."""

    rate_per_second: float
    min_interval_ms: float
    max_interval_ms: float
    now: float
    tokens: float = field(init=False)
    replenished_at: float = field(init=False)
    histories: dict[int, JoinHistory] = field(default_factory=dict)
    admissible_at: dict[int, float] = field(default_factory=dict)  # forwarder: not before
    queue: list[tuple[float, int, int]] = field(default_factory=list)  # (not before, order of coming, forwarder)
    last_sequence: int = 0

    def __post_init__(self) -> None:
        self.tokens, self.replenished_at = max(1.0, self.rate_per_second / 4), self.now

    def request(self, now: float, forwarder: int) -> float:
        """A forwarder wants its tables; when it may have them at the soonest. Asked again, it keeps its place."""
        if forwarder in self.admissible_at:
            return self.admissible_at[forwarder]
        habit, at = self.histories.get(forwarder), now
        if habit is None:
            self.histories[forwarder] = JoinHistory(now)
        else:
            soon = now - habit.last_admitted_at < max(self.min_interval_ms, habit.interval_ms * 4.0)
            habit.interval_ms = (
                min(self.max_interval_ms, max(self.min_interval_ms, habit.interval_ms * 2.0)) if soon else 0.0
            )
            at = max(now, habit.last_admitted_at + habit.interval_ms)
        self.admissible_at[forwarder] = at
        self.last_sequence += 1
        heapq.heappush(self.queue, (at, self.last_sequence, forwarder))
        return at

    def cancel(self, forwarder: int) -> None:
        """Its link is gone; what is known of its habits stays."""
        self.admissible_at.pop(forwarder, None)

    def admit_due(self, now: float) -> list[int]:
        """Who goes now, in order."""
        self.tokens = min(
            max(1.0, self.rate_per_second / 4),
            self.tokens + (now - self.replenished_at) * self.rate_per_second / 1000.0,
        )
        self.replenished_at = now
        out = []
        while self.queue and self.queue[0][0] <= now and self.tokens >= 1.0:
            at, _, forwarder = heapq.heappop(self.queue)
            if self.admissible_at.get(forwarder) != at:
                continue
            del self.admissible_at[forwarder]
            self.histories[forwarder].last_admitted_at = now
            self.tokens -= 1.0
            out.append(forwarder)
        return out

    def next_at(self, now: float) -> float | None:
        if not self.queue:
            return None
        return max(self.queue[0][0], now + max(0.0, 1.0 - self.tokens) * 1000.0 / self.rate_per_second)
