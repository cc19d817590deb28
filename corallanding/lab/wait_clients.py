"""Clients whose work may wait: jobs that come by chance, some brought again with the same fingerprint through another
forwarder."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import numpy as np

from .clients import OperationSpec
from .forwarder import Attempt, Proxy
from .trace import Trace, clock
from .waits import Job

FIRST = 5_000_000  # numbers of jobs begin there


@dataclass(frozen=True)
class JobSpec:
    """operations: those that wait, by number; marked: those of them whose jobs have a fingerprint. again: share of
    these that is brought again, mean gap ms later. runs: share whose jobs belong to a run."""

    per_s: float
    operations: tuple[int, ...]
    marked: tuple[int, ...]
    again: float
    gap: float
    runs: float = 0.0


class WaitClients:
    def __init__(
        self,
        forwarders: list[Proxy],
        operations: list[OperationSpec],
        spec: JobSpec,
        slices: int,
        trace: Trace,
        seed: int,
    ) -> None:
        self.forwarders, self.operations, self.spec, self.slices = forwarders, operations, spec, slices
        self.observer = trace.observer("jobs")
        self.chance = np.random.default_rng([seed, 92])
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self, begun: float, seconds: float, drain: float) -> None:
        """Jobs for `seconds`; then waits up to `drain` seconds for those that still wait."""
        at, number = begun, FIRST
        while True:
            at += float(self.chance.exponential(1000.0 / self.spec.per_s))
            if at > begun + seconds * 1000.0:
                break
            await asyncio.sleep(max(0.0, at - clock()) / 1000.0)
            number += 1
            c = self.chance
            operation, slice = int(c.choice(self.spec.operations)), int(c.integers(0, self.slices))
            ways = [int(f) for f in c.permutation(len(self.forwarders))]
            again, gap = bool(c.random() < self.spec.again), float(c.exponential(self.spec.gap))
            run = f"job-run-{number}" if c.random() < self.spec.runs else ""
            self.observer.record("job", number, operation, bool(run))
            task = asyncio.create_task(self.one(number, operation, slice, ways, again, gap, run))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        end = clock() + drain * 1000.0
        while self.tasks and clock() < end:
            await asyncio.sleep(0.05)
        for task in list(self.tasks):
            task.cancel()
        for f in self.forwarders:
            for number in f.jobs.jobs:
                self.observer.record("still", number, f.number)

    async def one(
        self, number: int, operation: int, slice: int, ways: list[int], again: bool, gap: float, run: str
    ) -> None:
        both = [self.bring(number, 0, operation, slice, ways[0], run)]
        if again and len(ways) > 1 and operation in self.spec.marked:
            both.append(self.later(gap, number, operation, slice, ways[1], run))
        await asyncio.gather(*both)

    async def later(self, gap: float, number: int, operation: int, slice: int, way: int, run: str) -> None:
        await asyncio.sleep(gap / 1000.0)
        await self.bring(number, 1, operation, slice, way, run)

    async def bring(self, number: int, attempt: int, operation: int, slice: int, way: int, run: str) -> None:
        o, f = self.operations[operation], self.forwarders[way]
        done: asyncio.Future[str] = asyncio.get_running_loop().create_future()

        def end(status: str) -> None:
            if not done.done():
                done.set_result(status)

        def send() -> Attempt:
            return Attempt(number, attempt, operation, slice, o.work, clock() + o.timeout, end, run=run)

        mark = f"fp-{number}" if operation in self.spec.marked else ""
        f.jobs.submit(Job(number, operation, clock(), mark, send, end, run))
        self.observer.record("ended", number, attempt, await done)
