"""Clients that submit jobs, some of them a second time with the same idempotency key through another proxy."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import numpy as np

from .clients import OperationSpec
from .forwarder import Attempt, Proxy
from .trace import Trace, clock
from .waits import Job

FIRST_JOB_NUMBER = 5_000_000  # above the numbers of other requests


@dataclass(frozen=True)
class JobSpec:
    """operations: numbers of the request classes that wait; with_idempotency_key: those whose jobs have a key.

    again: share of the jobs with a key that is submitted twice, on average `gap_ms` later. runs: share of the jobs
    that belong to a workflow run.
    """

    per_s: float
    operations: tuple[int, ...]
    with_idempotency_key: tuple[int, ...]
    again: float
    gap_ms: float
    runs: float = 0.0


class WaitClients:
    """The clients of all jobs."""

    def __init__(
        self,
        proxies: list[Proxy],
        operations: list[OperationSpec],
        spec: JobSpec,
        slices: int,
        trace: Trace,
        seed: int,
    ) -> None:
        self.proxies, self.operations, self.spec, self.slices = proxies, operations, spec, slices
        self.observer = trace.observer("jobs")
        self.chance = np.random.default_rng([seed, 92])
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self, begun: float, seconds: float, drain: float) -> None:
        """Submit jobs for `seconds`; then wait up to `drain` seconds for those still queued."""
        at, number = begun, FIRST_JOB_NUMBER
        while True:
            at += float(self.chance.exponential(1000.0 / self.spec.per_s))
            if at > begun + seconds * 1000.0:
                break
            await asyncio.sleep(max(0.0, at - clock()) / 1000.0)
            number += 1
            chance = self.chance
            operation, slice = int(chance.choice(self.spec.operations)), int(chance.integers(0, self.slices))
            proxy_numbers = [int(proxy) for proxy in chance.permutation(len(self.proxies))]
            again, gap_ms = bool(chance.random() < self.spec.again), float(chance.exponential(self.spec.gap_ms))
            run = f"job-run-{number}" if chance.random() < self.spec.runs else ""
            self.observer.record("job", number, operation, bool(run))
            task = asyncio.create_task(self.submit_job(number, operation, slice, proxy_numbers, again, gap_ms, run))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        deadline = clock() + drain * 1000.0
        while self.tasks and clock() < deadline:
            await asyncio.sleep(0.05)
        for task in list(self.tasks):
            task.cancel()
        for proxy in self.proxies:
            for number in proxy.jobs.jobs:
                self.observer.record("still", number, proxy.number)

    async def submit_job(
        self, number: int, operation: int, slice: int, proxy_numbers: list[int], again: bool, gap_ms: float, run: str
    ) -> None:
        """Submit a job, and a second time through another proxy with `again`."""
        submissions = [self.submit(number, 0, operation, slice, proxy_numbers[0], run)]
        if again and len(proxy_numbers) > 1 and operation in self.spec.with_idempotency_key:
            submissions.append(self.submit_later(gap_ms, number, operation, slice, proxy_numbers[1], run))
        await asyncio.gather(*submissions)

    async def submit_later(
        self, gap_ms: float, number: int, operation: int, slice: int, proxy_number: int, run: str
    ) -> None:
        """Submit a job a second time."""
        await asyncio.sleep(gap_ms / 1000.0)
        await self.submit(number, 1, operation, slice, proxy_number, run)

    async def submit(self, number: int, attempt: int, operation: int, slice: int, proxy_number: int, run: str) -> None:
        """Submit a job through one proxy and wait for its result."""
        request_class, proxy = self.operations[operation], self.proxies[proxy_number]
        done: asyncio.Future[str] = asyncio.get_running_loop().create_future()

        def on_end(status: str) -> None:
            if not done.done():
                done.set_result(status)

        def send() -> Attempt:
            return Attempt(
                number, attempt, operation, slice, request_class.work, clock() + request_class.timeout, on_end, run=run
            )

        idempotency_key = f"fp-{number}" if operation in self.spec.with_idempotency_key else ""
        proxy.jobs.submit(Job(number, operation, clock(), idempotency_key, send, on_end, run))
        self.observer.record("ended", number, attempt, await done)
