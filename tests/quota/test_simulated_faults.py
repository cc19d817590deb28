"""What is in use of a budget at any instant, in simulated worlds with faults."""

from __future__ import annotations

import pytest

from corallanding.lab.stewards.world import World
from corallanding.lab.uses import most
from corallanding.quota import Budget
from tests.quota.support import BUDGET, CAPACITIES, LIMITS, play_world

FIVE_CONTROLLERS = Budget("moves", 7, 0, 5, 300.0)


@pytest.mark.parametrize("first", range(0, 40, 10))
def test_use_when_anything_fails_then_no_instant_exceeds_the_capacity(first: int) -> None:
    reached = dict.fromkeys(CAPACITIES, 0)
    for seed in range(first, first + 10):
        world = play_world(seed)
        for row in most(world.uses, CAPACITIES):
            assert row["over_ms"] == 0, (seed, row)
            reached[row["name"]] = max(reached[row["name"]], row["most"])
    assert reached == CAPACITIES, "the whole capacity is of use, not a floor alone"


def test_capacity_when_made_smaller_than_what_is_in_use_then_it_is_kept_once_that_has_ended() -> None:
    world = World(3, 3, 3, {"moves": Budget("moves", 9, 0, 3, 300.0)}, LIMITS, lambda t, n: [("moves", 0)] * 3)
    world.run(5_000.0)
    for process in world.processes.values():
        process.quota.resize({"moves": 4})
    world.run(10_000.0)
    expired_at = 5_000.0 + 2 * (LIMITS.grant_lifetime_ms(BUDGET) + 300.0)
    late = [use for use in world.uses if use[0] > expired_at]
    assert most(world.uses, {"moves": 9})[0]["most"] == 9
    assert most(late, {"moves": 4})[0]["most"] == 4
    assert most(world.uses, {"moves": 9})[0]["over_ms"] == 0


def test_capacity_when_its_controllers_die_then_it_is_used_again_within_the_stated_time() -> None:
    """The allocator itself and another of five die: theirs is in use by the rest within lease, hold and election."""
    world = World(5, 5, 5, {"moves": FIVE_CONTROLLERS}, LIMITS, lambda t, n: [("moves", 0)] * 3)
    world.run(6_000.0)
    allocator = next(n for n, p in world.processes.items() if p.quota.is_allocating(p.clock(world.now)))
    world.kill(allocator)
    world.kill((allocator + 1) % 5)
    world.run(12_000.0)
    bound = LIMITS.expiry_ms(LIMITS.grant_lifetime_ms(FIVE_CONTROLLERS)) * 2 + LIMITS.vote_lease_ms * 3
    after = [use for use in world.uses if use[0] > 6_000.0 + bound]
    row = most(after, {"moves": 7})[0]
    assert row["most"] == 7
    assert row["used_share"] > 0.8
    assert most(world.uses, {"moves": 7})[0]["over_ms"] == 0
