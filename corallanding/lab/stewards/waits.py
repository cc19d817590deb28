"""Waiting work in simulated time: the very `waiting` core beside `quota`, under `World`'s faults; forwarders that keep
their jobs and hand them to another steward when theirs is gone."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ...quota import Budget, QuotaLimits
from ...scheduling.actions import Dispatch
from ...scheduling.core import Scheduler
from ...scheduling.limits import JobClass, SchedulingLimits
from ...scheduling.messages import QueueSummary
from ..order import Held, Went, judge
from .world import Process, World

KINDS = (JobClass("claim", 2.0, 2_000.0, 30_000.0), JobClass("rank", 0.0, 1_000.0, 30_000.0))
TERMS = SchedulingLimits(
    announce_interval_ms=100.0,
    peer_timeout_ms=600.0,
    order_slack_ms=150.0,
    blocked_ms=1_500.0,
    dispatches_per_second=20.0,
)
QUOTA = QuotaLimits(lease_ms=600.0, vote_lease_ms=400.0)
NOTICED = 120.0  # ms until a forwarder sees that its steward is gone


@dataclass
class Waits:
    """A job at its forwarder."""

    job: int
    kind: int
    came: float
    forwarder: int
    at: int = -1  # the steward that has it
    begun: float = 0.0
    done: bool = False


class WaitWorld(World):
    """per_s: jobs that come a second, in all. rate: releases a second. lone: each looks at its own jobs only."""

    def __init__(
        self,
        seed: int,
        numbers: int,
        voters: int,
        per_s: float = 18.0,
        forwarders: int = 6,
        rate: int = 20,
        floor: int = 1,
        terms: SchedulingLimits = TERMS,
        kinds: tuple[JobClass, ...] = KINDS,
        lone: bool = False,
        mix: Callable[[float, random.Random], int] = lambda t, c: c.randrange(2),
        skew: float = 1.0,
    ) -> None:
        self.kinds, self.wait_terms, self.lone, self.mix, self.skew = kinds, terms, lone, mix, skew
        self.drawn = random.Random(f"jobs {seed}")
        self.waits: dict[int, Scheduler] = {}
        self.jobs: dict[int, Waits] = {}
        self.held: list[Held] = []
        self.went: list[Went] = []
        self.per_s, self.forwarders = per_s, forwarders
        self.refusals = self.again = 0  # again: told to go once more by the steward that had told it
        budgets = {"releases": Budget("releases", rate, floor, numbers, 1_000.0)}
        super().__init__(seed, numbers, voters, budgets, QUOTA, lambda t, n: [], static=False)
        if per_s:
            self.at(1_500.0, self.come)

    def core(self, n: int, others: tuple[int, ...], life: int, born: float, chance: Callable[[], float]) -> Any:
        quota = super().core(n, others, life, born, chance)

        def clock() -> float:
            return born + (self.now - start) * self.rate_of(n)

        start = self.now
        self.waits[n] = Scheduler(
            others,
            life,
            self.kinds,
            self.wait_terms,
            born,
            lambda: self.right(n, quota),
            lambda k: quota.set_demand(clock(), "releases", k),
        )
        return quota

    def rate_of(self, n: int) -> float:
        p = self.processes.get(n)
        return p.rate if p else 1.0

    def right(self, n: int, quota: Any) -> bool:
        p = self.processes[n]
        if quota.acquire(p.clock(self.now), "releases", 0):
            self.uses.append((self.now, self.now + 1_000.0, "releases", 0, 1))
            return True
        return False

    # ---- jobs and their forwarders -------------------------------------------------------------------------

    def come(self) -> None:
        number = len(self.jobs)
        forwarder = min(int(self.forwarders * self.drawn.random() ** self.skew), self.forwarders - 1)
        w = self.jobs[number] = Waits(number, self.mix(self.now, self.drawn), self.now, forwarder)
        self.hand(w)
        self.at(self.now + self.drawn.expovariate(self.per_s / 1000.0), self.come)

    def hand(self, w: Waits) -> None:
        """To the forwarder's steward: the first that lives, from its own number on."""
        if w.done or w.at >= 0:
            return
        up = [n for k in range(self.numbers) if (n := (w.forwarder + k) % self.numbers) in self.processes]
        up = [n for n in up if not self.processes[n].stopped]
        if not up:
            self.at(self.now + NOTICED, lambda: self.hand(w))
            return
        n, p = up[0], self.processes[up[0]]
        w.at, w.begun = n, self.now
        job, _, _ = self.waits[n].admit(
            p.clock(self.now), p.members.alive_members(), w.forwarder, w.job, w.kind, self.now - w.came
        )
        if job is None:
            w.done, self.refusals = True, self.refusals + 1
            del self.jobs[w.job]

    def away(self, n: int) -> None:
        """Links to it are gone: what it had goes elsewhere, once that is seen."""
        for w in self.jobs.values():
            if w.at == n and not w.done:
                self.held.append((w.job, n, w.begun, self.now))
                w.at = -1
                self.at(self.now + NOTICED, lambda w=w: self.hand(w))  # type: ignore[misc]

    def kill(self, n: int) -> None:
        super().kill(n)
        self.away(n)

    def stop(self, n: int) -> None:
        super().stop(n)
        p = self.processes[n]

        def silent() -> None:
            if self.processes.get(n) is p and p.stopped:
                self.away(n)
                self.waits[n].tickets.clear()  # it hears of its links' end when it wakes, before all else
                self.waits[n].queue.__init__(self.kinds, self.wait_terms.retirement_boost)  # type: ignore[misc]

        self.at(self.now + 1_000.0, silent)

    # ---- stewards ------------------------------------------------------------------------------------------

    def work(self, n: int, p: Process) -> None:
        alive = [] if self.lone else p.members.alive_members()
        actions, words = self.waits[n].tick(p.clock(self.now), alive)
        for a in actions:
            assert isinstance(a, Dispatch)
            self.gone(n, a)
        for s in words:
            self.send(n, s.to, s.message)

    def gone(self, n: int, a: Dispatch) -> None:
        w = self.jobs[a.job.ticket]
        if w.at != n or w.done:
            self.again += w.done and w.at == n
            return  # the link is over: nobody hears it
        w.done = True
        self.held.append((w.job, n, w.begun, self.now))
        self.went.append((self.now, w.job, n, a.observed_peers))

    def take(self, n: int, p: Process, sender: int, word: Any) -> None:
        if isinstance(word, QueueSummary):
            self.waits[n].on_summary(p.clock(self.now), sender, word)
        else:
            super().take(n, p, sender, word)

    # ---- what is looked at afterwards ----------------------------------------------------------------------

    def found(self, bound: float) -> dict[str, Any]:
        still = [(w.job, w.at, w.begun, float("inf")) for w in self.jobs.values() if not w.done and w.at >= 0]
        kinds = [(k.priority, k.aging_interval_ms, k.max_wait_ms) for k in self.kinds]
        came = {w.job: (w.came, w.kind) for w in self.jobs.values()}
        moving = [w.job for w in self.jobs.values() if not w.done and w.at < 0]
        return judge(kinds, came, [*self.held, *still], self.went, bound, moving)


def bound_of(terms: SchedulingLimits, drift: float, oldest: float) -> float:
    """ms by which a job may go too early: what waits elsewhere is known by words of up to `stale`, on two clocks that
    drift, looked at every 50 ms, with the stated slack."""
    return terms.peer_timeout_ms + terms.order_slack_ms + 100.0 + 2.0 * drift * oldest
