"""A stand-in forwarder's part for work that may wait: keeps the body, hands a ticket to a steward, sends when told.
Written from `docs/protocol.md`."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..wire import frames
from .host_link import Try
from .trace import clock

if TYPE_CHECKING:
    from .forwarder import Forwarder


@dataclass(eq=False)
class Job:
    """number: of the client's own, also its ticket. came: when it came to this forwarder. at: the steward that was
    asked to take it, -1: none; taken: whether it said so."""

    number: int
    operation: int
    came: float
    fingerprint: str
    send: Callable[[], Try]
    done: Callable[[str], None]
    run: str = ""
    set: int = 0
    at: int = -1
    taken: bool = False


class Waits:
    def __init__(self, forwarder: Forwarder) -> None:
        self.forwarder = forwarder
        self.jobs: dict[int, Job] = {}

    def come(self, job: Job) -> None:
        if self.forwarder.down:
            job.done("errored")
            return
        self.jobs[job.number] = job
        self.hand(job)

    def hand(self, job: Job) -> None:
        """To a steward that is joined, spread by number; later, if there is none."""
        f = self.forwarder
        if self.jobs.get(job.number) is not job or job.at >= 0 or f.down:
            return
        up = [k for k, said in enumerate(f.held.said) if said.joined and f.links.to[k]]
        if job.run and job.run in f.pinned.pins:
            job.set = f.pinned.pins[job.run][0]
        waited = clock() - job.came
        if f.stalled or not up:
            asyncio.get_running_loop().call_later(0.2, self.hand, job)
            return
        job.at = up[(job.number + f.number) % len(up)]
        f.links.send(job.at, frames.JobSubmission(job.number, job.operation, waited, job.fingerprint, job.set))
        asyncio.get_running_loop().call_later(1.5, self.unanswered, job, job.at)

    def unanswered(self, job: Job, k: int) -> None:
        if self.jobs.get(job.number) is job and job.at == k and not job.taken:
            self.forwarder.links.send(k, frames.JobWithdrawal(job.number))
            job.at = -1
            self.hand(job)

    def lost(self, k: int) -> None:
        """A link is over: what its steward had goes to another, with its age."""
        for job in [j for j in self.jobs.values() if j.at == k]:
            if job.taken:
                self.forwarder.observer.record("unheld", job.number, k)
            job.at, job.taken = -1, False
            asyncio.get_running_loop().call_later(0.05, self.hand, job)

    def told(self, k: int, frame: frames.JobAdmission | frames.JobRelease) -> None:
        job = self.jobs.get(frame.ticket)
        if job is None or job.at != k:
            return
        f = self.forwarder
        if isinstance(frame, frames.JobRelease):
            f.observer.record("went" if frame.outcome == "go" else "twin", job.number, k)
            del self.jobs[job.number]
            if frame.outcome == "go":
                f.invoke(job.send())
            else:
                job.done("twin")
        elif frame.outcome == "waiting":
            if not job.taken:
                job.taken = True
                f.observer.record("held", job.number, k, frame.max_wait_ms)
        elif frame.outcome == "not-now":
            job.at = -1
            asyncio.get_running_loop().call_later(0.2, self.hand, job)
        else:
            f.observer.record("not-taken", job.number, frame.outcome)
            del self.jobs[job.number]
            job.done(frame.outcome)

    def end(self) -> None:
        """The process dies: bodies are gone with it."""
        jobs, self.jobs = self.jobs, {}
        for job in jobs.values():
            if job.taken:
                self.forwarder.observer.record("unheld", job.number, job.at)
            job.done("errored")
