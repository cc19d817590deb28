"""Load shedding: moves slices off overloaded hosts to hosts with headroom, or shares them with replicas."""

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
"""Attempts added to a host's own when its latency ratio is discounted for a small sample.

The ratio is multiplied by attempts / (attempts + this number), in a calm fleet with several controllers only.
"""

MIN_LATENCY_RATIO = 0.01
"""Lower bound of a latency ratio used as a divisor."""


class SheddingPlan(NamedTuple):
    """The load to which a host is to be reduced in this decision, in requests per second.

    Destinations are compared with `latency_ratio`. `is_first` is false if an earlier shedding continues.
    """

    target_load: float
    latency_ratio: float
    is_first: bool


class LoadShedding:
    """Reduces the load of overloaded hosts to their fair load, by moves with gate and hold (see `Placement`)."""

    def __init__(
        self, host_health: HostHealth, slices: dict[int, Slice], placement: Placement, fleet: FleetEstimate
    ) -> None:
        self.host_health = host_health
        self.slices = slices
        self.placement = placement
        self.fleet = fleet
        self.publication = host_health.publication
        self.has_several_controllers = host_health.settings.controller_count > 1

    # Hot slices at sites with several controllers.

    def share_hot_slices(self) -> None:
        """Add as many replicas as needed to each slice that overloads its owner and exceeds the fair load of a host.

        Only with several controllers: each receives few reports then, and adding one replica at a time is too slow.
        """
        if not self.has_several_controllers:
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
        """Add a replica to a slice; return false if the best host is not known to be able to bear the load."""
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
        """Remove slices from each overloaded host, the largest first, until its load is down to the target."""
        slices_by_host: dict[Host, dict[Slice, None]] = {}  # filled once a host has to shed load
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
        """Derive the target load from the latency ratio, and from the utilization if the host shows signs of overload.

        A target equal to the present load means that nothing is shed.
        """
        fleet = self.fleet
        utilization = host.utilization()
        is_far_over = utilization > SHED_UTILIZATION
        if self.publication.now_ms - host.shed_at_ms <= fleet.feedback_delay_ms:
            # Reports do not show the effect of the last shedding yet. A host far over its fair load continues towards
            # its previous target, as the gate delayed some slices.
            target_load = host.shed_target_load if is_far_over and self.has_several_controllers else host.load
            return SheddingPlan(target_load, fleet.overload_ratio, is_first=False)
        ratio = self._cautious_latency_ratio(host)
        excess = utilization if is_far_over and ratio > CALM_RATIO else 1.0
        retained_share = min(1.0, 1.0 / excess, fleet.overload_ratio / max(ratio, MIN_LATENCY_RATIO))
        return SheddingPlan(host.load * retained_share, ratio, is_first=True)

    def _cautious_latency_ratio(self, host: Host) -> float:
        """Return the latency ratio, discounted for small samples in a calm fleet.

        With several controllers, each receives reports of only some of the attempts at a host.
        """
        is_calm = self.has_several_controllers and self.fleet.median_latency_ratio < CALM_RATIO
        attempts = host.successes + host.failures
        if not attempts:
            return 0.0
        return host.latency_ratio * attempts / (attempts + (SMALL_SAMPLE_ATTEMPTS if is_calm else 0.0))

    def _shed_slice(
        self, slice_: Slice, host: Host, plan: SheddingPlan, slices_by_host: dict[Host, dict[Slice, None]]
    ) -> None:
        """Move a slice off a host, or add a replica, if a host with a much lower latency ratio may take it now."""
        # A slice that uses much of a host's capacity is shared; if moved, it would overload the next host.
        is_hot = slice_.load_per_host > HOT_SLICE_SHARE * host.capacity * self.fleet.load_per_capacity
        shared_load = slice_.requests_per_second / (2 + len(slice_.replicas))
        destination = self.placement.best_host(
            slice_, shared_load if is_hot else slice_.load_per_host, is_required=is_hot
        )
        if destination is None or destination.latency_ratio * OUTLIER_FACTOR >= plan.latency_ratio:
            return
        if is_hot and not self._remains_less_utilized(host, destination, shared_load):
            return
        if not self.placement.passes_gate(slice_, destination):
            return
        if plan.is_first and not host.is_warming_up:  # for a warming host, `shed_at_ms` is the time of its evacuation
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

    def _remains_less_utilized(self, host: Host, destination: Host, shared_load: float) -> bool:
        """Return whether the destination would still be clearly less utilized than the host that sheds the slice."""
        return (
            not destination.is_warming_up
            and destination.utilization(shared_load) * MAX_UTILIZATION <= host.utilization()
        )
