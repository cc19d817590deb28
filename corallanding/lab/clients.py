"""Open-loop clients with timeouts and retries. Arrivals are drawn in advance, so a slow fleet does not change them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import numpy as np

from .forwarder import Attempt, Proxy
from .trace import Trace, clock


@dataclass(frozen=True)
class OperationSpec:
    """A request class. Times in ms. share: of the requests; cv: coefficient of variation of the work."""

    name: str
    share: float
    work: float
    cv: float
    objective: float
    timeout: float
    value: float
    late_value: float
    idempotent: bool


@dataclass(frozen=True)
class ClientSpec:
    """How clients retry. try_share: an attempt's share of the request's timeout; backoff: ms before the first retry."""

    retries: int = 2
    try_share: float = 0.8
    backoff: float = 100.0


@dataclass
class Traffic:
    """Arrivals of one run: ms from the start, proxy, slice, request class and ms of work of each request."""

    at: np.ndarray
    forwarder: np.ndarray
    slice: np.ndarray
    operation: np.ndarray
    work: np.ndarray


@dataclass(frozen=True)
class LoadChange:
    """A change of the traffic from `at` for `length` ms.

    `share` of the traffic goes to `slices`; the work of the share `heavy_share` is multiplied by `heavy`.
    """

    at: float
    length: float
    share: float = 0.0
    slices: tuple[int, ...] = ()
    heavy: float = 0.0
    heavy_share: float = 0.0
    more: float = 1.0  # factor of the arrival rate


def draw(
    seed: int,
    length: float,
    per_s: float,
    rates: np.ndarray,
    slices: np.ndarray,
    operations: list[OperationSpec],
    changes: list[LoadChange],
) -> Traffic:
    """Draw the arrivals of `length` ms. rates: share of each proxy; slices: share of each slice; both sum to 1."""
    chance = np.random.default_rng([seed, 77])
    max_factor = max([1.0] + [change.more for change in changes])
    count = chance.poisson(per_s * max_factor * length / 1000.0)
    at = np.sort(chance.uniform(0.0, length, count))
    level = np.ones(count)
    for change in changes:
        level[(at >= change.at) & (at < change.at + change.length)] *= change.more
    keep = chance.random(count) < level / max_factor
    at = at[keep]
    n = len(at)
    classes = chance.choice(len(operations), n, p=[request_class.share for request_class in operations])
    slice = chance.choice(len(slices), n, p=slices)
    mean = np.array([request_class.work for request_class in operations])[classes]
    cv = np.array([request_class.cv for request_class in operations])[classes]
    sigma = np.sqrt(np.log1p(cv**2))
    work = mean * np.exp(sigma * chance.standard_normal(n) - sigma**2 / 2)
    for change in changes:
        during = (at >= change.at) & (at < change.at + change.length)
        if change.slices:
            taken = during & (chance.random(n) < change.share)
            slice[taken] = chance.choice(np.array(change.slices), int(taken.sum()))
        if change.heavy:
            heavy = during & (chance.random(n) < change.heavy_share)
            work[heavy] *= change.heavy
    return Traffic(at, chance.choice(len(rates), n, p=rates), slice, classes, work)


@dataclass
class Clients:
    """Clients that send all requests of the drawn traffic."""

    proxies: list[Proxy]
    operations: list[OperationSpec]
    spec: ClientSpec
    traffic: Traffic
    trace: Trace
    patience: float = 1.0  # factor of all timeouts; the fault `give_up` lowers it
    open: int = 0

    def __post_init__(self) -> None:
        self.observer = self.trace.observer("clients")

    async def run(self, begun: float) -> None:
        """Send all requests, from `begun` on the trace's clock; return when the last has ended."""
        t = self.traffic
        for k in range(len(t.at)):
            wait = begun + float(t.at[k]) - clock()
            if wait > 0.5:
                await asyncio.sleep(wait / 1000.0)
            self.start_request(k)
        while self.open:
            await asyncio.sleep(0.02)

    def start_request(self, k: int) -> None:
        """Send request `k`."""
        t, operation = self.traffic, int(self.traffic.operation[k])
        self.open += 1
        self.observer.record("asked", k, operation, int(t.slice[k]), self.operations[operation].value)
        self.attempt(k, operation, 0, clock())

    def attempt(self, k: int, operation: int, number: int, begun: float) -> None:
        """Make attempt `number` of a request that began at `begun` ms."""
        request_class, now = self.operations[operation], clock()
        until = min(
            now + request_class.timeout * self.spec.try_share * self.patience,
            begun + request_class.timeout * self.patience,
        )
        if until - now < 1.0:
            self.finish_request(k, operation, begun, "timed-out")
            return
        f = self.proxies[int(self.traffic.forwarder[k])]
        slice, work = int(self.traffic.slice[k]), float(self.traffic.work[k])
        f.invoke(
            Attempt(
                k, number, operation, slice, work, until, lambda s: self.on_attempt_end(k, operation, number, begun, s)
            )
        )

    def on_attempt_end(self, k: int, operation: int, number: int, begun: float, status: str) -> None:
        """End the request or schedule a retry with exponential backoff."""
        request_class = self.operations[operation]
        # Only a rejection proves that nothing ran; requests that are not idempotent are retried after nothing else.
        may_retry = status == "rate-limited" or (request_class.idempotent and status != "ok")
        left = begun + request_class.timeout * self.patience - clock()
        if status == "ok" or not may_retry or number >= self.spec.retries or left <= self.spec.backoff:
            self.finish_request(k, operation, begun, status)
            return
        wait = self.spec.backoff * 2**number / 1000.0
        asyncio.get_running_loop().call_later(wait, self.attempt, k, operation, number + 1, begun)

    def finish_request(self, k: int, operation: int, begun: float, status: str) -> None:
        """Record the result of a request and its value."""
        request_class, took = self.operations[operation], clock() - begun
        worth = (
            request_class.value
            if took <= request_class.objective
            else request_class.value * request_class.late_value
            if took <= request_class.timeout
            else 0.0
        )
        self.observer.record("answered", k, operation, status, took, worth if status == "ok" else 0.0)
        self.open -= 1
