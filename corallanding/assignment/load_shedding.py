"""Slices that leave overloaded hosts: moved to hosts with headroom, or shared with replicas."""

from __future__ import annotations

from typing import NamedTuple

from .host_health import HostHealth
from .limits import (
    CALM_RATIO,
    HOT_SLICE_SHARE,
    MAX_SLICES_PER_WINDOW,
    MAX_UTILIZATION,
    OUTLIER_FACTOR,
    SHED_UTILIZATION,
)
from .placement import Placement
from .state import FleetEstimate, Host, Slice

SMALL_SAMPLE_ATTEMPTS = 4.0
"""In a calm fleet of several controllers a host's latency ratio counts by its attempts over those and so many more."""

MIN_LATENCY_RATIO = 0.01
"""Latency ratios below it are taken for it where they divide."""


class SheddingPlan(NamedTuple):
    """How far the load of a host is to come down in this decision.

    `latency_ratio` is the one to compare destinations with. `is_first` is false where a former shedding goes on.
    """

    target_load: float
    latency_ratio: float
    is_first: bool


class LoadShedding:
    """Takes load off overloaded hosts, down to their fair load, through gate and hold as any other move."""

    def __init__(
        self, host_health: HostHealth, slices: dict[int, Slice], placement: Placement, fleet: FleetEstimate
    ) -> None:
        self.host_health = host_health
        self.slices = slices
        self.placement = placement
        self.fleet = fleet
        self.publication = host_health.publication
        self.is_shared = host_health.settings.controller_count > 1  # several controllers share the work

    # Hot slices of several controllers.

    def share_hot_slices(self) -> None:
        """Share each slice that asks for more than a whole host, and overloads its own, with as many as it takes.

        Only where several controllers share the work: reports come seldom there, and one replica at a time is too slow.
        """
        if not self.is_shared:
            return
        for slice_ in self.slices.values():
            replica_count = len(slice_.replicas)
            while slice_.owner and self._is_hot(slice_, slice_.owner):
                if not self._add_healthy_replica(slice_, slice_.owner):
                    break
            if len(slice_.replicas) > replica_count:
                self.publication.write_table(slice_)

    def _is_hot(self, slice_: Slice, owner: Host) -> bool:
        if owner.latency_ratio <= self.fleet.overload_ratio:
            return False
        return slice_.load_per_host > owner.capacity * self.fleet.site_load_per_capacity

    def _add_healthy_replica(self, slice_: Slice, owner: Host) -> bool:
        """Share a slice with one more host; false if the best one is not known to stand it."""
        load_per_host = slice_.requests_per_second / (2 + len(slice_.replicas))
        replica = self.placement.best_host(slice_, load_per_host, is_required=True)
        if replica is None or replica.is_warming_up or replica.latency_ratio * OUTLIER_FACTOR >= owner.latency_ratio:
            return False
        silent_ms = self.publication.now_ms - replica.succeeded_at_ms
        if replica.consecutive_failures or silent_ms > 2 * self.fleet.report_window_ms:
            return False
        if replica.slices_taken >= MAX_SLICES_PER_WINDOW:
            return False
        self.placement.add_replica(slice_, replica, (owner, *slice_.replicas), load_per_host)
        return True

    # Overloaded hosts.

    def shed_overloaded_hosts(self) -> None:
        """Take slices off each overloaded host, the largest first, until it is down to its target."""
        slices_by_host: dict[Host, dict[Slice, None]] = {}  # made once some host is to shed
        for host in self.fleet.eligible_hosts:
            plan = self._plan(host)
            if plan.target_load >= host.load:
                continue
            if not slices_by_host:
                self._add_slices_by_host(slices_by_host)
            served = [
                slice_
                for slice_ in slices_by_host.get(host, ())
                if not slice_.previous_owner and (slice_.owner is host or host in slice_.replicas)
            ]
            for slice_ in sorted(served, key=lambda slice_: (-slice_.load_per_host, slice_.id)):
                if host.load - slice_.load_per_host * 0.5 > plan.target_load:
                    self._shed_slice(slice_, host, plan, slices_by_host)

    def _add_slices_by_host(self, slices_by_host: dict[Host, dict[Slice, None]]) -> None:
        for slice_ in self.slices.values():
            for host in (slice_.owner, *slice_.replicas):
                if host:
                    slices_by_host.setdefault(host, {})[slice_] = None

    def _plan(self, host: Host) -> SheddingPlan:
        """By latency ratio, and by utilization if answers begin to be late. No load comes off where it is at target."""
        fleet = self.fleet
        utilization = host.utilization()
        is_far_over = utilization > SHED_UTILIZATION
        if self.publication.now_ms - host.shed_at_ms <= fleet.feedback_delay_ms:
            # The effect of the last shedding does not show yet. A host far over its fair load goes on to the target
            # that it had: the gate held slices up.
            target_load = host.shed_target_load if is_far_over and self.is_shared else host.load
            return SheddingPlan(target_load, fleet.overload_ratio, is_first=False)
        ratio = self._cautious_latency_ratio(host)
        excess = utilization if is_far_over and ratio > CALM_RATIO else 1.0
        kept_share = min(1.0, 1.0 / excess, fleet.overload_ratio / max(ratio, MIN_LATENCY_RATIO))
        return SheddingPlan(host.load * kept_share, ratio, is_first=True)

    def _cautious_latency_ratio(self, host: Host) -> float:
        """The latency ratio, less where few attempts may be chance.

        Each of several controllers hears of only some attempts at a host.
        """
        is_calm = self.is_shared and self.fleet.median_latency_ratio < CALM_RATIO
        attempts = host.successes + host.failures
        if not attempts:
            return 0.0
        return host.latency_ratio * attempts / (attempts + (SMALL_SAMPLE_ATTEMPTS if is_calm else 0.0))

    def _shed_slice(
        self, slice_: Slice, host: Host, plan: SheddingPlan, slices_by_host: dict[Host, dict[Slice, None]]
    ) -> None:
        """Move a slice off a host, or share it, if a host that is much better off may take it now."""
        # A slice that alone fills much of a host is shared: moved, it would overload the next one.
        is_hot = slice_.load_per_host > HOT_SLICE_SHARE * host.capacity * self.fleet.load_per_capacity
        shared_load = slice_.requests_per_second / (2 + len(slice_.replicas))
        destination = self.placement.best_host(
            slice_, shared_load if is_hot else slice_.load_per_host, is_required=is_hot
        )
        if destination is None or destination.latency_ratio * OUTLIER_FACTOR >= plan.latency_ratio:
            return
        if is_hot and not self._remains_better_off(host, destination, shared_load):
            return
        if not self.placement.passes_gate(slice_, destination):
            return
        if plan.is_first and not host.is_warming_up:  # of a warming host it is the time of its evacuation
            host.shed_at_ms = self.publication.now_ms
            host.shed_target_load = plan.target_load
        if is_hot:
            self.placement.add_replica(slice_, destination, (host,), shared_load)
            slices_by_host.setdefault(destination, {})[slice_] = None
        elif slice_.owner is host:
            self.placement.assign_owner(slice_, destination, holds_previous=True)
        else:
            self.placement.shift_load(host, -slice_.load_per_host)
            slice_.replicas.remove(host)
        self.publication.write_table(slice_)

    def _remains_better_off(self, host: Host, destination: Host, shared_load: float) -> bool:
        """Whether sharing a slice leaves the destination clearly better off than the host that sheds it."""
        return (
            not destination.is_warming_up
            and destination.utilization(shared_load) * MAX_UTILIZATION <= host.utilization()
        )
