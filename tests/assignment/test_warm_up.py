"""Slices that are assigned to warming hosts, and slices that leave them."""

from __future__ import annotations

from corallanding import interface as api
from tests.assignment.support import (
    HOSTS,
    START_MS,
    Scenario,
    all_answered,
    equal_attempts,
    host_entry,
    settled_scenario,
    usage_reports,
)


def test_a_host_when_it_restarts_with_its_slices_then_it_keeps_what_it_can_serve() -> None:
    """The fleet needs its warming hosts, since 13 and 14 have restarted too."""
    scenario = settled_scenario()
    scenario.note(
        "12 to 14 die and are listed with a fresh start: they keep what cold ones can take, not what has grown"
    )
    scenario.step(*(api.SliceUsageReport(slice_id, 0, 30, 0, 1000.0) for slice_id in (1, 5)))
    scenario.list_hosts(*(host_entry(host_id, since=scenario.now_ms - 500) for host_id in (12, 13, 14)))
    scenario.note("13 drains: nobody but 11 has room for its slices")
    scenario.list_hosts(host_entry(13, "draining"))
    scenario.run(1, all_answered)
    scenario.check_trace("returning")


def test_a_warming_host_when_its_answers_are_late_then_its_slices_leave_at_once() -> None:
    """The fleet needs its warming hosts, since 12 and 13 are as young as 14."""
    scenario = Scenario()
    owners = {**{slice_id: 11 + slice_id % 3 for slice_id in range(8)}, 7: 14}
    young = [host_entry(host_id, since=START_MS - 8000) for host_id in (12, 13, 14)]
    scenario.start([*HOSTS[:1], *young], owners)
    scenario.run(3, all_answered)
    scenario.note("answers of 14 come too late: what it holds leaves without gate or hold")
    late_answers: list[api.Event] = [api.HostUsageReport(0, 14, 40, 30, 2000.0, 1000.0)]
    scenario.run(2, lambda: usage_reports(equal_attempts((11, 12, 13), 20)) + late_answers)
    scenario.check_trace("late_cold")


def test_fair_load_of_a_warming_host_when_five_controllers_round_it_then_the_sum_is_rounded_once() -> None:
    """Guards against idle new hosts: with five controllers, the fair load of a warming host is below one slice at each.

    Each controller owns one slice per host.
    """
    warm = [host_entry(host) for host in range(31, 39)]
    new = [host_entry(host, since=START_MS + 2_000.0) for host in range(51, 59)]
    scenarios = [Scenario(controller_count=5, controller_index=index, slice_count=40) for index in range(5)]
    assigned = equal_attempts([entry.host for entry in new], 0)
    for scenario in scenarios:
        scenario.start(warm, {slice_id: 31 + slice_id for slice_id in range(8)})
        scenario.run(3, lambda: usage_reports(equal_attempts(range(31, 39), 20)))
        scenario.list_hosts(*new)
        scenario.run(1.5, lambda: usage_reports(equal_attempts(range(31, 39), 20)))
        scenario.lines = []
        scenario.list_hosts(*(host_entry(host, "draining") for host in range(31, 36)))
        for slice_ in scenario.assigner.slices.values():
            if slice_.owner and slice_.owner.id in assigned:
                assigned[slice_.owner.id] += 1
    first_scenario = scenarios[0]
    hosts = first_scenario.assigner.hosts
    fair_slices = hosts[51].capacity / sum(host.capacity for host in hosts.values()) * 40
    first_scenario.lines = []
    first_scenario.note(
        f"five of eight servers drain at five stewards of 8 slices each; a new one's part is {fair_slices:.1f} of 40"
    )
    first_scenario.note("they are given " + " ".join(f"{host}:{count}" for host, count in assigned.items()))
    first_scenario.check_trace("five_stewards")


def test_a_shared_slice_when_it_has_no_report_yet_then_it_stays_shared() -> None:
    scenario = settled_scenario()
    scenario.list_hosts(host_entry(15, since=scenario.now_ms), host_entry(16, since=scenario.now_ms))
    scenario.run(9, all_answered)
    scenario.lines = []
    scenario.note(
        "slices 2 and 6 come from another steward that restarts, 2 with the lines of one in demand; 13 drains"
    )
    weights = [api.StoredWeight(slice_id, host, 1.0) for slice_id, host in ((2, 13), (2, 11), (2, 12), (6, 13))]
    changes = [api.SliceOwnershipChange(slice_id, is_owned) for is_owned in (False, True) for slice_id in (2, 6)]
    scenario.step(*changes, *weights)
    scenario.list_hosts(host_entry(13, "draining"))
    scenario.run(2)
    shared = scenario.assigner.slices[2]
    assert len(shared.weights) == 2
    assert not shared.rate_by_class
    scenario.check_trace("unheard_of")
