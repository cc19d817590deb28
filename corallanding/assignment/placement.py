"""Which host takes a slice, and whether it may yet: rendezvous among the hosts with room, and the gate."""

from __future__ import annotations

from bisect import bisect_left
from typing import NamedTuple

from .host_health import HostHealth
from .limits import MAX_SLICES_PER_WINDOW, MAX_UTILIZATION, SUSPECT_FAILURES
from .publication import QuotaKind
from .rendezvous import RendezvousTable, rendezvous_score
from .state import FleetEstimate, Host, Slice

MAX_HOLD_MS = 5_000.0
"""How long the previous owner stays in the table at most while acknowledgements are out."""

ROOM_OFFSET = MAX_UTILIZATION * 1.05
"""A weighted score is multiplied by this less the utilization, so that free room counts."""

SPARE_LOAD_TOLERANCE = 1.0 - 1e-9
"""Spare loads are compared with a little less than the load asked for: rounding must not leave a host out."""


class Scored(NamedTuple):
    """A host, none yet, and its weighted score times its room."""

    host: Host | None
    value: float


class Placement:
    """Chooses hosts for slices and writes owners and replicas.

    Invariant: each change of an owner or replica moves the slice's load between the hosts at once, so that later
    choices of the same turn see it.
    """

    def __init__(self, host_health: HostHealth, rendezvous: RendezvousTable[Host], fleet: FleetEstimate) -> None:
        self.settings = host_health.settings
        self.host_health = host_health
        self.rendezvous = rendezvous
        self.fleet = fleet
        self.publication = host_health.publication

    def score(self, s: Slice, h: Host) -> float:
        """The weighted rendezvous score of a host for a slice."""
        return h.entry.weight * h.score(s.id)

    def best_host(
        self, s: Slice, added_load: float, *, is_required: bool = False, min_score: float = 0.0
    ) -> Host | None:
        """The host with the highest score times room among the healthy ones that have room for `added_load`.

        If none has any: the least utilized host that is not warming up if `is_required`, otherwise none. The caller
        promises to do nothing with a host whose score is not above `min_score`; such a host may be missed.
        """
        excluded = (s.owner, *s.replicas)
        # A slice with replicas of which no report has come is in high demand: not for a warming host.
        max_taken = MAX_SLICES_PER_WINDOW if s.rate_by_class or not s.replicas else 0
        max_score_factor = self.fleet.max_score_factor
        best: Host | None = None
        best_value = 0.0
        scores, hosts = self.rendezvous.ranking(s.id)
        for score, h in zip(scores, hosts, strict=True):
            if score * max_score_factor <= best_value:
                return best  # no host further down can win
            if h.is_healthy and h not in excluded and (used := h.utilization(added_load)) <= MAX_UTILIZATION:
                value = h.entry.weight * score * (ROOM_OFFSET - used)
                if value > best_value and self.may_take_slice(h, max_taken):
                    best = h
                    best_value = value
        max_score_beyond = scores[-1] * max_score_factor if scores and not self.rendezvous.is_complete else 0.0
        if max_score_beyond > min_score or (max_score_beyond and best and self.score(s, best) > min_score):
            best = self._best_of_all(s, added_load, max_taken, Scored(best, best_value))
        if best or not is_required:
            return best
        return self._least_utilized(excluded, added_load)

    def _best_of_all(self, s: Slice, added_load: float, max_taken: int, best: Scored) -> Host | None:
        """Compare the best of the ranking with every host that may have room, wherever it ranks."""
        excluded = (s.owner, *s.replicas)
        spare_loads = self.fleet.spare_loads
        first = bisect_left(spare_loads, added_load * SPARE_LOAD_TOLERANCE, key=lambda spare: spare[0])
        # Hosts that had the room at the estimate, and those whose load has changed since.
        for h in (*(h for _, h in spare_loads[first:]), *self.fleet.hosts_with_changed_load):
            if not h.is_healthy or h in excluded or (used := h.utilization(added_load)) > MAX_UTILIZATION:
                continue
            if self.may_take_slice(h, max_taken):
                value = h.entry.weight * rendezvous_score(s.id, h.id) * (ROOM_OFFSET - used)
                if value > best.value:
                    best = Scored(h, value)
        return best.host

    def _least_utilized(self, excluded: tuple[Host | None, ...], added_load: float) -> Host | None:
        others = [h for h in self.fleet.eligible_hosts if h not in excluded]
        others = [h for h in others if not h.is_warming_up] or others
        return min(others, key=lambda h: h.utilization(added_load)) if others else None

    def may_take_slice(self, h: Host, max_taken: int) -> bool:
        """Whether a host may be given a slice; a warming one up to `max_taken` in a window, by the quota."""
        if not h.is_warming_up:
            return True
        return h.slices_taken < max_taken and self.publication.may_begin(QuotaKind.WARM_UP_SLICES, h.id, False)

    def passes_gate(self, s: Slice, destination: Host) -> bool:
        """Whether a slice may move off a live owner now.

        The destination has answered attempts within the last report windows and failed none since; or it was the
        candidate for a report interval without becoming suspect.
        """
        settings = self.settings
        now_ms = self.publication.now_ms
        if s.candidate is not destination:
            s.candidate = destination
            s.candidate_since_ms = now_ms
            if now_ms - destination.alive_at_ms > settings.report_interval_ms:
                self.host_health.request_health_check(destination)
        failures = destination.consecutive_failures
        is_proven = failures == 0 and now_ms - destination.succeeded_at_ms <= 2 * self.fleet.report_window_ms
        has_waited = now_ms - s.candidate_since_ms >= settings.report_interval_ms
        if failures >= SUSPECT_FAILURES or not (is_proven or has_waited):
            return False
        if destination.slices_taken >= MAX_SLICES_PER_WINDOW:
            return False
        return self.publication.may_begin(QuotaKind.MOVES, 0, True)

    def assign_owner(self, s: Slice, h: Host, *, holds_previous: bool) -> None:
        """Make a host the owner. The old one leaves the table, or stays until the new version is acknowledged."""
        if s.owner:
            self.shift_load(s.owner, -s.load_per_host)
        self.shift_load(h, s.load_per_host)
        self._count_taken_slice(h)
        s.previous_owner = s.owner if holds_previous else None
        s.owner = h
        s.candidate = None
        s.replicas = [replica for replica in s.replicas if replica is not h]
        s.hold_version = self.publication.pending_versions.next_version
        s.hold_ends_at_ms = self.publication.now_ms + MAX_HOLD_MS
        self.publication.write_table(s)

    def add_replica(self, s: Slice, h: Host, relieved: tuple[Host | None, ...], load_per_host: float) -> None:
        """Share a slice with one more host; the hosts in `relieved` then have `load_per_host` of it each."""
        for other in relieved:
            if other:
                self.shift_load(other, load_per_host - s.load_per_host)
        self.shift_load(h, load_per_host)
        self._count_taken_slice(h)
        s.replicas.append(h)

    def shift_load(self, h: Host, load: float) -> None:
        """Add to the load of a host, in requests per second."""
        h.load += load
        self.fleet.hosts_with_changed_load[h] = None

    def _count_taken_slice(self, h: Host) -> None:
        h.slices_taken += 1
        if h.is_warming_up:
            self.publication.may_begin(QuotaKind.WARM_UP_SLICES, h.id, True)
