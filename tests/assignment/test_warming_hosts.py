"""What warming hosts are given: nothing of unknown demand, and nothing at all while the fleet can do without them."""

from __future__ import annotations

import pytest

from corallanding import interface as api
from corallanding.assignment import Assigner
from corallanding.assignment.state import Host, Slice
from tests.assignment.support import (
    HOSTS,
    START_MS,
    Scenario,
    all_answered,
    host_entry,
    settled_scenario,
    usage_reports,
)

NEW = 15
WARM_UP_S = 16.0
HOUR_MS = 3_600_000.0


def host(scenario: Scenario, host_id: int) -> Host:
    return scenario.assigner.hosts[host_id]


def served_by(assigner: Assigner, host_id: int) -> list[Slice]:
    """Return the slices whose tables name a host."""
    return [slice_ for slice_ in assigner.slices.values() if any(other.id == host_id for other in slice_.weights)]


def grant(scenario: Scenario, slices: range, owner: int, *replicas: int) -> None:
    """Take slices away and grant them again with their stored entries, so that nothing is known of their demand."""
    events: list[api.Event] = [api.SliceOwnershipChange(slice_id, False) for slice_id in slices]
    for slice_id in slices:
        events.append(api.SliceOwnershipChange(slice_id, True))
        events += [api.StoredWeight(slice_id, stored, 1.0) for stored in (owner, *replicas)]
    scenario.step(*events)


def test_warming_host_when_slices_without_a_report_lose_their_host_then_it_gets_none_of_them() -> None:
    """Guards against a slice in high demand, just taken over, that is moved to a host that has just started."""
    scenario = settled_scenario()
    scenario.list_hosts(host_entry(NEW, since=scenario.now_ms))
    scenario.run(9, all_answered)
    grant(scenario, range(4), 13)
    scenario.list_hosts(host_entry(13, "draining"))
    assert served_by(scenario.assigner, NEW) == []
    assert served_by(scenario.assigner, 13) == []


def test_slices_without_a_report_when_their_host_is_warming_up_then_they_leave_it() -> None:
    """Guards against an heir that leaves a slice in high demand on a host that has just started."""
    scenario = settled_scenario()
    scenario.list_hosts(host_entry(12, since=scenario.now_ms))
    scenario.run(2, all_answered)
    grant(scenario, range(8), 12)
    assert served_by(scenario.assigner, 12) == []


@pytest.mark.parametrize("is_reported", [True, False])
def test_replicas_when_their_host_has_restarted_then_it_leaves_their_tables(is_reported: bool) -> None:
    """Guards against load of replicas that a host which has just started goes on receiving."""
    scenario = settled_scenario()
    grant(scenario, range(8), 11, 12)
    if is_reported:
        scenario.step(*usage_reports({11: 20, 13: 20, 14: 20}))
    scenario.list_hosts(host_entry(12, since=scenario.now_ms))
    scenario.run(2, all_answered)
    assert served_by(scenario.assigner, 12) == []


def test_previous_owner_when_it_has_restarted_then_it_leaves_the_tables() -> None:
    """Guards against half of a slice's load at a host that has just started and is held for acknowledgements."""
    scenario = settled_scenario()
    slice_ = scenario.assigner.slices[1]
    former, owner = host(scenario, 12), host(scenario, 11)
    scenario.assigner.placement.assign_owner(slice_, owner, holds_previous=True)
    scenario.list_hosts(host_entry(12, since=scenario.now_ms))
    scenario.step(api.TimerFired(0))
    assert former not in slice_.weights


def test_warming_host_when_the_fleet_can_do_without_then_it_gets_no_slice() -> None:
    """Guards against a slice on a host that has just started whose demand grows faster than reports tell."""
    scenario = settled_scenario()
    grant(scenario, range(6), 11)
    scenario.list_hosts(host_entry(NEW, since=scenario.now_ms))
    for _ in range(14):
        scenario.run(1, all_answered)
        assert served_by(scenario.assigner, NEW) == []


def test_warming_host_when_most_hosts_have_just_started_then_it_gets_slices() -> None:
    """A fleet that is mostly replaced cannot do without its new hosts."""
    scenario = settled_scenario()
    scenario.list_hosts(*(host_entry(new, since=scenario.now_ms) for new in (21, 22, 23)))
    scenario.run(2, all_answered)
    scenario.list_hosts(*(host_entry(old.host, "draining") for old in HOSTS[:3]))
    scenario.run(1, all_answered)
    assert any(served_by(scenario.assigner, new) for new in (21, 22, 23))


def test_warming_host_when_the_fleet_needs_it_no_more_then_slices_that_it_has_just_taken_leave_too() -> None:
    """Guards against slices that stay on a warming host after a time in which too few others were warm."""
    scenario = settled_scenario()
    scenario.list_hosts(host_entry(12, since=scenario.now_ms))
    scenario.run(2, all_answered)
    host(scenario, 12).slices_taken = 1
    host(scenario, 12).taking_window_started_at_ms = scenario.now_ms
    grant(scenario, range(4), 12)
    assert served_by(scenario.assigner, 12) == []


def test_warming_host_when_its_start_is_ahead_of_the_clock_then_it_gets_no_slice() -> None:
    """Guards against a negative age: the capacity was negative, and so the headroom without limit."""
    scenario = settled_scenario()
    scenario.list_hosts(host_entry(NEW, since=scenario.now_ms + HOUR_MS))
    scenario.run(3, all_answered)
    scenario.list_hosts(host_entry(13, "draining"))
    scenario.run(1, all_answered)
    assert host(scenario, NEW).capacity > 0.0
    assert served_by(scenario.assigner, NEW) == []
    scenario.run(WARM_UP_S, all_answered)
    assert not host(scenario, NEW).is_warming_up


@pytest.mark.parametrize("host_id", [12, NEW])
@pytest.mark.parametrize("step_ms", [-HOUR_MS, -10_000.0, HOUR_MS])
def test_started_host_when_a_wall_clock_was_stepped_then_it_warms_up_for_its_time(host_id: int, step_ms: float) -> None:
    """Guards against an age by two wall clocks: a host that has just started looked an hour old."""
    scenario = settled_scenario()
    scenario.list_hosts(host_entry(host_id, since=START_MS + HOUR_MS + step_ms))
    scenario.step(api.TimerFired(0))
    assert host(scenario, host_id).is_warming_up
    scenario.run(WARM_UP_S + 1.0, all_answered)
    assert not host(scenario, host_id).is_warming_up


def test_started_host_when_the_clock_of_its_machine_was_set_back_then_its_restart_is_noticed() -> None:
    scenario = settled_scenario()
    scenario.list_hosts(host_entry(12, since=scenario.now_ms))
    scenario.run(WARM_UP_S + 1.0, all_answered)
    scenario.list_hosts(host_entry(12, since=START_MS - HOUR_MS))
    scenario.step(api.TimerFired(0))
    assert host(scenario, 12).is_warming_up


@pytest.mark.parametrize("step_ms", [7_000.0, HOUR_MS])
def test_first_list_when_the_clock_was_set_forward_before_the_start_then_its_young_host_warms_up(
    step_ms: float,
) -> None:
    """Guards against a controller that starts anew and takes a host which has just started for one that is warm."""
    young = host_entry(14, since=START_MS - step_ms - 10_000.0)
    older = host_entry(13, since=START_MS - step_ms - 30_000.0)
    ancient = host_entry(12, since=START_MS - 3.0 * HOUR_MS)
    scenario = Scenario()
    scenario.start([HOSTS[0], ancient, older, young], {slice_id: 11 + slice_id % 4 for slice_id in range(8)})
    warming = [host_id for host_id in (11, 12, 13, 14) if host(scenario, host_id).is_warming_up]
    assert warming == [14]
    assert served_by(scenario.assigner, 14) == []
    scenario.run(WARM_UP_S + 1.0, all_answered)
    assert not host(scenario, 14).is_warming_up


def list_version(scenario: Scenario, version: int, since: float) -> None:
    """Apply changes of a version of the list in which host 12 has a start time."""
    entries = (host_entry(12, since=since),)
    scenario.step(api.HostListUpdate(api.HostListKind.CHANGES, version, entries), api.TimerFired(0))


def test_host_when_an_outdated_list_repeats_its_former_process_then_it_has_not_restarted() -> None:
    scenario = settled_scenario()
    list_version(scenario, 7, scenario.now_ms)
    scenario.run(WARM_UP_S + 1.0, all_answered)
    list_version(scenario, 6, START_MS - HOUR_MS)
    list_version(scenario, 8, host(scenario, 12).entry.online_since)
    assert not host(scenario, 12).is_warming_up


def test_host_when_versions_of_the_list_begin_again_then_its_restarts_are_noticed() -> None:
    """Guards against a new source of the list, whose versions are lower, that is taken for outdated for good."""
    scenario = settled_scenario()
    list_version(scenario, 70, scenario.now_ms)
    scenario.run(WARM_UP_S + 1.0, all_answered)
    list_version(scenario, 1, START_MS - HOUR_MS)
    list_version(scenario, 2, START_MS - HOUR_MS + 5_000.0)
    assert host(scenario, 12).is_warming_up


def test_warming_host_when_its_fair_load_is_zero_then_it_has_no_headroom() -> None:
    """Guards against a fair load of zero, as of a fleet that was never seen to answer, that counted as no load."""
    scenario = settled_scenario()
    scenario.list_hosts(host_entry(NEW, since=scenario.now_ms))
    scenario.run(1, all_answered)
    warming = host(scenario, NEW)
    warming.fair_load = 0.0
    assert warming.utilization(1.0) > 1.0
