"""Open-loop clients: arrivals drawn ahead, patience, retries of their own. The slowest fleet changes no arrival."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import numpy as np

from .forwarder import Attempt, Proxy
from .trace import Trace, clock


@dataclass(frozen=True)
class OperationSpec:
    """Times in ms. share: of the invocations; cv: of the work."""

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
    retries: int = 2
    try_share: float = 0.8
    backoff: float = 100.0


@dataclass
class Traffic:
    """Arrivals of one run: times (ms from the start), forwarder, slice, operation, work."""

    at: np.ndarray
    forwarder: np.ndarray
    slice: np.ndarray
    operation: np.ndarray
    work: np.ndarray


@dataclass(frozen=True)
class LoadChange:
    """From `at` for `length` ms, `share` of the traffic goes to these slices; or work is drawn heavier."""

    at: float
    length: float
    share: float = 0.0
    slices: tuple[int, ...] = ()
    heavy: float = 0.0
    heavy_share: float = 0.0
    more: float = 1.0  # times the arrivals


def draw(
    seed: int,
    length: float,
    per_s: float,
    rates: np.ndarray,
    slices: np.ndarray,
    operations: list[OperationSpec],
    hots: list[LoadChange],
) -> Traffic:
    """rates: each forwarder's share; slices: each slice's share. Both sum to 1."""
    chance = np.random.default_rng([seed, 77])
    most = max([1.0] + [h.more for h in hots])
    count = chance.poisson(per_s * most * length / 1000.0)
    at = np.sort(chance.uniform(0.0, length, count))
    level = np.ones(count)
    for h in hots:
        level[(at >= h.at) & (at < h.at + h.length)] *= h.more
    keep = chance.random(count) < level / most
    at = at[keep]
    n = len(at)
    which = chance.choice(len(operations), n, p=[o.share for o in operations])
    slice = chance.choice(len(slices), n, p=slices)
    mean = np.array([o.work for o in operations])[which]
    cv = np.array([o.cv for o in operations])[which]
    sigma = np.sqrt(np.log1p(cv**2))
    work = mean * np.exp(sigma * chance.standard_normal(n) - sigma**2 / 2)
    for h in hots:
        during = (at >= h.at) & (at < h.at + h.length)
        if h.slices:
            taken = during & (chance.random(n) < h.share)
            slice[taken] = chance.choice(np.array(h.slices), int(taken.sum()))
        if h.heavy:
            heavy = during & (chance.random(n) < h.heavy_share)
            work[heavy] *= h.heavy
    return Traffic(at, chance.choice(len(rates), n, p=rates), slice, which, work)


@dataclass
class Clients:
    forwarders: list[Proxy]
    operations: list[OperationSpec]
    spec: ClientSpec
    traffic: Traffic
    trace: Trace
    patience: float = 1.0  # a give-up fault shortens it
    open: int = 0

    def __post_init__(self) -> None:
        self.observer = self.trace.observer("clients")

    async def run(self, begun: float) -> None:
        """Plays all arrivals from `begun` (trace clock) on; returns when the last is answered."""
        t = self.traffic
        for k in range(len(t.at)):
            wait = begun + float(t.at[k]) - clock()
            if wait > 0.5:
                await asyncio.sleep(wait / 1000.0)
            self.ask(k)
        while self.open:
            await asyncio.sleep(0.02)

    def ask(self, k: int) -> None:
        t, operation = self.traffic, int(self.traffic.operation[k])
        self.open += 1
        self.observer.record("asked", k, operation, int(t.slice[k]), self.operations[operation].value)
        self.attempt(k, operation, 0, clock())

    def attempt(self, k: int, operation: int, number: int, begun: float) -> None:
        o, now = self.operations[operation], clock()
        until = min(now + o.timeout * self.spec.try_share * self.patience, begun + o.timeout * self.patience)
        if until - now < 1.0:
            self.over(k, operation, begun, "timed-out")
            return
        f = self.forwarders[int(self.traffic.forwarder[k])]
        slice, work = int(self.traffic.slice[k]), float(self.traffic.work[k])
        f.invoke(
            Attempt(k, number, operation, slice, work, until, lambda s: self.ended(k, operation, number, begun, s))
        )

    def ended(self, k: int, operation: int, number: int, begun: float, status: str) -> None:
        o = self.operations[operation]
        # Only a refusal proves that nothing ran; what must not run twice is repeated on nothing else.
        may = status == "rate-limited" or (o.idempotent and status != "ok")
        left = begun + o.timeout * self.patience - clock()
        if status == "ok" or not may or number >= self.spec.retries or left <= self.spec.backoff:
            self.over(k, operation, begun, status)
            return
        wait = self.spec.backoff * 2**number / 1000.0
        asyncio.get_running_loop().call_later(wait, self.attempt, k, operation, number + 1, begun)

    def over(self, k: int, operation: int, begun: float, status: str) -> None:
        o, took = self.operations[operation], clock() - begun
        worth = o.value if took <= o.objective else o.value * o.late_value if took <= o.timeout else 0.0
        self.observer.record("answered", k, operation, status, took, worth if status == "ok" else 0.0)
        self.open -= 1
