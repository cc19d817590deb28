"""The queues of the other controllers, by their last summaries."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from .limits import JobClass
from .messages import LEVELS_PER_PRIORITY, QueueRow, QueueSummary, class_of_group, is_boosted_group

NO_PRIORITY = float("-inf")  # the watermark where no other controller has a ready job


@dataclass
class PeerQueue:
    """The last summary of one controller; `received_at_ms` is on this controller's clock."""

    received_at_ms: float
    incarnation: int
    round: int
    groups: list[QueueRow] = field(default_factory=list)
    priority_levels: list[int] = field(default_factory=list)
    job_count: int = 0


class PeerQueues:
    """The queues of all other controllers.

    The jobs of a summary age on this controller's clock from its arrival: their ages are too low by the transit time of
    the message, and too high by at most the drift of the clocks. A controller without a summary for `peer_timeout_ms`
    is ignored.
    """

    def __init__(self, job_classes: Sequence[JobClass], retirement_boost: float, peer_timeout_ms: float) -> None:
        self.job_classes = job_classes
        self.retirement_boost = retirement_boost
        self.peer_timeout_ms = peer_timeout_ms
        self.by_peer: dict[int, PeerQueue] = {}
        self.rejected_count = 0

    def on_summary(self, now_ms: float, sender: int, summary: QueueSummary) -> None:
        """Store a summary; one that is older than the last is ignored, one with unknown job classes is rejected."""
        if any(class_of_group(group) >= len(self.job_classes) for group, _, _ in summary.groups):
            self.rejected_count += 1
            return
        last = self.by_peer.get(sender)
        if last is None or last.incarnation != summary.incarnation or summary.round > last.round:
            self.by_peer[sender] = PeerQueue(
                now_ms,
                summary.incarnation,
                summary.round,
                list(summary.groups),
                list(summary.priority_levels),
                summary.job_count,
            )

    def observed_peers(self, now_ms: float, alive_peers: Iterable[int]) -> list[int]:
        """Return the controllers whose jobs are taken into account: alive, and with a recent summary."""
        return [peer for peer in alive_peers if self._is_recent(now_ms, peer)]

    def _is_recent(self, now_ms: float, peer: int) -> bool:
        queue = self.by_peer.get(peer)
        return queue is not None and now_ms - queue.received_at_ms <= self.peer_timeout_ms

    def watermark(self, now_ms: float, alive_peers: Iterable[int]) -> float:
        """Return the highest effective priority queued at another controller; `NO_PRIORITY` if there is none."""
        queues = [self.by_peer[peer] for peer in self.observed_peers(now_ms, alive_peers)]
        return max(
            (self.effective_priority(now_ms, queue, row) for queue in queues for row in queue.groups),
            default=NO_PRIORITY,
        )

    def effective_priority(self, now_ms: float, queue: PeerQueue, row: QueueRow) -> float:
        """Return the current priority of the oldest job of a group."""
        group, waited_ms, _ = row
        boost = self.retirement_boost if is_boosted_group(group) else 0.0
        job_class = self.job_classes[class_of_group(group)]
        return job_class.effective_priority(waited_ms + now_ms - queue.received_at_ms, boost)

    def own_share(self, now_ms: float, alive_peers: Iterable[int], own_priorities: Sequence[float], count: int) -> int:
        """Return how many of the next `count` jobs of the fleet are queued at this controller.

        `own_priorities` are the highest priorities at this controller, in descending order.
        """
        levels_of_peers = [self.by_peer[peer].priority_levels for peer in self.observed_peers(now_ms, alive_peers)]

        def rank_in_fleet(own_rank: int) -> float:
            """Estimate the rank in the fleet of this controller's `own_rank`-th job."""
            level = own_priorities[own_rank - 1] * LEVELS_PER_PRIORITY
            return own_rank + sum(estimate_jobs_above(levels, level) for levels in levels_of_peers)

        own_ranks = range(1, min(len(own_priorities), count) + 1)
        return max(min(1, len(own_priorities)), bisect_right(own_ranks, float(count), key=rank_in_fleet))

    def total_jobs(self, now_ms: float, alive_peers: Iterable[int]) -> int:
        """Return the number of jobs that the observed controllers have."""
        return sum(self.by_peer[peer].job_count for peer in self.observed_peers(now_ms, alive_peers))


def estimate_jobs_above(levels: Sequence[int], level: float) -> float:
    """Estimate the number of jobs with a priority above `level`.

    `levels` are the priorities of the first, second, fourth, eighth ... job. Jobs between two of them are assumed to be
    spread evenly.
    """
    levels_above = sum(other > level for other in levels)
    jobs_up_to_last = 1 << levels_above >> 1
    if levels_above in (0, len(levels)):
        return float(jobs_up_to_last)
    high = levels[levels_above - 1]
    low = levels[levels_above]
    return jobs_up_to_last * (1.0 + (high - level) / max(high - low, 1))
