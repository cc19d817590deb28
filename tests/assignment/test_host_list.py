"""Host lists that cannot be polled, contain errors or change continually."""

from __future__ import annotations

from functools import partial

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


def test_a_poll_when_it_failed_then_it_is_repeated_soon() -> None:
    scenario = Scenario(polls_host_list=True, poll_interval_ms=10_000.0)
    scenario.start(HOSTS, EVEN_OWNERS)
    scenario.note("a call failed: it is asked again well within the ask rule's time")
    scenario.list_hosts(kind=api.HostListKind.FAILED)
    scenario.run(3, all_answered)
    scenario.note("a full list without 11: its slices leave")
    scenario.list_hosts(*HOSTS[1:], kind=api.HostListKind.FULL)
    scenario.check_trace("asked_list")


def test_hosts_when_missing_from_the_list_then_those_that_are_alive_stay() -> None:
    scenario = settled_scenario(only_drains_bind=True)
    scenario.note("12 and 13 are gone from the list; 12 answers and stays, 13 fails its probe and is emptied")
    scenario.check_outcomes = {13: api.HealthCheckOutcome.UNREACHABLE, 15: api.HealthCheckOutcome.UNREACHABLE}
    scenario.list_hosts(host_entry(12, "removed"), host_entry(13, "removed"))
    scenario.run(4, lambda: usage_reports({11: 20, 12: 20, 14: 20}))
    scenario.note("15 is listed but does not exist: it fails its probes and is given nothing when 14 drains")
    scenario.list_hosts(host_entry(15), host_entry(14, "draining"))
    scenario.run(2, lambda: usage_reports({11: 20, 12: 20}))
    scenario.check_trace("wrong_list")


def test_hosts_when_hundreds_are_replaced_then_their_removal_from_memory_has_no_effect() -> None:
    """Guards against unbounded memory, and against removals that change decisions.

    Two assigners run the same replacements; one never removes hosts from memory.
    """
    removing = Scenario()
    reference = Scenario()
    reference.assigner.forget_departed_hosts = lambda: None  # type: ignore[method-assign]
    replace_hosts(removing, 600)
    replace_hosts(reference, 600)
    assert removing.lines == reference.lines
    assert len(reference.assigner.hosts) == 604
    assigner = removing.assigner
    assert len(assigner.hosts) < 100
    rendezvous = assigner.rendezvous
    assert len(rendezvous.hosts) <= len(assigner.hosts)
    assert len(rendezvous.host_ids) <= len(assigner.hosts)
    assert all(len(ranking.scores) <= rendezvous.max_ranked for ranking in rendezvous.rankings.values())


def replace_hosts(scenario: Scenario, count: int) -> None:
    """Replace the hosts one by one, the oldest first: a new one is added, and the old one drains and is removed."""
    scenario.start(HOSTS, EVEN_OWNERS)
    for number in range(count):
        new = 100 + number
        old = new - 4 if number >= 4 else 11 + number
        scenario.list_hosts(host_entry(new, since=scenario.now_ms), host_entry(old, "draining"))
        scenario.run(2, partial(usage_reports, equal_attempts(range(max(100, new - 3), new), 20)))
        scenario.list_hosts(host_entry(old, "removed"))
