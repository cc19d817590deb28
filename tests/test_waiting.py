"""Waiting work goes in one order, whichever steward has it: faulty worlds judged by an audit that shares no code,
mistakes planted in the code, and what is decided of one job."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from corallanding.lab.order import judge
from corallanding.lab.stewards.waits import QUOTA, TERMS, WaitWorld, bound_of
from corallanding.lab.stewards.world import troubled
from corallanding.lab.uses import most
from corallanding.scheduling.actions import Dispatch
from corallanding.scheduling.core import Scheduler
from corallanding.scheduling.limits import JobClass, SchedulingLimits
from corallanding.scheduling.peer_queues import PeerQueues
from corallanding.scheduling.queue import JobQueue

BOUND = bound_of(TERMS, QUOTA.drift, 15_000.0)


def played(seed: int, until: float = 30_000.0, **more: Any) -> WaitWorld:
    w = WaitWorld(seed, 5, 5, per_s=16, skew=1 + seed % 3, **more)
    troubled(w, until - 10_000.0, 3_000.0)
    w.run(until)
    return w


@pytest.mark.parametrize("seeds", [range(k, k + 6) for k in range(0, 24, 6)])
def test_faulty_worlds_keep_one_order_and_let_each_job_go_once(seeds: range) -> None:
    released = 0
    for seed in seeds:
        w = played(seed)
        found = w.found(BOUND)
        assert (found["doubled"], found["lost"], found["inversions_over_bound"]) == (0, 0, 0), (seed, found)
        assert most(w.uses, {"releases": 20})[0]["over_ms"] == 0 and w.again == 0, seed
        released += found["released"]
    assert released > 1_200


def test_a_calm_fleet_keeps_a_tight_order_that_lone_stewards_do_not() -> None:
    both = []
    for lone in (False, True):
        w = WaitWorld(2, 5, 5, per_s=30, skew=3.0, lone=lone)
        w.run(20_000.0)
        # By what all have, whether they looked at it or not.
        went = [(at, job, n, [0, 1, 2, 3, 4]) for at, job, n, _ in w.went]
        still = [(j.job, j.at, j.begun, float("inf")) for j in w.jobs.values() if not j.done]
        kinds = [(k.priority, k.aging_interval_ms, k.max_wait_ms) for k in w.kinds]
        came = {j.job: (j.came, j.kind) for j in w.jobs.values()}
        both.append(judge(kinds, came, [*w.held, *still], went, BOUND))
    assert both[0]["inversions_over_bound"] == 0 and both[0]["worst_inversion_ms"] < 1_000.0, both[0]
    assert both[1]["inversions_over_bound"] > 50, both[1]


def test_an_hour_of_high_priority_does_not_keep_the_low_for_longer_than_is_stated() -> None:
    """A flood of high priority, shortened: the low ones rise past it, or are over their time and go first."""
    kinds = (JobClass("claim", 50.0, 2_000.0, 60_000.0), JobClass("rank", 0.0, 1_000.0, 8_000.0))
    w = WaitWorld(
        4,
        3,
        3,
        per_s=22,
        rate=20,
        terms=replace(TERMS, dispatches_per_second=20.0),
        kinds=kinds,
        mix=lambda t, c: int(c.random() < 0.1),
    )
    w.run(40_000.0)
    waited = [at - w.jobs[job].came for at, job, _, _ in w.went if w.jobs[job].kind == 1]
    assert len(waited) > 40
    assert max(waited) < 8_000.0 + BOUND


def test_one_whose_rights_do_not_come_holds_the_others_up_for_a_stated_time_only() -> None:
    """Two stewards, all the old work at one that cannot release: the other goes on with its own after `hold`."""
    terms = SchedulingLimits(
        announce_interval_ms=100.0,
        peer_timeout_ms=600.0,
        order_slack_ms=100.0,
        blocked_ms=400.0,
        dispatches_per_second=10.0,
    )
    kinds = (JobClass("rank", 0.0, 1_000.0, 60_000.0),)
    a = Scheduler((2,), 1, kinds, terms, 0.0, lambda: False, lambda n: None)
    b = Scheduler((1,), 2, kinds, terms, 0.0, lambda: True, lambda n: None)
    a.admit(0.0, [], 1, 1, 0, 5_000.0)
    b.admit(0.0, [], 1, 1, 0, 0.0)
    gone = None
    for now in range(0, 2_000, 50):
        for here, there, me in ((a, b, 1), (b, a, 2)):
            actions, words = here.tick(float(now), [3 - me])
            for s in words:
                there.on_summary(float(now), me, s.word)
            gone = gone or next((now for x in actions if isinstance(x, Dispatch)), None)
    assert gone is not None
    assert 400 <= gone <= 700


# ---- mistakes that must be found ---------------------------------------------------------------------------


def ages_not_carried(patch: Any) -> None:
    real = Scheduler.admit
    patch.setattr(
        Scheduler,
        "admit",
        lambda self, now, alive, f, t, kind, waited, key=0, set=0: real(self, now, alive, f, t, kind, 0.0, key, set),
    )


def heads_do_not_age(patch: Any) -> None:
    real = PeerQueues.effective_priority
    patch.setattr(
        PeerQueues,
        "effective_priority",
        lambda self, now, other, row: real(self, other.received_at_ms, other, row) - 1.5,
    )


MISTAKES: dict[str, Callable[[Any], None]] = {
    "nobody else is looked at": lambda p: p.setattr(PeerQueues, "watermark", lambda self, now, alive: float("-inf")),
    "no age is carried along": ages_not_carried,
    "priority without patience": lambda p: p.setattr(
        JobClass, "effective_priority", lambda self, waited, rise=0.0: self.priority
    ),
    "the youngest first": lambda p: p.setattr(
        JobQueue, "highest", lambda self, now: min(self.oldest_by_group(now), key=lambda row: row[0], default=None)
    ),
    "released and kept": lambda p: p.setattr(
        Scheduler, "dispatch", lambda self, now, job, standing, counted: Dispatch(job, standing, counted)
    ),
    "patience is not compared": lambda p: p.setattr(
        JobClass, "effective_priority", lambda self, waited, rise=0.0: self.priority + waited / 1_000.0
    ),
    "a slack of seconds": lambda p: p.setattr(
        Scheduler,
        "dispatch_ready",
        lambda self, now, alive, real=Scheduler.dispatch_ready: real(slackened(self), now, alive),
    ),
    "what others have is taken for younger": heads_do_not_age,
    "jobs of a link that is gone are forgotten": lambda p: p.setattr(WaitWorld, "hand", lost_when_moved),
    "rights are not asked for": lambda p: p.setattr(
        Scheduler,
        "dispatch_ready",
        lambda self, now, alive, real=Scheduler.dispatch_ready: unpaid(self, now, alive, real),
    ),
}


def lost_when_moved(self: WaitWorld, w: Any, real: Any = WaitWorld.hand) -> None:
    if w.begun and w.at < 0:
        w.done = True
    else:
        real(self, w)


def slackened(self: Scheduler) -> Scheduler:
    self.order_slack = 9.0
    return self


def unpaid(self: Scheduler, now: float, alive: list[int], real: Any) -> Any:
    right, self.take_permit = self.take_permit, lambda: True
    try:
        return real(self, now, alive)
    finally:
        self.take_permit = right


@pytest.mark.parametrize("name", MISTAKES)
def test_a_planted_mistake_is_found(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    MISTAKES[name](monkeypatch)
    for seed in range(6):
        w = played(seed)
        found = w.found(BOUND)
        fault = found["doubled"] or found["lost"] or found["inversions_over_bound"]
        paid = len(w.uses) < len(w.went)
        if fault or paid or w.again or most(w.uses, {"releases": 20})[0]["over_ms"]:
            return
    pytest.fail(f"{name}: not found")
