"""The section of the status page on queued jobs."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from .core import Scheduler
from .peer_queues import NO_PRIORITY


def scheduler_status(scheduler: Scheduler, now_ms: float, alive_peers: Iterable[int]) -> dict[str, Any]:
    """Return the section `waiting` of the status page. Its keys are an interface for operators."""
    alive_peers = [peer for peer in alive_peers if peer in scheduler.peers]
    queue = scheduler.queue
    peer_queues = scheduler.peer_queues
    highest = queue.highest(now_ms)
    watermark = peer_queues.watermark(now_ms, alive_peers)
    names = [job_class.name for job_class in scheduler.job_classes]
    return {
        "waiting": dict(zip(names, queue.counts_by_class, strict=True)),
        "oldest_ms": oldest_by_class(scheduler, now_ms),
        "highest_here": round(highest.effective_priority, 3) if highest else None,
        "waterline_elsewhere": round(watermark, 3) if watermark > NO_PRIORITY else None,
        "counted": peer_queues.observed_peers(now_ms, alive_peers),
        "waiting_elsewhere": peer_queues.total_jobs(now_ms, alive_peers),
        "claiming": scheduler.claims_in_flight,
        "ready": sum(queue.ready_counts.values()),
        "gone": scheduler.dispatched_count,
        "refused": scheduler.rejected_count,
        "longest_ms": round(scheduler.longest_wait_ms, 1),
    }


def oldest_by_class(scheduler: Scheduler, now_ms: float) -> dict[str, float]:
    """Return the time in ms that the oldest ready job of each class has waited, by the name of the class."""
    oldest_ms: dict[str, float] = {}
    for _, job in scheduler.queue.oldest_by_group(now_ms):
        name = scheduler.job_classes[job.job_class].name
        oldest_ms[name] = max(oldest_ms.get(name, 0.0), round(now_ms - job.waiting_since_ms, 1))
    return oldest_ms
