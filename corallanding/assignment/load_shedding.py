"""Slices that leave overloaded hosts: moved to hosts with room, or shared with replicas."""

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
    """How far the load of a host is to come down in this turn.

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
        for s in self.slices.values():
            replica_count = len(s.replicas)
            while s.owner and self._is_hot(s, s.owner):
                if not self._add_healthy_replica(s, s.owner):
                    break
            if len(s.replicas) > replica_count:
                self.publication.write_table(s)

    def _is_hot(self, s: Slice, owner: Host) -> bool:
        if owner.latency_ratio <= self.fleet.overload_ratio:
            return False
        return s.load_per_host > owner.capacity * self.fleet.site_load_per_capacity

    def _add_healthy_replica(self, s: Slice, owner: Host) -> bool:
        """Share a slice with one more host; false if the best one is not known to stand it."""
        load_per_host = s.requests_per_second / (2 + len(s.replicas))
        replica = self.placement.best_host(s, load_per_host, is_required=True)
        if replica is None or replica.is_warming_up or replica.latency_ratio * OUTLIER_FACTOR >= owner.latency_ratio:
            return False
        silent_ms = self.publication.now_ms - replica.succeeded_at_ms
        if replica.consecutive_failures or silent_ms > 2 * self.fleet.report_window_ms:
            return False
        if replica.slices_taken >= MAX_SLICES_PER_WINDOW:
            return False
        self.placement.add_replica(s, replica, (owner, *s.replicas), load_per_host)
        return True

    # Overloaded hosts.

    def shed_overloaded_hosts(self) -> None:
        """Take slices off each overloaded host, the largest first, until it is down to its target."""
        slices_by_host: dict[Host, dict[Slice, None]] = {}  # made once some host is to shed
        for h in self.fleet.eligible_hosts:
            plan = self._plan(h)
            if plan.target_load >= h.load:
                continue
            if not slices_by_host:
                self._add_slices_by_host(slices_by_host)
            served = [
                s for s in slices_by_host.get(h, ()) if not s.previous_owner and (s.owner is h or h in s.replicas)
            ]
            for s in sorted(served, key=lambda s: (-s.load_per_host, s.id)):
                if h.load - s.load_per_host * 0.5 > plan.target_load:
                    self._shed_slice(s, h, plan, slices_by_host)

    def _add_slices_by_host(self, slices_by_host: dict[Host, dict[Slice, None]]) -> None:
        for s in self.slices.values():
            for h in (s.owner, *s.replicas):
                if h:
                    slices_by_host.setdefault(h, {})[s] = None

    def _plan(self, h: Host) -> SheddingPlan:
        """By latency ratio, and by utilization if answers begin to be late. No load comes off where it is at target."""
        fleet = self.fleet
        utilization = h.utilization()
        is_far_over = utilization > SHED_UTILIZATION
        if self.publication.now_ms - h.shed_at_ms <= fleet.feedback_delay_ms:
            # The effect of the last shedding does not show yet. A host far over its fair load goes on to the target
            # that it had: the gate held slices up.
            target_load = h.shed_target_load if is_far_over and self.is_shared else h.load
            return SheddingPlan(target_load, fleet.overload_ratio, is_first=False)
        ratio = self._cautious_latency_ratio(h)
        excess = utilization if is_far_over and ratio > CALM_RATIO else 1.0
        kept_share = min(1.0, 1.0 / excess, fleet.overload_ratio / max(ratio, MIN_LATENCY_RATIO))
        return SheddingPlan(h.load * kept_share, ratio, is_first=True)

    def _cautious_latency_ratio(self, h: Host) -> float:
        """The latency ratio, less where few attempts may be chance.

        Each of several controllers hears of only some attempts at a host.
        """
        is_calm = self.is_shared and self.fleet.median_latency_ratio < CALM_RATIO
        attempts = h.successes + h.failures
        if not attempts:
            return 0.0
        return h.latency_ratio * attempts / (attempts + (SMALL_SAMPLE_ATTEMPTS if is_calm else 0.0))

    def _shed_slice(self, s: Slice, h: Host, plan: SheddingPlan, slices_by_host: dict[Host, dict[Slice, None]]) -> None:
        """Move a slice off a host, or share it, if a host that is much better off may take it now."""
        # A slice that alone fills much of a host is shared: moved, it would overload the next one.
        is_hot = s.load_per_host > HOT_SLICE_SHARE * h.capacity * self.fleet.load_per_capacity
        shared_load = s.requests_per_second / (2 + len(s.replicas))
        destination = self.placement.best_host(s, shared_load if is_hot else s.load_per_host, is_required=is_hot)
        if destination is None or destination.latency_ratio * OUTLIER_FACTOR >= plan.latency_ratio:
            return
        if is_hot and not self._has_room_to_share(h, destination, shared_load):
            return
        if not self.placement.passes_gate(s, destination):
            return
        if plan.is_first and not h.is_warming_up:  # of a warming host it is the time of its evacuation
            h.shed_at_ms = self.publication.now_ms
            h.shed_target_load = plan.target_load
        if is_hot:
            self.placement.add_replica(s, destination, (h,), shared_load)
            slices_by_host.setdefault(destination, {})[s] = None
        elif s.owner is h:
            self.placement.assign_owner(s, destination, holds_previous=True)
        else:
            self.placement.shift_load(h, -s.load_per_host)
            s.replicas.remove(h)
        self.publication.write_table(s)

    def _has_room_to_share(self, h: Host, destination: Host, shared_load: float) -> bool:
        """Whether sharing a slice leaves the destination clearly better off than the host that sheds it."""
        return (
            not destination.is_warming_up and destination.utilization(shared_load) * MAX_UTILIZATION <= h.utilization()
        )
