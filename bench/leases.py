"""Tasks of a fleet by its size, simulated stewards on simulated ways: words and bytes a second, takeovers, moves.

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

CALM = 10_000.0  # ms before anything fails


def sized(stewards: int, tasks: int, seed: int) -> dict[str, Any]:
    """Calm, then a holder dies, then a new steward comes; each counted from its own instant."""
    names = TaskCatalog({"group": TaskSpec("group", tasks, max_work_ms=100.0)})
    w = TaskWorld(seed, stewards + 1, min(stewards, 5), names, LeaseTimings(), acting=5, first=stewards)
    w.run(CALM)
    w.weigh = True
    begun = time.perf_counter()
    w.run(2 * CALM)
    took = time.perf_counter() - begun
    w.weigh = False
    words = sum(n for n, _ in w.by.values()) / stewards / (CALM / 1000.0)
    size = sum(b for _, b in w.by.values()) / stewards / (CALM / 1000.0)

    def held() -> list[int]:
        return [len(names.tasks_in(p.quota.holder.shards)) for p in w.processes.values()]

    spread = max(held()) / (tasks / stewards)
    dealer = next(p.quota.allocator for p in w.processes.values() if p.quota.update_leadership(p.clock(w.now)))
    victim = max(w.processes)  # no voter where there are more than five
    moves = dealer.moved_shards
    w.kill(victim)
    gone = w.now
    while sum(held()) < tasks and w.now < gone + 60_000.0:
        w.run(w.now + 50.0)
    takeover = w.now - gone
    dead = dealer.moved_shards - moves
    moves = dealer.moved_shards
    w.start(stewards)
    w.run(w.now + 12_000.0)
    found = judge(w.acts, w.takings)
    return {
        "stewards": stewards,
        "tasks": tasks,
        "seed": seed,
        "words_per_s": round(words, 1),
        "bytes_per_s": round(size),
        "largest_over_mean": round(spread, 3),
        "takeover_ms": takeover,
        "moved_by_a_death": dead,
        "least_by_a_death": min(SHARDS, tasks) // stewards,
        "moved_by_a_newcomer": dealer.moved_shards - moves,
        "least_by_a_newcomer": min(SHARDS, tasks) // stewards,
        "overlaps": found["overlaps"],
        "falls": found["falls"],
        "cpu_ms_per_s_each": round(took * 1000.0 / (CALM / 1000.0) / stewards, 2),
    }


def faulty(days: int) -> dict[str, Any]:
    """Seeded days with every fault and no rest."""
    kinds = ("acts", "overlaps", "falls", "shared", "late", "refused_by_fence", "takeovers")
    total = {"days": days, **dict.fromkeys(kinds, 0)}
    names = TaskCatalog(
        {"ledger": TaskSpec("ledger", 7, max_work_ms=100.0), "sweep": TaskSpec("sweep", max_work_ms=200.0)}
    )
    for seed in range(1_000, 1_000 + days):
        terms = (
            LeaseTimings(lease_ms=600.0, vote_lease_ms=400.0)
            if seed % 2
            else LeaseTimings(lease_ms=1_500.0, vote_lease_ms=300.0)
        )
        w = TaskWorld(seed, 5, 5, names, terms, acting=8)
        troubled(w, 12_000.0, longest=2_500.0)
        w.run(12_000.0)
        found = judge(w.acts, w.takings)
        for key in kinds:
            total[key] += found[key]
    return total


def main() -> None:
    ask = argparse.ArgumentParser()
    ask.add_argument("--sizes", default="3,5,20,60,200")
    ask.add_argument("--tasks", type=int, default=10_000)
    ask.add_argument("--days", type=int, default=500)
    args = ask.parse_args()
    found: dict[str, Any] = {"machine": machine(), "sizes": []}
    for n in map(int, args.sizes.split(",")):
        found["sizes"].append(sized(n, args.tasks, 1))
        print(json.dumps(found["sizes"][-1]), flush=True)
    found["faulty"] = faulty(args.days)
    print(json.dumps(found["faulty"]))
    (RESULTS / "leases.json").write_text(json.dumps(found, indent=1) + "\n")


if __name__ == "__main__":
    main()
