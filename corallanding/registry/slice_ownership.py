"""Which controller owns which slices, by leases and compare-and-swap in the registry. No I/O.

Each live controller has a member key, and each owned slice an ownership key whose value is its owner; both are bound to
the owner's lease. The create revision of an ownership key is the fencing token of that ownership. A slice is claimed
only if its key does not exist, and a table is written only in a transaction that compares the create revision. So a
controller that was suspended past the end of its lease cannot write. By its own clock it stops acting for a slice
before the registry can give the slice to another.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from .controller_lease import ControllerLease, OwnershipTimings
from .ownership_actions import (
    AnnounceMember,
    ClaimSlice,
    MemberState,
    OwnershipAction,
    OwnershipChange,
    ReleaseSlice,
)

SCORE_BYTES = 8


class SliceOwner(NamedTuple):
    """A slice's ownership key as observed."""

    controller: int
    create_revision: int


def preferred_owner(slice_id: int, members: Iterable[int]) -> int | None:
    """The controller with the highest rendezvous score for the slice: the same at every controller that computes it."""

    def score(controller: int) -> tuple[bytes, int]:
        digest = hashlib.blake2b(f"{slice_id}:{controller}".encode(), digest_size=SCORE_BYTES).digest()
        return digest, controller

    return max(members, key=score, default=None)


@dataclass
class SliceOwnership:
    """The slices that `controller` owns of `slices`. Methods that return actions return them in order.

    fencing_tokens: of the slices that are owned. own_state: our own member key as the watch shows it, None if it is not
    there.
    """

    controller: int
    slices: range
    timings: OwnershipTimings
    lease: ControllerLease = field(init=False)
    members: dict[int, MemberState] = field(default_factory=dict)
    members_changed_at_ms: float = 0.0
    fencing_tokens: dict[int, int] = field(default_factory=dict)
    observed_owners: dict[int, SliceOwner] = field(default_factory=dict)
    pending_claims: set[int] = field(default_factory=set)
    pending_releases: set[int] = field(default_factory=set)
    is_leaving: bool = False
    is_connected: bool = False
    own_state: MemberState | None = None
    announced_at_ms: float = 0.0

    def __post_init__(self) -> None:
        self.lease = ControllerLease(self.timings)

    # ---- the lease ---------------------------------------------------------------------------------------------------

    def on_lease_granted(self, now: float, lease_id: int) -> list[OwnershipAction]:
        """Take a new lease, and announce this controller under it."""
        self.lease.on_granted(lease_id)
        return [self._announce(now)]

    def on_lease_renewed(self, ttl_ms: float) -> list[OwnershipAction]:
        """Take the answer to a keep-alive; a `ttl_ms` of 0 says that the registry has ended the lease."""
        if ttl_ms <= 0:
            self.lease.on_request_lost()
            return self.on_lease_lost()
        self.lease.on_renewed(ttl_ms)
        return []

    def on_lease_lost(self) -> list[OwnershipAction]:
        """Own nothing any more. A new lease is requested at the next tick."""
        lost: list[OwnershipAction] = [OwnershipChange(slice_id, False) for slice_id in sorted(self.fencing_tokens)]
        self.lease.id = 0
        self.fencing_tokens = {}
        self.pending_claims = set()
        self.pending_releases = set()
        return lost

    def has_valid_lease(self, now: float) -> bool:
        """Whether what is owned is certainly still ours, by our own clock and with a margin; asked before a write."""
        return self.lease.is_valid(now)

    def on_connection_change(self, *, is_connected: bool) -> None:
        """Note that the watch is up or lost. Requests in flight on a lost connection have no answer."""
        self.is_connected = is_connected
        self.lease.on_request_lost()
        self.pending_claims.clear()
        self.pending_releases.clear()

    # ---- what the watch shows ----------------------------------------------------------------------------------------

    def on_member_observed(self, now: float, controller: int, state: MemberState | None) -> None:
        """Take a member key as it is now; None if it does not exist."""
        if controller == self.controller:
            self.own_state = state
        if self.members.get(controller) is state:
            return
        if state is None:
            del self.members[controller]
        else:
            self.members[controller] = state
        self.members_changed_at_ms = now

    def on_owner_observed(self, slice_id: int, controller: int | None, create_revision: int) -> list[OwnershipAction]:
        """Take an ownership key as it is now; the controller is None if the key does not exist."""
        if controller is None:
            self.observed_owners.pop(slice_id, None)
        else:
            self.observed_owners[slice_id] = SliceOwner(controller, create_revision)
        token = self.fencing_tokens.get(slice_id)
        if token is None or (controller == self.controller and create_revision <= token):
            return []
        # The lease ran out before we knew, or an operator deleted the key.
        del self.fencing_tokens[slice_id]
        self.pending_releases.discard(slice_id)
        return [OwnershipChange(slice_id, False)]

    # ---- results of transactions -------------------------------------------------------------------------------------

    def on_claim_result(self, now: float, slice_id: int, lease_id: int, fencing_token: int) -> list[OwnershipAction]:
        """Take the answer to a claim. The fencing token is the key's create revision; 0 if another owns the slice."""
        self.pending_claims.discard(slice_id)
        if not fencing_token or lease_id != self.lease.id or not self.has_valid_lease(now):
            return []  # too late to be certain: the key goes with its lease, or is released at a later tick
        self.fencing_tokens[slice_id] = fencing_token
        self.observed_owners[slice_id] = SliceOwner(self.controller, fencing_token)
        return [OwnershipChange(slice_id, True, fencing_token)]

    def on_claim_failed(self, slice_id: int) -> None:
        """Note that a claim has no answer: it is made again, or released if the watch shows that it was carried out."""
        self.pending_claims.discard(slice_id)

    def on_release_finished(self, slice_id: int) -> None:
        """Note that a release has its answer, or has none: it is sent again while the watch shows the key as ours."""
        self.pending_releases.discard(slice_id)

    # ---- time --------------------------------------------------------------------------------------------------------

    def tick(self, now: float) -> list[OwnershipAction]:
        """Keep the lease, claim slices that are free and ours, hand over others; called many times in a lease."""
        actions: list[OwnershipAction] = []
        if self.lease.is_expired(now):
            actions += self.on_lease_lost()
        if not self.is_connected:
            return actions  # nothing new is claimed; what is owned stays so while the lease is certainly valid
        actions += self.lease.next_requests(now)
        if not self.has_valid_lease(now):
            return actions
        if self.own_state is not self._announced_state and now - self.announced_at_ms > self.timings.margin_ms:
            # The registry lost the announcement when its leader changed. Unannounced, a controller is given no slices,
            # or cannot pass them on.
            actions.append(self._announce(now))
        return actions + self._rebalance(now)

    def start_leaving(self, now: float) -> list[OwnershipAction]:
        """Begin a planned end: announce it, so that slices are handed over as others are there to take them."""
        self.is_leaving = True
        self.members[self.controller] = MemberState.LEAVING
        announcement = self._announce(now)
        return [announcement] if self.lease.id else []

    @property
    def is_drained(self) -> bool:
        """Whether nothing is owned, nor shown as ours by the watch."""
        is_observed = any(owner.controller == self.controller for owner in self.observed_owners.values())
        return not self.fencing_tokens and not self.pending_releases and not is_observed

    @property
    def _announced_state(self) -> MemberState:
        return MemberState.LEAVING if self.is_leaving else MemberState.ACTIVE

    def _announce(self, now: float) -> AnnounceMember:
        self.announced_at_ms = now
        return AnnounceMember(self.lease.id, self._announced_state)

    def _rebalance(self, now: float) -> list[OwnershipAction]:
        actions: list[OwnershipAction] = []
        candidates = [controller for controller, state in self.members.items() if state is MemberState.ACTIVE]
        may_hand_over = self.is_leaving or now - self.members_changed_at_ms >= self.timings.settle_ms
        for slice_id in self.slices:
            preferred = preferred_owner(slice_id, candidates)
            observed = self.observed_owners.get(slice_id)
            if slice_id in self.fencing_tokens:
                if may_hand_over and preferred not in (None, self.controller):
                    actions += self._hand_over(slice_id)
            elif observed and observed.controller == self.controller:
                actions += self._release_unconfirmed(slice_id, observed.create_revision)
            elif observed is None and preferred == self.controller:
                actions += self._claim(slice_id)
        return actions

    def _hand_over(self, slice_id: int) -> list[OwnershipAction]:
        """Give an owned slice up; the controller stops before the key is deleted, so that nothing is written after."""
        if slice_id in self.pending_releases:
            return []
        self.pending_releases.add(slice_id)
        token = self.fencing_tokens.pop(slice_id)
        return [OwnershipChange(slice_id, False), ReleaseSlice(slice_id, token)]

    def _release_unconfirmed(self, slice_id: int, create_revision: int) -> list[OwnershipAction]:
        """Delete a key of ours that we do not act on.

        The answer to its claim was lost or came too late, or its release was lost when the registry's leader changed:
        the slice would be nobody's for as long as the lease is kept.
        """
        if slice_id in self.pending_releases or slice_id in self.pending_claims:
            return []
        self.pending_releases.add(slice_id)
        return [ReleaseSlice(slice_id, create_revision)]

    def _claim(self, slice_id: int) -> list[OwnershipAction]:
        if slice_id in self.pending_claims or len(self.pending_claims) >= self.timings.max_pending_claims:
            return []
        self.pending_claims.add(slice_id)
        return [ClaimSlice(slice_id, self.lease.id)]
