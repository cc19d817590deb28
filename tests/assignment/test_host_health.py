"""Detection of failing hosts, and their return after recovery."""

from __future__ import annotations

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


def mostly_failing(host: int) -> list[api.Event]:
    """Return reports in which `host` fails all attempts of one zone, and answers one of four of the other."""
    return [api.HostUsageReport(1, host, 12, 12, 0.0, 1000.0), api.HostUsageReport(0, host, 4, 3, 1100.0, 1000.0)]


def test_a_host_when_it_answers_nothing_then_a_crash_or_hang_is_detected() -> None:
    scenario = settled_scenario()
    scenario.note("13 answers nothing more and fails its probe: a crash")
    scenario.check_outcomes = {13: api.HealthCheckOutcome.UNREACHABLE}
    scenario.step(*usage_reports({11: 20, 12: 20, 14: 20}, {13: 20}))
    scenario.step(api.HealthCheckResult(13, api.HealthCheckOutcome.UNREACHABLE))
    scenario.note("14 answers nothing, its probes do: a hang, once it is silent for two windows")
    scenario.run(5, lambda: usage_reports({11: 20, 12: 20}, {14: 20}))
    scenario.check_trace("death")


def test_a_host_when_it_answers_some_attempts_then_it_sheds_and_is_not_failing() -> None:
    scenario = Scenario()
    scenario.start(HOSTS, {**EVEN_OWNERS, 1: 11, 2: 11})
    scenario.run(3, all_answered)
    scenario.note("11 turns most away but answers some: it sheds down to its part and keeps the rest")
    scenario.run(4, lambda: usage_reports({11: 3, 12: 20, 13: 20, 14: 20}, {11: 30}))
    scenario.check_trace("crowded")


def test_hosts_when_most_of_them_fail_then_none_is_evacuated() -> None:
    scenario = settled_scenario()
    scenario.note("three of four answer nothing: the path, not the servers; they are not emptied into the fourth")
    scenario.run(6, lambda: usage_reports({14: 20}, equal_attempts((11, 12, 13), 20)))
    scenario.check_trace("trouble_everywhere")


def test_usage_reports_when_a_host_restarted_then_those_of_the_old_process_are_ignored() -> None:
    scenario = settled_scenario()
    scenario.note("12 restarted; sums of its old process come late and are passed over")
    scenario.list_hosts(host_entry(12, since=scenario.now_ms - 200))
    scenario.step(*usage_reports({}, {12: 30}))
    scenario.run(2, all_answered)
    scenario.check_trace("stale_sums")


def test_an_evacuated_host_when_it_passes_a_health_check_then_it_returns() -> None:
    scenario = settled_scenario()
    scenario.check_outcomes = {13: api.HealthCheckOutcome.UNREACHABLE}
    scenario.step(*usage_reports({11: 20, 12: 20, 14: 20}, {13: 20}))
    scenario.run(1.5, all_answered)
    scenario.note("13 was emptied; what it was sent before goes on timing out; it answers a probe after 6 s")
    scenario.run(3, lambda: usage_reports({11: 20, 12: 20, 14: 20}, {13: 20}))
    scenario.check_outcomes = {}
    scenario.run(8, lambda: usage_reports({11: 20, 12: 20, 14: 20}))
    scenario.note("11 drains: 13 takes its share again")
    scenario.list_hosts(host_entry(11, "draining"))
    scenario.check_trace("returned")


def test_a_saturated_host_when_its_health_checks_take_long_then_it_is_evacuated() -> None:
    scenario = settled_scenario()
    scenario.step(*(api.HealthCheckResult(host, api.HealthCheckOutcome.OK, 8.0) for host in (12, 13, 14)))
    scenario.check_latency_ms = {11: 40.0}
    scenario.run(2, lambda: usage_reports({12: 20, 13: 20, 14: 20}) + mostly_failing(11))
    scenario.note(
        "11 answers next to nothing, and its probes take long, but not eight times the fleet's: it sheds, no more"
    )
    scenario.check_latency_ms = {11: 130.0}
    scenario.run(3, lambda: usage_reports({12: 20, 13: 20, 14: 20}) + mostly_failing(11))
    scenario.note("they take sixteen times as long: it was emptied, and stays out while they do")
    scenario.run(9, lambda: usage_reports({12: 20, 13: 20, 14: 20}))
    assert not scenario.assigner.hosts[11].is_eligible
    scenario.check_latency_ms = {11: 8.0}
    scenario.run(8, lambda: usage_reports({12: 20, 13: 20, 14: 20}))
    scenario.note("well again")
    assert scenario.assigner.hosts[11].is_eligible
    scenario.check_trace("slow-by-itself")


def test_a_new_host_when_its_health_checks_time_out_then_it_may_own_slices() -> None:
    scenario = settled_scenario()
    scenario.check_outcomes = {15: api.HealthCheckOutcome.TIMEOUT, 16: api.HealthCheckOutcome.UNREACHABLE}
    scenario.note("15 and 16 are new; 15's probes time out, as on a long way, 16's are refused; 11 and 12 drain")
    scenario.list_hosts(host_entry(15), host_entry(16))
    scenario.run(2, all_answered)
    scenario.list_hosts(host_entry(11, "draining"), host_entry(12, "draining"))
    scenario.check_trace("long_way")
