"""What is known of the queues of other controllers."""

from __future__ import annotations

from corallanding.scheduling.limits import JobClass
from corallanding.scheduling.messages import QueueSummary
from corallanding.scheduling.peer_queues import PeerQueues, estimate_jobs_above


def test_jobs_above_a_level_when_estimated_then_grow_as_the_level_falls() -> None:
    levels = [1_000, 800, 400, 100]
    found = [estimate_jobs_above(levels, x) for x in (2_000, 900, 600, 200, 50)]
    assert found == sorted(found)
    assert found[0] == 0.0
    assert 1.0 <= found[1] < 2.0
    assert found[-1] == 8.0


def test_summary_when_of_other_classes_or_late_then_is_not_taken() -> None:
    queues = PeerQueues((JobClass("a"),), 2.0, 1_000.0)
    queues.on_summary(0.0, 2, QueueSummary(1, 1, [(2, 5, 1)], [], 1))
    assert queues.rejected_count == 1
    assert queues.watermark(0.0, [2]) == float("-inf")
    queues.on_summary(0.0, 2, QueueSummary(1, 5, [(0, 5_000, 1)], [], 1))
    queues.on_summary(0.0, 2, QueueSummary(1, 4, [(0, 90_000, 1)], [], 1))
    assert queues.watermark(1_000.0, [2]) == 0.6, "an older summary that came late is passed over"
    assert queues.watermark(1_001.0, [2]) == float("-inf"), "one that was not heard of for long is not waited for"
