"""Simulated faults: crashes, pauses, datagram loss and partitions change the views of the members as expected."""

from __future__ import annotations

import pytest

from corallanding.lab.stewards.world import Way
from corallanding.membership import (
    MemberState,
)
from tests.membership.support import alive_views, make_world, run_until


@pytest.mark.parametrize("numbers", [2, 5, 40])
def test_member_when_killed_and_restarted_then_is_removed_and_added_again(numbers: int) -> None:
    world = make_world(numbers, numbers)
    everyone = list(range(numbers))
    run_until(world, lambda views: all(alive == everyone for alive in views.values()), 20_000.0)
    world.kill(1)
    remaining = [number for number in everyone if number != 1]
    run_until(world, lambda views: all(alive == remaining for alive in views.values()), 30_000.0)
    world.start(1)
    run_until(world, lambda views: all(alive == everyone for alive in views.values()), 20_000.0)
    assert not any(process.members.view.duplicates_seen > 3 for process in world.processes.values()), (
        "a restarted process is not a duplicate"
    )


def test_members_when_a_third_of_datagrams_is_lost_then_none_is_dead() -> None:
    world = make_world(1, 7)
    world.run(5_000.0)
    world.usual = Way(loss=0.3)
    world.run(65_000.0)
    dead = [row for row in world.seen if row[3] == MemberState.DEAD]
    assert not dead, dead


def test_member_when_resumed_after_a_pause_then_declares_no_other_dead() -> None:
    world = make_world(2, 5)
    world.run(5_000.0)
    world.stop(0)
    world.run(35_000.0)
    assert all(0 not in alive for number, alive in alive_views(world).items() if number), "the others removed it"
    resumed_at_ms = world.now
    world.wake(0)
    run_until(world, lambda views: all(len(alive) == 5 for alive in views.values()), 15_000.0)
    assert not [row for row in world.seen if row[0] >= resumed_at_ms and row[1] == 0 and row[3] == MemberState.DEAD]


def test_cluster_when_a_partition_heals_then_all_members_are_alive() -> None:
    world = make_world(3, 6)
    world.run(5_000.0)
    world.part({0, 1})
    run_until(world, lambda views: views[0] == [0, 1] and views[5] == [2, 3, 4, 5], 30_000.0)
    world.heal()
    run_until(world, lambda views: all(len(alive) == 6 for alive in views.values()), 30_000.0)
    for number in range(1, 6):  # a one-way partition: 0 receives messages of the others, but they receive none of its
        world.ways[0, number] = Way(cut=True)
    run_until(world, lambda views: all(0 not in alive for number, alive in views.items() if number), 30_000.0)
    world.heal()
    run_until(world, lambda views: all(len(alive) == 6 for alive in views.values()), 30_000.0)


def test_member_when_it_leaves_as_planned_then_is_removed_within_seconds() -> None:
    world = make_world(4, 9)
    world.run(8_000.0)
    process = world.processes[3]
    world.act(3, process.members.leave())
    world.kill(3)
    elapsed_ms = run_until(world, lambda views: all(3 not in alive for alive in views.values()), 5_000.0)
    assert elapsed_ms < 2_500.0
    assert {row[3] for row in world.seen if row[2] == 3 and row[0] > 8_000.0} == {MemberState.LEFT}


def test_simulation_when_seeds_are_equal_then_messages_are_equal() -> None:
    assert make_world(5, 5).seen == make_world(5, 5).seen
    first, second = make_world(6, 5), make_world(6, 5)
    first.run(9_000.0)
    second.run(9_000.0)
    assert first.seen == second.seen
    assert first.sent == second.sent
