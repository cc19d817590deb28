"""What slice ownership asks of the registry and reports to the controller."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class GrantLease:
    ttl_ms: float


@dataclass(frozen=True)
class KeepAlive:
    lease_id: int


@dataclass(frozen=True)
class AnnounceMember:
    """Put members/<me>."""

    lease_id: int
    is_leaving: bool


@dataclass(frozen=True)
class ClaimSlice:
    """Put charge/<slice> = me under `lease` if it does not exist."""

    slice: int
    lease_id: int


@dataclass(frozen=True)
class ReleaseSlice:
    """Delete charge/<slice> if its create revision is `fence`."""

    slice: int
    fencing_token: int


@dataclass(frozen=True)
class OwnershipChange:
    """To the engine: the slice is held from now on, with this fence; or not any more."""

    slice: int
    is_owned: bool
    fencing_token: int = 0


OwnershipAction = GrantLease | KeepAlive | AnnounceMember | ClaimSlice | ReleaseSlice | OwnershipChange
