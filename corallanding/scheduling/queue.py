"""The queue of one controller: jobs by group. All jobs of a group age alike, so that their order never changes."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from enum import Enum, auto
from heapq import heappop, heappush
from typing import NamedTuple

from .limits import JobClass
from .messages import QueueRow, group_of


class JobState(Enum):
    """Whether a job may be dispatched."""

    READY = auto()
    BLOCKED = auto()  # no host serves its version, or its idempotency key could not be claimed
    CLAIMING = auto()  # the claim of its idempotency key is not answered yet


@dataclass(slots=True, eq=False)
class Job:
    """A request that waits at a proxy.

    `ticket` is the proxy's number for it. `waiting_since_ms` is when it began to wait, at any controller, on this
    controller's clock. `idempotency_key` is the number of its key, `release_set` the set that its run is pinned to; 0
    stands for none. A job with `has_claim` owns its idempotency key; one that `is_abandoned` was given up by its
    client. `heap_entry` numbers its valid entry in the heap of its group; older entries are passed over.
    """

    number: int
    job_class: int
    proxy: int
    ticket: int
    waiting_since_ms: float
    idempotency_key: int = 0
    release_set: int = 0
    state: JobState = JobState.READY
    is_boosted: bool = False
    has_claim: bool = False
    is_abandoned: bool = False
    heap_entry: int = 0

    @property
    def group(self) -> int:
        """The group of jobs that age as this one does."""
        return group_of(self.job_class, self.is_boosted)


class RankedJob(NamedTuple):
    """A job and its effective priority at one instant."""

    effective_priority: float
    job: Job


# A job in the heap of its group, the oldest first: since when it waits, its number, its `heap_entry` at that time.
# A plain tuple, which the garbage collector does not track: there may be a million of them.
HeapEntry = tuple[float, int, int]


class JobQueue:
    """Jobs of all classes; `job_classes` are in the order of their numbers, the same at all controllers."""

    def __init__(self, job_classes: Sequence[JobClass], retirement_boost: float) -> None:
        self.job_classes = job_classes
        self.retirement_boost = retirement_boost
        self.jobs: dict[int, Job] = {}
        self.heaps: dict[int, list[HeapEntry]] = {}  # by group
        self.ready_counts: dict[int, int] = {}  # by group
        self.counts_by_class = [0] * len(job_classes)
        self.jobs_by_set: dict[int, set[int]] = {}
        self.last_number = 0

    def add(self, job: Job) -> Job:
        """Add a job and give it its number."""
        self.last_number += 1
        job.number = self.last_number
        self.jobs[job.number] = job
        self.counts_by_class[job.job_class] += 1
        if job.release_set:
            self.jobs_by_set.setdefault(job.release_set, set()).add(job.number)
        if job.state is JobState.READY:
            self.make_ready(job)
        return job

    def make_ready(self, job: Job) -> None:
        """Let a job take part in the order."""
        job.state = JobState.READY
        job.heap_entry += 1
        group = job.group
        heappush(self.heaps.setdefault(group, []), (job.waiting_since_ms, job.number, job.heap_entry))
        self.ready_counts[group] = self.ready_counts.get(group, 0) + 1

    def make_unready(self, job: Job, state: JobState) -> None:
        """Take a job out of the order; its heap entry is passed over when it comes up."""
        if job.state is JobState.READY:
            self.ready_counts[job.group] -= 1
            job.heap_entry += 1
        job.state = state

    def remove(self, job: Job) -> None:
        """Remove a job; one that is not in the queue any more is left alone."""
        self.make_unready(job, JobState.BLOCKED)
        if self.jobs.pop(job.number, None) is None:
            return
        self.counts_by_class[job.job_class] -= 1
        numbers = self.jobs_by_set.get(job.release_set)
        if numbers:
            numbers.discard(job.number)
            if not numbers:
                del self.jobs_by_set[job.release_set]

    def on_set_change(self, job: Job, *, is_served: bool, is_boosted: bool) -> None:
        """Block the job unless a host serves its version, and give or take its retirement boost.

        A job whose claim is not answered yet stays as it is.
        """
        is_ready = job.state is JobState.READY
        if job.state is JobState.CLAIMING or (is_ready == is_served and job.is_boosted == is_boosted):
            return
        self.make_unready(job, JobState.BLOCKED)
        job.is_boosted = is_boosted
        if is_served:
            self.make_ready(job)

    def oldest_ready(self, group: int) -> Job | None:
        """The ready job of the group that has waited longest."""
        heap = self.heaps.get(group, [])
        while heap:
            job = self._ready_job(heap[0])
            if job is not None:
                return job
            heappop(heap)
        return None

    def _ready_job(self, entry: HeapEntry) -> Job | None:
        """The job of a heap entry, unless the entry is void."""
        _, number, heap_entry = entry
        job = self.jobs.get(number)
        if job is not None and job.heap_entry == heap_entry and job.state is JobState.READY:
            return job
        return None

    def effective_priority(self, now_ms: float, job: Job) -> float:
        """The priority of a job as it has aged until now."""
        boost = self.retirement_boost if job.is_boosted else 0.0
        return self.job_classes[job.job_class].effective_priority(now_ms - job.waiting_since_ms, boost)

    def oldest_by_group(self, now_ms: float) -> Iterator[RankedJob]:
        """The oldest ready job of each group."""
        for group in self.heaps:
            job = self.oldest_ready(group)
            if job is not None:
                yield RankedJob(self.effective_priority(now_ms, job), job)

    def highest(self, now_ms: float) -> RankedJob | None:
        """The ready job that goes next; of two with the same priority the older one."""
        return max(
            self.oldest_by_group(now_ms),
            key=lambda ranked: (ranked.effective_priority, -ranked.job.waiting_since_ms, -ranked.job.number),
            default=None,
        )

    def highest_priorities(self, now_ms: float, max_count: int) -> list[float]:
        """The highest effective priorities of ready jobs, descending; the queue stays as it is."""
        found: list[float] = []
        for group in self.heaps:
            if self.oldest_ready(group) is not None:
                found += [self.effective_priority(now_ms, job) for job in self._oldest_jobs(group, max_count)]
        return sorted(found, reverse=True)[:max_count]

    def _oldest_jobs(self, group: int, max_count: int) -> list[Job]:
        """The oldest ready jobs of a group, in order: walks its heap from the root without changing it."""
        heap = self.heaps[group]
        frontier = [(heap[0], 0)]  # entries whose parents were visited, and their places in the heap
        jobs: list[Job] = []
        while frontier and len(jobs) < max_count:
            entry, place = heappop(frontier)
            job = self._ready_job(entry)
            if job is not None:
                jobs.append(job)
            for child in (2 * place + 1, 2 * place + 2):
                if child < len(heap):
                    heappush(frontier, (heap[child], child))
        return jobs

    def summarize(self, now_ms: float, max_rows: int) -> list[QueueRow]:
        """The groups with ready jobs as peers are told of them, the highest effective priority first."""
        oldest = sorted(self.oldest_by_group(now_ms), key=lambda ranked: -ranked.effective_priority)[:max_rows]
        return [
            QueueRow(job.group, int(max(0.0, now_ms - job.waiting_since_ms)), self.ready_counts[job.group])
            for _, job in oldest
        ]
