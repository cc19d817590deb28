"""Job scheduling in simulated time: the real `scheduling` and `quota` cores under the faults of `World`.

Proxies keep their jobs and submit them to another controller when theirs is gone.
"""

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
LINK_LOSS_NOTICE_MS = 120.0  # until a proxy detects that its controller is gone


@dataclass
class SimulatedJob:
    """A job at its proxy."""

    job: int
    kind: int
    came: float
    forwarder: int
    at: int = -1  # the controller that holds its ticket; -1: none
    begun: float = 0.0
    done: bool = False


class WaitWorld(World):
    """Controllers that dispatch jobs.

    per_s: submitted jobs a second, in total. rate: dispatches a second. lone: each controller considers only its own
    jobs. mix: request class of a job; skew: above 1, more jobs at the first proxies.
    """

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
        self.jobs: dict[int, SimulatedJob] = {}
        self.held: list[Held] = []
        self.went: list[Went] = []
        self.per_s, self.forwarders = per_s, forwarders
        self.rejections = self.again = 0  # again: second dispatches of a job by the same controller
        budgets = {"releases": Budget("releases", rate, floor, numbers, 1_000.0)}
        super().__init__(seed, numbers, voters, budgets, QUOTA, lambda t, n: [], static=False)
        if per_s:
            self.at(1_500.0, self.come)

    def core(
        self, n: int, others: tuple[int, ...], incarnation: int, clock_at_start: float, chance: Callable[[], float]
    ) -> Any:
        quota = super().core(n, others, incarnation, clock_at_start, chance)

        def clock() -> float:
            return clock_at_start + (self.now - start) * self.clock_rate_of(n)

        start = self.now
        self.waits[n] = Scheduler(
            others,
            incarnation,
            self.kinds,
            self.wait_terms,
            clock_at_start,
            lambda: self.right(n, quota),
            lambda k: quota.set_demand(clock(), "releases", k),
        )
        return quota

    def clock_rate_of(self, n: int) -> float:
        """Return the rate of a controller's clock."""
        p = self.processes.get(n)
        return p.rate if p else 1.0

    def right(self, n: int, quota: Any) -> bool:
        """Acquire the right to one dispatch."""
        p = self.processes[n]
        if quota.acquire(p.clock(self.now), "releases", 0):
            self.uses.append((self.now, self.now + 1_000.0, "releases", 0, 1))
            return True
        return False

    # ---- jobs and their proxies ----------------------------------------------------------------------------

    def come(self) -> None:
        """Submit a new job and schedule the next one."""
        number = len(self.jobs)
        forwarder = min(int(self.forwarders * self.drawn.random() ** self.skew), self.forwarders - 1)
        w = self.jobs[number] = SimulatedJob(number, self.mix(self.now, self.drawn), self.now, forwarder)
        self.hand(w)
        self.at(self.now + self.drawn.expovariate(self.per_s / 1000.0), self.come)

    def hand(self, w: SimulatedJob) -> None:
        """Submit a job to the proxy's controller: the first that runs, from the proxy's number on."""
        if w.done or w.at >= 0:
            return
        running = [n for k in range(self.numbers) if (n := (w.forwarder + k) % self.numbers) in self.processes]
        running = [n for n in running if not self.processes[n].stopped]
        if not running:
            self.at(self.now + LINK_LOSS_NOTICE_MS, lambda: self.hand(w))
            return
        n, p = running[0], self.processes[running[0]]
        w.at, w.begun = n, self.now
        job, _, _ = self.waits[n].admit(
            p.clock(self.now), p.members.alive_members(), w.forwarder, w.job, w.kind, self.now - w.came
        )
        if job is None:
            w.done, self.rejections = True, self.rejections + 1
            del self.jobs[w.job]

    def away(self, n: int) -> None:
        """Submit a lost controller's jobs elsewhere, once its proxies have detected the loss."""
        for w in self.jobs.values():
            if w.at == n and not w.done:
                self.held.append((w.job, n, w.begun, self.now))
                w.at = -1
                self.at(self.now + LINK_LOSS_NOTICE_MS, lambda w=w: self.hand(w))  # type: ignore[misc]

    def kill(self, n: int) -> None:
        super().kill(n)
        self.away(n)

    def stop(self, n: int) -> None:
        super().stop(n)
        p = self.processes[n]

        def on_silence() -> None:
            if self.processes.get(n) is p and p.stopped:
                self.away(n)
                self.waits[n].tickets.clear()  # on resuming, it first handles the end of its links
                self.waits[n].queue.__init__(self.kinds, self.wait_terms.retirement_boost)  # type: ignore[misc]

        self.at(self.now + 1_000.0, on_silence)

    # ---- controllers ---------------------------------------------------------------------------------------

    def work(self, n: int, p: Process) -> None:
        alive = [] if self.lone else p.members.alive_members()
        actions, messages = self.waits[n].tick(p.clock(self.now), alive)
        for a in actions:
            assert isinstance(a, Dispatch)
            self.gone(n, a)
        for s in messages:
            self.send(n, s.to, s.message)

    def gone(self, n: int, a: Dispatch) -> None:
        """Send a dispatched job, if its proxy is still linked to controller `n`."""
        w = self.jobs[a.job.ticket]
        if w.at != n or w.done:
            self.again += w.done and w.at == n
            return  # the link is closed: nobody receives it
        w.done = True
        self.held.append((w.job, n, w.begun, self.now))
        self.went.append((self.now, w.job, n, a.observed_peers))

    def take(self, n: int, p: Process, sender: int, message: Any) -> None:
        if isinstance(message, QueueSummary):
            self.waits[n].on_summary(p.clock(self.now), sender, message)
        else:
            super().take(n, p, sender, message)

    # ---- results -------------------------------------------------------------------------------------------

    def found(self, bound: float) -> dict[str, Any]:
        """Return the result of the audit."""
        still = [(w.job, w.at, w.begun, float("inf")) for w in self.jobs.values() if not w.done and w.at >= 0]
        kinds = [(k.priority, k.aging_interval_ms, k.max_wait_ms) for k in self.kinds]
        came = {w.job: (w.came, w.kind) for w in self.jobs.values()}
        in_transit = [w.job for w in self.jobs.values() if not w.done and w.at < 0]
        return judge(kinds, came, [*self.held, *still], self.went, bound, in_transit)


def bound_of(terms: SchedulingLimits, drift: float, oldest: float) -> float:
    """Return the ms by which a job may be dispatched out of order.

    Jobs elsewhere are known from messages up to `peer_timeout_ms` old, compared on two drifting clocks every 50 ms,
    with the configured slack.
    """
    return terms.peer_timeout_ms + terms.order_slack_ms + 100.0 + 2.0 * drift * oldest
