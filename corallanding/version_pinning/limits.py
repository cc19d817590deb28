"""Bounds and times of runs. ms."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class PinningLimits:
    """run: the longest that a run may last; whoever comes later is told that it is over. settle: between two words that
    say which register is in force. begins_per_s: new runs of one client that one holder takes."""

    max_run_ms: float = 1_800_000.0
    max_clock_drift: float = 0.02
    announce_interval_ms: float = 500.0
    begins_per_second: float = 50.0
    client_buckets: int = 1_024  # buckets in which clients are counted
