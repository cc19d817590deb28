"""Evacuation: slices that must leave their hosts at once.

These are the slices of failing, draining and removed hosts, and of overloaded hosts that are still warming up.
"""

from __future__ import annotations

from collections.abc import Iterable

from .host_health import HostHealth
from .limits import OVERLOAD_RATIO, SHED_UTILIZATION
from .placement import Placement
from .state import FleetEstimate, Host, Slice

WARM_UP_OVERLOAD_SHARE = 0.5
"""Share of the site's overload factor: the utilization above which a warming host sheds slices at once."""

WARM_UP_OVERLOAD_RATIO = SHED_UTILIZATION * OVERLOAD_RATIO
"""Latency ratio above which a warming host sheds half of its load at once."""


class Evacuation:
    """Reassigns slices without a usable owner in the step in which that is detected.

    Evacuations skip the gate (`Placement.passes_gate`) and do not hold the previous owner in the table.
    """

    def __init__(
        self, host_health: HostHealth, slices: dict[int, Slice], placement: Placement, fleet: FleetEstimate
    ) -> None:
        self.settings = host_health.settings
        self.host_health = host_health
        self.slices = slices
        self.placement = placement
        self.fleet = fleet
        self.publication = host_health.publication

    def evacuate_unavailable_hosts(self) -> None:
        """Reassign the slices without a usable owner: those of leaving hosts first, then the busiest.

        Slices whose tables name cordoned hosts only come before all others, as proxies cannot send their requests.
        """
        self._drop_ineligible_hosts()
        staying = self._staying_hosts()
        stranded = self._stranded_slices()
        self._write_assigned(stranded)
        self._reassign(slice_ for slice_ in stranded if slice_.owner not in staying)
        self._write_assigned(self.slices.values())
        orphaned = [slice_ for slice_ in self.slices.values() if slice_.owner not in staying]
        self._reassign([*orphaned, *self._unload_overloaded_warming_hosts()])

    def _stranded_slices(self) -> list[Slice]:
        """Return the slices whose tables name cordoned hosts only."""
        if not any(host.is_cordoned for host in self.host_health.hosts.values()):
            return []
        return [
            slice_
            for slice_ in self.slices.values()
            if slice_.weights and all(host.is_cordoned for host in slice_.weights)
        ]

    def _write_assigned(self, slices: Iterable[Slice]) -> None:
        """Write the tables of slices with an eligible owner that exceeded the line budget before."""
        for slice_ in slices:
            if slice_.owner and slice_.owner.is_eligible:
                self.publication.write_table(slice_)

    def _staying_hosts(self) -> set[Host]:
        """Return the hosts that may keep their slices."""
        has_fresh_list = self.host_health.host_list.has_fresh_list
        unconfirmed = (host for host in self.host_health.hosts.values() if not (host.is_listed or has_fresh_list))
        return {*self.fleet.eligible_hosts, *unconfirmed}

    def _reassign(self, slices: Iterable[Slice]) -> None:
        """Reassign slices, the most urgent ones first."""
        for slice_ in sorted(slices, key=self._urgency):
            self._reassign_slice(slice_)

    def _urgency(self, slice_: Slice) -> tuple[bool, float, int]:
        """Sort key: slices of leaving hosts first, then the busiest; ids break ties."""
        return (
            not slice_.owner or not self.host_health.is_leaving(slice_.owner),
            -slice_.requests_per_second,
            slice_.id,
        )

    def _reassign_slice(self, slice_: Slice) -> None:
        if slice_.replicas:
            replica = max(slice_.replicas, key=lambda host: self.placement.score(slice_, host))
            self.placement.assign_owner(slice_, replica, holds_previous=False)
        elif destination := self.placement.best_host(slice_, slice_.load_per_host, is_required=True):
            self.placement.assign_owner(slice_, destination, holds_previous=False)
        elif slice_.owner and self.host_health.is_leaving(slice_.owner):
            slice_.owner = None  # no other host is available, but the drain must be honored nevertheless
            self.publication.write_table(slice_)

    def _drop_ineligible_hosts(self) -> None:
        """Drop ineligible replicas and previous owners."""
        for slice_ in self.slices.values():
            slice_.replicas = slice_.replicas and [host for host in slice_.replicas if host.is_eligible]
            if slice_.previous_owner and not slice_.previous_owner.is_eligible:
                slice_.previous_owner = None

    def _unload_overloaded_warming_hosts(self) -> list[Slice]:
        """Remove excess slices from warming hosts, and return them without an owner. Do nothing if all hosts warm up.

        Such a host restarted while it owned slices, or the demand for its slices grew. It would fail before an ordinary
        move with gate and hold completes.
        """
        eligible_hosts = self.fleet.eligible_hosts
        if all(host.is_warming_up for host in eligible_hosts):
            return []
        slices_by_host: dict[Host, list[Slice]] = {host: [] for host in eligible_hosts if host.is_warming_up}
        if not slices_by_host:
            return []
        for slice_ in self.slices.values():
            if slice_.owner in slices_by_host:
                slices_by_host[slice_.owner].append(slice_)
        removed: list[Slice] = []
        for host, owned in slices_by_host.items():
            removed += self._unload(host, owned)
        return removed

    def _unload(self, host: Host, owned: list[Slice]) -> list[Slice]:
        max_utilization = WARM_UP_OVERLOAD_SHARE * self.settings.overload_factor
        since_shed_ms = self.publication.now_ms - host.shed_at_ms
        if host.latency_ratio > WARM_UP_OVERLOAD_RATIO and since_shed_ms > self.fleet.report_window_ms:
            max_utilization = min(max_utilization, host.utilization() / 2)
            host.shed_at_ms = self.publication.now_ms
        removed: list[Slice] = []
        for slice_ in sorted(owned, key=lambda slice_: (-slice_.requests_per_second, slice_.id)):
            if host.utilization() > max_utilization:
                self.placement.shift_load(host, -slice_.load_per_host)
                slice_.owner = None
                removed.append(slice_)
        return removed
