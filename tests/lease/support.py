"""Simulated controllers with faults, and the rules of which none may be broken."""

from __future__ import annotations

from corallanding.lab.fences import judge
from corallanding.lab.stewards.tasks import TaskWorld
from corallanding.lab.stewards.world import Way, troubled
from corallanding.lease.limits import LeaseTimings
from corallanding.lease.tasks import TaskCatalog, TaskSpec

TIGHT = LeaseTimings(lease_ms=600.0, vote_lease_ms=400.0)
LONG = LeaseTimings(lease_ms=1_500.0, vote_lease_ms=300.0)  # leases that outlast the term of their leader
TASKS = TaskCatalog({"ledger": TaskSpec("ledger", 7, max_work_ms=100.0), "sweep": TaskSpec("sweep", max_work_ms=200.0)})


def faulty_world(seed: int, until: float = 14_000.0, tasks: TaskCatalog = TASKS) -> TaskWorld:
    w = TaskWorld(seed, 5, 5, tasks, (TIGHT, LONG)[seed // 2 % 2], acting=8)
    if seed % 2:  # a bad link all day long: messages come later than some leases end, twice, or never
        w.usual = w.rest = Way(loss=0.1, repeat=0.3, mean=w.chance.choice((20.0, 60.0, 120.0)))
    troubled(w, until, longest=2_500.0)
    w.run(until)
    return w


def violations(w: TaskWorld) -> dict[str, int]:
    found = judge(w.acts, w.takings)
    return {k: found[k] for k in ("overlaps", "falls", "shared", "late") if found[k]}
