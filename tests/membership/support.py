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


def world(seed: int, numbers: int, first: int | None = None) -> World:
    return World(seed, numbers, 3, {}, QuotaLimits(), lambda t, n: [], first, static=True)


def views(w: World) -> dict[int, list[int]]:
    return {n: p.members.alive_members() for n, p in w.processes.items()}


def until(w: World, wanted: Any, most: float) -> float:
    """ms until it is so."""
    begun = w.now
    while not wanted(views(w)):
        assert w.now - begun < most, views(w)
        w.run(w.now + 50.0)
    return w.now - begun


def members(others: int = 3) -> Membership:
    return Membership(0, range(1, others + 1), 77, MembershipConfig(), random.Random(1).random, 0.0)
