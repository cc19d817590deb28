"""Which steward holds which slices, by leases and compare-and-swap in the registry. Sans-I/O.

Keys under the prefix: `members/<steward>` (alive, or "leaving"), both kinds bound to the steward's lease, and
`charge/<slice>`, whose value is the holder and whose create revision is the fence of that holding. A slice is
claimed only where its key does not exist; a table is written only in a transaction that compares its charge
key's create revision. So a steward that slept past its lease and wakes up cannot write, whatever it believes;
and by its own clock it stops speaking for a slice before the registry can give it away.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, field

from .ownership_actions import (
    AnnounceMember,
    ClaimSlice,
    GrantLease,
    KeepAlive,
    OwnershipAction,
    OwnershipChange,
    ReleaseSlice,
)


@dataclass(frozen=True)
class OwnershipTimings:
    """Times in ms. margin: a steward stops this share of the lease before the registry may end it."""

    lease_ttl_ms: float = 5_000.0
    safety_margin: float = 0.25
    max_pending_claims: int = 64  # in flight at once
    settle_ms: float = 500.0  # members must have been the same for so long before slices are handed over


def preferred_owner(slice: int, members: Iterable[int]) -> int | None:
    """Whom a slice should belong to among live stewards: the top of a rendezvous, the same for all that ask."""

    def mark(steward: int) -> tuple[bytes, int]:
        return hashlib.blake2b(f"{slice}:{steward}".encode(), digest_size=8).digest(), steward

    return max(members, key=mark, default=None)


@dataclass
class SliceOwnership:
    """me, slices: this steward and the numbers that there are. All calls return actions, in order."""

    controller: int
    slices: range
    timings: OwnershipTimings
    lease_id: int = 0
    lease_valid_until_ms: float = 0.0  # by our clock: the lease cannot have ended before
    lease_requested_at_ms: float = -1.0  # when the keep-alive or grant in flight was sent; -1: none
    members: dict[int, bool] = field(default_factory=dict)  # steward: leaving
    members_changed_at_ms: float = 0.0
    fencing_tokens: dict[int, int] = field(default_factory=dict)  # slice: fence
    observed_owners: dict[int, tuple[int, int]] = field(
        default_factory=dict
    )  # slice: (holder, create revision), as seen
    pending_claims: set[int] = field(default_factory=set)
    pending_releases: set[int] = field(default_factory=set)
    is_leaving: bool = False
    is_connected: bool = False
    is_observed_leaving: bool | None = (
        None  # our own member key as the watch shows it: leaving or not; None: it is not there
    )
    announced_at_ms: float = 0.0  # when it was last put

    # ---- the lease -------------------------------------------------------------------------------------

    def on_lease_granted(self, now: float, lease: int) -> list[OwnershipAction]:
        """A lease is ours; it counts from when it was asked for, not from when the answer came."""
        self.lease_id, self.lease_valid_until_ms, self.lease_requested_at_ms, self.announced_at_ms = (
            lease,
            self.lease_requested_at_ms + self.timings.lease_ttl_ms,
            -1.0,
            now,
        )
        return [AnnounceMember(lease, self.is_leaving)]

    def on_lease_renewed(self, now: float, ttl: float) -> list[OwnershipAction]:
        """The answer to a keep-alive. ttl 0: the registry has ended the lease."""
        if ttl <= 0:
            self.lease_requested_at_ms = -1.0
            return self.on_lease_lost()
        if self.lease_requested_at_ms >= 0:
            self.lease_valid_until_ms, self.lease_requested_at_ms = (
                max(self.lease_valid_until_ms, self.lease_requested_at_ms + min(ttl, self.timings.lease_ttl_ms)),
                -1.0,
            )
        return []

    def on_lease_lost(self) -> list[OwnershipAction]:
        """The lease is over: nothing is held. A new one is asked for at the next tick."""
        gone: list[OwnershipAction] = [OwnershipChange(s, False) for s in sorted(self.fencing_tokens)]
        self.lease_id, self.fencing_tokens, self.pending_claims, self.pending_releases = 0, {}, set(), set()
        return gone

    def has_valid_lease(self, now: float) -> bool:
        """Whether what is held is surely still ours: by our own clock, with a margin. Asked before every write."""
        return (
            bool(self.lease_id)
            and now < self.lease_valid_until_ms - self.timings.safety_margin * self.timings.lease_ttl_ms
        )

    def on_connection_change(self, up: bool) -> None:
        """A keep-alive that was out when the way broke will not be answered."""
        self.is_connected, self.lease_requested_at_ms = up, -1.0
        self.pending_claims.clear()
        self.pending_releases.clear()

    # ---- what the watch says ---------------------------------------------------------------------------

    def on_member_observed(self, now: float, steward: int, alive: bool, leaving: bool = False) -> None:
        if steward == self.controller:
            self.is_observed_leaving = leaving if alive else None
        before = dict(self.members)
        if alive:
            self.members[steward] = leaving
        else:
            self.members.pop(steward, None)
        if self.members != before:
            self.members_changed_at_ms = now

    def on_owner_observed(self, now: float, slice: int, steward: int | None, create: int) -> list[OwnershipAction]:
        """A charge key as the watch shows it now; None: it does not exist."""
        if steward is None:
            self.observed_owners.pop(slice, None)
        else:
            self.observed_owners[slice] = (steward, create)
        fence = self.fencing_tokens.get(slice)
        if fence is not None and (steward != self.controller or create > fence):
            # Ended behind our back (the lease ran out, or an operator deleted it).
            del self.fencing_tokens[slice]
            self.pending_releases.discard(slice)
            return [OwnershipChange(slice, False)]
        return []

    # ---- answers to transactions -----------------------------------------------------------------------

    def on_claim_result(self, now: float, slice: int, lease: int, fence: int) -> list[OwnershipAction]:
        """A claim's answer: `fence` is the create revision, 0 if another had the key."""
        self.pending_claims.discard(slice)
        if not fence or lease != self.lease_id or not self.has_valid_lease(now):
            return []  # too late to be sure of: the key goes with its lease, or is released below
        self.fencing_tokens[slice] = fence
        self.observed_owners[slice] = (self.controller, fence)
        return [OwnershipChange(slice, True, fence)]

    def on_released(self, slice: int) -> list[OwnershipAction]:
        self.pending_releases.discard(slice)
        return []

    # ---- time ------------------------------------------------------------------------------------------

    def tick(self, now: float) -> list[OwnershipAction]:
        """Call often (a tenth of the lease). Keeps the lease, claims what is free and ours, hands over the rest."""
        out: list[OwnershipAction] = []
        if self.lease_id and now >= self.lease_valid_until_ms:
            out += self.on_lease_lost()
        if not self.is_connected:
            return out  # cut off: nothing new is taken; what is held stands while the lease surely does
        if self.lease_requested_at_ms < 0:
            if not self.lease_id:
                self.lease_requested_at_ms = now
                out.append(GrantLease(self.timings.lease_ttl_ms))
            elif now > self.lease_valid_until_ms - self.timings.lease_ttl_ms * (1 - self.timings.safety_margin):
                self.lease_requested_at_ms = now
                out.append(KeepAlive(self.lease_id))
        elif now - self.lease_requested_at_ms > self.timings.lease_ttl_ms * self.timings.safety_margin:
            self.lease_requested_at_ms = -1.0  # that answer is late: ask again, counting from now
        if not self.has_valid_lease(now):
            return out
        if (
            self.is_observed_leaving is not self.is_leaving
            and now - self.announced_at_ms > self.timings.lease_ttl_ms * self.timings.safety_margin
        ):
            # The registry lost it (its leader fell): unannounced, a steward gets nothing, or never gets rid of it.
            self.announced_at_ms = now
            out.append(AnnounceMember(self.lease_id, self.is_leaving))
        out += self.rebalance(now)
        return out

    def rebalance(self, now: float) -> list[OwnershipAction]:
        out: list[OwnershipAction] = []
        able = [m for m, leaving in self.members.items() if not leaving]
        settled = now - self.members_changed_at_ms >= self.timings.settle_ms
        for s in self.slices:
            should = preferred_owner(s, able)
            if s in self.fencing_tokens:
                if (
                    should is not None
                    and should != self.controller
                    and (settled or self.is_leaving)
                    and s not in self.pending_releases
                ):
                    # Planned: told to the engine first, so that nothing is written after the key is gone.
                    self.pending_releases.add(s)
                    fence = self.fencing_tokens.pop(s)
                    out += [OwnershipChange(s, False), ReleaseSlice(s, fence)]
            elif (holder := self.observed_owners.get(s)) and holder[0] == self.controller:
                if s not in self.pending_releases and s not in self.pending_claims:
                    # A claim whose answer was lost or came too late is not ours to use; a release that a falling
                    # leader lost would keep the slice from everybody for as long as the lease is kept.
                    self.pending_releases.add(s)
                    out.append(ReleaseSlice(s, holder[1]))
            elif (
                should == self.controller
                and s not in self.pending_claims
                and len(self.pending_claims) < self.timings.max_pending_claims
            ):
                if holder is None:
                    self.pending_claims.add(s)
                    out.append(ClaimSlice(s, self.lease_id))
        return out

    def start_leaving(self, now: float) -> list[OwnershipAction]:
        """Planned end: announce it; slices go over as others are there to take them."""
        self.is_leaving, self.announced_at_ms = True, now
        self.members[self.controller] = True
        return [AnnounceMember(self.lease_id, True)] if self.lease_id else []

    @property
    def is_drained(self) -> bool:
        ours = any(holder == self.controller for holder, _ in self.observed_owners.values())
        return not self.fencing_tokens and not self.pending_releases and not ours
