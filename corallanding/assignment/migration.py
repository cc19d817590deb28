"""Ordinary moves: ends holds, drops unneeded replicas, and moves slices to hosts with better scores."""

from __future__ import annotations

from .host_health import HostHealth
from .limits import HOT_SLICE_SHARE, SHED_UTILIZATION
from .pending_versions import is_at_or_before
from .placement import Placement
from .state import FleetEstimate, Host, Slice

INCUMBENT_FACTOR = 8.0
"""Times the number of slices: the factor by which the score of the present owner is favored over other hosts."""

MAX_SCORES_PER_DECISION = 300_000
"""Maximum number of scores computed in one ordinary decision; in large fleets, other slices wait for a later one."""


class Migration:
    """Moves slices to hosts with better scores, with gate and hold (see `placement`), and ends expired holds."""

    def __init__(
        self, host_health: HostHealth, slices: dict[int, Slice], placement: Placement, fleet: FleetEstimate
    ) -> None:
        self.settings = host_health.settings
        self.slices = slices
        self.placement = placement
        self.rendezvous = placement.rendezvous
        self.fleet = fleet
        self.publication = host_health.publication

    def release_previous_owners(self) -> None:
        """Remove previous owners from tables once all proxies have acknowledged the move, or the hold has expired."""
        unacked = self.publication.pending_versions.unacked_versions()
        for slice_ in self.slices.values():
            if slice_.previous_owner and not self._is_held(slice_, unacked):
                slice_.previous_owner = None
            self.publication.write_table(slice_, removes_cordoned=True)

    def _is_held(self, slice_: Slice, unacked: set[int]) -> bool:
        is_unacked = any(is_at_or_before(version, slice_.hold_version) for version in unacked)
        return is_unacked and self.publication.now_ms < slice_.hold_ends_at_ms

    def move_to_better_hosts(self) -> None:
        """Drop replicas that are no longer needed, and move slices to hosts with a better score.

        The limit counts the scores that are new to a slice even if they are precomputed, so that precomputation does
        not change a decision.
        """
        scores_left = MAX_SCORES_PER_DECISION
        host_count = len(self.rendezvous.hosts)
        incumbent_factor = INCUMBENT_FACTOR * self.settings.slice_count
        for slice_, owner in [(slice_, slice_.owner) for slice_ in self.slices.values() if slice_.owner]:
            if slice_.replicas and slice_.rate_by_class:
                self._drop_unneeded_replica(slice_, owner)
            new_scores = host_count - slice_.hosts_considered
            if slice_.previous_owner or new_scores > scores_left:
                continue
            scores_left -= new_scores
            slice_.hosts_considered += new_scores
            self._move_if_better(slice_, owner, incumbent_factor)

    def _drop_unneeded_replica(self, slice_: Slice, owner: Host) -> None:
        """Drop the replica with the lowest score if the other hosts of the slice can bear its load."""
        max_load_per_replica = HOT_SLICE_SHARE / 2 * owner.capacity * self.fleet.load_per_capacity
        if slice_.requests_per_second / len(slice_.replicas) < max_load_per_replica:
            slice_.replicas.remove(min(slice_.replicas, key=lambda host: self.placement.score(slice_, host)))
            self.publication.write_table(slice_)

    def _move_if_better(self, slice_: Slice, owner: Host, incumbent_factor: float) -> None:
        """Move a slice to the best host if its score beats the favored score of the owner, and it passes the gate.

        An owner far over its fair load is not favored over a new host. Otherwise hosts added to the fleet would remain
        idle until the old hosts are overloaded.
        """
        incumbent_score = self.placement.score(slice_, owner)
        is_far_over = owner.utilization() > SHED_UTILIZATION
        min_score = incumbent_score * (min(incumbent_factor, 1.0) if is_far_over else incumbent_factor)
        scores = self.rendezvous.ranking(slice_.id).scores
        if not scores or scores[0] * self.fleet.max_score_factor <= min_score:
            return  # the usual case: no host can beat the owner
        destination = self.placement.best_host(slice_, slice_.load_per_host, min_score=min_score)
        if destination is None:
            return
        is_new = is_far_over and (destination.is_warming_up or not destination.load)
        score_to_beat = incumbent_score * (1.0 if is_new else incumbent_factor)
        if self.placement.score(slice_, destination) <= score_to_beat:
            return
        if self.placement.passes_gate(slice_, destination):
            self.placement.assign_owner(slice_, destination, holds_previous=True)
