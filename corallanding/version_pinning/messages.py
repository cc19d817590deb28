"""Messages between controllers about workflow runs and releases: msgpack arrays, each within one datagram."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

import msgspec

from ..wire.peer_messages import ControllerMessage, has_valid_header

MAX_COUNTED_SETS = 8  # maximum number of release sets in one report of run counts

REGISTER_LIMIT = 1 << 63
SET_VALUE_LIMIT = 1 << 21  # exclusive; a set number including the flag of an ended run
RUN_COUNT_LIMIT = 1 << 32


class RunQueryKind(IntEnum):
    """The kind of a query about a workflow run. The numbers are sent in messages."""

    CONTINUE = 0  # the run starts or continues
    END = 1  # the run has ended


class RunStatus(IntEnum):
    """The answer to a query about a workflow run. The numbers are sent in messages."""

    UNAVAILABLE = 0  # no majority could answer in time
    PINNED = 1
    OVER = 2
    REJECTED = 3  # too many records, or too many new runs of this client


class RunCount(NamedTuple):
    """The number of live runs of one release set at a replica."""

    release_set: int
    runs: int


class RegisterAnnouncement(ControllerMessage, frozen=True, array_like=True, tag=38):
    """The current release register, sent by the holder of the release task."""

    packed_register: int = 0


class RunCountQuery(ControllerMessage, frozen=True, array_like=True, tag=39):
    """A request of the release task's holder for the number of live runs of each release set at a replica."""


class RunCountReport(ControllerMessage, frozen=True, array_like=True, tag=40):
    """The reply to the `RunCountQuery` of that incarnation and round, with the register that the replica accepted."""

    packed_register: int = 0
    run_counts: list[RunCount] = msgspec.field(default_factory=list)


PinningMessage = RegisterAnnouncement | RunCountQuery | RunCountReport


def is_valid(message: ControllerMessage) -> bool:
    """Return whether all field values of a message are in their valid ranges."""
    if not has_valid_header(message):
        return False
    match message:
        case RegisterAnnouncement():
            return 0 < message.packed_register < REGISTER_LIMIT
        case RunCountReport():
            return _is_valid_report(message)
    return True


def _is_valid_report(report: RunCountReport) -> bool:
    if len(report.run_counts) > MAX_COUNTED_SETS or not 0 <= report.packed_register < REGISTER_LIMIT:
        return False
    return all(0 <= number < SET_VALUE_LIMIT and 0 <= runs < RUN_COUNT_LIMIT for number, runs in report.run_counts)
