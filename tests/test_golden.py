"""The module decides as it did: generated days and a lab's day, action for action; `best` as its sentence says."""

from __future__ import annotations

import gzip
import json
import math
import random
from pathlib import Path
from typing import Any

import golden
import pytest

from corallanding import interface as api
from corallanding.assignment import Assigner
from corallanding.assignment.host_health import latency_ratio
from corallanding.assignment.limits import MAX_SLICES_PER_WINDOW, MAX_UTILIZATION, OVERLOAD_RATIO
from corallanding.assignment.rendezvous import RendezvousTable, rendezvous_score
from corallanding.assignment.state import Host, Slice
from corallanding.controller.recorder import compare, read

WANT: dict[str, list[int]] = json.loads(golden.KEPT.read_text())


@pytest.mark.parametrize("seed", range(len(golden.DAYS)))
def test_a_generated_day_is_decided_as_before(seed: int) -> None:
    got, want = golden.play(Assigner, seed), WANT[str(seed)]
    first = next((n for n, pair in enumerate(zip(got, want, strict=True)) if pair[0] != pair[1]), None)
    assert first is None, f"differs within steps {first * golden.EVERY} to {(first + 1) * golden.EVERY - 1}"


@pytest.mark.parametrize("life", [1, 2])
def test_a_lab_day_is_decided_as_before(life: int, tmp_path: Path) -> None:
    path = tmp_path / "day.rec"
    path.write_bytes(gzip.decompress((golden.KEPT.parent / f"bad-day-{life}.rec.gz").read_bytes()))
    found = read(path)
    assert len(found.steps) > 400
    assert compare(found, Assigner) == ""


def test_the_days_find_a_small_change(monkeypatch: pytest.MonkeyPatch) -> None:
    """A mistake of the kind that they must find: one host too many counts as having room."""
    used = Host.utilization
    monkeypatch.setattr(Host, "utilization", lambda h, more=0.0: used(h, more) * (0.98 if h.id == 3 else 1.0))
    assert [seed for seed in (1, 6) if golden.play(Assigner, seed) != WANT[str(seed)]] == [1, 6]


def plain(a: Assigner, s: Slice, more: float, must: bool) -> Host | None:
    """`best`, by its sentence, over all hosts."""
    taken = [s.owner, *s.replicas]
    room = [h for h in a.fleet.eligible_hosts if h not in taken and h.utilization(more) <= MAX_UTILIZATION]
    room = [
        h
        for h in room
        if ((s.rate_by_class or not s.replicas) and h.slices_taken < MAX_SLICES_PER_WINDOW)
        or not a.host_health.is_warming_up(h)
    ]
    room = [
        h
        for h in room
        if latency_ratio(h, a.host_health.min_latency_objective_ms)
        <= (OVERLOAD_RATIO if a.host_health.is_warming_up(h) else a.fleet.overload_ratio)
    ]
    if room:
        return max(
            room,
            key=lambda h: (
                h.entry.weight * rendezvous_score(s.id, h.id) * (MAX_UTILIZATION * 1.05 - h.utilization(more))
            ),
        )
    rest = [h for h in a.fleet.eligible_hosts if must and h not in taken]
    rest = [h for h in rest if not a.host_health.is_warming_up(h)] or rest
    return min(rest, key=lambda h: h.utilization(more)) if rest else None


@pytest.mark.parametrize("seed", range(6))
def test_best_is_the_top_of_all_hosts_with_room(seed: int) -> None:
    """Fleets larger than the lists, so that what lies beyond them is looked at too."""
    r = random.Random(seed)
    hosts, slices = r.choice(((120, 60), (200, 40), (60, 90))), 0
    a = Assigner(api.Settings(request_classes=(golden.QUOTE,), slice_count=hosts[1], max_queued_lines=1e6), seed)
    entries = tuple(
        api.HostEntry(h, weight=r.choice((0.5, 1.0, 4.0)), online_since=r.choice((0.0, 99_000.0)))
        for h in range(hosts[0])
    )
    events: list[api.Event] = [api.HostListUpdate(api.HostListKind.FULL, 1, entries), api.ProxyJoined(0, 0, 1.0, True)]
    for s in range(hosts[1]):
        events += [api.SliceOwnershipChange(s, True), api.StoredWeight(s, r.randrange(hosts[0]), 1.0)]
    a.step(100_000.0, events)
    a.step(100_001.0, [api.SliceUsageReport(s, 0, 9, 0, 9_000.0) for s in range(0, hosts[1], 2)])
    for _ in range(30):
        for h in a.hosts.values():
            h.load = r.uniform(0.0, 2.2) * h.fair_load if r.random() < 0.8 else 0.0
            h.is_healthy = h.is_eligible = r.random() < r.choice((0.02, 0.5, 1.0))
            h.successes, h.failures, h.latency_ms = 10.0, 0.0, (100.0 if h.is_healthy else 5000.0)
            h.latency_ratio = latency_ratio(h, a.host_health.min_latency_objective_ms)
            h.is_healthy = h.is_healthy and h.latency_ratio <= (
                OVERLOAD_RATIO if h.is_warming_up else a.fleet.overload_ratio
            )
        a.fleet.eligible_hosts = [h for h in a.hosts.values() if h.is_eligible]
        room = [
            (MAX_UTILIZATION * h.fair_load - h.load if h.fair_load else math.inf, h)
            for h in a.fleet.eligible_hosts
            if h.is_healthy
        ]
        a.fleet.spare_loads, a.fleet.hosts_with_changed_load = sorted(room, key=lambda row: row[0]), {}
        for h in r.sample(
            a.fleet.eligible_hosts, len(a.fleet.eligible_hosts) // 5
        ):  # what a turn does to loads after its survey
            a.placement.shift_load(h, -r.random() * h.load)
        for s in a.slices.values():
            s.replicas = r.sample([*a.hosts.values()], r.choice((0, 0, 2)))
            more, must = r.choice((0.0, s.load_per_host, 3 * s.load_per_host)), r.random() < 0.5
            want = plain(a, s, more, must)
            assert a.placement.best_host(s, more, is_required=must) is want
            least = r.choice((0.1, 10.0, 1e4))
            got = a.placement.best_host(s, more, min_score=least)
            want = plain(a, s, more, False)
            able = [h for h in (got, want) if h and a.placement.score(s, h) > least]
            assert got is want or not able
            slices += 1
    assert slices


class Server:
    def __init__(self, id: int) -> None:
        self.id = id


@pytest.mark.parametrize("steps", [(300,), (1, 47, 1, 1), (10, 200, 3, 90), (48,), (49, 5, 500)])
def test_a_list_holds_the_highest_marks_whenever_servers_came(steps: tuple[int, ...]) -> None:
    ranks: RendezvousTable[Any] = RendezvousTable(48)
    servers: list[Server] = []
    for count in steps:
        servers += [Server(7 * len(servers) + k) for k in range(count)]
        servers = list({s.id: s for s in servers}.values())
        ranks.add(servers)
        for slice in (0, 5, 77):
            marks, whose = ranks.ranking(slice)
            want = sorted(((rendezvous_score(slice, s.id), s.id) for s in servers), reverse=True)[:48]
            assert list(zip(marks, [s.id for s in whose], strict=True)) == want
    assert ranks.is_complete == (len(servers) <= 48)


def test_warming_marks_a_few_slices_at_a_time_and_ends() -> None:
    ranks: RendezvousTable[Any] = RendezvousTable()
    ranks.add(Server(n) for n in range(100))
    calls = 1
    while ranks.precompute(range(40), 500):
        calls += 1
    assert 7 <= calls <= 9
    assert set(ranks.hosts_seen.values()) == {100}


def test_work_done_ahead_changes_no_decision_and_a_first_turn_looks_at_so_many_slices_only() -> None:
    """More marks than one turn works out: the same actions, whether they were there before or not."""
    logs: list[list[str]] = []
    hosts, slices = 500, 1_000
    for eager in (False, True):
        r = random.Random(1)
        a = Assigner(api.Settings(request_classes=(golden.QUOTE,), slice_count=slices, max_queued_lines=1e9), 1)
        entries = tuple(api.HostEntry(h, weight=r.choice((1.0, 8.0))) for h in range(hosts))
        events: list[api.Event] = [
            api.HostListUpdate(api.HostListKind.FULL, 1, entries),
            api.ProxyJoined(0, 0, 1.0, True),
        ]
        for s in range(slices):
            events += [api.SliceOwnershipChange(s, True), api.StoredWeight(s, r.randrange(60), 1.0)]
        log, now = [], 100_000.0
        for _ in range(8):
            out = a.step(now, events)
            log += [repr(x) for x in out]
            events = [
                api.TimerFired(0),
                *(api.HostUsageReport(0, h, 20, 0, 100.0, 500.0) for h in range(hosts)),
                *(api.SliceUsageReport(s, 0, 9, 0, 500.0) for s in range(slices)),
                *(api.VersionAcked(0, x.version) for x in out if isinstance(x, api.PublishVersion)),
            ]
            looked = sum(s.hosts_considered > 0 for s in a.slices.values())
            assert looked == min(slices, 600 * (1 + round((now - 100_000.0) / 500.0)))
            now += 500.0
            while eager and a.rendezvous.precompute(a.slices, 50_000):
                pass
        logs.append(log)
    assert logs[0] == logs[1]
    assert sum("SetWeight" in x for x in logs[0]) > 100
