"""Waiting jobs under faults: judged by an audit that shares no code with the scheduler."""

from __future__ import annotations

from dataclasses import replace

import pytest

from corallanding.lab.order import judge
from corallanding.lab.stewards.waits import TERMS, WaitWorld
from corallanding.lab.uses import most
from corallanding.scheduling.actions import Dispatch
from corallanding.scheduling.core import Scheduler
from corallanding.scheduling.limits import JobClass, SchedulingLimits
from tests.scheduling.support import BOUND, play_world


@pytest.mark.parametrize("seeds", [range(k, k + 6) for k in range(0, 24, 6)])
def test_jobs_when_all_faults_strike_then_go_once_and_in_one_order(seeds: range) -> None:
    released = 0
    for seed in seeds:
        world = play_world(seed)
        found = world.found(BOUND)
        assert (found["doubled"], found["lost"], found["inversions_over_bound"]) == (0, 0, 0), (seed, found)
        assert most(world.uses, {"releases": 20})[0]["over_ms"] == 0, seed
        assert world.again == 0, seed
        released += found["released"]
    assert released > 1_200


def test_order_when_controllers_share_summaries_then_is_tight_and_without_them_is_not() -> None:
    both = []
    for lone in (False, True):
        world = WaitWorld(2, 5, 5, per_s=30, skew=3.0, lone=lone)
        world.run(20_000.0)
        # Judged by what all controllers have, whether they took it into account or not.
        went = [(at, job, n, [0, 1, 2, 3, 4]) for at, job, n, _ in world.went]
        still = [(j.job, j.at, j.begun, float("inf")) for j in world.jobs.values() if not j.done]
        kinds = [(k.priority, k.aging_interval_ms, k.max_wait_ms) for k in world.kinds]
        came = {j.job: (j.came, j.kind) for j in world.jobs.values()}
        both.append(judge(kinds, came, [*world.held, *still], went, BOUND))
    assert both[0]["inversions_over_bound"] == 0, both[0]
    assert both[0]["worst_inversion_ms"] < 1_000.0, both[0]
    assert both[1]["inversions_over_bound"] > 50, both[1]


def test_low_priority_when_flooded_by_high_then_waits_no_longer_than_its_limit() -> None:
    """A flood of high priority, shortened: jobs of low priority age past it, or are overdue and go first."""
    kinds = (JobClass("claim", 50.0, 2_000.0, 60_000.0), JobClass("rank", 0.0, 1_000.0, 8_000.0))
    world = WaitWorld(
        4,
        3,
        3,
        per_s=22,
        rate=20,
        terms=replace(TERMS, dispatches_per_second=20.0),
        kinds=kinds,
        mix=lambda t, chance: int(chance.random() < 0.1),
    )
    world.run(40_000.0)
    waited = [at - world.jobs[job].came for at, job, _, _ in world.went if world.jobs[job].kind == 1]
    assert len(waited) > 40
    assert max(waited) < 8_000.0 + BOUND


def test_peer_when_starved_of_permits_then_holds_up_others_for_blocked_ms_only() -> None:
    """All old jobs wait at a controller without permits: the other one goes on with its own after `blocked_ms`."""
    terms = SchedulingLimits(
        announce_interval_ms=100.0,
        peer_timeout_ms=600.0,
        order_slack_ms=100.0,
        blocked_ms=400.0,
        dispatches_per_second=10.0,
    )
    kinds = (JobClass("rank", 0.0, 1_000.0, 60_000.0),)
    starved = Scheduler((2,), 1, kinds, terms, 0.0, lambda: False, lambda n: None)
    other = Scheduler((1,), 2, kinds, terms, 0.0, lambda: True, lambda n: None)
    starved.admit(0.0, [], 1, 1, 0, 5_000.0)
    other.admit(0.0, [], 1, 1, 0, 0.0)
    gone = None
    for now in range(0, 2_000, 50):
        for here, there, me in ((starved, other, 1), (other, starved, 2)):
            actions, messages = here.tick(float(now), [3 - me])
            for message in messages:
                there.on_summary(float(now), me, message.message)
            gone = gone or next((now for x in actions if isinstance(x, Dispatch)), None)
    assert gone is not None
    assert 400 <= gone <= 700
