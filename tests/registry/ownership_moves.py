"""The steps of an `OwnershipWorld`, and its messages in transit."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Any, NamedTuple


class InvariantViolationError(AssertionError):
    """A slice had two writers, or two controllers acted for it at the same time."""


class MoveKind(StrEnum):
    """The kinds of steps."""

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
    """A message in transit from the registry: a method call of `SliceOwnership`."""

    method: str
    arguments: tuple[Any, ...]


class OwnerKey(NamedTuple):
    """A slice's ownership key in the registry."""

    controller: int
    create_revision: int
    lease_id: int


@dataclass(frozen=True)
class WriteTable:
    """A message in transit to the registry: a write of a slice's table under a fencing token."""

    slice: int
    fencing_token: int
