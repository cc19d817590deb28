"""Rankings contain the highest scores however hosts are added, and precomputation changes no decision."""

from __future__ import annotations

import random
from dataclasses import dataclass

import pytest

from corallanding import interface as api
from corallanding.assignment import Assigner
from corallanding.assignment.rendezvous import RendezvousTable, rendezvous_score
from tests.assignment.generated_days import QUOTE


@dataclass(frozen=True)
class HostWithId:
    """A host that has only an id."""

    id: int


@pytest.mark.parametrize("steps", [(300,), (1, 47, 1, 1), (10, 200, 3, 90), (48,), (49, 5, 500)])
def test_a_ranking_when_hosts_are_added_in_steps_then_it_contains_the_highest_scores(steps: tuple[int, ...]) -> None:
    table: RendezvousTable[HostWithId] = RendezvousTable(48)
    hosts: list[HostWithId] = []
    for count in steps:
        new = [HostWithId(7 * len(hosts) + number) for number in range(count)]
        hosts = list(dict.fromkeys([*hosts, *new]))
        table.add(hosts)
        for slice_id in (0, 5, 77):
            ranking = table.ranking(slice_id)
            highest = sorted(((rendezvous_score(slice_id, host.id), host.id) for host in hosts), reverse=True)[:48]
            assert list(zip(ranking.scores, [host.id for host in ranking.hosts], strict=True)) == highest
    assert table.is_complete == (len(hosts) <= 48)


def test_precompute_when_called_repeatedly_then_it_does_part_of_the_work_each_time_and_finishes() -> None:
    table: RendezvousTable[HostWithId] = RendezvousTable()
    table.add(HostWithId(number) for number in range(100))
    calls = 1
    while table.precompute(range(40), 500):
        calls += 1
    assert 7 <= calls <= 9
    assert set(table.hosts_seen.values()) == {100}


def test_decisions_when_scores_are_precomputed_then_they_are_the_same() -> None:
    """Guards against decisions that depend on precomputation.

    The fleet has more scores than one decision computes, so each considers only part of the slices, precomputed or not.
    """
    lazy = decisions_of_a_large_fleet(precomputes=False)
    eager = decisions_of_a_large_fleet(precomputes=True)
    assert lazy == eager
    assert sum("SetWeight" in action for action in lazy) > 100


def decisions_of_a_large_fleet(*, precomputes: bool) -> list[str]:
    """Return the actions of eight decisions on 500 hosts and 1000 slices."""
    assigner, events = large_fleet(hosts=500, slices=1_000)
    actions: list[str] = []
    now_ms = 100_000.0
    for decision in range(1, 9):
        step_actions = assigner.step(now_ms, events)
        actions += [repr(action) for action in step_actions]
        acks = [
            api.VersionAcked(0, action.version) for action in step_actions if isinstance(action, api.PublishVersion)
        ]
        events = [api.TimerFired(0), *usage_reports(hosts=500, slices=1_000), *acks]
        considered = sum(slice_.hosts_considered > 0 for slice_ in assigner.slices.values())
        assert considered == min(1_000, 600 * decision)
        now_ms += 500.0
        while precomputes and assigner.rendezvous.precompute(assigner.slices, 50_000):
            pass
    return actions


def large_fleet(hosts: int, slices: int) -> tuple[Assigner, list[api.Event]]:
    """Return an assigner and its first events: hosts of two weights, slices with stored owners."""
    rng = random.Random(1)
    settings = api.Settings(request_classes=(QUOTE,), slice_count=slices, max_queued_lines=1e9)
    entries = tuple(api.HostEntry(host, weight=rng.choice((1.0, 8.0))) for host in range(hosts))
    events: list[api.Event] = [
        api.HostListUpdate(api.HostListKind.FULL, 1, entries),
        api.ProxyJoined(0, 0, 1.0, True),
    ]
    for slice_id in range(slices):
        stored = api.StoredWeight(slice_id, rng.randrange(60), 1.0)
        events += [api.SliceOwnershipChange(slice_id, True), stored]
    return Assigner(settings, 1), events


def usage_reports(hosts: int, slices: int) -> list[api.Event]:
    """Return reports in which all hosts answer equally, and the demand for all slices is equal."""
    return [
        *(api.HostUsageReport(0, host, 20, 0, 100.0, 500.0) for host in range(hosts)),
        *(api.SliceUsageReport(slice_id, 0, 9, 0, 500.0) for slice_id in range(slices)),
    ]
