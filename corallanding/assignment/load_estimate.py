"""Estimates the fair load of each host from the demand for slices and the capacity of hosts, before each decision."""

from __future__ import annotations

import math
import zlib

from .. import interface as api
from .demand import SliceDemand
from .host_health import HostHealth, latency_ratio
from .limits import FAILURE_MEMORY_MS, MAX_UTILIZATION, OUTLIER_FACTOR, OVERLOAD_RATIO
from .rendezvous import RendezvousTable
from .state import FleetEstimate, Host, SpareLoad, upper_median
from .warming_hosts import needs_warming_hosts

RAMP_SHARE_OF_WARM_UP = 0.75
"""Share of the warm-up time in which a new host's capacity share grows to the full one (12 to 13.5 s)."""

FEEDBACK_REPORT_WINDOWS = 1.5
"""Report windows after which usage reports show the effect of a move."""

COLD_CACHE_FACTOR = 0.25
"""Times the overload factor: the share of its capacity that a warming host is credited with where hosts cache keys."""

PEAK_HALF_LIFE_REPORTS = 4.0
"""Half-life of the count of answers that determines the fleet's peak throughput, in report intervals."""

REPORTS_PER_WINDOW = 4
"""Divisor of the report window that gives the half-life of a host's attempt counts with several controllers."""

MAX_HEADROOM = 1.2
"""Upper bound of the factor by which placement multiplies a weighted score (see `placement.HEADROOM_LIMIT`)."""


class LoadEstimator:
    """Computes the estimates on which all decisions are based until the next estimate.

    It writes `FleetEstimate` and the estimates of each `Host`. Invariant: `peak_load_per_capacity` is the highest load
    that the whole site was observed to answer, and infinite until reports for all slices have arrived.
    """

    def __init__(
        self,
        host_health: HostHealth,
        demand: SliceDemand,
        rendezvous: RendezvousTable[Host],
        fleet: FleetEstimate,
    ) -> None:
        self.settings = host_health.settings
        self.host_health = host_health
        self.demand = demand
        self.slices = demand.slices
        self.rendezvous = rendezvous
        self.fleet = fleet
        self.decayed_at_ms = 0.0  # time of the last decay of the counts
        self.ownership_changed_at_ms = 0.0  # time of the last change of the slices that this controller owns
        self.peak_load_per_capacity = math.inf

    def capacity_of(self, host: Host) -> float:
        """Return the listed weight times the speed, reduced while the host warms up.

        It is meaningful only relative to other hosts. The speed is the geometric mean of the host's own and that of its
        kind: small samples and caches make hosts of one kind look more different than they are.
        """
        settings = self.settings
        age_ms = self.host_health.publication.now_ms - host.process_started_at_ms
        ramp = min(1.0, age_ms / (RAMP_SHARE_OF_WARM_UP * settings.warm_up_ms or 1.0))
        warm_share = settings.warm_up_initial_share + (1.0 - settings.warm_up_initial_share) * ramp
        has_cold_cache = settings.caches_keys and self.host_health.is_warming_up(host)
        cache_share = COLD_CACHE_FACTOR * settings.overload_factor if has_cold_cache else 1.0
        kind_ms = self.fleet.typical_latency_ms_by_kind.get(host.entry.kind) or self.fleet.typical_latency_ms or 1.0
        return host.entry.weight * warm_share * cache_share / math.sqrt(kind_ms * (host.base_latency_ms or kind_ms))

    def update(self) -> None:
        """Recompute all estimates for the current time."""
        self._update_typical_latencies()
        self._decay_counts()
        total_load = self._update_loads()
        present = [host for host in self.host_health.hosts.values() if self._is_present(host)]
        serving = self._choose_eligible_hosts(present)
        self.fleet.needs_warming_hosts = needs_warming_hosts(present, self.fleet)
        self._update_fair_loads(serving, total_load)
        self._update_healthy_hosts(total_load)
        self._prepare_placement()
        self.rendezvous.add(present)

    def _is_present(self, host: Host) -> bool:
        is_listed = host.is_listed or self.host_health.is_alive_but_unlisted(host)
        return is_listed and host.entry.state == api.HostState.UP

    def _update_typical_latencies(self) -> None:
        latencies_by_kind: dict[int, list[float]] = {}
        for host in self.host_health.hosts.values():
            if host.base_latency_ms and host.is_listed:
                latencies_by_kind.setdefault(host.entry.kind, []).append(host.base_latency_ms)
        all_latencies = [latency for latencies in latencies_by_kind.values() for latency in latencies]
        self.fleet.typical_latency_ms = upper_median(all_latencies)
        self.fleet.typical_latency_ms_by_kind = {
            kind: upper_median(latencies) for kind, latencies in latencies_by_kind.items()
        }

    def _decay_counts(self) -> None:
        """Decay all counts by the time since the last estimate.

        With several controllers, each receives only a few reports of a host in a report window, so counts of attempts
        decay more slowly.
        """
        settings = self.settings
        health = self.host_health
        elapsed_ms = health.publication.now_ms - self.decayed_at_ms
        shared_half_life_ms = self.fleet.report_window_ms / REPORTS_PER_WINDOW if settings.controller_count > 1 else 0.0
        attempts_left = 0.5 ** (elapsed_ms / max(settings.report_interval_ms, shared_half_life_ms))
        requests_left = 0.5 ** (elapsed_ms / (PEAK_HALF_LIFE_REPORTS * settings.report_interval_ms))
        health.recent_successes *= requests_left
        self.demand.recent_requests *= requests_left
        self.decayed_at_ms = health.publication.now_ms
        for host in health.hosts.values():
            host.successes *= attempts_left
            host.failures *= attempts_left

    def _update_loads(self) -> float:
        """Update each host's load, capacity and latency ratio, and return the total load of the slices.

        A slice without any report is assumed to have the mean rate of the others. Loads are in requests per second.
        """
        known_rates = [slice_.requests_per_second for slice_ in self.slices.values() if slice_.rate_by_class]
        mean_rate = sum(known_rates) / len(known_rates) if known_rates else 1.0
        total_load = 0.0
        for host in self.host_health.hosts.values():
            self._reset_estimates(host)
        for slice_ in self.slices.values():
            if not slice_.rate_by_class:
                slice_.requests_per_second = mean_rate
            total_load += slice_.requests_per_second
            load = slice_.load_per_host
            if slice_.owner:
                slice_.owner.load += load
            for host in slice_.replicas:
                host.load += load
        return total_load

    def _reset_estimates(self, host: Host) -> None:
        """Reset the estimates of one host that do not depend on other hosts; its load is summed up afterwards."""
        now_ms = self.host_health.publication.now_ms
        host.load = 0.0
        host.is_eligible = False
        host.is_healthy = False
        host.is_warming_up = self.host_health.is_warming_up(host)
        host.capacity = self.capacity_of(host)
        host.latency_ratio = latency_ratio(host, self.host_health.min_latency_objective_ms)
        window_ms = self.fleet.feedback_delay_ms if host.is_warming_up else self.fleet.report_window_ms
        if now_ms - host.taking_window_started_at_ms > window_ms:
            host.slices_taken = 0
            host.taking_window_started_at_ms = now_ms

    def _choose_eligible_hosts(self, present: list[Host]) -> list[Host]:
        """Choose the hosts that may own slices, and return the serving hosts, which include failing ones."""
        now_ms = self.host_health.publication.now_ms
        fleet = self.fleet
        # A new or failed host must prove that it is alive before it counts: lists may name hosts that do not exist.
        for host in present:
            is_silent = not host.is_listed and now_ms - host.alive_at_ms > fleet.report_window_ms
            if host.alive_at_ms <= host.failed_at_ms or is_silent:
                self.host_health.request_health_check(host)
        may_check = self.settings.may_check_health
        serving = [
            host for host in present if host.load or host.alive_at_ms > host.failed_at_ms or not may_check
        ] or present
        self._update_report_window(len(serving))
        fleet.eligible_hosts = [host for host in serving if now_ms - host.failed_at_ms > FAILURE_MEMORY_MS]
        if len(fleet.eligible_hosts) * 2 < len(present):
            fleet.eligible_hosts = serving  # if most fail at once, the path or the requests are at fault, not the hosts
        fleet.median_latency_ratio = upper_median([host.latency_ratio for host in serving])
        fleet.overload_ratio = max(OVERLOAD_RATIO, OUTLIER_FACTOR * fleet.median_latency_ratio)
        return serving

    def _update_report_window(self, host_count: int) -> None:
        """Set the report window: one interval, or longer if the site cannot receive that many reports per second."""
        settings = self.settings
        reports = host_count * settings.zone_count + len(self.slices) * len(settings.request_classes)
        window_ms = max(settings.report_interval_ms, reports * 1000.0 / settings.reports_per_second)
        self.fleet.report_window_ms = window_ms
        self.fleet.feedback_delay_ms = FEEDBACK_REPORT_WINDOWS * window_ms + 2 * settings.propagation_ms

    def _update_fair_loads(self, serving: list[Host], total_load: float) -> None:
        """Divide the load by capacity.

        A warming host gets at most the peak load: with more requests than that, a full share would overload it.
        """
        fleet = self.fleet
        capacity = sum(host.capacity for host in serving if host.load or fleet.may_take_slices(host))
        owned_share = len(self.slices) / (self.settings.slice_count or 1)
        counts_per_second = math.log(2.0) * 1000.0 / (PEAK_HALF_LIFE_REPORTS * self.settings.report_interval_ms)
        self._update_peak(capacity, owned_share, counts_per_second)
        # The peak is that of the whole site: this controller's part follows its number of slices at once.
        peak = self.peak_load_per_capacity * owned_share if owned_share else math.inf
        fleet.answerable_share = peak * capacity / max(self.demand.recent_requests * counts_per_second, 0.001)
        fleet.load_per_capacity = total_load / capacity if capacity else 0.0
        fleet.site_load_per_capacity = fleet.load_per_capacity / (owned_share or 1.0)
        warming_load_per_capacity = min(fleet.load_per_capacity, peak)
        for host in self.host_health.hosts.values():
            host.fair_load = host.capacity * (
                warming_load_per_capacity if host.is_warming_up else fleet.load_per_capacity
            )

    def _update_peak(self, capacity: float, owned_share: float, counts_per_second: float) -> None:
        """Raise the peak to the current throughput, once reports for all slices of this controller have arrived."""
        since_change_ms = self.host_health.publication.now_ms - self.ownership_changed_at_ms
        settle_ms = 2 * PEAK_HALF_LIFE_REPORTS * self.settings.report_interval_ms
        if not capacity or not owned_share or since_change_ms <= max(settle_ms, self.fleet.report_window_ms):
            return
        answered = self.host_health.recent_successes * counts_per_second / capacity / owned_share
        known_peak = self.peak_load_per_capacity if self.peak_load_per_capacity < math.inf else 0.0
        self.peak_load_per_capacity = max(known_peak, answered)

    def _update_healthy_hosts(self, total_load: float) -> None:
        """Determine which eligible hosts may take more slices."""
        mean_slice_load = total_load / (len(self.slices) or 1)
        is_shared = self.settings.controller_count > 1
        for host in self.fleet.eligible_hosts:
            host.is_eligible = True
            host.is_healthy = host.latency_ratio <= (
                OVERLOAD_RATIO if host.is_warming_up else self.fleet.overload_ratio
            )
            if host.is_warming_up and is_shared and mean_slice_load:
                self._round_to_whole_slices(host, mean_slice_load)

    def _round_to_whole_slices(self, host: Host, mean_slice_load: float) -> None:
        """Round the fair load of a warming host to whole slices.

        With many controllers it is less than one slice at each, and all of them would leave the host idle. Each rounds
        with a different offset, so that the sum over all controllers is rounded only once.
        """
        count = self.settings.controller_count
        position = (zlib.crc32(b"%d" % host.id) + self.settings.controller_index) % count
        slices = math.floor(host.fair_load / mean_slice_load + (position + 0.5) / count)
        host.fair_load = slices * mean_slice_load or host.fair_load
        host.is_healthy = host.is_healthy and slices > 0

    def _prepare_placement(self) -> None:
        """Compute what placement reads: the spare load of each healthy host, and the bound of weighted scores."""
        fleet = self.fleet
        spare_loads = [
            SpareLoad(MAX_UTILIZATION * host.fair_load - host.load if host.fair_load else math.inf, host)
            for host in fleet.eligible_hosts
            if host.is_healthy
        ]
        fleet.spare_loads = sorted(spare_loads, key=lambda spare: spare.requests_per_second)
        fleet.hosts_with_changed_load = {}
        fleet.max_score_factor = MAX_HEADROOM * max((host.entry.weight for host in fleet.eligible_hosts), default=0.0)
