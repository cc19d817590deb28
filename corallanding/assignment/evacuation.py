"""Evacuation: slices that must leave their hosts at once.

These are the slices of failing, draining and removed hosts, and those that warming hosts must not serve.
"""

from __future__ import annotations

from collections.abc import Iterable

from .host_health import HostHealth
from .placement import Placement
from .state import FleetEstimate, Host, Slice
from .warming_hosts import WarmingHosts


class Evacuation:
    """Reassigns slices without a usable owner in the step in which that is detected.

    Evacuations skip the gate (`Placement.passes_gate`) and do not hold the previous owner in the table.
    """

    def __init__(
        self,
        host_health: HostHealth,
        slices: dict[int, Slice],
        placement: Placement,
        warming_hosts: WarmingHosts,
        fleet: FleetEstimate,
    ) -> None:
        self.host_health = host_health
        self.slices = slices
        self.placement = placement
        self.fleet = fleet
        self.publication = host_health.publication
        self.warming_hosts = warming_hosts
        self.stranded_since_ms: dict[int, float] = {}  # by slice that has no usable host in its table

    def evacuate_unavailable_hosts(self) -> None:
        """Reassign the slices without a usable owner: those of leaving hosts first, then the busiest.

        Slices without a usable host in their tables come before all others, as proxies cannot send their requests. Of
        these, the ones that have waited longest come first, and then the busiest.
        """
        self._drop_ineligible_hosts()
        staying = self._staying_hosts()
        stranded = self._stranded_slices()
        for slice_ in stranded:
            if slice_.owner in staying:
                self._write_assigned([slice_])
            else:
                self._reassign_slice(slice_)
        self._write_assigned(self.slices.values())
        orphaned = [slice_ for slice_ in self.slices.values() if slice_.owner not in staying]
        self._reassign([*orphaned, *self.warming_hosts.unload()])

    def _stranded_slices(self) -> list[Slice]:
        """Return the slices to which proxies send nothing, by the time they wait.

        Their tables name cordoned hosts only, or no host because their first entry has been postponed.
        """
        stranded = [
            slice_
            for slice_ in self.slices.values()
            if (slice_.weights or slice_.owner) and all(host.is_cordoned for host in slice_.weights)
        ]
        former = self.stranded_since_ms
        self.stranded_since_ms = {slice_.id: former.get(slice_.id, self.publication.now_ms) for slice_ in stranded}
        return sorted(stranded, key=self._waiting_order)

    def _waiting_order(self, slice_: Slice) -> tuple[float, float, int]:
        """Sort key of stranded slices: the longest wait first, then the busiest; ids break ties."""
        return self.stranded_since_ms[slice_.id], -slice_.requests_per_second, slice_.id

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
            replica = max(
                slice_.replicas, key=lambda host: (not host.is_warming_up, self.placement.score(slice_, host))
            )
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
