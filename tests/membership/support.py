"""Simulated controllers that know each other by membership alone."""

from __future__ import annotations

import random
from typing import Any

from corallanding.lab.stewards.world import World
from corallanding.membership import (
    Membership,
    MembershipConfig,
)
from corallanding.quota import QuotaLimits


def make_world(seed: int, controller_count: int, running_count: int | None = None) -> World:
    return World(seed, controller_count, 3, {}, QuotaLimits(), lambda t, n: [], running_count, static=True)


def alive_views(world: World) -> dict[int, list[int]]:
    """Return the members that each controller considers alive."""
    return {number: process.members.alive_members() for number, process in world.processes.items()}


def run_until(world: World, condition: Any, timeout_ms: float) -> float:
    """Run the world until the views of its controllers meet the condition; return the elapsed time in ms."""
    started_at_ms = world.now
    while not condition(alive_views(world)):
        assert world.now - started_at_ms < timeout_ms, alive_views(world)
        world.run(world.now + 50.0)
    return world.now - started_at_ms


def make_membership(peer_count: int = 3) -> Membership:
    return Membership(0, range(1, peer_count + 1), 77, MembershipConfig(), random.Random(1).random, 0.0)
