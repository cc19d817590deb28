"""Rows of a replica's file, and the ballots that order writes of one record."""

from __future__ import annotations

from typing import NamedTuple


class Ballot(NamedTuple):
    """Under which fencing token, and in which round of its proposer, a record was written; the higher one stands."""

    fencing_token: int
    round: int


class UnsavedRow(NamedTuple):
    """A record to be written to disk."""

    group: int
    key: int
    value: int
    fencing_token: int
    round: int
    created_at_ms: float


class PeerFile(NamedTuple):
    """What is known of another replica's file: how often it was opened, by whom last, and the most writes to it."""

    open_count: int
    incarnation: int
    write_count: int
