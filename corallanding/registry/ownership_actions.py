"""Requests of slice ownership to the registry, and its reports to the controller."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class MemberState(StrEnum):
    """The state that a controller announces in its member key; the values are stored in the registry."""

    ACTIVE = "here"
    LEAVING = "leaving"


@dataclass(frozen=True)
class GrantLease:
    """Request a new lease."""

    ttl_ms: float


@dataclass(frozen=True)
class KeepAlive:
    """Renew the lease."""

    lease_id: int


@dataclass(frozen=True)
class AnnounceMember:
    """Put this controller's member key, bound to the lease."""

    lease_id: int
    state: MemberState


@dataclass(frozen=True)
class ClaimSlice:
    """Put the slice's ownership key, bound to the lease, if the key does not exist."""

    slice: int
    lease_id: int


@dataclass(frozen=True)
class ReleaseSlice:
    """Delete the slice's ownership key if its create revision is the fencing token."""

    slice: int
    fencing_token: int


@dataclass(frozen=True)
class OwnershipChange:
    """Report that this controller now owns the slice under the fencing token, or no longer owns it."""

    slice: int
    is_owned: bool
    fencing_token: int = 0


OwnershipAction = GrantLease | KeepAlive | AnnounceMember | ClaimSlice | ReleaseSlice | OwnershipChange
