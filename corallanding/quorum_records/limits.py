"""Bounds and times of records that are written once."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class RecordLimits:
    """ms. keep: for how long a record is kept from its beginning on; live: for how long it is tallied. most: records
    that one keeper holds. again: until an unanswered word is said once more. writes_most: of one group that may be
    under way at once."""

    retention_ms: float = 3_600_000.0
    counted_ms: float = 1_800_000.0
    max_records: int = 200_000
    retry_ms: float = 150.0
    max_writes: int = 512
    announce_interval_ms: float = 500.0  # between two words that say how far a keeper's file was written
    max_pages_read: int = 4_096  # pages of one group that one keeper is asked for
