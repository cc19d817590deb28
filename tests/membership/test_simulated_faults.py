"""Membership under faults: members are found, missed, found again."""

from __future__ import annotations

import pytest

from corallanding.lab.stewards.world import Way
from corallanding.membership import (
    MemberState,
)
from tests.membership.support import until, views, world


@pytest.mark.parametrize("numbers", [2, 5, 40])
def test_member_when_it_dies_then_is_missed_and_found_again(numbers: int) -> None:
    w = world(numbers, numbers)
    everyone = list(range(numbers))
    until(w, lambda v: all(x == everyone for x in v.values()), 20_000.0)
    w.kill(1)
    rest = [n for n in everyone if n != 1]
    until(w, lambda v: all(x == rest for x in v.values()), 30_000.0)
    w.start(1)
    until(w, lambda v: all(x == everyone for x in v.values()), 20_000.0)
    assert not any(p.members.view.duplicates_seen > 3 for p in w.processes.values()), "a restart is no twin"


def test_members_when_a_third_of_datagrams_is_lost_then_none_is_dead() -> None:
    w = world(1, 7)
    w.run(5_000.0)
    w.usual = Way(loss=0.3)
    w.run(65_000.0)
    dead = [row for row in w.seen if row[3] == MemberState.DEAD]
    assert not dead, dead


def test_member_when_it_was_paused_then_takes_no_other_for_dead() -> None:
    w = world(2, 5)
    w.run(5_000.0)
    w.stop(0)
    w.run(35_000.0)
    assert all(0 not in v for n, v in views(w).items() if n), "the others did without it"
    at = w.now
    w.wake(0)
    until(w, lambda v: all(len(x) == 5 for x in v.values()), 15_000.0)
    assert not [row for row in w.seen if row[0] >= at and row[1] == 0 and row[3] == MemberState.DEAD]


def test_cluster_when_a_cut_heals_then_is_whole_again() -> None:
    w = world(3, 6)
    w.run(5_000.0)
    w.part({0, 1})
    until(w, lambda v: v[0] == [0, 1] and v[5] == [2, 3, 4, 5], 30_000.0)
    w.heal()
    until(w, lambda v: all(len(x) == 6 for x in v.values()), 30_000.0)
    for n in range(1, 6):  # nothing from 0 reaches the rest, but it hears all
        w.ways[0, n] = Way(cut=True)
    until(w, lambda v: all(0 not in x for n, x in v.items() if n), 30_000.0)
    w.heal()
    until(w, lambda v: all(len(x) == 6 for x in v.values()), 30_000.0)


def test_member_when_it_leaves_as_planned_then_all_know_at_once() -> None:
    w = world(4, 9)
    w.run(8_000.0)
    p = w.processes[3]
    w.act(3, p.members.leave())
    w.kill(3)
    took = until(w, lambda v: all(3 not in x for x in v.values()), 5_000.0)
    assert took < 2_500.0
    assert {row[3] for row in w.seen if row[2] == 3 and row[0] > 8_000.0} == {MemberState.LEFT}


def test_simulation_when_seeds_are_equal_then_messages_are_equal() -> None:
    assert world(5, 5).seen == world(5, 5).seen
    a, b = world(6, 5), world(6, 5)
    a.run(9_000.0)
    b.run(9_000.0)
    assert a.seen == b.seen
    assert a.sent == b.sent
