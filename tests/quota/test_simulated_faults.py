"""The use of a budget at any instant, in simulations with faults."""

from __future__ import annotations

import pytest

from corallanding.lab.stewards.world import World
from corallanding.lab.uses import most
from corallanding.quota import Budget
from tests.quota.support import BUDGET, CAPACITIES, LIMITS, run_simulation

FIVE_CONTROLLERS = Budget("moves", 7, 0, 5, 300.0)


@pytest.mark.parametrize("first", range(0, 40, 10))
def test_use_when_random_faults_occur_then_the_capacity_is_never_exceeded(first: int) -> None:
    reached = dict.fromkeys(CAPACITIES, 0)
    for seed in range(first, first + 10):
        world = run_simulation(seed)
        for row in most(world.uses, CAPACITIES):
            assert row["over_ms"] == 0, (seed, row)
            reached[row["name"]] = max(reached[row["name"]], row["most"])
    assert reached == CAPACITIES, "the whole capacity gets used, not only the floors"


def test_capacity_when_reduced_below_current_use_then_it_is_kept_once_that_use_has_ended() -> None:
    world = World(
        3, 3, 3, {"moves": Budget("moves", 9, 0, 3, 300.0)}, LIMITS, lambda now_ms, controller: [("moves", 0)] * 3
    )
    world.run(5_000.0)
    for process in world.processes.values():
        process.quota.resize({"moves": 4})
    world.run(10_000.0)
    expired_at_ms = 5_000.0 + 2 * (LIMITS.grant_lifetime_ms(BUDGET) + 300.0)
    late = [use for use in world.uses if use[0] > expired_at_ms]
    assert most(world.uses, {"moves": 9})[0]["most"] == 9
    assert most(late, {"moves": 4})[0]["most"] == 4
    assert most(world.uses, {"moves": 9})[0]["over_ms"] == 0


def test_capacity_when_its_controllers_exit_then_others_use_it_within_the_stated_time() -> None:
    """The allocator and another of five controllers exit: others use their capacity after lease, hold and election."""
    world = World(5, 5, 5, {"moves": FIVE_CONTROLLERS}, LIMITS, lambda now_ms, controller: [("moves", 0)] * 3)
    world.run(6_000.0)
    allocator = next(
        number for number, process in world.processes.items() if process.quota.is_allocating(process.clock(world.now))
    )
    world.kill(allocator)
    world.kill((allocator + 1) % 5)
    world.run(12_000.0)
    bound_ms = LIMITS.expiry_ms(LIMITS.grant_lifetime_ms(FIVE_CONTROLLERS)) * 2 + LIMITS.vote_lease_ms * 3
    after = [use for use in world.uses if use[0] > 6_000.0 + bound_ms]
    row = most(after, {"moves": 7})[0]
    assert row["most"] == 7
    assert row["used_share"] > 0.8
    assert most(world.uses, {"moves": 7})[0]["over_ms"] == 0
