"""Clients whose requests form workflow runs.

The steps of a run follow one another, each through a randomly drawn proxy; some runs send their first step twice at
once.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import numpy as np

from .clients import OperationSpec
from .forwarder import Attempt, Proxy
from .trace import Trace, clock

FIRST_REQUEST_NUMBER = 1_000_000  # above the numbers of ordinary requests


@dataclass(frozen=True)
class RunSpec:
    """steps: numbers of request classes. gap_ms: mean time between steps. twice: share of runs with two first steps."""

    per_s: float
    steps: tuple[int, ...]
    gap_ms: float
    twice: float


class RunClients:
    """The clients of all workflow runs."""

    def __init__(
        self,
        proxies: list[Proxy],
        operations: list[OperationSpec],
        spec: RunSpec,
        slices: int,
        trace: Trace,
        seed: int,
    ) -> None:
        self.proxies, self.operations, self.spec, self.slices = proxies, operations, spec, slices
        self.observer = trace.observer("clients")
        self.chance = np.random.default_rng([seed, 91])
        self.number, self.open = FIRST_REQUEST_NUMBER, 0

    async def run(self, begun: float, seconds: float) -> None:
        """Start runs for `seconds`; return when the last step of the last run has ended."""
        n, at, tasks = 0, begun, set[asyncio.Task[None]]()
        while True:
            at += float(self.chance.exponential(1000.0 / self.spec.per_s))
            if at > begun + seconds * 1000.0:
                break
            await asyncio.sleep(max(0.0, at - clock()) / 1000.0)
            n += 1
            gaps = [float(g) for g in self.chance.exponential(self.spec.gap_ms, len(self.spec.steps))]
            proxy_numbers = [
                int(proxy) for proxy in self.chance.integers(0, len(self.proxies), len(self.spec.steps) + 1)
            ]
            slice, twice = int(self.chance.integers(0, self.slices)), bool(self.chance.random() < self.spec.twice)
            tasks.add(asyncio.create_task(self.run_steps(f"run-{n}", slice, gaps, proxy_numbers, twice)))
        await asyncio.gather(*tasks)

    async def run_steps(self, run: str, slice: int, gaps: list[float], proxy_numbers: list[int], twice: bool) -> None:
        """Send the steps of one run. gaps: ms after each step."""
        for step, operation in enumerate(self.spec.steps):
            requests = [self.step(run, step, operation, slice, proxy_numbers[step])]
            if step == 0 and twice:
                requests.append(self.step(run, step, operation, slice, proxy_numbers[-1]))
            await asyncio.gather(*requests)
            await asyncio.sleep(gaps[step] / 1000.0)

    async def step(self, run: str, step: int, operation: int, slice: int, proxy_number: int) -> None:
        """Send one request; retry it where that is safe, until its timeout."""
        request_class, begun = self.operations[operation], clock()
        self.number += 1
        inv = self.number
        self.observer.record("asked", inv, operation, slice, request_class.value)
        self.observer.record("step", run, step, inv, operation)
        status, attempt = "errored", 0
        while (left := begun + request_class.timeout - clock()) > 1.0 and attempt < 12:
            response: asyncio.Future[str] = asyncio.get_running_loop().create_future()
            proxy = self.proxies[(proxy_number + attempt) % len(self.proxies)]
            until = clock() + min(left, request_class.timeout * 0.8)
            proxy.invoke(
                Attempt(inv, attempt, operation, slice, request_class.work, until, response.set_result, run=run)
            )
            status = await response
            if status != "rate-limited" and not (request_class.idempotent and status in ("errored", "timed-out")):
                break
            attempt += 1
            await asyncio.sleep(0.1 * min(attempt, 4))
        took = clock() - begun
        worth = (
            request_class.value
            if took <= request_class.objective
            else request_class.value * request_class.late_value
            if took <= request_class.timeout
            else 0.0
        )
        self.observer.record("answered", inv, operation, status, took, worth if status == "ok" else 0.0)
        self.observer.record("stepped", run, step, inv, status)
