"""Placement: chooses the host for a slice by rendezvous hashing among hosts with headroom, and decides when it moves.

An ordinary move must pass the gate (the destination has proven to be ready). Then the hold keeps the previous owner in
the table until all proxies have acknowledged the new one, or `MAX_HOLD_MS` have passed.
"""

from __future__ import annotations

from bisect import bisect_left
from typing import NamedTuple

from .host_health import HostHealth
from .limits import MAX_SLICES_PER_WINDOW, MAX_UTILIZATION, SUSPECT_FAILURES
from .publication import QuotaKind
from .rendezvous import RendezvousTable, rendezvous_score
from .state import FleetEstimate, Host, Slice

MAX_HOLD_MS = 5_000.0
"""Maximum time for which the previous owner stays in the table while acknowledgements are outstanding."""

HEADROOM_LIMIT = MAX_UTILIZATION * 1.05
"""A weighted score is multiplied by this limit minus the utilization, to prefer hosts with more headroom."""

SPARE_LOAD_TOLERANCE = 1.0 - 1e-9
"""Spare loads are compared with slightly less than the added load, so that rounding does not exclude a host."""


class ScoredHost(NamedTuple):
    """A host, or None, and its weighted score times its headroom."""

    host: Host | None
    value: float


class Placement:
    """Chooses hosts for slices, and sets owners and replicas.

    Invariant: each change of an owner or replica updates the loads of the hosts immediately, so that later choices in
    the same decision take it into account.
    """

    def __init__(self, host_health: HostHealth, rendezvous: RendezvousTable[Host], fleet: FleetEstimate) -> None:
        self.settings = host_health.settings
        self.host_health = host_health
        self.rendezvous = rendezvous
        self.fleet = fleet
        self.publication = host_health.publication

    def score(self, slice_: Slice, host: Host) -> float:
        """Return the weighted rendezvous score of a host for a slice."""
        return host.entry.weight * host.score(slice_.id)

    def best_host(
        self, slice_: Slice, added_load: float, *, is_required: bool = False, min_score: float = 0.0
    ) -> Host | None:
        """Return the healthy host with the highest weighted score times headroom that can bear `added_load`.

        If there is none, return the least utilized host, preferably one that is not warming up, if `is_required`, and
        None otherwise. The caller must ignore a host whose score is not above `min_score`: a better one of that kind
        may have been missed. `added_load` is in requests per second.
        """
        excluded = (slice_.owner, *slice_.replicas)
        # A slice without a report may be in high demand, and is not given to a warming host.
        max_taken = MAX_SLICES_PER_WINDOW if slice_.rate_by_class else 0
        max_score_factor = self.fleet.max_score_factor
        best: Host | None = None
        best_value = 0.0
        scores, hosts = self.rendezvous.ranking(slice_.id)
        for score, host in zip(scores, hosts, strict=True):
            if score * max_score_factor <= best_value:
                return best  # no host with a lower score can win
            if (
                host.is_healthy
                and host not in excluded
                and (utilization := host.utilization(added_load)) <= MAX_UTILIZATION
            ):
                value = host.entry.weight * score * (HEADROOM_LIMIT - utilization)
                if value > best_value and self.may_take_slice(host, max_taken):
                    best = host
                    best_value = value
        max_score_beyond = scores[-1] * max_score_factor if scores and not self.rendezvous.is_complete else 0.0
        if max_score_beyond > min_score or (max_score_beyond and best and self.score(slice_, best) > min_score):
            best = self._best_of_all(slice_, added_load, max_taken, ScoredHost(best, best_value))
        if best or not is_required:
            return best
        return self._least_utilized(excluded, added_load)

    def _best_of_all(self, slice_: Slice, added_load: float, max_taken: int, best: ScoredHost) -> Host | None:
        """Return the best host among `best` and all hosts that may have headroom, inside the ranking or not."""
        excluded = (slice_.owner, *slice_.replicas)
        spare_loads = self.fleet.spare_loads
        first = bisect_left(spare_loads, added_load * SPARE_LOAD_TOLERANCE, key=lambda spare: spare[0])
        # Hosts that had headroom at the last estimate, and those whose load has changed since then.
        for host in (*(host for _, host in spare_loads[first:]), *self.fleet.hosts_with_changed_load):
            if (
                not host.is_healthy
                or host in excluded
                or (utilization := host.utilization(added_load)) > MAX_UTILIZATION
            ):
                continue
            if self.may_take_slice(host, max_taken):
                value = host.entry.weight * rendezvous_score(slice_.id, host.id) * (HEADROOM_LIMIT - utilization)
                if value > best.value:
                    best = ScoredHost(host, value)
        return best.host

    def _least_utilized(self, excluded: tuple[Host | None, ...], added_load: float) -> Host | None:
        others = [host for host in self.fleet.eligible_hosts if host not in excluded]
        others = [host for host in others if not host.is_warming_up] or others
        return min(others, key=lambda host: host.utilization(added_load)) if others else None

    def may_take_slice(self, host: Host, max_taken: int) -> bool:
        """Return whether a host may take a slice.

        A warming one takes slices only if it is needed, and at most `max_taken` per window, by quota.
        """
        if not self.fleet.may_take_slices(host):
            return False
        if not host.is_warming_up:
            return True
        return host.slices_taken < max_taken and self.publication.may_begin(QuotaKind.WARM_UP_SLICES, host.id, False)

    def passes_gate(self, slice_: Slice, destination: Host) -> bool:
        """Return whether a slice may move off a usable owner now.

        The destination must have answered attempts within the last two report windows without a failure since, or have
        been the candidate for a report interval without becoming suspect. The quota must allow the move, and counts it.
        """
        settings = self.settings
        now_ms = self.publication.now_ms
        if slice_.candidate is not destination:
            slice_.candidate = destination
            slice_.candidate_since_ms = now_ms
            if now_ms - destination.alive_at_ms > settings.report_interval_ms:
                self.host_health.request_health_check(destination)
        failures = destination.consecutive_failures
        is_proven = failures == 0 and now_ms - destination.succeeded_at_ms <= 2 * self.fleet.report_window_ms
        has_waited = now_ms - slice_.candidate_since_ms >= settings.report_interval_ms
        if failures >= SUSPECT_FAILURES or not (is_proven or has_waited):
            return False
        if destination.slices_taken >= MAX_SLICES_PER_WINDOW:
            return False
        return self.publication.may_begin(QuotaKind.MOVES, 0, True)

    def assign_owner(self, slice_: Slice, host: Host, *, holds_previous: bool) -> None:
        """Make a host the owner. The previous one leaves the table, or stays until the new version is acknowledged."""
        if slice_.owner:
            self.shift_load(slice_.owner, -slice_.load_per_host)
        self.shift_load(host, slice_.load_per_host)
        self._count_taken_slice(host)
        slice_.previous_owner = slice_.owner if holds_previous else None
        slice_.owner = host
        slice_.candidate = None
        slice_.replicas = [replica for replica in slice_.replicas if replica is not host]
        slice_.hold_version = self.publication.pending_versions.next_version
        slice_.hold_ends_at_ms = self.publication.now_ms + MAX_HOLD_MS
        self.publication.write_table(slice_)

    def add_replica(self, slice_: Slice, host: Host, sharing: tuple[Host | None, ...], load_per_host: float) -> None:
        """Add a replica to a slice; each host in `sharing` then has `load_per_host` requests per second of it."""
        for other in sharing:
            if other:
                self.shift_load(other, load_per_host - slice_.load_per_host)
        self.shift_load(host, load_per_host)
        self._count_taken_slice(host)
        slice_.replicas.append(host)

    def remove_replica(self, slice_: Slice, host: Host) -> None:
        """Remove a replica from a slice; the other hosts of the slice share its load."""
        load_before = slice_.load_per_host
        slice_.replicas.remove(host)
        self.shift_load(host, -load_before)
        for other in (slice_.owner, *slice_.replicas):
            if other:
                self.shift_load(other, slice_.load_per_host - load_before)

    def shift_load(self, host: Host, load: float) -> None:
        """Add `load` to the load of a host, in requests per second."""
        host.load += load
        self.fleet.hosts_with_changed_load[host] = None

    def _count_taken_slice(self, host: Host) -> None:
        host.slices_taken += 1
        if host.is_warming_up:
            self.publication.may_begin(QuotaKind.WARM_UP_SLICES, host.id, True)
