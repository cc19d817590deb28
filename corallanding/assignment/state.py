"""Records shared by the components of the assigner: hosts, slices and estimates of the fleet.

They hold state and simple arithmetic. All decisions are made by the other modules of the package.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import NamedTuple

from .. import interface as api
from .rendezvous import rendezvous_score


def upper_median(values: list[float]) -> float:
    """Return the median, the upper of the two middle values if their count is even; 0.0 for no values."""
    return sorted(values)[len(values) // 2] if values else 0.0


@dataclass(eq=False)
class Host:
    """State of one host as known to this controller, compared by identity.

    Counts of attempts decay with time. The fields under "Estimates" are written by `LoadEstimator` at the start of each
    decision and are valid until the next one; only `load` is updated in between, by each change that `Placement` makes.
    """

    id: int
    entry: api.HostEntry  # last listed entry, kept when the host leaves the list
    is_listed: bool = True
    process_started_at_ms: float = -math.inf  # start of the current process, if known
    start_learned_at_ms: float = -math.inf  # time at which this controller learned of that start

    # Usage reports and health checks.
    failed_at_ms: float = -math.inf  # time at which it was last found failing
    successes: float = 0.0  # decaying count of answered attempts
    failures: float = 0.0  # decaying count of unanswered attempts
    consecutive_failures: int = 0
    succeeded_at_ms: float = -math.inf  # time of the last report of an answered attempt
    alive_at_ms: float = -math.inf  # time of the last evidence that it is up: answer, health check or saved list
    latency_ms: float = 0.0  # smoothed mean latency of answers; 0.0 while unknown
    base_latency_ms: float = 0.0  # the latency without overload, a measure of the host's speed; 0.0 while unknown
    is_being_checked: bool = False  # a health check is in flight
    health_check_latency_ms: float = 0.0  # latency of the last passed health check; 0.0 while unknown

    # Results of decisions.
    is_cordoned: bool = False
    slices_taken: int = 0  # number of slices assigned to it in the current window
    taking_window_started_at_ms: float = -math.inf  # start of that window
    shed_at_ms: float = -math.inf  # time at which a slice last left it because of overload
    shed_target_load: float = math.inf  # target load of that shedding, in requests per second
    scores: dict[int, float] = field(default_factory=dict)  # cached rendezvous scores that were requested, by slice

    # Estimates.
    load: float = 0.0  # its part of the load of the slices that it serves, in requests per second
    is_eligible: bool = False  # it may own slices
    is_healthy: bool = False  # it is eligible and not overloaded: it may take more slices
    is_warming_up: bool = False  # see `HostHealth.is_warming_up`
    capacity: float = 0.0  # relative to other hosts, see `LoadEstimator.capacity_of`
    fair_load: float = 0.0  # its part of the fleet's load by capacity, in requests per second
    latency_ratio: float = 0.0  # see `host_health.latency_ratio`

    def score(self, slice_id: int) -> float:
        """Return the rendezvous score of this host for a slice, without the host's weight."""
        if slice_id not in self.scores:
            self.scores[slice_id] = rendezvous_score(slice_id, self.id)
        return self.scores[slice_id]

    def utilization(self, added_load: float = 0.0) -> float:
        """Return load plus `added_load` (requests per second) divided by the fair load.

        Without a fair load it is 0.0, but infinite at a warming host, which is not known to bear any load.
        """
        load = self.load + added_load
        if self.fair_load:
            return load / self.fair_load
        return math.inf if self.is_warming_up and load > 0.0 else 0.0


@dataclass(eq=False)
class Slice:
    """A slice that this controller owns, compared by identity.

    `weights` is the table of the slice as read from the store, updated by the actions returned since. It lists the
    owner, its replicas and the previous owner once `Publication.write_table` has been able to publish the changes.
    """

    id: int
    weights: dict[Host, float] = field(default_factory=dict)
    owner: Host | None = None
    replicas: list[Host] = field(default_factory=list)  # additional hosts while the slice is in high demand
    requests_per_second: float = 0.0  # sum of `rate_by_class`, or the mean of other slices while that is empty
    rate_by_class: dict[int, float] = field(default_factory=dict)  # smoothed requests per second by request class
    candidate: Host | None = None  # destination of a move that has not passed the gate yet
    candidate_since_ms: float = 0.0
    previous_owner: Host | None = None  # kept in the table until all proxies ack `hold_version` or the hold ends
    hold_version: int = 0
    hold_ends_at_ms: float = 0.0
    hosts_considered: int = 0  # hosts considered as a better owner, counted in the order of the rendezvous table

    @property
    def load_per_host(self) -> float:
        """Requests per second received by each of the owner and the replicas."""
        return self.requests_per_second / (1 + len(self.replicas))


class SpareLoad(NamedTuple):
    """The load in requests per second that a host can take before it reaches `MAX_UTILIZATION`."""

    requests_per_second: float
    host: Host


@dataclass(eq=False)
class FleetEstimate:
    """Estimates of the whole fleet, written by `LoadEstimator` at the start of each decision, read by all components.

    The only change in between is that `Placement` adds to `hosts_with_changed_load`.
    """

    report_window_ms: float  # time within which a usage report of each host and slice arrives
    feedback_delay_ms: float  # time until usage reports show the effect of a move
    median_latency_ratio: float = 0.0
    typical_latency_ms: float = 0.0  # `Host.base_latency_ms` of the median host
    typical_latency_ms_by_kind: dict[int, float] = field(default_factory=dict)
    overload_ratio: float = 0.0  # latency ratio above which a host is overloaded, compared with the fleet
    answerable_share: float = 0.0  # peak observed throughput divided by the current requests
    load_per_capacity: float = 0.0  # load of this controller's slices, by capacity of the serving hosts
    site_load_per_capacity: float = 0.0  # the same, extrapolated to the slices of all controllers
    needs_warming_hosts: bool = True  # warm hosts alone do not suffice, so that warming ones may serve slices
    max_score_factor: float = 0.0  # upper bound of a host's weight times headroom
    eligible_hosts: list[Host] = field(default_factory=list)
    spare_loads: list[SpareLoad] = field(default_factory=list)  # spare loads of the healthy hosts, ascending
    hosts_with_changed_load: dict[Host, None] = field(default_factory=dict)  # since `spare_loads` was computed

    def may_take_slices(self, host: Host) -> bool:
        """Return whether a host is warm, or needed while it warms up."""
        return self.needs_warming_hosts or not host.is_warming_up
