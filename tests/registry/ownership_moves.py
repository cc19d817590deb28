"""What happens in an `OwnershipWorld`, and what is on its way there."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Any, NamedTuple


class BrokenRuleError(AssertionError):
    """A slice had two writers, or two controllers that acted for it."""


class MoveKind(StrEnum):
    """What can happen next."""

    CLOCK = "clock"
    TICK = "tick"
    DELIVER = "deliver"
    WRITE = "write"
    SERVE = "serve"
    SUSPEND = "suspend"
    RESUME = "resume"


class Move(NamedTuple):
    """One step of the world, of one controller."""

    kind: MoveKind
    controller: int


class Delivery(NamedTuple):
    """A call of a method of `SliceOwnership`, on its way from the registry."""

    method: str
    arguments: tuple[Any, ...]


class OwnerKey(NamedTuple):
    """A slice's ownership key in the registry."""

    controller: int
    create_revision: int
    lease_id: int


@dataclass(frozen=True)
class WriteTable:
    """A write of a slice's table under a fencing token, on its way to the registry."""

    slice: int
    fencing_token: int
