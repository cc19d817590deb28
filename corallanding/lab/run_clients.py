"""Clients whose invocations form runs: each run's steps one after the other, through a forwarder drawn anew each time;
some begin with two first steps at once."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import numpy as np

from .clients import OperationSpec
from .forwarder import Attempt, Proxy
from .trace import Trace, clock

FIRST = 1_000_000  # numbers of their invocations begin there


@dataclass(frozen=True)
class RunSpec:
    """steps: operations by number. gap: mean ms between two steps. twice: share that begins with two first steps."""

    per_s: float
    steps: tuple[int, ...]
    gap: float
    twice: float


class RunClients:
    def __init__(
        self,
        forwarders: list[Proxy],
        operations: list[OperationSpec],
        spec: RunSpec,
        slices: int,
        trace: Trace,
        seed: int,
    ) -> None:
        self.forwarders, self.operations, self.spec, self.slices = forwarders, operations, spec, slices
        self.observer = trace.observer("clients")
        self.chance = np.random.default_rng([seed, 91])
        self.number, self.open = FIRST, 0

    async def run(self, begun: float, seconds: float) -> None:
        """Begins runs until `seconds` have passed; returns when the last step of the last run is answered."""
        n, at, tasks = 0, begun, set[asyncio.Task[None]]()
        while True:
            at += float(self.chance.exponential(1000.0 / self.spec.per_s))
            if at > begun + seconds * 1000.0:
                break
            await asyncio.sleep(max(0.0, at - clock()) / 1000.0)
            n += 1
            gaps = [float(g) for g in self.chance.exponential(self.spec.gap, len(self.spec.steps))]
            ways = [int(f) for f in self.chance.integers(0, len(self.forwarders), len(self.spec.steps) + 1)]
            slice, twice = int(self.chance.integers(0, self.slices)), bool(self.chance.random() < self.spec.twice)
            tasks.add(asyncio.create_task(self.one(f"run-{n}", slice, gaps, ways, twice)))
        await asyncio.gather(*tasks)

    async def one(self, run: str, slice: int, gaps: list[float], ways: list[int], twice: bool) -> None:
        for step, operation in enumerate(self.spec.steps):
            both = [self.step(run, step, operation, slice, ways[step])]
            if step == 0 and twice:
                both.append(self.step(run, step, operation, slice, ways[-1]))
            await asyncio.gather(*both)
            await asyncio.sleep(gaps[step] / 1000.0)

    async def step(self, run: str, step: int, operation: int, slice: int, way: int) -> None:
        """One invocation, tried again where that can do no harm, until its time is over."""
        o, begun = self.operations[operation], clock()
        self.number += 1
        inv = self.number
        self.observer.record("asked", inv, operation, slice, o.value)
        self.observer.record("step", run, step, inv, operation)
        status, attempt = "errored", 0
        while (left := begun + o.timeout - clock()) > 1.0 and attempt < 12:
            done: asyncio.Future[str] = asyncio.get_running_loop().create_future()
            f = self.forwarders[(way + attempt) % len(self.forwarders)]
            until = clock() + min(left, o.timeout * 0.8)
            f.invoke(Attempt(inv, attempt, operation, slice, o.work, until, done.set_result, run=run))
            status = await done
            if status != "rate-limited" and not (o.idempotent and status in ("errored", "timed-out")):
                break
            attempt += 1
            await asyncio.sleep(0.1 * min(attempt, 4))
        took = clock() - begun
        worth = o.value if took <= o.objective else o.value * o.late_value if took <= o.timeout else 0.0
        self.observer.record("answered", inv, operation, status, took, worth if status == "ok" else 0.0)
        self.observer.record("stepped", run, step, inv, status)
