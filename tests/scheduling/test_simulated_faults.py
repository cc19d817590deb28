"""Queued jobs under faults, checked by an audit that shares no code with the scheduler."""

from __future__ import annotations

from dataclasses import replace

import pytest

from corallanding.lab.order import judge
from corallanding.lab.stewards.waits import TERMS, WaitWorld
from corallanding.lab.uses import most
from corallanding.scheduling.actions import Dispatch
from corallanding.scheduling.core import Scheduler
from corallanding.scheduling.limits import JobClass, SchedulingLimits
from tests.scheduling.support import ORDER_BOUND_MS, run_simulation


@pytest.mark.parametrize("seeds", [range(first, first + 6) for first in range(0, 24, 6)])
def test_jobs_when_all_faults_occur_then_are_dispatched_once_and_in_one_order(seeds: range) -> None:
    dispatched = 0
    for seed in seeds:
        world = run_simulation(seed)
        audit = world.found(ORDER_BOUND_MS)
        assert (audit["doubled"], audit["lost"], audit["inversions_over_bound"]) == (0, 0, 0), (seed, audit)
        assert most(world.uses, {"releases": 20})[0]["over_ms"] == 0, seed
        assert world.again == 0, seed
        dispatched += audit["released"]
    assert dispatched > 1_200


def test_order_when_controllers_share_summaries_then_is_kept_and_without_them_is_not() -> None:
    audits = []
    for is_isolated in (False, True):
        world = WaitWorld(2, 5, 5, per_s=30, skew=3.0, lone=is_isolated)
        world.run(20_000.0)
        # Audited against the jobs of all controllers, whether they were taken into account or not.
        dispatches = [(at_ms, job, controller, [0, 1, 2, 3, 4]) for at_ms, job, controller, _ in world.went]
        queued = [(job.job, job.at, job.begun, float("inf")) for job in world.jobs.values() if not job.done]
        classes = [(kind.priority, kind.aging_interval_ms, kind.max_wait_ms) for kind in world.kinds]
        arrivals = {job.job: (job.came, job.kind) for job in world.jobs.values()}
        audits.append(judge(classes, arrivals, [*world.held, *queued], dispatches, ORDER_BOUND_MS))
    assert audits[0]["inversions_over_bound"] == 0, audits[0]
    assert audits[0]["worst_inversion_ms"] < 1_000.0, audits[0]
    assert audits[1]["inversions_over_bound"] > 50, audits[1]


def test_low_priority_when_flooded_by_high_then_waits_no_longer_than_its_limit() -> None:
    """Under a flood of jobs of high priority, the others overtake them by aging, or are overdue and go first."""
    job_classes = (JobClass("claim", 50.0, 2_000.0, 60_000.0), JobClass("rank", 0.0, 1_000.0, 8_000.0))
    world = WaitWorld(
        4,
        3,
        3,
        per_s=22,
        rate=20,
        terms=replace(TERMS, dispatches_per_second=20.0),
        kinds=job_classes,
        mix=lambda now_ms, rng: int(rng.random() < 0.1),
    )
    world.run(40_000.0)
    waited_ms = [at_ms - world.jobs[job].came for at_ms, job, _, _ in world.went if world.jobs[job].kind == 1]
    assert len(waited_ms) > 40
    assert max(waited_ms) < 8_000.0 + ORDER_BOUND_MS


def test_peer_when_without_permits_then_delays_others_for_blocked_ms_only() -> None:
    """All old jobs wait at a controller without permits: the other one dispatches its own after `blocked_ms`."""
    limits = SchedulingLimits(
        announce_interval_ms=100.0,
        peer_timeout_ms=600.0,
        order_slack_ms=100.0,
        blocked_ms=400.0,
        dispatches_per_second=10.0,
    )
    job_classes = (JobClass("rank", 0.0, 1_000.0, 60_000.0),)
    starved = Scheduler((2,), 1, job_classes, limits, 0.0, lambda: False, lambda count: None)
    other = Scheduler((1,), 2, job_classes, limits, 0.0, lambda: True, lambda count: None)
    starved.admit(0.0, [], 1, 1, 0, 5_000.0)
    other.admit(0.0, [], 1, 1, 0, 0.0)
    dispatched_at_ms = None
    for now_ms in range(0, 2_000, 50):
        for scheduler, peer, number in ((starved, other, 1), (other, starved, 2)):
            actions, messages = scheduler.tick(float(now_ms), [3 - number])
            for message in messages:
                peer.on_summary(float(now_ms), number, message.message)
            dispatched_at_ms = dispatched_at_ms or next(
                (now_ms for action in actions if isinstance(action, Dispatch)), None
            )
    assert dispatched_at_ms is not None
    assert 400 <= dispatched_at_ms <= 700
