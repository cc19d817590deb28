"""Pinned runs and queued jobs: hundreds of faulty scenarios (simulated controllers), sizes, times, two baselines.

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

JOB_CLASSES = (JobClass("claim", 2.0, 2_000.0, 1e9, 10_000_000), JobClass("rank", 0.0, 1_000.0, 1e9, 10_000_000))


def run_release_scenario(seed: int) -> dict[str, int]:
    """Run releases forward and back under all faults, with files that are lost and restored; return audit counts."""
    world, rng = RunWorld(seed, 5, 5, per_s=60, runs=25), random.Random(f"goal {seed}")
    troubled(world, 13_000.0, 2_500.0)

    def release(highest: int = 2) -> None:
        """Set a random target release up to `highest`, and schedule the next change."""
        world.goal = rng.randint(max(1, highest - 2), min(8, highest))
        world.at(world.now + rng.uniform(600.0, 2_500.0), lambda: release(min(8, highest + 1)))

    world.at(2_500.0, release)
    world.disk_faults(rng)
    world.run(16_000.0)
    pinned_count = sum(row[3] == RunStatus.PINNED for row in world.told)
    return {
        "told": pinned_count,
        "asked": len(world.told),
        "split": len(world.split()),
        "revived": len(world.revived()),
    }


def run_queue_scenario(seed: int) -> dict[str, float]:
    """Run the job queue under all faults and return the counts of its audit."""
    world = WaitWorld(seed, 5, 5, per_s=16, skew=1 + seed % 3)
    troubled(world, 20_000.0, 3_000.0)
    world.run(30_000.0)
    audit = world.found(bound_of(TERMS, QUOTA.max_clock_drift, 15_000.0))
    keys = ("released", "doubled", "lost", "inversions_over_bound", "worst_inversion_ms", "apart")
    return {key: audit[key] for key in keys} | {"again": world.again}


def run_random_walk(seed: int) -> dict[str, int]:
    """Return violations and answers of a random order of events in which leases exclude nobody."""
    walk = Walk(seed, keepers=3 + 2 * (seed % 2))
    return {"broken": len(walk.run(4_000)), "answers": walk.answers}


def run_flood_scenario(job: tuple[str, int]) -> tuple[float, float]:
    """Return the longest wait of a job in ms and the number of dispatched jobs of one scenario without faults.

    A flood of high priority arrives in its middle. `job`: variant and seed; the variants are "fleet", "alone" (each
    controller sees only its own jobs) and "no ageing".
    """
    variant, seed = job
    limits, job_classes = (
        replace(TERMS, dispatches_per_second=40.0),
        (JobClass("claim", 4.0, 2_000.0, 1e9), JobClass("rank", 0.0, 1_000.0, 1e9)),
    )
    if variant == "no ageing":
        job_classes = tuple(replace(kind, aging_interval_ms=1e9) for kind in job_classes)
    world = WaitWorld(
        seed,
        5,
        5,
        per_s=30,
        rate=40,
        skew=2.0,
        terms=limits,
        kinds=job_classes,
        lone=variant == "alone",
        mix=lambda now_ms, rng: int(rng.random() < (0.1 if 8_000 < now_ms < 20_000 else 0.5)),
    )
    world.run(30_000.0)
    waits_ms = [at - world.jobs[job].came for at, job, _, _ in world.went]
    waits_ms += [world.now - job.came for job in world.jobs.values() if not job.done]
    return max(waits_ms), float(len(world.went))


def confidence_interval(values: list[float]) -> dict[str, float]:
    """Return the mean and its 95% confidence interval."""
    mean, standard_error = statistics.fmean(values), stats.sem(values)
    half_width = float(standard_error * stats.t.ppf(0.975, len(values) - 1))
    return {"mean": round(mean, 2), "low": round(mean - half_width, 2), "high": round(mean + half_width, 2)}


def summarize_times(times_s: list[float]) -> dict[str, float]:
    """Return p50 and p99 in microseconds of times in seconds."""
    quantiles_us = np.quantile(np.array(times_s) * 1e6, [0.5, 0.99])
    return {"p50_us": round(float(quantiles_us[0]), 1), "p99_us": round(float(quantiles_us[1]), 1)}


class SoleLeaseHolder:
    """Stand-in for the task leases that records need: one controller that holds all tasks."""

    def __init__(self) -> None:
        from corallanding.lease.tasks import TaskCatalog, TaskSpec

        self.controller_id, self.peer_ids, self.incarnation, self.holder = 1, (), 7, self
        self.tasks = TaskCatalog({RELEASE_TASK: TaskSpec(RELEASE_TASK), RUNS_TASK_GROUP: TaskSpec(RUNS_TASK_GROUP, 64)})
        self.fencing_token = 1

    def holds(self, now: float, task: int) -> bool:
        """Return True."""
        return True


def measure_live_runs(count: int, has_file: bool) -> dict[str, Any]:
    """Return memory per run and the time to begin one, on one replica that holds all groups.

    `has_file`: whether records are also written to a file.
    """
    now, leases = 1e6, SoleLeaseHolder()
    limits = PinningLimits(max_run_ms=1e9, max_new_runs_per_second=1e9)
    with tempfile.TemporaryDirectory() as folder:
        store = RecordStore(str(Path(folder) / "r.db"), lambda: now) if has_file else None
        record_limits = run_record_limits(limits, 2 * count)
        fleet = FleetRecords(
            leases,
            (1,),
            record_limits,
            QueryLimits(),
            now,
            ReplicaFile(1, True),
            RecordTaskGroups((RUNS_TASK_GROUP, RELEASE_TASK), (RUNS_TASK_GROUP,), (RELEASE_TASK,)),
        )  # type: ignore[arg-type]
        version_pinning = build_version_pinning(fleet, limits, SETS, 1, lambda release: 1.0)

        def write_changes(actions: list[Any]) -> None:
            """Write the changes of these actions to the file, if there is one."""
            for action in actions:
                if isinstance(action, Persist) and store:
                    store.write(action.changes)

        for _ in range(10):
            now += 600.0
            write_changes(fleet.tick(now, version_pinning.tick(now)))
        memory_before_mib, times_s, rng = resident_mib(), list[float](), random.Random(1)
        for _ in range(count):
            key = rng.getrandbits(62) | 1
            begun_at = time.perf_counter()
            version_pinning.request_run(now, key)
            write_changes(fleet.send_new_queries(now))
            (answer,) = version_pinning.take_answers()
            times_s.append(time.perf_counter() - begun_at)
            assert answer.result == RunStatus.PINNED
        bytes_per_run = (resident_mib() - memory_before_mib) * 2**20 / count
        if store:
            store.close()
    return {"runs": count, "file": has_file, "bytes_each": round(bytes_per_run), **summarize_times(times_s)}


def measure_waiting_jobs(count: int) -> dict[str, Any]:
    """Return memory per queued job and the times to admit and to dispatch one, on one controller."""
    scheduler = Scheduler(
        (2,),
        1,
        JOB_CLASSES,
        SchedulingLimits(dispatches_per_second=1e9, max_dispatches_per_tick=1),
        0.0,
        lambda: True,
        lambda number: None,
    )
    memory_before_mib, rng, admit_times_s = resident_mib(), random.Random(1), list[float]()
    for number in range(count):
        begun_at = time.perf_counter()
        scheduler.admit(0.0, (), 1, number, number % 2, rng.uniform(0.0, 1e6))
        admit_times_s.append(time.perf_counter() - begun_at)
    bytes_per_job = (resident_mib() - memory_before_mib) * 2**20 / count
    dispatch_times_s = []
    for _ in range(min(count, 20_000)):
        begun_at = time.perf_counter()
        (dispatched,) = scheduler.dispatch_ready(0.0, [])
        dispatch_times_s.append(time.perf_counter() - begun_at)
        assert isinstance(dispatched, Dispatch)
    begun_at = time.perf_counter()
    JobQueue.highest_priorities(scheduler.queue, 0.0, 50)
    summary_us = (time.perf_counter() - begun_at) * 1e6
    times = {
        "take_in": summarize_times(admit_times_s),
        "release": summarize_times(dispatch_times_s),
        "word_us": round(summary_us, 1),
    }
    return {"jobs": count, "bytes_each": round(bytes_per_job), **times}


def totals(rows: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the sum over all rows for each key, or the maximum for keys that start with "worst"."""
    return {
        key: max(row[key] for row in rows) if key.startswith("worst") else sum(row[key] for row in rows)
        for key in rows[0]
    }


def main() -> None:
    """Run all measurements and write one_fleet.json."""
    parser = argparse.ArgumentParser()
    for name, default in (("days", 500), ("workers", 8), ("jobs", 1_000_000), ("runs", 100_000)):
        parser.add_argument(f"--{name}", type=int, default=default)
    args = parser.parse_args()
    results: dict[str, Any] = {"machine": machine(), "days": args.days, "stewards": "simulated"}
    with ProcessPoolExecutor(args.workers) as pool:
        for name, run_one in (
            ("runs", run_release_scenario),
            ("walks", run_random_walk),
            ("waiting", run_queue_scenario),
        ):
            results[f"faulty_{name}"] = totals(list(pool.map(run_one, range(1_000, 1_000 + args.days), chunksize=4)))
        for variant in ("fleet", "alone", "no ageing"):
            rows = list(pool.map(run_flood_scenario, [(variant, seed) for seed in range(24)]))
            results[f"flood_{variant.replace(' ', '_')}"] = {
                "longest_wait_ms": confidence_interval([row[0] for row in rows]),
                "let_go": confidence_interval([row[1] for row in rows]),
            }
    # Each measurement has a new process, so that its memory can be measured.
    with ProcessPoolExecutor(1, max_tasks_per_child=1) as pool:
        sizes = ((args.runs // 10, True), (args.runs, True), (args.runs, False))
        results["live_runs"] = [pool.submit(measure_live_runs, count, has_file).result() for count, has_file in sizes]
        results["waiting_jobs"] = [
            pool.submit(measure_waiting_jobs, count).result()
            for count in (args.jobs // 100, args.jobs // 10, args.jobs)
        ]
    (RESULTS / "one_fleet.json").write_text(json.dumps(results, indent=1) + "\n")
    print(json.dumps(results, indent=1))


if __name__ == "__main__":
    main()
