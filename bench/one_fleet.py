"""Runs and waiting work: faulty days by the hundred (simulated stewards), sizes, times, and two baselines.

python -m bench.one_fleet [--days 500] [--workers 8] [--jobs 1000000] [--runs 100000]
"""

from __future__ import annotations

import argparse
import json
import random
import statistics
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from pathlib import Path
from typing import Any

import numpy as np
from scipy import stats

from corallanding.controller.record_store import RecordStore
from corallanding.lab.stewards.runs import SETS, RunWorld
from corallanding.lab.stewards.waits import QUOTA, TERMS, WaitWorld, bound_of
from corallanding.lab.stewards.walk import Walk
from corallanding.lab.stewards.world import troubled
from corallanding.quorum_records.core import Persist, ReplicaFile
from corallanding.quorum_records.fleet import FleetRecords, RecordTaskGroups
from corallanding.quorum_records.queries import QueryLimits
from corallanding.scheduling.actions import Dispatch
from corallanding.scheduling.core import Scheduler
from corallanding.scheduling.limits import JobClass, SchedulingLimits
from corallanding.scheduling.queue import JobQueue
from corallanding.version_pinning.core import RELEASE_TASK, RUNS_TASK_GROUP, build_version_pinning, run_record_limits
from corallanding.version_pinning.limits import PinningLimits
from corallanding.version_pinning.messages import RunStatus

from .machine import machine
from .measured import resident_mib
from .run import RESULTS

KINDS = (JobClass("claim", 2.0, 2_000.0, 1e9, 10_000_000), JobClass("rank", 0.0, 1_000.0, 1e9, 10_000_000))


def run_day(seed: int) -> dict[str, int]:
    """Releases forward and back, all faults, files lost and put back."""
    w, c = RunWorld(seed, 5, 5, per_s=60, runs=25), random.Random(f"goal {seed}")
    troubled(w, 13_000.0, 2_500.0)

    def release(top: int = 2) -> None:
        w.goal = c.randint(max(1, top - 2), min(8, top))
        w.at(w.now + c.uniform(600.0, 2_500.0), lambda: release(min(8, top + 1)))

    w.at(2_500.0, release)
    w.disk_faults(c)
    w.run(16_000.0)
    told = sum(row[3] == RunStatus.PINNED for row in w.told)
    return {"told": told, "asked": len(w.told), "split": len(w.split()), "revived": len(w.revived())}


def wait_day(seed: int) -> dict[str, float]:
    w = WaitWorld(seed, 5, 5, per_s=16, skew=1 + seed % 3)
    troubled(w, 20_000.0, 3_000.0)
    w.run(30_000.0)
    found = w.found(bound_of(TERMS, QUOTA.max_clock_drift, 15_000.0))
    keys = ("released", "doubled", "lost", "inversions_over_bound", "worst_inversion_ms", "apart")
    return {k: found[k] for k in keys} | {"again": w.again}


def walk_day(seed: int) -> dict[str, int]:
    w = Walk(seed, keepers=3 + 2 * (seed % 2))
    return {"broken": len(w.run(4_000)), "answers": w.answers}


def way_day(job: tuple[str, int]) -> tuple[float, float]:
    """Longest wait of a job, and jobs let go, of one calm day with a flood of high priority in its middle."""
    way, seed = job
    terms, kinds = (
        replace(TERMS, dispatches_per_second=40.0),
        (JobClass("claim", 4.0, 2_000.0, 1e9), JobClass("rank", 0.0, 1_000.0, 1e9)),
    )
    if way == "no ageing":
        kinds = tuple(replace(k, aging_interval_ms=1e9) for k in kinds)
    w = WaitWorld(
        seed,
        5,
        5,
        per_s=30,
        rate=40,
        skew=2.0,
        terms=terms,
        kinds=kinds,
        lone=way == "alone",
        mix=lambda t, c: int(c.random() < (0.1 if 8_000 < t < 20_000 else 0.5)),
    )
    w.run(30_000.0)
    ends = [at - w.jobs[job].came for at, job, _, _ in w.went]
    ends += [w.now - j.came for j in w.jobs.values() if not j.done]
    return max(ends), float(len(w.went))


def interval(values: list[float]) -> dict[str, float]:
    mean, sem = statistics.fmean(values), stats.sem(values)
    half = float(sem * stats.t.ppf(0.975, len(values) - 1))
    return {"mean": round(mean, 2), "low": round(mean - half, 2), "high": round(mean + half, 2)}


def spans(times: list[float]) -> dict[str, float]:
    q = np.quantile(np.array(times) * 1e6, [0.5, 0.99])
    return {"p50_us": round(float(q[0]), 1), "p99_us": round(float(q[1]), 1)}


class Lone:
    """What records ask of leases: one steward that holds all."""

    def __init__(self) -> None:
        from corallanding.lease.tasks import TaskCatalog, TaskSpec

        self.controller_id, self.peer_ids, self.incarnation, self.holder = 1, (), 7, self
        self.tasks = TaskCatalog({RELEASE_TASK: TaskSpec(RELEASE_TASK), RUNS_TASK_GROUP: TaskSpec(RUNS_TASK_GROUP, 64)})
        self.fencing_token = 1

    def holds(self, now: float, task: int) -> bool:
        return True


def live_runs(count: int, file: bool) -> dict[str, Any]:
    """One keeper that holds all groups: what a run costs in memory, and its beginning in time, the file among it."""
    now, lone = 1e6, Lone()
    terms = PinningLimits(max_run_ms=1e9, max_new_runs_per_second=1e9)
    with tempfile.TemporaryDirectory() as folder:
        disk = RecordStore(str(Path(folder) / "r.db"), lambda: now) if file else None
        bounds = run_record_limits(terms, 2 * count)
        fleet = FleetRecords(
            lone,
            (1,),
            bounds,
            QueryLimits(),
            now,
            ReplicaFile(1, True),
            RecordTaskGroups((RUNS_TASK_GROUP, RELEASE_TASK), (RUNS_TASK_GROUP,), (RELEASE_TASK,)),
        )  # type: ignore[arg-type]
        pins = build_version_pinning(fleet, terms, SETS, 1, lambda s: 1.0)

        def carry(actions: list[Any]) -> None:
            for a in actions:
                if isinstance(a, Persist) and disk:
                    disk.write(a.changes)

        for _ in range(10):
            now += 600.0
            carry(fleet.tick(now, pins.tick(now)))
        before, times, chance = resident_mib(), list[float](), random.Random(1)
        for _ in range(count):
            key = chance.getrandbits(62) | 1
            begun = time.perf_counter()
            pins.request_run(now, key)
            carry(fleet.send_new_queries(now))
            (told,) = pins.take_answers()
            times.append(time.perf_counter() - begun)
            assert told.result == RunStatus.PINNED
        size = (resident_mib() - before) * 2**20 / count
        if disk:
            disk.close()
    return {"runs": count, "file": file, "bytes_each": round(size), **spans(times)}


def waiting_jobs(count: int) -> dict[str, Any]:
    """One steward: what a job costs in memory, and its taking in and release in time."""
    w = Scheduler(
        (2,),
        1,
        KINDS,
        SchedulingLimits(dispatches_per_second=1e9, max_dispatches_per_tick=1),
        0.0,
        lambda: True,
        lambda n: None,
    )
    before, chance, taken = resident_mib(), random.Random(1), list[float]()
    for n in range(count):
        begun = time.perf_counter()
        w.admit(0.0, (), 1, n, n % 2, chance.uniform(0.0, 1e6))
        taken.append(time.perf_counter() - begun)
    size = (resident_mib() - before) * 2**20 / count
    gone = []
    for _ in range(min(count, 20_000)):
        begun = time.perf_counter()
        (go,) = w.dispatch_ready(0.0, [])
        gone.append(time.perf_counter() - begun)
        assert isinstance(go, Dispatch)
    begun = time.perf_counter()
    JobQueue.highest_priorities(w.queue, 0.0, 50)
    word = (time.perf_counter() - begun) * 1e6
    times = {"take_in": spans(taken), "release": spans(gone), "word_us": round(word, 1)}
    return {"jobs": count, "bytes_each": round(size), **times}


def totals(rows: list[dict[str, Any]]) -> dict[str, Any]:
    return {k: max(r[k] for r in rows) if k.startswith("worst") else sum(r[k] for r in rows) for k in rows[0]}


def main() -> None:
    p = argparse.ArgumentParser()
    for name, usual in (("days", 500), ("workers", 8), ("jobs", 1_000_000), ("runs", 100_000)):
        p.add_argument(f"--{name}", type=int, default=usual)
    a = p.parse_args()
    out: dict[str, Any] = {"machine": machine(), "days": a.days, "stewards": "simulated"}
    with ProcessPoolExecutor(a.workers) as pool:
        for name, day in (("runs", run_day), ("walks", walk_day), ("waiting", wait_day)):
            out[f"faulty_{name}"] = totals(list(pool.map(day, range(1_000, 1_000 + a.days), chunksize=4)))
        for way in ("fleet", "alone", "no ageing"):
            rows = list(pool.map(way_day, [(way, s) for s in range(24)]))
            out[f"flood_{way.replace(' ', '_')}"] = {
                "longest_wait_ms": interval([r[0] for r in rows]),
                "let_go": interval([r[1] for r in rows]),
            }
    with ProcessPoolExecutor(1, max_tasks_per_child=1) as pool:  # a process each, so that memory is its own
        sizes = ((a.runs // 10, True), (a.runs, True), (a.runs, False))
        out["live_runs"] = [pool.submit(live_runs, n, file).result() for n, file in sizes]
        out["waiting_jobs"] = [pool.submit(waiting_jobs, n).result() for n in (a.jobs // 100, a.jobs // 10, a.jobs)]
    (RESULTS / "one_fleet.json").write_text(json.dumps(out, indent=1) + "\n")
    print(json.dumps(out, indent=1))


if __name__ == "__main__":
    main()
