"""Worlds of waiting jobs under faults."""

from __future__ import annotations

from typing import Any

from corallanding.lab.stewards.waits import QUOTA, TERMS, WaitWorld, bound_of
from corallanding.lab.stewards.world import troubled

BOUND = bound_of(TERMS, QUOTA.max_clock_drift, 15_000.0)


def play_world(seed: int, until: float = 30_000.0, **more: Any) -> WaitWorld:
    world = WaitWorld(seed, 5, 5, per_s=16, skew=1 + seed % 3, **more)
    troubled(world, until - 10_000.0, 3_000.0)
    world.run(until)
    return world
