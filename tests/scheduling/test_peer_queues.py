"""The known queues of other controllers."""

from __future__ import annotations

from corallanding.scheduling.limits import JobClass
from corallanding.scheduling.messages import QueueSummary
from corallanding.scheduling.peer_queues import PeerQueues, estimate_jobs_above


def test_jobs_above_a_level_when_estimated_then_grow_as_the_level_falls() -> None:
    levels = [1_000, 800, 400, 100]
    estimates = [estimate_jobs_above(levels, level) for level in (2_000, 900, 600, 200, 50)]
    assert estimates == sorted(estimates)
    assert estimates[0] == 0.0
    assert 1.0 <= estimates[1] < 2.0
    assert estimates[-1] == 8.0


def test_summary_when_it_has_unknown_classes_or_is_out_of_order_then_is_not_stored() -> None:
    queues = PeerQueues((JobClass("a"),), 2.0, 1_000.0)
    queues.on_summary(0.0, 2, QueueSummary(1, 1, [(2, 5, 1)], [], 1))
    assert queues.rejected_count == 1
    assert queues.watermark(0.0, [2]) == float("-inf")
    queues.on_summary(0.0, 2, QueueSummary(1, 5, [(0, 5_000, 1)], [], 1))
    queues.on_summary(0.0, 2, QueueSummary(1, 4, [(0, 90_000, 1)], [], 1))
    assert queues.watermark(1_000.0, [2]) == 0.6, "an older summary that arrives late is ignored"
    assert queues.watermark(1_001.0, [2]) == float("-inf"), "a controller without a recent summary is not waited for"
