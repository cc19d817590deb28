"""`Placement.best_host` against its one-sentence definition over all hosts."""

from __future__ import annotations

import math
import random

import pytest

from corallanding import interface as api
from corallanding.assignment import Assigner
from corallanding.assignment.host_health import latency_ratio
from corallanding.assignment.limits import MAX_SLICES_PER_WINDOW, MAX_UTILIZATION, OVERLOAD_RATIO
from corallanding.assignment.rendezvous import rendezvous_score
from corallanding.assignment.state import Host, Slice, SpareLoad
from tests.assignment.generated_days import QUOTE


def best_by_definition(assigner: Assigner, slice_: Slice, added_load: float, *, is_required: bool) -> Host | None:
    """The host of the highest weighted score times headroom; the least utilized one if one is required."""
    excluded = [slice_.owner, *slice_.replicas]
    others = [host for host in assigner.fleet.eligible_hosts if host not in excluded]
    able = [host for host in others if may_take(assigner, slice_, host, added_load)]
    if able:
        return max(able, key=lambda host: value(slice_, host, added_load))
    if not is_required:
        return None
    others = [host for host in others if not assigner.host_health.is_warming_up(host)] or others
    return min(others, key=lambda host: host.utilization(added_load)) if others else None


def may_take(assigner: Assigner, slice_: Slice, host: Host, added_load: float) -> bool:
    """Whether a host has headroom, is not overloaded, and has not taken too many slices while it warms up."""
    is_warming_up = assigner.host_health.is_warming_up(host)
    has_been_reported = slice_.rate_by_class or not slice_.replicas
    if is_warming_up and not (has_been_reported and host.slices_taken < MAX_SLICES_PER_WINDOW):
        return False
    max_ratio = OVERLOAD_RATIO if is_warming_up else assigner.fleet.overload_ratio
    ratio = latency_ratio(host, assigner.host_health.min_latency_objective_ms)
    return host.utilization(added_load) <= MAX_UTILIZATION and ratio <= max_ratio


def value(slice_: Slice, host: Host, added_load: float) -> float:
    """Weighted score times headroom."""
    headroom = MAX_UTILIZATION * 1.05 - host.utilization(added_load)
    return host.entry.weight * rendezvous_score(slice_.id, host.id) * headroom


def assigner_with_large_fleet(chance: random.Random, seed: int) -> Assigner:
    """Mostly more hosts than a ranking holds, so that those beyond it are looked at too."""
    host_count, slice_count = chance.choice(((120, 60), (200, 40), (60, 90)))
    settings = api.Settings(request_classes=(QUOTE,), slice_count=slice_count, max_queued_lines=1e6)
    assigner = Assigner(settings, seed)
    entries = []
    for host_id in range(host_count):
        weight = chance.choice((0.5, 1.0, 4.0))
        entries.append(api.HostEntry(host_id, weight=weight, online_since=chance.choice((0.0, 99_000.0))))
    events: list[api.Event] = [
        api.HostListUpdate(api.HostListKind.FULL, 1, tuple(entries)),
        api.ProxyJoined(0, 0, 1.0, True),
    ]
    for slice_id in range(slice_count):
        stored = api.StoredWeight(slice_id, chance.randrange(host_count), 1.0)
        events += [api.SliceOwnershipChange(slice_id, True), stored]
    assigner.step(100_000.0, events)
    reports = [api.SliceUsageReport(slice_id, 0, 9, 0, 9_000.0) for slice_id in range(0, slice_count, 2)]
    assigner.step(100_001.0, reports)
    return assigner


def draw_estimates(assigner: Assigner, chance: random.Random) -> None:
    """Other loads, latencies and eligible hosts, as an estimate would leave them; then shift a few loads."""
    fleet = assigner.fleet
    for host in assigner.hosts.values():
        host.load = chance.uniform(0.0, 2.2) * host.fair_load if chance.random() < 0.8 else 0.0
        host.is_eligible = chance.random() < chance.choice((0.02, 0.5, 1.0))
        host.successes = 10.0
        host.failures = 0.0
        host.latency_ms = 100.0 if host.is_eligible else 5000.0
        host.latency_ratio = latency_ratio(host, assigner.host_health.min_latency_objective_ms)
        max_ratio = OVERLOAD_RATIO if host.is_warming_up else fleet.overload_ratio
        host.is_healthy = host.is_eligible and host.latency_ratio <= max_ratio
    fleet.eligible_hosts = [host for host in assigner.hosts.values() if host.is_eligible]
    spare_loads = [
        SpareLoad(MAX_UTILIZATION * host.fair_load - host.load if host.fair_load else math.inf, host)
        for host in fleet.eligible_hosts
        if host.is_healthy
    ]
    fleet.spare_loads = sorted(spare_loads, key=lambda spare: spare.requests_per_second)
    fleet.hosts_with_changed_load = {}
    for host in chance.sample(fleet.eligible_hosts, len(fleet.eligible_hosts) // 5):
        assigner.placement.shift_load(host, -chance.random() * host.load)


def check_slice(assigner: Assigner, slice_: Slice, chance: random.Random) -> None:
    """Ask for the best host of a slice in some ways."""
    placement = assigner.placement
    slice_.replicas = chance.sample([*assigner.hosts.values()], chance.choice((0, 0, 2)))
    added_load = chance.choice((0.0, slice_.load_per_host, 3 * slice_.load_per_host))
    is_required = chance.random() < 0.5
    expected = best_by_definition(assigner, slice_, added_load, is_required=is_required)
    assert placement.best_host(slice_, added_load, is_required=is_required) is expected
    min_score = chance.choice((0.1, 10.0, 1e4))
    found = placement.best_host(slice_, added_load, min_score=min_score)
    expected = best_by_definition(assigner, slice_, added_load, is_required=False)
    above = [host for host in (found, expected) if host and placement.score(slice_, host) > min_score]
    assert found is expected or not above


@pytest.mark.parametrize("seed", range(6))
def test_best_host_when_compared_with_all_hosts_then_it_is_the_top_of_those_with_headroom(seed: int) -> None:
    chance = random.Random(seed)
    assigner = assigner_with_large_fleet(chance, seed)
    checked = 0
    for _ in range(30):
        draw_estimates(assigner, chance)
        for slice_ in assigner.slices.values():
            check_slice(assigner, slice_, chance)
            checked += 1
    assert checked
