"""The emulator's speed: callbacks a second by size of fleet, against real time, beside bare heaps and simpy.

    python -m bench.fleet [loops | SIZE ...]

simpy is asked for only here (`pip install simpy`), and left out if it is not there.
"""

from __future__ import annotations

import asyncio
import heapq
import json
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from corallanding.lab.fleet.emulate import emulate
from corallanding.lab.fleet.loop import SimLoop, run
from corallanding.lab.fleet.runs import Job, Setting, pool
from corallanding.lab.scenario import Scenario, load_scenario

from .machine import machine
from .run import RESULTS

# hosts, forwarders, slices, invocations a second, seconds
SIZES = {"24": (24, 12, 144, 220.0, 60.0), "78": (78, 130, 468, 790.0, 60.0), "300": (300, 500, 1800, 2500.0, 20.0)}
EVENTS, WAITERS = 200_000, 500


def grown(size: tuple[int, int, int, float, float]) -> Scenario:
    s = load_scenario(Path(__file__).parent.parent / "examples" / "bad-day.hcl")
    hosts, forwarders, slices, per_s, seconds = size
    fleet = s.fleet.model_copy(update={"hosts": hosts, "forwarders": forwarders, "slices": slices})
    lines = {"rate_lines_per_s": 400.0 * forwarders, "queue_most_lines": 500.0 * forwarders}
    return s.model_copy(
        update={
            "fleet": fleet,
            "seconds": seconds,
            "traffic": s.traffic.model_copy(update={"per_s": per_s}),
            "channel": s.channel.model_copy(update=lines),
            "reports": s.reports.model_copy(update={"lines_per_s": float(4 * slices + 4 * hosts)}),
            "forwarders": s.forwarders.model_copy(update={"most": 4096}),
            "fault": [f for f in s.fault if f.at_s + f.for_s < seconds],
        }
    )


def per_second(work: Callable[[], object]) -> float:
    work()
    best = 0.0
    for _ in range(3):
        begun = time.perf_counter()
        work()
        best = max(best, EVENTS / (time.perf_counter() - begun))
    return round(best)


def heap() -> None:
    """What a hand-made emulator pays at least: a tuple in a heap and a call."""
    later: list[tuple[float, int, Callable[[int], None]]] = []
    n = 0

    def tick(k: int) -> None:
        nonlocal n
        n += 1
        heapq.heappush(later, (n + k * 0.001, n, tick))

    for k in range(WAITERS):
        tick(k)
    while n < EVENTS:
        _, k, call = heapq.heappop(later)
        call(k % WAITERS)


def timers() -> None:
    async def work(loop: SimLoop) -> None:
        done, n = loop.create_future(), 0

        def tick(k: int) -> None:
            nonlocal n
            n += 1
            if n < EVENTS:
                loop.call_later(1.0 + k * 0.001, tick, k)
            elif not done.done():
                done.set_result(None)

        for k in range(WAITERS):
            tick(k)
        await done

    run(work)


def sleepers() -> None:
    async def work(loop: SimLoop) -> None:
        async def one(k: int) -> None:
            for _ in range(EVENTS // WAITERS):
                await asyncio.sleep(1.0 + k * 0.001)

        await asyncio.gather(*(one(k) for k in range(WAITERS)))

    run(work)


def simpys() -> None:
    import simpy  # type: ignore[import-not-found]

    env = simpy.Environment()

    def one(k: int) -> Any:
        for _ in range(EVENTS // WAITERS):
            yield env.timeout(1.0 + k * 0.001)

    for k in range(WAITERS):
        env.process(one(k))
    env.run()


def loops() -> dict[str, float]:
    found = {
        "bare heap and calls": per_second(heap),
        "SimLoop, timers": per_second(timers),
        "SimLoop, tasks that sleep": per_second(sleepers),
    }
    try:
        found["simpy, processes"] = per_second(simpys)
    except ImportError:
        print("simpy is not installed: left out", file=sys.stderr)
    return found


def main(names: list[str]) -> None:
    path = RESULTS / "fleet.json"
    kept = json.loads(path.read_text()) if path.exists() else {}
    kept["machine"] = machine()
    if not names or "loops" in names:
        kept["events_per_s"] = loops()
        print(json.dumps(kept["events_per_s"]), flush=True)
        path.write_text(json.dumps(kept, indent=1) + "\n")
    for name in [n for n in names or SIZES if n in SIZES]:
        s = grown(SIZES[name])
        e = emulate(s, 1)
        row = {
            "hosts": s.fleet.hosts,
            "forwarders": s.fleet.forwarders,
            "slices": s.fleet.slices,
            "invocations": e.result["invocations"],
            "simulated_s": round(e.simulated_s, 1),
            "took_s": round(e.elapsed_s, 2),
            "callbacks_per_s": round(e.events / e.elapsed_s),
            "invocations_per_s": round(e.result["invocations"] / e.elapsed_s),
            "times_real_time": round(e.simulated_s / e.elapsed_s, 2),
            "service": e.result["service"],
            "rules_kept": sum(r["kept"] is True for r in e.result["rules"]),
        }
        if name == "24":
            begun = time.perf_counter()
            with tempfile.TemporaryDirectory() as folder, pool(Path(folder) / "runs.db", 8) as p:
                p.all([Job(Setting("bench", s), seed) for seed in range(1, 17)])
            row["16_runs_on_8_processes_s"] = round(time.perf_counter() - begun, 1)
        kept[name] = row
        print(name, json.dumps(row), flush=True)
        path.write_text(json.dumps(kept, indent=1) + "\n")


if __name__ == "__main__":
    main(sys.argv[1:])
