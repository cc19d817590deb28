"""Demand, base latency, capacity and peak load, from which fair loads are estimated."""

from __future__ import annotations

import math

from corallanding import interface as api
from tests.assignment.support import (
    EVEN_OWNERS,
    HOSTS,
    Scenario,
    all_answered,
    equal_attempts,
    host_entry,
    settled_scenario,
    usage_reports,
)


def test_demand_when_requests_go_unanswered_then_half_of_them_count_as_retries() -> None:
    scenario = settled_scenario()
    scenario.note("half of what went unanswered is clients' repeats: slice 2 weighs as before, no move for its load")
    unanswered: list[api.Event] = [api.SliceUsageReport(2, 0, 20, 20, 1000.0)]
    scenario.run(4, lambda: usage_reports(equal_attempts((11, 12, 13, 14), 20)) + unanswered)
    scenario.note(f"slice 2 counts as {scenario.assigner.slices[2].requests_per_second:.1f} a second")
    scenario.check_trace("repeats")


def test_base_latency_when_one_answer_is_fast_then_it_hardly_changes() -> None:
    scenario = settled_scenario()
    scenario.step(api.HostUsageReport(0, 14, 1, 0, 20.0, 1000.0))
    speeds = [round(scenario.assigner.hosts[host].base_latency_ms) for host in (13, 14)]
    scenario.note(f"after one quick answer of 14, servers 13 and 14 count as answering in {speeds} ms")
    scenario.check_trace("one_answer")


def test_capacity_when_a_host_is_slow_then_its_speed_is_averaged_with_its_kind() -> None:
    scenario = settled_scenario()
    slow = scenario.assigner.hosts[14]
    typical = scenario.assigner.hosts[13]
    slow.base_latency_ms = 4 * typical.base_latency_ms
    capacity_of = scenario.assigner.load_estimator.capacity_of
    ratio = capacity_of(slow) / capacity_of(typical)
    scenario.note(f"14 was seen four times as slow as its kind: its part is {ratio:.2f} of the others'")
    scenario.check_trace("half_way")


def test_demand_when_it_more_than_doubles_then_it_counts_at_once() -> None:
    scenario = settled_scenario()
    rates = []
    for count in (10, 9, 40, 30):
        scenario.step(api.SliceUsageReport(2, 0, count, 0, 1000.0))
        rates.append(round(scenario.assigner.slices[2].requests_per_second, 1))
    scenario.note(f"10, 9, 40 and 30 invocations of slice 2 a second count as {rates}")
    scenario.check_trace("burst")


def test_the_peak_when_slices_are_taken_over_then_it_is_that_of_the_whole_site() -> None:
    scenario = Scenario(slice_count=16)
    scenario.start(HOSTS, EVEN_OWNERS)
    scenario.run(20, all_answered)
    scenario.list_hosts(host_entry(15, since=scenario.now_ms))
    scenario.step()
    scenario.run(2, all_answered)
    before = fair_share(scenario, 15)
    ownership_events: list[api.Event] = []
    for slice_id in range(8, 16):
        stored = api.StoredWeight(slice_id, 11 + slice_id % 4, 1.0)
        ownership_events += [api.SliceOwnershipChange(slice_id, True), stored]
    scenario.step(*ownership_events)
    scenario.run(2, all_answered)
    after = fair_share(scenario, 15)
    scenario.lines = []
    scenario.note(
        "another steward dies and its slices come; a cold server's part, to that of a warm one of its capacity, is"
    )
    scenario.note(f"{before:.2f} before and {after:.2f} after")
    scenario.check_trace("takes_over")


def fair_share(scenario: Scenario, host_id: int) -> float:
    """Return the fair load of a host relative to that of a warm host of the same capacity."""
    host = scenario.assigner.hosts[host_id]
    return host.fair_load / host.capacity / scenario.assigner.fleet.load_per_capacity


def test_the_peak_when_reports_of_some_slices_are_missing_then_it_is_unknown() -> None:
    scenario = Scenario(reports_per_second=1.8)
    scenario.start(HOSTS, EVEN_OWNERS)
    scenario.run(10, lambda: [api.HostUsageReport(1, 11, 20, 0, 200.0, 5000.0)])
    assert scenario.assigner.fleet.report_window_ms > 10_000
    assert scenario.assigner.load_estimator.peak_load_per_capacity == math.inf


def test_latency_ratio_when_several_controllers_share_the_slices_then_it_decays_more_slowly() -> None:
    ratios = {}
    for controllers in (1, 2):
        scenario = Scenario(controller_count=controllers, slice_count=8 * controllers, reports_per_second=2.0)
        scenario.start(HOSTS, EVEN_OWNERS)
        scenario.run(2, all_answered)
        scenario.step(*usage_reports({11: 2}, {11: 2}))
        scenario.run(6.1)
        ratios[controllers] = scenario.assigner.hosts[11].latency_ratio
        assert scenario.assigner.fleet.report_window_ms > 8_000.0
    assert ratios[1] == 0.0
    assert ratios[2] > 0.1, "reports are rare, so the counts of one report must last until the next"
