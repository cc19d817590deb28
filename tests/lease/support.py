"""Simulated controllers with faults, and the safety rules of leases."""

from __future__ import annotations

from corallanding.lab.fences import judge
from corallanding.lab.stewards.tasks import TaskWorld
from corallanding.lab.stewards.world import Way, troubled
from corallanding.lease.limits import LeaseTimings
from corallanding.lease.tasks import TaskCatalog, TaskSpec

SHORT_LEASES = LeaseTimings(lease_ms=600.0, vote_lease_ms=400.0)
LONG_LEASES = LeaseTimings(lease_ms=1_500.0, vote_lease_ms=300.0)  # leases that outlast their leader's term
TASKS = TaskCatalog({"ledger": TaskSpec("ledger", 7, max_work_ms=100.0), "sweep": TaskSpec("sweep", max_work_ms=200.0)})


def faulty_world(seed: int, until: float = 14_000.0, tasks: TaskCatalog = TASKS) -> TaskWorld:
    """Run a world with random faults up to `until` ms and return it."""
    world = TaskWorld(seed, 5, 5, tasks, (SHORT_LEASES, LONG_LEASES)[seed // 2 % 2], acting=8)
    if seed % 2:  # bad links throughout: messages arrive after some leases have expired, twice, or never
        world.usual = world.rest = Way(loss=0.1, repeat=0.3, mean=world.chance.choice((20.0, 60.0, 120.0)))
    troubled(world, until, longest=2_500.0)
    world.run(until)
    return world


def violations(world: TaskWorld) -> dict[str, int]:
    """Return how often each safety rule was violated; empty if none was."""
    found = judge(world.acts, world.takings)
    return {rule: found[rule] for rule in ("overlaps", "falls", "shared", "late") if found[rule]}
