"""Rows of a replica's file, and the ballots that order the writes of one record."""

from __future__ import annotations

from typing import NamedTuple


class Ballot(NamedTuple):
    """Fencing token and proposer round under which a record was written; the record with the higher ballot wins."""

    fencing_token: int
    round: int


class UnsavedRow(NamedTuple):
    """A record to be written to disk; created_at_ms is by the controller's clock."""

    group: int
    key: int
    value: int
    fencing_token: int
    round: int
    created_at_ms: float


class PeerFile(NamedTuple):
    """Known state of another replica's file: number of openings, incarnation of the last opener, and writes to it."""

    open_count: int
    incarnation: int
    write_count: int
