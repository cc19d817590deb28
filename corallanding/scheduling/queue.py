"""The jobs of one steward, by class: all of one class rise alike, so that their order never changes. Pure."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from heapq import heappop, heappush

from .limits import Kind
from .messages import Row

READY, BLOCKED, CLAIMING = range(3)


@dataclass(slots=True, eq=False)
class Job:
    """since: by our clock, when its waiting began, wherever that was. rises: whether its run keeps a set alive. ref:
    which heap entry is good; those of before are passed over."""

    number: int
    kind: int
    forwarder: int
    ticket: int
    since: float
    key: int = 0  # of its fingerprint; 0: none
    set: int = 0  # of versions, that its run is pinned to
    state: int = READY
    rises: bool = False
    granted: bool = False  # its fingerprint is its own: it may go
    ended: bool = False  # its client gave it up: nobody else has it
    ref: int = 0

    @property
    def group(self) -> int:
        """Its class: what rises alike."""
        return self.kind * 2 + self.rises


class Queue:
    """kinds: by number, the same at all stewards."""

    def __init__(self, kinds: Sequence[Kind], rise: float) -> None:
        self.kinds, self.rise = kinds, rise
        self.jobs: dict[int, Job] = {}
        self.heaps: dict[int, list[tuple[float, int, int]]] = {}  # class: (since, number, ref)
        self.counts: dict[int, int] = {}  # class: jobs that are ready
        self.by_kind = [0] * len(kinds)
        self.by_set: dict[int, set[int]] = {}
        self.numbers = 0

    def put(self, job: Job) -> Job:
        self.numbers += 1
        job.number = self.numbers
        self.jobs[job.number] = job
        self.by_kind[job.kind] += 1
        if job.set:
            self.by_set.setdefault(job.set, set()).add(job.number)
        if job.state == READY:
            self.enter(job)
        return job

    def enter(self, job: Job) -> None:
        job.state = READY
        job.ref += 1
        heappush(self.heaps.setdefault(job.group, []), (job.since, job.number, job.ref))
        self.counts[job.group] = self.counts.get(job.group, 0) + 1

    def leave(self, job: Job, state: int) -> None:
        """It is not ready any more; its entry is passed over when it comes up."""
        if job.state == READY:
            self.counts[job.group] -= 1
            job.ref += 1
        job.state = state

    def remove(self, job: Job) -> None:
        self.leave(job, BLOCKED)
        if self.jobs.pop(job.number, None):
            self.by_kind[job.kind] -= 1
            if job.set and (numbers := self.by_set.get(job.set)):
                numbers.discard(job.number)
                if not numbers:
                    del self.by_set[job.set]

    def change(self, job: Job, ready: bool, rises: bool) -> None:
        """Its version has a host, or none; its set is open, or it keeps it alive."""
        if job.state == CLAIMING or ((job.state == READY) == ready and job.rises == rises):
            return
        self.leave(job, BLOCKED)
        job.rises = rises
        if ready:
            self.enter(job)

    def head(self, group: int) -> Job | None:
        heap = self.heaps.get(group, [])
        while heap:
            _, number, ref = heap[0]
            job = self.jobs.get(number)
            if job is not None and job.ref == ref and job.state == READY:
                return job
            heappop(heap)
        return None

    def standing(self, now: float, job: Job) -> float:
        return self.kinds[job.kind].standing(now - job.since, self.rise if job.rises else 0.0)

    def heads(self, now: float) -> Iterator[tuple[float, Job]]:
        for group in self.heaps:
            if job := self.head(group):
                yield self.standing(now, job), job

    def best(self, now: float) -> tuple[float, Job] | None:
        """Which goes next; of two that stand alike the one that came first."""
        return max(self.heads(now), key=lambda row: (row[0], -row[1].since, -row[1].number), default=None)

    def top(self, now: float, most: int) -> list[float]:
        """The highest standings, descending, without taking anything out."""
        found: list[float] = []
        for group, heap in self.heaps.items():
            if self.head(group) is None:
                continue
            paths, met = [(heap[0], 0)], 0
            while paths and met < most:
                (_, number, ref), at = heappop(paths)
                job = self.jobs.get(number)
                if job is not None and job.ref == ref and job.state == READY:
                    found.append(self.standing(now, job))
                    met += 1
                for child in (2 * at + 1, 2 * at + 2):
                    if child < len(heap):
                        heappush(paths, (heap[child], child))
        return sorted(found, reverse=True)[:most]

    def rows(self, now: float, most: int) -> list[Row]:
        """Classes, the highest standing first: what others are told."""
        heads = sorted(self.heads(now), key=lambda row: -row[0])[:most]
        return [(job.group, int(max(0.0, now - job.since)), self.counts[job.group]) for _, job in heads]
