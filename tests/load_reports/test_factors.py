"""The factors computed from reports, and their application to the host list."""

from __future__ import annotations

from corallanding import interface as api
from corallanding.load_reports.weights import apply_factors, factor_changes
from tests.load_reports.support import Fleet


def test_factors_when_there_are_no_reports_then_nothing_changes() -> None:
    fleet = Fleet(5)
    fleet.run(30, {})
    assert fleet.estimator.factors() == {}
    event = api.HostListUpdate(api.HostListKind.FULL, 3, (api.HostEntry(1, weight=2.0),))
    assert apply_factors(event, {}) is event
    assert apply_factors(event, {9: 0.5}) is event


def test_host_when_overloaded_then_its_factor_falls_by_steps_and_returns_to_one() -> None:
    fleet = Fleet(10)
    factors = []
    for _ in range(8):
        fleet.run(1, dict.fromkeys(range(9), 0.5) | {9: 1.0})
        factors.append(round(fleet.estimator.factor(9), 3))
    assert factors[-1] == 0.5
    assert factors == sorted(factors, reverse=True)
    assert all(factor / before > 0.84 - 1e-3 for before, factor in zip([1.0, *factors], factors, strict=False)), (
        "one step per window"
    )
    fleet.run(12, dict.fromkeys(range(10), 0.5))
    assert fleet.estimator.factors() == {9: 0.5}, (
        "at the fleet's load the factor stays: the lower weight is the cause of that load"
    )
    fleet.run(12, dict.fromkeys(range(9), 0.5) | {9: 0.2})
    assert fleet.estimator.factors() == {}


def test_factors_when_the_fleet_is_idle_or_evenly_loaded_then_nothing_changes() -> None:
    fleet = Fleet(10)
    fleet.run(20, {host: 0.05 + 0.03 * host for host in range(10)})  # all under min_busy_utilization
    fleet.run(20, {host: 0.8 + 0.01 * (host % 3) for host in range(10)})
    assert fleet.estimator.factors() == {}


def test_host_when_it_reports_idle_then_its_weight_is_not_raised() -> None:
    fleet = Fleet(6)
    fleet.run(20, dict.fromkeys(range(5), 0.7) | {5: 0.0})
    assert fleet.estimator.factors() == {}, "a report without load raises no weight above the listed one"


def test_factors_when_too_few_hosts_report_then_nothing_changes() -> None:
    fleet = Fleet(10)
    fleet.run(20, {0: 0.4, 1: 5.0})
    assert fleet.estimator.factors() == {}


def test_host_when_it_stops_reporting_then_its_factor_ends_with_its_reports() -> None:
    fleet = Fleet(10)
    fleet.run(10, dict.fromkeys(range(9), 0.5) | {9: 3.0})
    assert fleet.estimator.factor(9) == 0.5
    fleet.run(5.25, dict.fromkeys(range(9), 0.5))  # it stops reporting, as an overloaded host may
    assert fleet.estimator.factors() == {}


def test_host_when_busy_but_fast_for_proxies_then_its_factor_is_lowered_less() -> None:
    factors = []
    for latency_ms in (50.0, 400.0):
        fleet = Fleet(10)
        for _ in range(3):
            for host in range(10):
                fleet.estimator.on_usage(host, 40, 0, latency_ms if host == 9 else 200.0)
            fleet.run(1, dict.fromkeys(range(9), 0.5) | {9: 2.0})
        factors.append(fleet.estimator.factor(9))
    assert factors[0] > factors[1]


def test_hosts_when_many_are_busy_then_few_factors_are_lowered_at_once() -> None:
    fleet = Fleet(20)
    fleet.run(1.25, dict.fromkeys(range(11), 0.5) | dict.fromkeys(range(11, 20), 2.0))
    assert len(fleet.estimator.factors()) <= 2 * 2


def test_changes_when_factors_change_then_they_contain_only_hosts_listed_as_up() -> None:
    entries = {1: api.HostEntry(1), 2: api.HostEntry(2, state="draining"), 4: api.HostEntry(4, weight=2.0)}
    event = factor_changes(entries, 8, {4: 0.5}, {1: 0.7, 2: 0.7, 3: 0.7})
    assert event == api.HostListUpdate(api.HostListKind.CHANGES, 8, (api.HostEntry(1, weight=0.7), entries[4]))
    assert factor_changes(entries, 8, {2: 0.5}, {}) is None
