"""`Placement.best_host` gives the same results as a direct search over all hosts."""

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


def expected_best_host(assigner: Assigner, slice_: Slice, added_load: float, *, is_required: bool) -> Host | None:
    """Return the host with the highest weighted score times headroom, or else the least utilized if one is required."""
    excluded = [slice_.owner, *slice_.replicas]
    others = [host for host in assigner.fleet.eligible_hosts if host not in excluded]
    capable = [host for host in others if may_take(assigner, slice_, host, added_load)]
    if capable:
        return max(capable, key=lambda host: score_times_headroom(slice_, host, added_load))
    if not is_required:
        return None
    others = [host for host in others if not assigner.host_health.is_warming_up(host)] or others
    return min(others, key=lambda host: host.utilization(added_load)) if others else None


def may_take(assigner: Assigner, slice_: Slice, host: Host, added_load: float) -> bool:
    """Return whether a host has headroom, is not overloaded, and may take this slice while it warms up."""
    is_warming_up = assigner.host_health.is_warming_up(host)
    is_needed = assigner.fleet.needs_warming_hosts and slice_.rate_by_class
    if is_warming_up and not (is_needed and host.slices_taken < MAX_SLICES_PER_WINDOW):
        return False
    max_ratio = OVERLOAD_RATIO if is_warming_up else assigner.fleet.overload_ratio
    ratio = latency_ratio(host, assigner.host_health.min_latency_objective_ms)
    return host.utilization(added_load) <= MAX_UTILIZATION and ratio <= max_ratio


def score_times_headroom(slice_: Slice, host: Host, added_load: float) -> float:
    """Return the weighted score times headroom."""
    headroom = MAX_UTILIZATION * 1.05 - host.utilization(added_load)
    return host.entry.weight * rendezvous_score(slice_.id, host.id) * headroom


def assigner_with_large_fleet(rng: random.Random, seed: int) -> Assigner:
    """Return an assigner with more hosts than a ranking holds, so that hosts beyond the ranking are examined too."""
    host_count, slice_count = rng.choice(((120, 60), (200, 40), (60, 90)))
    settings = api.Settings(request_classes=(QUOTE,), slice_count=slice_count, max_queued_lines=1e6)
    assigner = Assigner(settings, seed)
    entries = []
    for host_id in range(host_count):
        weight = rng.choice((0.5, 1.0, 4.0))
        entries.append(api.HostEntry(host_id, weight=weight, online_since=rng.choice((0.0, 99_000.0))))
    events: list[api.Event] = [
        api.HostListUpdate(api.HostListKind.FULL, 1, tuple(entries)),
        api.ProxyJoined(0, 0, 1.0, True),
    ]
    for slice_id in range(slice_count):
        stored = api.StoredWeight(slice_id, rng.randrange(host_count), 1.0)
        events += [api.SliceOwnershipChange(slice_id, True), stored]
    assigner.step(100_000.0, events)
    reports = [api.SliceUsageReport(slice_id, 0, 9, 0, 9_000.0) for slice_id in range(0, slice_count, 2)]
    assigner.step(100_001.0, reports)
    return assigner


def set_random_estimates(assigner: Assigner, rng: random.Random) -> None:
    """Set random loads, latencies and eligible hosts, as an estimate would; then change a few loads."""
    fleet = assigner.fleet
    for host in assigner.hosts.values():
        host.load = rng.uniform(0.0, 2.2) * host.fair_load if rng.random() < 0.8 else 0.0
        host.is_eligible = rng.random() < rng.choice((0.02, 0.5, 1.0))
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
    for host in rng.sample(fleet.eligible_hosts, len(fleet.eligible_hosts) // 5):
        assigner.placement.shift_load(host, -rng.random() * host.load)


def check_slice(assigner: Assigner, slice_: Slice, rng: random.Random) -> None:
    """Compare the best host for a slice with the expected one, for random arguments."""
    placement = assigner.placement
    slice_.replicas = rng.sample([*assigner.hosts.values()], rng.choice((0, 0, 2)))
    added_load = rng.choice((0.0, slice_.load_per_host, 3 * slice_.load_per_host))
    is_required = rng.random() < 0.5
    expected = expected_best_host(assigner, slice_, added_load, is_required=is_required)
    assert placement.best_host(slice_, added_load, is_required=is_required) is expected
    min_score = rng.choice((0.1, 10.0, 1e4))
    found = placement.best_host(slice_, added_load, min_score=min_score)
    expected = expected_best_host(assigner, slice_, added_load, is_required=False)
    above_min_score = [host for host in (found, expected) if host and placement.score(slice_, host) > min_score]
    assert found is expected or not above_min_score


@pytest.mark.parametrize("seed", range(6))
def test_best_host_when_compared_with_all_hosts_then_it_is_the_best_one_with_headroom(seed: int) -> None:
    rng = random.Random(seed)
    assigner = assigner_with_large_fleet(rng, seed)
    checked = 0
    for _ in range(30):
        set_random_estimates(assigner, rng)
        for slice_ in assigner.slices.values():
            check_slice(assigner, slice_, rng)
            checked += 1
    assert checked
