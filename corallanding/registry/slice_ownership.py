"""Which controller owns which slices, by leases and compare-and-swap in the registry. No I/O.

Each running controller has a member key, and each owned slice an ownership key whose value is its owner; both are bound
to the owner's lease. The create revision of an ownership key is the fencing token of that ownership. A slice is claimed
only if its key does not exist, and a table is written only in a transaction that compares the create revision, so a
controller that was suspended until after its lease expired cannot write. By its own clock, a controller stops acting
for a slice before the registry can assign the slice to another one.
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
    """Return the controller with the highest rendezvous score for the slice; all controllers compute the same one."""

    def score(controller: int) -> tuple[bytes, int]:
        digest = hashlib.blake2b(f"{slice_id}:{controller}".encode(), digest_size=SCORE_BYTES).digest()
        return digest, controller

    return max(members, key=score, default=None)


@dataclass
class SliceOwnership:
    """Decides which of `slices` this `controller` owns. Methods return actions in the order in which to perform them.

    fencing_tokens: tokens of the owned slices. own_state: state in this controller's member key as observed by the
    watch, None if the key does not exist.
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

    def on_lease_granted(self, now_ms: float, lease_id: int) -> list[OwnershipAction]:
        """Record a granted lease, and announce this controller under it."""
        self.lease.on_granted(lease_id)
        return [self._announce(now_ms)]

    def on_lease_renewed(self, ttl_ms: float) -> list[OwnershipAction]:
        """Handle the response to a keep-alive; a `ttl_ms` of 0 means that the lease has expired in the registry."""
        if ttl_ms <= 0:
            self.lease.on_request_lost()
            return self.on_lease_lost()
        self.lease.on_renewed(ttl_ms)
        return []

    def on_lease_lost(self) -> list[OwnershipAction]:
        """Drop all owned slices. A new lease is requested at the next tick."""
        lost: list[OwnershipAction] = [OwnershipChange(slice_id, False) for slice_id in sorted(self.fencing_tokens)]
        self.lease.id = 0
        self.fencing_tokens = {}
        self.pending_claims = set()
        self.pending_releases = set()
        return lost

    def has_valid_lease(self, now_ms: float) -> bool:
        """Return whether the slices are surely still owned, by the local clock with a margin; checked before writes."""
        return self.lease.is_valid(now_ms)

    def on_connection_change(self, *, is_connected: bool) -> None:
        """Record that the watch is established or lost. Requests in flight on a lost connection get no response."""
        self.is_connected = is_connected
        self.lease.on_request_lost()
        self.pending_claims.clear()
        self.pending_releases.clear()

    # ---- observations of the watch -----------------------------------------------------------------------------------

    def on_member_observed(self, now_ms: float, controller: int, state: MemberState | None) -> None:
        """Handle the state in a member key; None if the key does not exist."""
        if controller == self.controller:
            self.own_state = state
        if self.members.get(controller) is state:
            return
        if state is None:
            del self.members[controller]
        else:
            self.members[controller] = state
        self.members_changed_at_ms = now_ms

    def on_owner_observed(self, slice_id: int, controller: int | None, create_revision: int) -> list[OwnershipAction]:
        """Handle the owner in an ownership key; the controller is None if the key does not exist."""
        if controller is None:
            self.observed_owners.pop(slice_id, None)
        else:
            self.observed_owners[slice_id] = SliceOwner(controller, create_revision)
        token = self.fencing_tokens.get(slice_id)
        if token is None or (controller == self.controller and create_revision <= token):
            return []
        # The lease expired before it was noticed here, or an operator deleted the key.
        del self.fencing_tokens[slice_id]
        self.pending_releases.discard(slice_id)
        return [OwnershipChange(slice_id, False)]

    # ---- results of transactions -------------------------------------------------------------------------------------

    def on_claim_result(self, now_ms: float, slice_id: int, lease_id: int, fencing_token: int) -> list[OwnershipAction]:
        """Handle the result of a claim. The fencing token is the key's create revision; 0 if another owns the slice."""
        self.pending_claims.discard(slice_id)
        if not fencing_token or lease_id != self.lease.id or not self.has_valid_lease(now_ms):
            return []  # ownership is uncertain: the key expires with its lease, or a later tick releases it
        self.fencing_tokens[slice_id] = fencing_token
        self.observed_owners[slice_id] = SliceOwner(self.controller, fencing_token)
        return [OwnershipChange(slice_id, True, fencing_token)]

    def on_claim_failed(self, slice_id: int) -> None:
        """Record that a claim got no response: it is repeated, or released if the watch shows that it succeeded."""
        self.pending_claims.discard(slice_id)

    def on_release_finished(self, slice_id: int) -> None:
        """Record the end of a release, with or without response: it is repeated while the watch still shows the key."""
        self.pending_releases.discard(slice_id)

    # ---- time --------------------------------------------------------------------------------------------------------

    def tick(self, now_ms: float) -> list[OwnershipAction]:
        """Renew the lease, claim free slices preferred here, hand over others; called many times per lease time."""
        actions: list[OwnershipAction] = []
        if self.lease.is_expired(now_ms):
            actions += self.on_lease_lost()
        if not self.is_connected:
            return actions  # no new claims; owned slices are kept while the lease is certainly valid
        actions += self.lease.next_requests(now_ms)
        if not self.has_valid_lease(now_ms):
            return actions
        if self.own_state is not self._announced_state and now_ms - self.announced_at_ms > self.timings.margin_ms:
            # The registry lost the announcement when its leader changed. Without it, this controller is assigned no
            # slices, or cannot hand its own over.
            actions.append(self._announce(now_ms))
        return actions + self._rebalance(now_ms)

    def start_leaving(self, now_ms: float) -> list[OwnershipAction]:
        """Start a planned shutdown: announce it, so that slices are handed over to the remaining controllers."""
        self.is_leaving = True
        self.members[self.controller] = MemberState.LEAVING
        announcement = self._announce(now_ms)
        return [announcement] if self.lease.id else []

    @property
    def is_drained(self) -> bool:
        """Whether no slice is owned here, nor shown by the watch as owned by this controller."""
        is_observed = any(owner.controller == self.controller for owner in self.observed_owners.values())
        return not self.fencing_tokens and not self.pending_releases and not is_observed

    @property
    def _announced_state(self) -> MemberState:
        return MemberState.LEAVING if self.is_leaving else MemberState.ACTIVE

    def _announce(self, now_ms: float) -> AnnounceMember:
        self.announced_at_ms = now_ms
        return AnnounceMember(self.lease.id, self._announced_state)

    def _rebalance(self, now_ms: float) -> list[OwnershipAction]:
        actions: list[OwnershipAction] = []
        candidates = [controller for controller, state in self.members.items() if state is MemberState.ACTIVE]
        may_hand_over = self.is_leaving or now_ms - self.members_changed_at_ms >= self.timings.settle_ms
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
        """Release an owned slice; the controller stops before the key is deleted, so that it writes nothing after."""
        if slice_id in self.pending_releases:
            return []
        self.pending_releases.add(slice_id)
        token = self.fencing_tokens.pop(slice_id)
        return [OwnershipChange(slice_id, False), ReleaseSlice(slice_id, token)]

    def _release_unconfirmed(self, slice_id: int, create_revision: int) -> list[OwnershipAction]:
        """Delete an ownership key of this controller for a slice that it does not act for.

        The response to its claim was lost or late, or its release was lost when the registry's leader changed. Without
        this, no controller would act for the slice for as long as the lease is renewed.
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
