"""Which hosts slices get first, and after a restart."""

from __future__ import annotations

from corallanding import interface as api
from tests.assignment.support import EVEN, HOSTS, Scenario, all_answer


def test_slices_when_none_has_an_owner_then_each_goes_to_its_top_scorer() -> None:
    scenario = Scenario()
    scenario.note("no slice has a line: each goes to its top scorer at once")
    scenario.start(HOSTS)
    scenario.run(2, all_answer)
    scenario.check_trace("first_placement")


def test_stored_owners_when_a_slice_has_two_hosts_then_the_heavier_one_stays() -> None:
    scenario = Scenario()
    scenario.note("owners on record are kept; slice 1 was left with two lines by a move, the lighter one goes")
    scenario.start(HOSTS, EVEN)
    scenario.run(1, all_answer)
    scenario.note("given anew with two lines")
    scenario.step(api.SliceOwnershipChange(1, False))
    scenario.step(api.SliceOwnershipChange(1, True), api.StoredWeight(1, 11, 1.0), api.StoredWeight(1, 12, 0.5))
    scenario.run(3, all_answer)
    scenario.check_trace("restart_from_store")
