"""Admits joins of proxies, and their reads of all tables, at a bounded rate and in fair order. Pure.

Guards against a thousand proxies that reconnect at once, and against one that joins or reads in a loop: its interval
doubles each time, and proxies that join rarely go first. Drawback: a proxy that restarts several times in quick
succession for good reasons waits up to the longest interval; it keeps its tables until then.
"""

from __future__ import annotations

import heapq
from dataclasses import InitVar, dataclass, field

BURST_S = 0.25  # burst size, as seconds of joins at the configured rate
RESET_AFTER_INTERVALS = 4.0  # absence, in multiples of its last interval, that resets a proxy's backoff


@dataclass
class JoinHistory:
    """The time of a proxy's last admission, and the interval that applied to it, both in ms."""

    last_admitted_at: float
    interval_ms: float = 0.0


@dataclass
class JoinAdmission:
    """A token bucket over a queue of proxies.

    Two joins of one proxy are `min_interval_ms` apart, doubling up to `max_interval_ms` while it returns sooner than
    four times its last interval. Memory is bounded by the range of proxy numbers.
    """

    rate_per_second: float
    min_interval_ms: float
    max_interval_ms: float
    now: InitVar[float]
    tokens: float = field(init=False)
    replenished_at: float = field(init=False)
    histories: dict[int, JoinHistory] = field(default_factory=dict)
    admissible_at: dict[int, float] = field(default_factory=dict)  # earliest time in ms, by waiting proxy
    queue: list[tuple[float, int, int]] = field(default_factory=list)  # a heap of (earliest time, sequence, proxy)
    last_sequence: int = 0

    def __post_init__(self, now: float) -> None:
        self.tokens = self._max_tokens()
        self.replenished_at = now

    def _max_tokens(self) -> float:
        return max(1.0, self.rate_per_second * BURST_S)

    def request(self, now_ms: float, proxy: int) -> float:
        """Queue a proxy that requests its tables; return the earliest time, ms. A queued proxy keeps its position."""
        if proxy in self.admissible_at:
            return self.admissible_at[proxy]
        earliest_ms = self._earliest_admission(now_ms, proxy)
        self.admissible_at[proxy] = earliest_ms
        self.last_sequence += 1
        heapq.heappush(self.queue, (earliest_ms, self.last_sequence, proxy))
        return earliest_ms

    def _earliest_admission(self, now_ms: float, proxy: int) -> float:
        """Return when a proxy may be admitted according to its history, and update the history."""
        history = self.histories.get(proxy)
        if history is None:
            self.histories[proxy] = JoinHistory(now_ms)
            return now_ms
        reset_after_ms = max(self.min_interval_ms, history.interval_ms * RESET_AFTER_INTERVALS)
        if now_ms - history.last_admitted_at < reset_after_ms:
            doubled_ms = max(self.min_interval_ms, history.interval_ms * 2.0)
            history.interval_ms = min(self.max_interval_ms, doubled_ms)
        else:
            history.interval_ms = 0.0
        return max(now_ms, history.last_admitted_at + history.interval_ms)

    def cancel(self, proxy: int) -> None:
        """Remove a proxy whose connection is closed from the queue. Its history stays."""
        self.admissible_at.pop(proxy, None)

    def admit_due(self, now_ms: float) -> list[int]:
        """Remove and return the proxies that are admitted now, in order."""
        gained = (now_ms - self.replenished_at) * self.rate_per_second / 1000.0
        self.tokens = min(self._max_tokens(), self.tokens + gained)
        self.replenished_at = now_ms
        admitted = []
        while self.queue and self.queue[0][0] <= now_ms and self.tokens >= 1.0:
            earliest_ms, _, proxy = heapq.heappop(self.queue)
            if self.admissible_at.get(proxy) != earliest_ms:
                continue  # cancelled since it was queued
            del self.admissible_at[proxy]
            self.histories[proxy].last_admitted_at = now_ms
            self.tokens -= 1.0
            admitted.append(proxy)
        return admitted

    def next_at(self, now_ms: float) -> float | None:
        """Return when the next proxy can be admitted, ms; None if none waits."""
        if not self.queue:
            return None
        token_at_ms = now_ms + max(0.0, 1.0 - self.tokens) * 1000.0 / self.rate_per_second
        return max(self.queue[0][0], token_at_ms)
