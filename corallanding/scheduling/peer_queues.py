"""What the other stewards have waiting, by their last words: who must be let go first. Pure."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from .limits import JobClass
from .messages import QueueRow, QueueSummary


@dataclass
class PeerQueue:
    """at: when it was last heard, by our clock."""

    received_at_ms: float
    incarnation: int
    round: int
    groups: list[QueueRow] = field(default_factory=list)
    priority_levels: list[int] = field(default_factory=list)
    job_count: int = 0


class PeerQueues:
    """stale: ms. What one was heard to have waiting is reckoned to have grown older with our clock: late by the word's
    way and the drift, never early by more than the drift."""

    def __init__(self, kinds: Sequence[JobClass], rise: float, stale: float) -> None:
        self.job_classes, self.retirement_boost, self.peer_timeout_ms = kinds, rise, stale
        self.by_peer: dict[int, PeerQueue] = {}
        self.rejected_count = 0

    def on_summary(self, now: float, sender: int, word: QueueSummary) -> None:
        if any(group >= 2 * len(self.job_classes) for group, _, _ in word.groups):
            self.rejected_count += 1  # it has other operations than we
            return
        old = self.by_peer.get(sender)
        if old is None or old.incarnation != word.life or word.round > old.round:
            self.by_peer[sender] = PeerQueue(
                now, word.life, word.round, list(word.groups), list(word.priority_levels), word.job_count
            )

    def observed_peers(self, now: float, alive: Iterable[int]) -> list[int]:
        """Those that are waited for: alive, and heard of late."""
        return [n for n in alive if n in self.by_peer and now - self.by_peer[n].received_at_ms <= self.peer_timeout_ms]

    def watermark(self, now: float, alive: Iterable[int]) -> float:
        """The highest standing that waits at another; below all if none does."""
        return max(
            (
                self.effective_priority(now, o, row)
                for n in self.observed_peers(now, alive)
                if (o := self.by_peer[n])
                for row in o.groups
            ),
            default=float("-inf"),
        )

    def effective_priority(self, now: float, other: PeerQueue, row: QueueRow) -> float:
        group, waited, _ = row
        rise = self.retirement_boost if group & 1 else 0.0
        return self.job_classes[group // 2].effective_priority(waited + now - other.received_at_ms, rise)

    def own_share(self, now: float, alive: Iterable[int], own: Sequence[float], rate: int) -> int:
        """Of the next `rate` jobs of all, how many are ours. own: our highest standings, descending."""
        elsewhere = [self.by_peer[n].priority_levels for n in self.observed_peers(now, alive)]

        def until(k: int) -> float:
            """So many of all stand as high as our k-th, it among them: more with each k."""
            return k + sum(estimate_jobs_above(levels, own[k - 1] * 1000.0) for levels in elsewhere)

        return max(min(1, len(own)), bisect_right(range(1, min(len(own), rate) + 1), float(rate), key=until))

    def total_jobs(self, now: float, alive: Iterable[int]) -> int:
        return sum(self.by_peer[n].job_count for n in self.observed_peers(now, alive))


def estimate_jobs_above(levels: Sequence[int], level: float) -> float:
    """About how many jobs stand above `level`, by the standings of the first, second, fourth, eighth ..."""
    count = sum(x > level for x in levels)
    if count in (0, len(levels)):
        return float(1 << count >> 1)
    high, low = levels[count - 1], levels[count]
    return (1 << count >> 1) * (1.0 + (high - level) / max(high - low, 1))
