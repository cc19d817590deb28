"""Lease-held tasks by size of fleet, in simulated controllers and links: traffic, takeovers and moved tasks.

python -m bench.leases [--sizes 3,5,20,60,200] [--tasks 10000]
"""

from __future__ import annotations

import argparse
import json
import time
from typing import Any

from corallanding.lab.fences import judge
from corallanding.lab.stewards.tasks import TaskWorld
from corallanding.lab.stewards.world import troubled
from corallanding.lease.limits import LeaseTimings
from corallanding.lease.tasks import SHARDS, TaskCatalog, TaskSpec

from .machine import machine
from .run import RESULTS

CALM_MS = 10_000.0  # before the first fault


def measure_size(controller_count: int, task_count: int, seed: int) -> dict[str, Any]:
    """Return the results of one fleet: an undisturbed span, then the loss of a holder, then a new controller.

    Times of each of the three run from its own start. In the results, "words" are messages, "falls" are changes of a
    task's holder without a higher fencing token, and a "death" is the loss of a controller.
    """
    catalog = TaskCatalog({"group": TaskSpec("group", task_count, max_work_ms=100.0)})
    world = TaskWorld(
        seed, controller_count + 1, min(controller_count, 5), catalog, LeaseTimings(), acting=5, first=controller_count
    )
    world.run(CALM_MS)
    world.weigh = True
    begun_at = time.perf_counter()
    world.run(2 * CALM_MS)
    duration_s = time.perf_counter() - begun_at
    world.weigh = False
    messages_per_second = sum(count for count, _ in world.by.values()) / controller_count / (CALM_MS / 1000.0)
    bytes_per_second = sum(byte_count for _, byte_count in world.by.values()) / controller_count / (CALM_MS / 1000.0)

    def held_task_counts() -> list[int]:
        """Return the number of tasks that each controller holds."""
        return [len(catalog.tasks_in(process.quota.holder.shards)) for process in world.processes.values()]

    largest_over_mean = max(held_task_counts()) / (task_count / controller_count)
    allocator = next(
        process.quota.allocator
        for process in world.processes.values()
        if process.quota.update_leadership(process.clock(world.now))
    )
    victim = max(world.processes)  # not a voter if there are more than five controllers
    moves_before = allocator.moved_shards
    world.kill(victim)
    killed_at = world.now
    while sum(held_task_counts()) < task_count and world.now < killed_at + 60_000.0:
        world.run(world.now + 50.0)
    takeover_ms = world.now - killed_at
    moved_by_loss = allocator.moved_shards - moves_before
    moves_before = allocator.moved_shards
    world.start(controller_count)
    world.run(world.now + 12_000.0)
    audit = judge(world.acts, world.takings)
    return {
        "stewards": controller_count,
        "tasks": task_count,
        "seed": seed,
        "words_per_s": round(messages_per_second, 1),
        "bytes_per_s": round(bytes_per_second),
        "largest_over_mean": round(largest_over_mean, 3),
        "takeover_ms": takeover_ms,
        "moved_by_a_death": moved_by_loss,
        "least_by_a_death": min(SHARDS, task_count) // controller_count,
        "moved_by_a_newcomer": allocator.moved_shards - moves_before,
        "least_by_a_newcomer": min(SHARDS, task_count) // controller_count,
        "overlaps": audit["overlaps"],
        "falls": audit["falls"],
        "cpu_ms_per_s_each": round(duration_s * 1000.0 / (CALM_MS / 1000.0) / controller_count, 2),
    }


def run_faulty_scenarios(scenario_count: int) -> dict[str, Any]:
    """Return the totals of the audit over this many seeded scenarios with every fault throughout."""
    keys = ("acts", "overlaps", "falls", "shared", "late", "refused_by_fence", "takeovers")
    totals = {"days": scenario_count, **dict.fromkeys(keys, 0)}
    catalog = TaskCatalog(
        {"ledger": TaskSpec("ledger", 7, max_work_ms=100.0), "sweep": TaskSpec("sweep", max_work_ms=200.0)}
    )
    for seed in range(1_000, 1_000 + scenario_count):
        timings = (
            LeaseTimings(lease_ms=600.0, vote_lease_ms=400.0)
            if seed % 2
            else LeaseTimings(lease_ms=1_500.0, vote_lease_ms=300.0)
        )
        world = TaskWorld(seed, 5, 5, catalog, timings, acting=8)
        troubled(world, 12_000.0, longest=2_500.0)
        world.run(12_000.0)
        audit = judge(world.acts, world.takings)
        for key in keys:
            totals[key] += audit[key]
    return totals


def main() -> None:
    """Measure all sizes and the faulty scenarios, and write leases.json."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--sizes", default="3,5,20,60,200")
    parser.add_argument("--tasks", type=int, default=10_000)
    parser.add_argument("--days", type=int, default=500)
    args = parser.parse_args()
    results: dict[str, Any] = {"machine": machine(), "sizes": []}
    for controller_count in map(int, args.sizes.split(",")):
        results["sizes"].append(measure_size(controller_count, args.tasks, 1))
        print(json.dumps(results["sizes"][-1]), flush=True)
    results["faulty"] = run_faulty_scenarios(args.days)
    print(json.dumps(results["faulty"]))
    (RESULTS / "leases.json").write_text(json.dumps(results, indent=1) + "\n")


if __name__ == "__main__":
    main()
