"""Placement of slices without an owner, and of slices with stored owners after a restart."""

from __future__ import annotations

from corallanding import interface as api
from tests.assignment.support import EVEN_OWNERS, HOSTS, Scenario, all_answered


def test_slices_when_none_has_an_owner_then_each_is_assigned_to_its_highest_score() -> None:
    scenario = Scenario()
    scenario.note("no slice has a line: each goes to its top scorer at once")
    scenario.start(HOSTS)
    scenario.run(2, all_answered)
    scenario.check_trace("first_placement")


def test_stored_owners_when_a_slice_has_two_hosts_then_the_one_with_more_weight_stays() -> None:
    scenario = Scenario()
    scenario.note("owners on record are kept; slice 1 was left with two lines by a move, the lighter one goes")
    scenario.start(HOSTS, EVEN_OWNERS)
    scenario.run(1, all_answered)
    scenario.note("given anew with two lines")
    scenario.step(api.SliceOwnershipChange(1, False))
    scenario.step(api.SliceOwnershipChange(1, True), api.StoredWeight(1, 11, 1.0), api.StoredWeight(1, 12, 0.5))
    scenario.run(3, all_answered)
    scenario.check_trace("restart_from_store")
