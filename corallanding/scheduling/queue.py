"""The jobs of one steward, by class: all of one class rise alike, so that their order never changes. Pure."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from heapq import heappop, heappush

from .limits import JobClass
from .messages import QueueRow

READY, BLOCKED, CLAIMING = range(3)


@dataclass(slots=True, eq=False)
class Job:
    """since: by our clock, when its waiting began, wherever that was. rises: whether its run keeps a set alive. ref:
    which heap entry is good; those of before are passed over."""

    number: int
    job_class: int
    proxy: int
    ticket: int
    waiting_since_ms: float
    idempotency_key: int = 0  # of its fingerprint; 0: none
    release_set: int = 0  # of versions, that its run is pinned to
    state: int = READY
    is_boosted: bool = False
    has_claim: bool = False  # its fingerprint is its own: it may go
    is_abandoned: bool = False  # its client gave it up: nobody else has it
    heap_entry: int = 0

    @property
    def group(self) -> int:
        """Its class: what rises alike."""
        return self.job_class * 2 + self.is_boosted


class JobQueue:
    """kinds: by number, the same at all stewards."""

    def __init__(self, kinds: Sequence[JobClass], rise: float) -> None:
        self.job_classes, self.retirement_boost = kinds, rise
        self.jobs: dict[int, Job] = {}
        self.heaps: dict[int, list[tuple[float, int, int]]] = {}  # class: (since, number, ref)
        self.ready_counts: dict[int, int] = {}  # class: jobs that are ready
        self.counts_by_class = [0] * len(kinds)
        self.jobs_by_set: dict[int, set[int]] = {}
        self.last_number = 0

    def add(self, job: Job) -> Job:
        self.last_number += 1
        job.number = self.last_number
        self.jobs[job.number] = job
        self.counts_by_class[job.job_class] += 1
        if job.release_set:
            self.jobs_by_set.setdefault(job.release_set, set()).add(job.number)
        if job.state == READY:
            self.make_ready(job)
        return job

    def make_ready(self, job: Job) -> None:
        job.state = READY
        job.heap_entry += 1
        heappush(self.heaps.setdefault(job.group, []), (job.waiting_since_ms, job.number, job.heap_entry))
        self.ready_counts[job.group] = self.ready_counts.get(job.group, 0) + 1

    def make_unready(self, job: Job, state: int) -> None:
        """It is not ready any more; its entry is passed over when it comes up."""
        if job.state == READY:
            self.ready_counts[job.group] -= 1
            job.heap_entry += 1
        job.state = state

    def remove(self, job: Job) -> None:
        self.make_unready(job, BLOCKED)
        if self.jobs.pop(job.number, None):
            self.counts_by_class[job.job_class] -= 1
            if job.release_set and (numbers := self.jobs_by_set.get(job.release_set)):
                numbers.discard(job.number)
                if not numbers:
                    del self.jobs_by_set[job.release_set]

    def on_set_change(self, job: Job, ready: bool, rises: bool) -> None:
        """Its version has a host, or none; its set is open, or it keeps it alive."""
        if job.state == CLAIMING or ((job.state == READY) == ready and job.is_boosted == rises):
            return
        self.make_unready(job, BLOCKED)
        job.is_boosted = rises
        if ready:
            self.make_ready(job)

    def oldest_ready(self, group: int) -> Job | None:
        heap = self.heaps.get(group, [])
        while heap:
            _, number, ref = heap[0]
            job = self.jobs.get(number)
            if job is not None and job.heap_entry == ref and job.state == READY:
                return job
            heappop(heap)
        return None

    def effective_priority(self, now: float, job: Job) -> float:
        return self.job_classes[job.job_class].effective_priority(
            now - job.waiting_since_ms, self.retirement_boost if job.is_boosted else 0.0
        )

    def oldest_by_group(self, now: float) -> Iterator[tuple[float, Job]]:
        for group in self.heaps:
            if job := self.oldest_ready(group):
                yield self.effective_priority(now, job), job

    def highest(self, now: float) -> tuple[float, Job] | None:
        """Which goes next; of two that stand alike the one that came first."""
        return max(
            self.oldest_by_group(now), key=lambda row: (row[0], -row[1].waiting_since_ms, -row[1].number), default=None
        )

    def highest_priorities(self, now: float, most: int) -> list[float]:
        """The highest standings, descending, without taking anything out."""
        found: list[float] = []
        for group, heap in self.heaps.items():
            if self.oldest_ready(group) is None:
                continue
            paths, met = [(heap[0], 0)], 0
            while paths and met < most:
                (_, number, ref), at = heappop(paths)
                job = self.jobs.get(number)
                if job is not None and job.heap_entry == ref and job.state == READY:
                    found.append(self.effective_priority(now, job))
                    met += 1
                for child in (2 * at + 1, 2 * at + 2):
                    if child < len(heap):
                        heappush(paths, (heap[child], child))
        return sorted(found, reverse=True)[:most]

    def summarize(self, now: float, most: int) -> list[QueueRow]:
        """Classes, the highest standing first: what others are told."""
        heads = sorted(self.oldest_by_group(now), key=lambda row: -row[0])[:most]
        return [
            (job.group, int(max(0.0, now - job.waiting_since_ms)), self.ready_counts[job.group]) for _, job in heads
        ]
