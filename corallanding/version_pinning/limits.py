"""Limits of version pinning."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class PinningLimits:
    """Bounds of workflow runs; the same at all controllers.

    After `max_run_ms` a run counts as over. `max_clock_drift` is the fraction by which the clocks of two controllers
    may differ in speed. The holder of the release task announces the current register every `announce_interval_ms`. One
    controller starts at most `max_new_runs_per_second` runs per client; clients are hashed into `client_buckets`
    buckets.
    """

    max_run_ms: float = 1_800_000.0
    max_clock_drift: float = 0.02
    announce_interval_ms: float = 500.0
    max_new_runs_per_second: float = 50.0
    client_buckets: int = 1_024
