"""Messages between controllers on workflow runs and releases: msgpack arrays, each within one datagram."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

import msgspec

from ..wire.peer_messages import ControllerMessage, has_valid_header

MAX_COUNTED_SETS = 8  # release sets in one report of run counts

REGISTER_LIMIT = 1 << 63
SET_VALUE_LIMIT = 1 << 21  # a set with the flag of an ended run
RUN_COUNT_LIMIT = 1 << 32


class RunQueryKind(IntEnum):
    """What is asked about a workflow run. The numbers are on the wire."""

    CONTINUE = 0  # the run begins or goes on
    END = 1  # the run is over


class RunStatus(IntEnum):
    """What a query on a workflow run is answered. The numbers are on the wire."""

    UNAVAILABLE = 0  # no majority could answer in time
    PINNED = 1
    OVER = 2
    REJECTED = 3  # too many records, or too many new runs of this client


class RunCount(NamedTuple):
    """How many live runs of one release set a replica has."""

    release_set: int
    runs: int


class RegisterAnnouncement(ControllerMessage, frozen=True, array_like=True, tag=38):
    """The release register in force, from the holder of the release task."""

    packed_register: int = 0


class RunCountQuery(ControllerMessage, frozen=True, array_like=True, tag=39):
    """The holder of the release task asks a replica how many live runs of each release set it has."""


class RunCountReport(ControllerMessage, frozen=True, array_like=True, tag=40):
    """The answer to the `RunCountQuery` of that incarnation and round, with the register that the replica accepted."""

    packed_register: int = 0
    run_counts: list[RunCount] = msgspec.field(default_factory=list)


PinningMessage = RegisterAnnouncement | RunCountQuery | RunCountReport


def is_valid(message: ControllerMessage) -> bool:
    """Whether the fields of a message lie within what a correct controller sends."""
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
