"""The records that the parts of the assigner share: hosts, slices and estimates over the fleet.

They hold state and arithmetic on it. All decisions are made by the other modules of the package.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import NamedTuple

from .. import interface as api
from .rendezvous import rendezvous_score


def upper_median(values: list[float]) -> float:
    """The median, the upper one of the two middle values of an even count; 0.0 for no values."""
    return sorted(values)[len(values) // 2] if values else 0.0


@dataclass(eq=False)
class Host:
    """What this controller knows of one host, compared by identity.

    Counts of attempts decay with time. The fields under "estimates" are written by `LoadEstimator` at the start of each
    decision and hold until the next one; only `load` follows each change that `Placement` makes in between.
    """

    id: int
    entry: api.HostEntry  # as last listed; it stands when the host leaves the list
    is_listed: bool = True
    process_started_at_ms: float = -math.inf  # of the present process, as far as known
    start_learned_at_ms: float = -math.inf  # when this controller learnt of that start

    # Usage reports and health checks.
    failed_at_ms: float = -math.inf  # when it was last found failing
    successes: float = 0.0  # attempts that were answered, decaying
    failures: float = 0.0  # attempts that were not, decaying
    consecutive_failures: int = 0
    succeeded_at_ms: float = -math.inf  # when an answered attempt was last reported
    alive_at_ms: float = -math.inf  # the last sign of life: an answer, a passed health check or the saved list
    latency_ms: float = 0.0  # smoothed mean latency of answers; 0.0 while unknown
    base_latency_ms: float = 0.0  # the same without overload, which tells the host's speed; 0.0 while unknown
    is_being_checked: bool = False  # a health check is in flight
    health_check_latency_ms: float = 0.0  # of the last passed health check; 0.0 while unknown

    # What decisions did to it.
    is_cordoned: bool = False
    slices_taken: int = 0  # slices that it was given in the present window
    taking_since_ms: float = -math.inf  # when that window began
    shed_at_ms: float = -math.inf  # when a slice last left it because of overload
    shed_target_load: float = math.inf  # the load to which it was to come down then
    scores: dict[int, float] = field(default_factory=dict)  # rendezvous scores asked for one by one, by slice

    # Estimates.
    load: float = 0.0  # requests per second of its share of the slices that it serves
    is_eligible: bool = False  # it may own slices
    is_healthy: bool = False  # it is eligible and not overloaded: it may be given more slices
    is_warming_up: bool = False  # see `HostHealth.is_warming_up`
    capacity: float = 0.0  # relative to other hosts, see `LoadEstimator.capacity_of`
    fair_load: float = 0.0  # its part of the fleet's load by capacity, in requests per second
    latency_ratio: float = 0.0  # see `host_health.latency_ratio`

    def score(self, slice_id: int) -> float:
        """The rendezvous score of this host for a slice, without the host's weight."""
        if slice_id not in self.scores:
            self.scores[slice_id] = rendezvous_score(slice_id, self.id)
        return self.scores[slice_id]

    def utilization(self, added_load: float = 0.0) -> float:
        """Load, with `added_load` more requests per second, over the fair load; 0.0 while the latter is unknown."""
        return (self.load + added_load) / self.fair_load if self.fair_load else 0.0


@dataclass(eq=False)
class Slice:
    """A slice that this controller decides on, compared by identity.

    `weights` is the table of the slice: as the store held it, changed by the actions given out since. It lists the
    owner, its replicas and the previous owner once `Publication.write_table` could publish the difference.
    """

    id: int
    weights: dict[Host, float] = field(default_factory=dict)
    owner: Host | None = None
    replicas: list[Host] = field(default_factory=list)  # further hosts while the slice is in high demand
    requests_per_second: float = 0.0  # the sum of `rate_by_class`; the mean of other slices while that is empty
    rate_by_class: dict[int, float] = field(default_factory=dict)  # smoothed requests per second by request class
    candidate: Host | None = None  # destination of a move that waits at the gate
    candidate_since_ms: float = 0.0
    previous_owner: Host | None = None  # stays in the table until all have acked `hold_version`, or the hold ends
    hold_version: int = 0
    hold_ends_at_ms: float = 0.0
    hosts_considered: int = 0  # of the hosts in the order of the rendezvous table, for a better owner

    @property
    def load_per_host(self) -> float:
        """Requests per second that each of the owner and the replicas gets."""
        return self.requests_per_second / (1 + len(self.replicas))


class SpareLoad(NamedTuple):
    """The load in requests per second that a host can be given before it reaches `MAX_UTILIZATION`."""

    requests_per_second: float
    host: Host


@dataclass(eq=False)
class FleetEstimate:
    """Figures of the whole fleet, written by `LoadEstimator` at the start of each decision and read by all parts.

    `Placement` alone writes in between: it adds to `hosts_with_changed_load`.
    """

    report_window_ms: float  # time in which a usage report of each host and slice arrives
    feedback_delay_ms: float  # time until usage reports tell of the effect of a move
    median_latency_ratio: float = 0.0
    typical_latency_ms: float = 0.0  # `Host.base_latency_ms` of the median host
    typical_latency_ms_by_kind: dict[int, float] = field(default_factory=dict)
    overload_ratio: float = 0.0  # latency ratio above which a host is overloaded, compared with the fleet
    answerable_share: float = 0.0  # peak of answers seen, over the present requests
    load_per_capacity: float = 0.0  # of the slices of this controller
    site_load_per_capacity: float = 0.0  # extrapolated to the slices of all controllers
    max_score_factor: float = 0.0  # a rendezvous score times this bounds the weighted score of any host
    eligible_hosts: list[Host] = field(default_factory=list)
    spare_loads: list[SpareLoad] = field(default_factory=list)  # of the healthy hosts, ascending
    hosts_with_changed_load: dict[Host, None] = field(default_factory=dict)  # since `spare_loads` was made, in order
