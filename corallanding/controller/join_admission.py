"""Admits joins of proxies, and their reads of all tables, at a bounded rate and in fair order. Pure.

Guards against a thousand proxies that come back at once, and against one that joins or reads in a loop: its interval
doubles each time, and those that come rarely go first. May harm a proxy that restarts several times within moments for
good reasons: it keeps its tables, and waits the longest interval at worst.
"""

from __future__ import annotations

import heapq
from dataclasses import InitVar, dataclass, field

BURST_S = 0.25  # joins of so many seconds may be admitted at once
CALM_INTERVALS = 4.0  # a proxy that stays away for so many of its last intervals starts anew


@dataclass
class JoinHistory:
    """When a proxy was admitted last, and the interval that it had to keep then."""

    last_admitted_at: float
    interval_ms: float = 0.0


@dataclass
class JoinAdmission:
    """A token bucket over a queue of proxies.

    Two joins of one proxy are `min_interval_ms` apart, doubling up to `max_interval_ms` while it comes back sooner than
    four times its last interval. Memory is bounded by the numbers that proxies may have.
    """

    rate_per_second: float
    min_interval_ms: float
    max_interval_ms: float
    now: InitVar[float]
    tokens: float = field(init=False)
    replenished_at: float = field(init=False)
    histories: dict[int, JoinHistory] = field(default_factory=dict)
    admissible_at: dict[int, float] = field(default_factory=dict)  # waiting proxies: not before
    queue: list[tuple[float, int, int]] = field(default_factory=list)  # a heap: not before, order of coming, proxy
    last_sequence: int = 0

    def __post_init__(self, now: float) -> None:
        self.tokens = self._max_tokens()
        self.replenished_at = now

    def _max_tokens(self) -> float:
        return max(1.0, self.rate_per_second * BURST_S)

    def request(self, now: float, proxy: int) -> float:
        """A proxy wants its tables; returns the earliest time. One that waits already keeps its place."""
        if proxy in self.admissible_at:
            return self.admissible_at[proxy]
        at = self._earliest(now, proxy)
        self.admissible_at[proxy] = at
        self.last_sequence += 1
        heapq.heappush(self.queue, (at, self.last_sequence, proxy))
        return at

    def _earliest(self, now: float, proxy: int) -> float:
        """When a proxy may be admitted by its history, which is updated."""
        history = self.histories.get(proxy)
        if history is None:
            self.histories[proxy] = JoinHistory(now)
            return now
        calm_after_ms = max(self.min_interval_ms, history.interval_ms * CALM_INTERVALS)
        if now - history.last_admitted_at < calm_after_ms:
            doubled = max(self.min_interval_ms, history.interval_ms * 2.0)
            history.interval_ms = min(self.max_interval_ms, doubled)
        else:
            history.interval_ms = 0.0
        return max(now, history.last_admitted_at + history.interval_ms)

    def cancel(self, proxy: int) -> None:
        """The connection of a proxy is closed. Its history stays."""
        self.admissible_at.pop(proxy, None)

    def admit_due(self, now: float) -> list[int]:
        """The proxies that are admitted now, in order."""
        gained = (now - self.replenished_at) * self.rate_per_second / 1000.0
        self.tokens = min(self._max_tokens(), self.tokens + gained)
        self.replenished_at = now
        admitted = []
        while self.queue and self.queue[0][0] <= now and self.tokens >= 1.0:
            at, _, proxy = heapq.heappop(self.queue)
            if self.admissible_at.get(proxy) != at:
                continue  # cancelled meanwhile
            del self.admissible_at[proxy]
            self.histories[proxy].last_admitted_at = now
            self.tokens -= 1.0
            admitted.append(proxy)
        return admitted

    def next_at(self, now: float) -> float | None:
        """When the next proxy can be admitted; None if none waits."""
        if not self.queue:
            return None
        token_at = now + max(0.0, 1.0 - self.tokens) * 1000.0 / self.rate_per_second
        return max(self.queue[0][0], token_at)
