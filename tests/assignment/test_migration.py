"""Moves with gate and hold, and moves to new hosts."""

from __future__ import annotations

from tests.assignment.support import HOSTS, Scenario, equal_attempts, host_entry, usage_reports


def test_a_move_when_the_owner_is_usable_then_it_is_gated_and_held_until_acked() -> None:
    scenario = Scenario()
    scenario.start(HOSTS[:3], {s: 11 + s % 3 for s in range(8)})
    scenario.run(3, lambda: usage_reports(equal_attempts((11, 12, 13), 20)))
    scenario.note("14 comes, warm; 11 is crowded: unheard 14 is probed, passes in a window; old lines go on acks")
    scenario.list_hosts(host_entry(14))
    scenario.run(5, lambda: usage_reports({11: 20, 12: 20, 13: 20}, {11: 60}))
    scenario.note("no acks now: the old owner of the next move is held for 5 s")
    scenario.run(9, lambda: usage_reports({11: 20, 12: 20, 13: 20, 14: 20}, {12: 60}), acks=False)
    scenario.check_trace("move")


def test_new_hosts_when_an_owner_is_far_over_its_fair_load_then_they_take_slices_from_it() -> None:
    scenario = Scenario()
    scenario.start(HOSTS[:2], {s: 11 if s < 6 else 12 for s in range(8)})
    scenario.run(3, lambda: usage_reports({11: 60, 12: 20}))
    scenario.note("13 and 14 come; 11 holds over 1.5 parts and is calm: they win slices off it by plain rendezvous")
    scenario.list_hosts(host_entry(13), host_entry(14))
    scenario.run(4, lambda: usage_reports({11: 60, 12: 20, 13: 20, 14: 20}))
    scenario.check_trace("growth")
