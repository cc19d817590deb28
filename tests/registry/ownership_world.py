"""A model of two controllers that share slices, small enough to try every order of events."""

from __future__ import annotations

import pickle
from collections.abc import Iterable
from typing import Any

from corallanding.registry.controller_lease import OwnershipTimings
from corallanding.registry.ownership_actions import (
    AnnounceMember,
    ClaimSlice,
    GrantLease,
    KeepAlive,
    MemberState,
    OwnershipAction,
    OwnershipChange,
    ReleaseSlice,
)
from corallanding.registry.slice_ownership import SliceOwnership
from tests.registry.ownership_moves import Delivery, InvariantViolationError, Move, MoveKind, OwnerKey, WriteTable

TIMINGS = OwnershipTimings(lease_ttl_ms=4.0, safety_margin=0.25, max_pending_claims=1, settle_ms=1.0)
CONTROLLERS = (0, 1)
MAX_CLOCK_MS = 12
METHODS_WITHOUT_TIME = frozenset({"on_lease_renewed", "on_owner_observed", "on_release_finished"})


class OwnershipWorld:
    """Two controllers, a registry with leases and one clock; messages are queued per connection until delivered.

    is_fenced: the registry compares fencing tokens. ignores_lease_expiry: controllers write and act without checking
    their lease against the clock.
    """

    def __init__(self, slices: int = 1, *, is_fenced: bool = True, ignores_lease_expiry: bool = False) -> None:
        self.now_ms = 0
        self.revision = 1
        self.is_fenced = is_fenced
        self.ignores_lease_expiry = ignores_lease_expiry
        self.controllers = [SliceOwnership(n, range(slices), TIMINGS, is_connected=True) for n in CONTROLLERS]
        self.is_suspended = [False, False]
        self.to_registry: list[list[OwnershipAction | WriteTable]] = [[], []]
        self.to_controllers: list[list[Delivery]] = [[], []]
        self.leases: dict[int, tuple[int, float]] = {}  # by lease id: (controller, expiry in ms)
        self.owners: dict[int, OwnerKey] = {}
        self.members: dict[int, tuple[int, MemberState]] = {}  # by controller: (lease id, state)

    def send(self, controller: int, actions: Iterable[OwnershipAction]) -> None:
        """Queue a controller's requests to the registry."""
        self.to_registry[controller] += [action for action in actions if not isinstance(action, OwnershipChange)]

    # ---- moves -------------------------------------------------------------------------------------------------------

    def possible_moves(self) -> list[Move]:
        """Return all possible next moves."""
        moves = [Move(MoveKind.CLOCK, 0)] if self.now_ms < MAX_CLOCK_MS else []
        for controller in CONTROLLERS:
            if not self.is_suspended[controller]:
                moves.append(Move(MoveKind.TICK, controller))
                moves += [Move(MoveKind.DELIVER, controller)] if self.to_controllers[controller] else []
                moves += [Move(MoveKind.WRITE, controller)] if self.controllers[controller].fencing_tokens else []
            moves += [Move(MoveKind.SERVE, controller)] if self.to_registry[controller] else []
            moves.append(Move(MoveKind.RESUME if self.is_suspended[controller] else MoveKind.SUSPEND, controller))
        return moves

    def move(self, kind: MoveKind, controller: int) -> None:
        """Make one move. Raises `InvariantViolationError`."""
        match kind:
            case MoveKind.CLOCK:
                self.advance_clock()
            case MoveKind.TICK:
                self.send(controller, self.controllers[controller].tick(float(self.now_ms)))
            case MoveKind.SUSPEND | MoveKind.RESUME:
                self.is_suspended[controller] = kind is MoveKind.SUSPEND
            case MoveKind.DELIVER:
                self.deliver(controller)
            case MoveKind.WRITE:
                self.write(controller)
            case MoveKind.SERVE:
                self.serve(controller, self.to_registry[controller].pop(0))
        self.check_invariants()

    def advance_clock(self) -> None:
        """Advance the clock by 1 ms, and expire leases."""
        self.now_ms += 1
        for lease_id, (_, ends_at_ms) in list(self.leases.items()):
            if self.now_ms >= ends_at_ms:
                self.end_lease(lease_id)

    def deliver(self, controller: int) -> None:
        """Deliver the next message to a controller."""
        delivery = self.to_controllers[controller].pop(0)
        method = getattr(self.controllers[controller], delivery.method)
        time = [] if delivery.method in METHODS_WITHOUT_TIME else [float(self.now_ms)]
        self.send(controller, method(*time, *delivery.arguments) or [])

    def write(self, controller: int) -> None:
        """Write all tables if the lease is valid by the controller's clock, or without that check if it is ignored."""
        ownership = self.controllers[controller]
        for slice_id, token in ownership.fencing_tokens.items():
            if self.ignores_lease_expiry or ownership.has_valid_lease(float(self.now_ms)):
                self.to_registry[controller].append(WriteTable(slice_id, token))

    # ---- the registry ------------------------------------------------------------------------------------------------

    def send_to_controller(self, controller: int, method: str, *arguments: Any) -> None:
        """Queue a message to a controller."""
        self.to_controllers[controller].append(Delivery(method, arguments))

    def notify_watches(self, method: str, *arguments: Any) -> None:
        """Queue a watch event to both controllers."""
        for controller in CONTROLLERS:
            self.send_to_controller(controller, method, *arguments)

    def end_lease(self, lease_id: int) -> None:
        """Delete a lease and the keys that are bound to it."""
        self.leases.pop(lease_id, None)
        for slice_id, owner in list(self.owners.items()):
            if owner.lease_id == lease_id:
                del self.owners[slice_id]
                self.notify_watches("on_owner_observed", slice_id, None, owner.create_revision)
        for controller, (bound_lease_id, _) in list(self.members.items()):
            if bound_lease_id == lease_id:
                del self.members[controller]
                self.notify_watches("on_member_observed", controller, None)

    def serve(self, controller: int, request: OwnershipAction | WriteTable) -> None:
        """Execute one request. Raises `InvariantViolationError`."""
        self.revision += 1
        match request:
            case GrantLease():
                self.leases[self.revision] = (controller, self.now_ms + TIMINGS.lease_ttl_ms)
                self.send_to_controller(controller, "on_lease_granted", self.revision)
            case KeepAlive(lease_id):
                self.renew(controller, lease_id)
            case AnnounceMember(lease_id, state) if lease_id in self.leases:
                self.members[controller] = (lease_id, state)
                self.notify_watches("on_member_observed", controller, state)
            case ClaimSlice(slice_id, lease_id):
                self.claim(controller, slice_id, lease_id)
            case ReleaseSlice(slice_id, token):
                self.release(controller, slice_id, token)
            case WriteTable(slice_id, token):
                self.write_table(controller, slice_id, token)

    def renew(self, controller: int, lease_id: int) -> None:
        """Renew a lease that has not expired."""
        is_valid = lease_id in self.leases
        if is_valid:
            self.leases[lease_id] = (controller, self.now_ms + TIMINGS.lease_ttl_ms)
        self.send_to_controller(controller, "on_lease_renewed", TIMINGS.lease_ttl_ms if is_valid else 0.0)

    def claim(self, controller: int, slice_id: int, lease_id: int) -> None:
        """Create an ownership key if it does not exist."""
        if slice_id in self.owners or lease_id not in self.leases:
            self.send_to_controller(controller, "on_claim_result", slice_id, lease_id, 0)
            return
        self.owners[slice_id] = OwnerKey(controller, self.revision, lease_id)
        self.send_to_controller(controller, "on_claim_result", slice_id, lease_id, self.revision)
        self.notify_watches("on_owner_observed", slice_id, controller, self.revision)

    def release(self, controller: int, slice_id: int, token: int) -> None:
        """Delete an ownership key if it has this create revision."""
        if slice_id in self.owners and self.owners[slice_id].create_revision == token:
            del self.owners[slice_id]
            self.notify_watches("on_owner_observed", slice_id, None, token)
        self.send_to_controller(controller, "on_release_finished", slice_id)

    def write_table(self, controller: int, slice_id: int, token: int) -> None:
        """Write a table, unless the transaction's comparison fails."""
        owner = self.owners.get(slice_id)
        if self.is_fenced and (owner is None or owner.create_revision != token):
            return
        if owner is None or owner[:2] != (controller, token):
            raise InvariantViolationError(
                f"controller {controller} wrote slice {slice_id} under token {token}; owner: {owner}"
            )

    # ---- invariants --------------------------------------------------------------------------------------------------

    def check_invariants(self) -> None:
        """Check that no two controllers act for one slice at the same time, by their own clocks."""
        first, second = (self.active_slices(controller) for controller in CONTROLLERS)
        if both := first & second:
            raise InvariantViolationError(f"both controllers act for {both} at {self.now_ms} ms")

    def active_slices(self, controller: int) -> set[int]:
        """Return the slices that a controller would act for now."""
        ownership = self.controllers[controller]
        if self.is_suspended[controller]:
            return set()
        is_allowed = self.ignores_lease_expiry or ownership.has_valid_lease(float(self.now_ms))
        return set(ownership.fencing_tokens) if is_allowed else set()

    def state_key(self) -> bytes:
        """Return a key that is equal for equal states."""
        controllers = [
            (
                ownership.lease.id,
                ownership.lease.valid_until_ms,
                ownership.lease.requested_at_ms,
                sorted(ownership.members.items()),
                ownership.members_changed_at_ms,
                sorted(ownership.fencing_tokens.items()),
                sorted(ownership.observed_owners.items()),
                sorted(ownership.pending_claims),
                sorted(ownership.pending_releases),
            )
            for ownership in self.controllers
        ]
        return pickle.dumps(
            (
                self.now_ms,
                controllers,
                self.is_suspended,
                self.to_registry,
                self.to_controllers,
                sorted(self.leases.items()),
                sorted(self.owners.items()),
                sorted(self.members.items()),
            )
        )
