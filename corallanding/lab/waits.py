"""Jobs of a stand-in proxy, written from `docs/protocol.md`.

The proxy keeps the body of a job, submits a ticket to a controller and sends the job when that dispatches it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..wire import frames
from .host_link import Attempt
from .trace import clock

if TYPE_CHECKING:
    from .forwarder import Proxy


@dataclass(eq=False)
class Job:
    """One job.

    number: the client's number, also the ticket. received_at: ms at which this proxy received it. controller_number:
    where the ticket was submitted; -1 for none. is_admitted: whether that controller has accepted it.
    """

    number: int
    operation: int
    received_at: float
    fingerprint: str
    send: Callable[[], Attempt]
    done: Callable[[str], None]
    run: str = ""
    set: int = 0
    controller_number: int = -1
    is_admitted: bool = False


class JobQueue:
    """The queued jobs of one proxy."""

    def __init__(self, proxy: Proxy) -> None:
        self.proxy = proxy
        self.jobs: dict[int, Job] = {}

    def submit(self, job: Job) -> None:
        """Accept a job from a client."""
        if self.proxy.down:
            job.done("errored")
            return
        self.jobs[job.number] = job
        self.hand_over(job)

    def hand_over(self, job: Job) -> None:
        """Submit the ticket to a joined controller, chosen by the job's number; retry later if there is none."""
        proxy = self.proxy
        if self.jobs.get(job.number) is not job or job.controller_number >= 0 or proxy.down:
            return
        joined = [
            k for k, controller in enumerate(proxy.state.controllers) if controller.joined and proxy.links.links[k]
        ]
        if job.run and job.run in proxy.pinned.pins:
            job.set = proxy.pinned.pins[job.run][0]
        waited = clock() - job.received_at
        if proxy.stalled or not joined:
            asyncio.get_running_loop().call_later(0.2, self.hand_over, job)
            return
        job.controller_number = joined[(job.number + proxy.number) % len(joined)]
        proxy.links.send(
            job.controller_number, frames.JobSubmission(job.number, job.operation, waited, job.fingerprint, job.set)
        )
        asyncio.get_running_loop().call_later(1.5, self.on_admission_timeout, job, job.controller_number)

    def on_admission_timeout(self, job: Job, k: int) -> None:
        """Withdraw a ticket that controller `k` has not admitted, and submit it again."""
        if self.jobs.get(job.number) is job and job.controller_number == k and not job.is_admitted:
            self.proxy.links.send(k, frames.JobWithdrawal(job.number))
            job.controller_number = -1
            self.hand_over(job)

    def on_link_lost(self, k: int) -> None:
        """Submit the jobs of a lost controller to another one, with their age."""
        for job in [j for j in self.jobs.values() if j.controller_number == k]:
            if job.is_admitted:
                self.proxy.observer.record("unheld", job.number, k)
            job.controller_number, job.is_admitted = -1, False
            asyncio.get_running_loop().call_later(0.05, self.hand_over, job)

    def on_message(self, k: int, frame: frames.JobAdmission | frames.JobRelease) -> None:
        """Handle a controller's decision on a ticket."""
        job = self.jobs.get(frame.ticket)
        if job is None or job.controller_number != k:
            return
        proxy = self.proxy
        if isinstance(frame, frames.JobRelease):
            proxy.observer.record("went" if frame.outcome == "go" else "twin", job.number, k)
            del self.jobs[job.number]
            if frame.outcome == "go":
                proxy.invoke(job.send())
            else:
                job.done("twin")
        elif frame.outcome == "waiting":
            if not job.is_admitted:
                job.is_admitted = True
                proxy.observer.record("held", job.number, k, frame.max_wait_ms)
        elif frame.outcome == "not-now":
            job.controller_number = -1
            asyncio.get_running_loop().call_later(0.2, self.hand_over, job)
        else:
            proxy.observer.record("not-taken", job.number, frame.outcome)
            del self.jobs[job.number]
            job.done(frame.outcome)

    def end(self) -> None:
        """Fail all jobs: the proxy's process is killed and loses their bodies."""
        jobs, self.jobs = self.jobs, {}
        for job in jobs.values():
            if job.is_admitted:
                self.proxy.observer.record("unheld", job.number, job.controller_number)
            job.done("errored")
