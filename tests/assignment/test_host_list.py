"""Host lists that fail, err or change for ever."""

from __future__ import annotations

from functools import partial

from corallanding import interface as api
from tests.assignment.support import EVEN, HOSTS, Scenario, all_answer, reports, same, settled, up


def test_a_poll_when_it_failed_then_it_is_repeated_soon() -> None:
    scenario = Scenario(polls_host_list=True, poll_interval_ms=10_000.0)
    scenario.start(HOSTS, EVEN)
    scenario.note("a call failed: it is asked again well within the ask rule's time")
    scenario.list_hosts(kind=api.HostListKind.FAILED)
    scenario.run(3, all_answer)
    scenario.note("a full list without 11: its slices leave")
    scenario.list_hosts(*HOSTS[1:], kind=api.HostListKind.FULL)
    scenario.check_trace("asked_list")


def test_hosts_when_the_list_drops_them_then_those_that_show_life_stay() -> None:
    scenario = settled(only_drains_bind=True)
    scenario.note("12 and 13 are gone from the list; 12 answers and stays, 13 fails its probe and is emptied")
    scenario.check_outcomes = {13: api.HealthCheckOutcome.UNREACHABLE, 15: api.HealthCheckOutcome.UNREACHABLE}
    scenario.list_hosts(up(12, "removed"), up(13, "removed"))
    scenario.run(4, lambda: reports({11: 20, 12: 20, 14: 20}))
    scenario.note("15 is listed but does not exist: it fails its probes and is given nothing when 14 drains")
    scenario.list_hosts(up(15), up(14, "draining"))
    scenario.run(2, lambda: reports({11: 20, 12: 20}))
    scenario.check_trace("wrong_list")


def test_hosts_when_replaced_by_the_hundred_then_they_are_forgotten_without_effect() -> None:
    """Two assigners live the same day of replacements; one forgets nothing."""
    forgetful = Scenario()
    reference = Scenario()
    reference.assigner.forget_departed_hosts = lambda: None  # type: ignore[method-assign]
    replace_hosts(forgetful, 600)
    replace_hosts(reference, 600)
    assert forgetful.lines == reference.lines
    assert len(reference.assigner.hosts) == 604
    assigner = forgetful.assigner
    assert len(assigner.hosts) < 100
    rendezvous = assigner.rendezvous
    assert len(rendezvous.hosts) <= len(assigner.hosts)
    assert len(rendezvous.host_ids) <= len(assigner.hosts)
    assert all(len(ranking.scores) <= rendezvous.max_ranked for ranking in rendezvous.rankings.values())


def replace_hosts(scenario: Scenario, count: int) -> None:
    """Replace the hosts one by one, the oldest first: a new one comes, the old one drains and goes."""
    scenario.start(HOSTS, EVEN)
    for number in range(count):
        new = 100 + number
        old = new - 4 if number >= 4 else 11 + number
        scenario.list_hosts(up(new, since=scenario.now_ms), up(old, "draining"))
        scenario.run(2, partial(reports, same(range(max(100, new - 3), new), 20)))
        scenario.list_hosts(up(old, "removed"))
