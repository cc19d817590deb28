"""Bounds and timings of quorum records."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class RecordLimits:
    """Bounds and timings of the records of one group set.

    retention_ms: time since its last write after which a record is deleted. counted_ms: age up to which the value of a
    record is counted.
    max_records: capacity of one replica. retry_ms: delay before an unanswered message is sent again. max_writes:
    concurrent writes of one group. announce_interval_ms: time between two announcements of a replica's file.
    max_pages_read: pages of one group that a proposer reads from one replica.
    """

    retention_ms: float = 3_600_000.0
    counted_ms: float = 1_800_000.0
    max_records: int = 200_000
    retry_ms: float = 150.0
    max_writes: int = 512
    announce_interval_ms: float = 500.0
    max_pages_read: int = 4_096
