"""Decides whether warming hosts serve slices at all, and which slices leave them at once.

Usage reports tell of the demand for a slice seconds late, and a warming host that gets a multiple of its capacity fails
within such a time. So warming hosts serve nothing while the warm ones suffice.
"""

from __future__ import annotations

from collections.abc import Iterable

from .host_health import HostHealth
from .limits import OVERLOAD_RATIO, SHED_UTILIZATION
from .placement import Placement
from .state import FleetEstimate, Host, Slice, upper_median

MIN_WARM_SHARE = 1.0 / 3.0
"""Share of the listed weight of present hosts that warm ones must have for the fleet to do without the warming ones."""

WARM_UP_OVERLOAD_SHARE = 0.5
"""Share of the site's overload factor: the utilization above which a warming host sheds slices at once."""

SERVES_NOTHING = -1.0
"""A utilization that no host is within."""

WARM_UP_OVERLOAD_RATIO = SHED_UTILIZATION * OVERLOAD_RATIO
"""Latency ratio above which a warming host sheds half of its load at once."""


def needs_warming_hosts(present: Iterable[Host], fleet: FleetEstimate) -> bool:
    """Return whether the warm hosts do not suffice: too few of them, or most of them are overloaded."""
    warm = [host for host in fleet.eligible_hosts if not host.is_warming_up]
    warm_weight = sum(host.entry.weight for host in warm)
    if warm_weight < MIN_WARM_SHARE * sum(host.entry.weight for host in present):
        return True
    return upper_median([host.latency_ratio for host in warm]) > OVERLOAD_RATIO


class WarmingHosts:
    """Removes slices from warming hosts: all of them while warm hosts suffice, else what is beyond their capacity."""

    def __init__(
        self, host_health: HostHealth, slices: dict[int, Slice], placement: Placement, fleet: FleetEstimate
    ) -> None:
        self.settings = host_health.settings
        self.host_health = host_health
        self.slices = slices
        self.placement = placement
        self.fleet = fleet
        self.publication = host_health.publication

    def unload(self) -> list[Slice]:
        """Remove slices from warming hosts, and return those that have no owner now.

        Such a host restarted while it served slices, or the demand for its slices grew. It would fail before an
        ordinary move with gate and hold completes. Nothing is removed if all hosts warm up.
        """
        served_by: dict[Host, list[Slice]] = {host: [] for host in self.fleet.eligible_hosts if host.is_warming_up}
        if not served_by or len(served_by) == len(self.fleet.eligible_hosts):
            return []
        self._collect_slices(served_by)
        removed: list[Slice] = []
        for host, served in served_by.items():
            removed += self._unload_host(host, served)
        return removed

    def _collect_slices(self, served_by: dict[Host, list[Slice]]) -> None:
        for slice_ in self.slices.values():
            for host in (slice_.owner, *slice_.replicas):
                if host in served_by:
                    served_by[host].append(slice_)
            if slice_.previous_owner in served_by and slice_.owner and slice_.owner not in served_by:
                slice_.previous_owner = None
                self.publication.write_table(slice_)

    def _unload_host(self, host: Host, served: list[Slice]) -> list[Slice]:
        """Remove the busiest slices from a host until its load is within the limit."""
        max_utilization = self._max_utilization(host)
        removed: list[Slice] = []
        for slice_ in sorted(served, key=lambda slice_: (-slice_.load_per_host, slice_.id)):
            if host.utilization() <= max_utilization:
                break
            if slice_.owner is host:
                self.placement.shift_load(host, -slice_.load_per_host)
                slice_.owner = None
                removed.append(slice_)
            else:
                self.placement.remove_replica(slice_, host)
                self.publication.write_table(slice_)
        return removed

    def _max_utilization(self, host: Host) -> float:
        """Return the utilization to which a host is unloaded; below zero if it must serve nothing."""
        if not self.fleet.needs_warming_hosts:
            return SERVES_NOTHING
        max_utilization = WARM_UP_OVERLOAD_SHARE * self.settings.overload_factor
        since_shed_ms = self.publication.now_ms - host.shed_at_ms
        if host.latency_ratio > WARM_UP_OVERLOAD_RATIO and since_shed_ms > self.fleet.report_window_ms:
            max_utilization = min(max_utilization, host.utilization() / 2)
            host.shed_at_ms = self.publication.now_ms
        return max_utilization
