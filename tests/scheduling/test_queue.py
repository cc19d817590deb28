"""The queue of one controller."""

from __future__ import annotations

import random

import msgspec

from corallanding.scheduling.limits import JobClass
from corallanding.scheduling.messages import MAX_LEVELS, MAX_ROWS, QueueSummary, is_valid
from corallanding.scheduling.queue import Job, JobQueue


def test_queue_when_it_has_200_000_jobs_then_keeps_order_and_a_small_summary() -> None:
    job_classes = tuple(JobClass(f"k{n}", float(n), 1_000.0 * (n + 1)) for n in range(8))
    rng = random.Random(1)
    queue = JobQueue(job_classes, 2.0)
    for ticket in range(200_000):
        queue.add(Job(0, ticket % 8, 1, ticket, rng.uniform(-1e6, 0.0)))
    highest = queue.highest_priorities(0.0, 50)
    assert highest == sorted((queue.effective_priority(0.0, job) for job in queue.jobs.values()), reverse=True)[:50]
    summary = QueueSummary(
        2**62,
        2**40,
        queue.summarize(0.0, MAX_ROWS),
        [int(priority * 1e3) for priority in highest[:MAX_LEVELS]],
        len(queue.jobs),
    )
    assert len(msgspec.msgpack.encode(summary)) < 240
    assert is_valid(summary)
