"""Messages between controllers about quorum records: msgpack arrays that each fit one datagram."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

import msgspec

from ..wire.peer_messages import ControllerMessage, has_valid_header

MAX_ACCEPT_ROWS = 8  # rows of one Accept
MAX_PREPARE_ROWS = 6  # rows of one PrepareReply
MAX_VALUE = (1 << 63) - 1

# Bounds of fields, exclusive.
MAX_TOKEN = 1 << 63
MAX_KEY = 1 << 63
MAX_GROUP = 1 << 32
MAX_ROUND = 1 << 53
MAX_AGE_MS = 1 << 50
MAX_WRITE_COUNT = 1 << 62
MAX_KIND = 16
MAX_RESULT = 16


class ReplicaStatus(IntEnum):
    """Status in the reply of a replica. The numbers are sent on the wire."""

    ACCEPTED = 0
    SUPERSEDED = 1  # the replica has promised a higher fencing token
    FULL = 2  # the replica has no capacity for the records
    CLOSED = 3  # the group's acceptance rule no longer allows the value
    RECOVERING = 4  # the replica has lost its promises and is not part of a quorum yet


class RecordRow(NamedTuple):
    """A record as a proposer sends it."""

    key: int
    value: int
    age_ms: int


class VersionedRow(NamedTuple):
    """A record as a replica stores it, with the ballot under which it was written."""

    key: int
    value: int
    age_ms: int
    fencing_token: int
    round: int


class Accept(ControllerMessage, frozen=True, array_like=True, tag=30):
    """Request of a proposer to a replica to store records.

    is_initial: the records are new and have not been reported to any client.
    """

    group: int = 0
    fencing_token: int = 0
    is_initial: bool = False
    rows: list[RecordRow] = msgspec.field(default_factory=list)


class AcceptReply(ControllerMessage, frozen=True, array_like=True, tag=31):
    """Reply to `Accept`. highest_token: the highest fencing token that the replica has seen in the group."""

    group: int = 0
    status: int = ReplicaStatus.ACCEPTED
    highest_token: int = 0


class Prepare(ControllerMessage, frozen=True, array_like=True, tag=32):
    """Request of a new proposer to a replica for its records of a group with keys above `after_key`.

    The replica promises to accept nothing under a lower fencing token from then on. A recovering replica sends token 0,
    which requests no promise.
    """

    group: int = 0
    fencing_token: int = 0
    after_key: int = -1


class PrepareReply(ControllerMessage, frozen=True, array_like=True, tag=33):
    """Reply to `Prepare`: one page of records in the order of keys."""

    group: int = 0
    status: int = ReplicaStatus.ACCEPTED
    highest_token: int = 0
    rows: list[VersionedRow] = msgspec.field(default_factory=list)
    has_more: bool = False


class FileAnnouncement(ControllerMessage, frozen=True, array_like=True, tag=34):
    """Periodic message of a replica: `round` counts the openings of its file, `write_count` all writes to it."""

    write_count: int = 0


class FileAnnouncementReply(ControllerMessage, frozen=True, array_like=True, tag=35):
    """Reply to `FileAnnouncement`: the state of the announced file as last known to the sender of the reply.

    round: number of openings, if another incarnation was the last to open it, else 0. write_count: the highest count of
    writes announced. is_recovering: the sender has no records of its own.
    """

    is_recovering: bool = False
    write_count: int = 0


class Query(ControllerMessage, frozen=True, array_like=True, tag=36):
    """Query of a controller to the holder of a record's group. The group's owner defines `kind` and `argument`."""

    group: int = 0
    key: int = 0
    kind: int = 0
    argument: int = 0


class QueryReply(ControllerMessage, frozen=True, array_like=True, tag=37):
    """Reply to `Query`. It repeats the key, so that a reply cannot be matched to another query."""

    key: int = 0
    result: int = 0
    value: int = 0


RecordMessage = Accept | AcceptReply | Prepare | PrepareReply | FileAnnouncement | FileAnnouncementReply


def is_valid(message: ControllerMessage) -> bool:
    """Return whether every field is within its bounds."""
    if not has_valid_header(message):
        return False
    match message:
        case Accept() | AcceptReply() | Prepare() | PrepareReply():
            return _is_valid_replication(message)
        case FileAnnouncement() | FileAnnouncementReply():
            return 0 <= message.write_count < MAX_WRITE_COUNT
        case Query():
            has_valid_ids = 0 <= message.group < MAX_GROUP and 0 < message.key < MAX_KEY
            return has_valid_ids and 0 <= message.kind < MAX_KIND and 0 <= message.argument <= MAX_VALUE
        case QueryReply():
            has_valid_ids = 0 < message.key < MAX_KEY
            return has_valid_ids and 0 <= message.result < MAX_RESULT and 0 <= message.value <= MAX_VALUE
    return True


def _is_valid_replication(message: Accept | AcceptReply | Prepare | PrepareReply) -> bool:
    match message:
        case Accept():
            has_valid_ids = 0 < message.fencing_token < MAX_TOKEN and 0 <= message.group < MAX_GROUP
            return has_valid_ids and 0 < len(message.rows) <= MAX_ACCEPT_ROWS and all(map(_is_valid_row, message.rows))
        case AcceptReply():
            return 0 <= message.highest_token < MAX_TOKEN and _is_valid_status(message.status)
        case Prepare():
            has_valid_ids = 0 <= message.fencing_token < MAX_TOKEN and 0 <= message.group < MAX_GROUP
            return has_valid_ids and -1 <= message.after_key < MAX_KEY
        case PrepareReply():
            has_valid_outcome = 0 <= message.highest_token < MAX_TOKEN and _is_valid_status(message.status)
            has_valid_rows = len(message.rows) <= MAX_PREPARE_ROWS and all(map(_is_valid_versioned, message.rows))
            return has_valid_outcome and has_valid_rows


def _is_valid_status(status: int) -> bool:
    return ReplicaStatus.ACCEPTED <= status <= ReplicaStatus.RECOVERING


def _is_valid_row(row: RecordRow) -> bool:
    return 0 <= row.key < MAX_KEY and 0 < row.value <= MAX_VALUE and 0 <= row.age_ms < MAX_AGE_MS


def _is_valid_versioned(row: VersionedRow) -> bool:
    is_valid_record = _is_valid_row(RecordRow(row.key, row.value, row.age_ms))
    return is_valid_record and 0 < row.fencing_token < MAX_TOKEN and 0 <= row.round < MAX_ROUND
