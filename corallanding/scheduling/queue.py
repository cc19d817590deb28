"""The queue of one controller, by group. All jobs of a group age alike, so their order never changes."""

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
    BLOCKED = auto()  # no host serves its release set, or its idempotency key could not be claimed
    CLAIMING = auto()  # the claim of its idempotency key is in flight


@dataclass(slots=True, eq=False)
class Job:
    """A deferred request, held by a proxy until it is dispatched.

    `ticket` is the proxy's number for it. `waiting_since_ms` is when it began to wait, at any controller, on this
    controller's clock. `idempotency_key` is the number of its key, `release_set` the set that its workflow run is
    pinned to; 0 means none. `has_claim`: the job owns its idempotency key, by an answer of
    `claimed_at_ms`. `is_abandoned`: its client gave it up.
    `heap_entry` is the number of its valid entry in the heap of its group; entries with lower numbers are ignored.
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
    claimed_at_ms: float = 0.0
    is_abandoned: bool = False
    heap_entry: int = 0

    def needs_claim(self, now_ms: float, max_claim_age_ms: float) -> bool:
        """Return whether its idempotency key has to be claimed, or claimed again, before the job is dispatched."""
        is_claimed = self.has_claim and now_ms - self.claimed_at_ms <= max_claim_age_ms
        return bool(self.idempotency_key) and not is_claimed

    @property
    def group(self) -> int:
        """The group of jobs that age like this one."""
        return group_of(self.job_class, self.is_boosted)


class RankedJob(NamedTuple):
    """A job and its effective priority at one instant."""

    effective_priority: float
    job: Job


# A job in the heap of its group, the oldest first: `waiting_since_ms`, its number, its `heap_entry` at that time.
# A plain tuple, which the garbage collector does not track: there may be a million of them.
HeapEntry = tuple[float, int, int]


class JobQueue:
    """Jobs of all classes. `job_classes` are in the order of their numbers, which are the same at all controllers."""

    def __init__(self, job_classes: Sequence[JobClass], retirement_boost: float) -> None:
        self.job_classes = job_classes
        self.retirement_boost = retirement_boost
        self.jobs: dict[int, Job] = {}
        self.heaps: dict[int, list[HeapEntry]] = {}  # heaps by group
        self.ready_counts: dict[int, int] = {}  # numbers of ready jobs by group
        self.counts_by_class = [0] * len(job_classes)
        self.jobs_by_set: dict[int, set[int]] = {}
        self.last_number = 0

    def add(self, job: Job) -> Job:
        """Add a job, assign its number, and return it."""
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
        """Mark a job as ready, and push it to the heap of its group."""
        job.state = JobState.READY
        job.heap_entry += 1
        group = job.group
        heappush(self.heaps.setdefault(group, []), (job.waiting_since_ms, job.number, job.heap_entry))
        self.ready_counts[group] = self.ready_counts.get(group, 0) + 1

    def make_unready(self, job: Job, state: JobState) -> None:
        """Set another state than ready; the heap entry of the job becomes invalid and is removed later."""
        if job.state is JobState.READY:
            self.ready_counts[job.group] -= 1
            job.heap_entry += 1
        job.state = state

    def remove(self, job: Job) -> None:
        """Remove a job; do nothing if it is not in the queue."""
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
        """Make the job ready if a host serves its release set, else blocked; set its retirement boost.

        A job whose claim is in flight stays as it is.
        """
        is_ready = job.state is JobState.READY
        if job.state is JobState.CLAIMING or (is_ready == is_served and job.is_boosted == is_boosted):
            return
        self.make_unready(job, JobState.BLOCKED)
        job.is_boosted = is_boosted
        if is_served:
            self.make_ready(job)

    def oldest_ready(self, group: int) -> Job | None:
        """Return the ready job of the group that has waited longest; remove invalid heap entries before it."""
        heap = self.heaps.get(group, [])
        while heap:
            job = self._ready_job(heap[0])
            if job is not None:
                return job
            heappop(heap)
        return None

    def _ready_job(self, entry: HeapEntry) -> Job | None:
        """Return the job of a heap entry; None if the entry is invalid."""
        _, number, heap_entry = entry
        job = self.jobs.get(number)
        if job is not None and job.heap_entry == heap_entry and job.state is JobState.READY:
            return job
        return None

    def effective_priority(self, now_ms: float, job: Job) -> float:
        """Return the current priority of a job."""
        boost = self.retirement_boost if job.is_boosted else 0.0
        return self.job_classes[job.job_class].effective_priority(now_ms - job.waiting_since_ms, boost)

    def oldest_by_group(self, now_ms: float) -> Iterator[RankedJob]:
        """Yield the oldest ready job of each group."""
        for group in self.heaps:
            job = self.oldest_ready(group)
            if job is not None:
                yield RankedJob(self.effective_priority(now_ms, job), job)

    def highest(self, now_ms: float) -> RankedJob | None:
        """Return the ready job with the highest priority; of two with the same priority the older one."""
        return max(
            self.oldest_by_group(now_ms),
            key=lambda ranked: (ranked.effective_priority, -ranked.job.waiting_since_ms, -ranked.job.number),
            default=None,
        )

    def highest_priorities(self, now_ms: float, max_count: int) -> list[float]:
        """Return the highest effective priorities of ready jobs in descending order; no job is removed."""
        found: list[float] = []
        for group in self.heaps:
            if self.oldest_ready(group) is not None:
                found += [self.effective_priority(now_ms, job) for job in self._oldest_jobs(group, max_count)]
        return sorted(found, reverse=True)[:max_count]

    def _oldest_jobs(self, group: int, max_count: int) -> list[Job]:
        """Return the oldest ready jobs of a group in order, by a walk of its heap that does not change it."""
        heap = self.heaps[group]
        frontier = [(heap[0], 0)]  # entries whose parents were visited, with their heap indexes
        jobs: list[Job] = []
        while frontier and len(jobs) < max_count:
            entry, index = heappop(frontier)
            job = self._ready_job(entry)
            if job is not None:
                jobs.append(job)
            for child in (2 * index + 1, 2 * index + 2):
                if child < len(heap):
                    heappush(frontier, (heap[child], child))
        return jobs

    def summarize(self, now_ms: float, max_rows: int) -> list[QueueRow]:
        """Return the rows of a summary, one for each group with ready jobs, the highest effective priority first."""
        oldest = sorted(self.oldest_by_group(now_ms), key=lambda ranked: -ranked.effective_priority)[:max_rows]
        return [
            QueueRow(job.group, int(max(0.0, now_ms - job.waiting_since_ms)), self.ready_counts[job.group])
            for _, job in oldest
        ]
