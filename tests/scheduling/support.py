"""A simulation of queued jobs under faults."""

from __future__ import annotations

from typing import Any

from corallanding.lab.stewards.waits import QUOTA, TERMS, WaitWorld, bound_of
from corallanding.lab.stewards.world import troubled

# Longest time, in ms, by which a job may be dispatched out of order.
ORDER_BOUND_MS = bound_of(TERMS, QUOTA.max_clock_drift, 15_000.0)


def run_simulation(seed: int, until_ms: float = 30_000.0, **options: Any) -> WaitWorld:
    """Run a world with random faults, which end 10 s before `until_ms`."""
    world = WaitWorld(seed, 5, 5, per_s=16, skew=1 + seed % 3, **options)
    troubled(world, until_ms - 10_000.0, 3_000.0)
    world.run(until_ms)
    return world
