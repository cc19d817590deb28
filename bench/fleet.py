"""Speed of the emulator: callbacks per second by size of fleet, against real time, beside bare heaps and simpy.

    python -m bench.fleet [loops | SIZE ...]

simpy is needed only here (`pip install simpy`); without it that measurement is left out.
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

# hosts, proxies, slices, requests per second, seconds
SIZES = {"24": (24, 12, 144, 220.0, 60.0), "78": (78, 130, 468, 790.0, 60.0), "300": (300, 500, 1800, 2500.0, 20.0)}
EVENT_COUNT, WAITER_COUNT = 200_000, 500


def scenario_of_size(size: tuple[int, int, int, float, float]) -> Scenario:
    """Return the scenario examples/bad-day.hcl with a fleet of this size."""
    base = load_scenario(Path(__file__).parent.parent / "examples" / "bad-day.hcl")
    hosts, proxies, slices, requests_per_second, seconds = size
    fleet = base.fleet.model_copy(update={"hosts": hosts, "forwarders": proxies, "slices": slices})
    channel_limits = {"rate_lines_per_s": 400.0 * proxies, "queue_most_lines": 500.0 * proxies}
    return base.model_copy(
        update={
            "fleet": fleet,
            "seconds": seconds,
            "traffic": base.traffic.model_copy(update={"per_s": requests_per_second}),
            "channel": base.channel.model_copy(update=channel_limits),
            "reports": base.reports.model_copy(update={"lines_per_s": float(4 * slices + 4 * hosts)}),
            "forwarders": base.forwarders.model_copy(update={"most": 4096}),
            "fault": [fault for fault in base.fault if fault.at_s + fault.for_s < seconds],
        }
    )


def events_per_second(work: Callable[[], object]) -> float:
    """Return events per second of the fastest of three runs, after one run to warm up."""
    work()
    best_per_second = 0.0
    for _ in range(3):
        begun_at = time.perf_counter()
        work()
        best_per_second = max(best_per_second, EVENT_COUNT / (time.perf_counter() - begun_at))
    return round(best_per_second)


def run_heap() -> None:
    """Run the least that any hand-written emulator needs: a tuple in a heap and a call per event."""
    queue: list[tuple[float, int, Callable[[int], None]]] = []
    event_count = 0

    def tick(waiter: int) -> None:
        nonlocal event_count
        event_count += 1
        heapq.heappush(queue, (event_count + waiter * 0.001, event_count, tick))

    for waiter in range(WAITER_COUNT):
        tick(waiter)
    while event_count < EVENT_COUNT:
        _, waiter, callback = heapq.heappop(queue)
        callback(waiter % WAITER_COUNT)


def run_timers() -> None:
    """Run events as timers of the simulated loop."""

    async def work(loop: SimLoop) -> None:
        is_done, event_count = loop.create_future(), 0

        def tick(waiter: int) -> None:
            nonlocal event_count
            event_count += 1
            if event_count < EVENT_COUNT:
                loop.call_later(1.0 + waiter * 0.001, tick, waiter)
            elif not is_done.done():
                is_done.set_result(None)

        for waiter in range(WAITER_COUNT):
            tick(waiter)
        await is_done

    run(work)


def run_sleepers() -> None:
    """Run events as tasks of the simulated loop that sleep."""

    async def work(loop: SimLoop) -> None:
        async def sleep_repeatedly(waiter: int) -> None:
            for _ in range(EVENT_COUNT // WAITER_COUNT):
                await asyncio.sleep(1.0 + waiter * 0.001)

        await asyncio.gather(*(sleep_repeatedly(waiter) for waiter in range(WAITER_COUNT)))

    run(work)


def run_simpy() -> None:
    """Run events as simpy processes. Raises ImportError without simpy."""
    import simpy  # type: ignore[import-not-found]

    environment = simpy.Environment()

    def sleep_repeatedly(waiter: int) -> Any:
        for _ in range(EVENT_COUNT // WAITER_COUNT):
            yield environment.timeout(1.0 + waiter * 0.001)

    for waiter in range(WAITER_COUNT):
        environment.process(sleep_repeatedly(waiter))
    environment.run()


def measure_loops() -> dict[str, float]:
    """Return events per second of each kind of loop."""
    results = {
        "bare heap and calls": events_per_second(run_heap),
        "SimLoop, timers": events_per_second(run_timers),
        "SimLoop, tasks that sleep": events_per_second(run_sleepers),
    }
    try:
        results["simpy, processes"] = events_per_second(run_simpy)
    except ImportError:
        print("simpy is not installed: left out", file=sys.stderr)
    return results


def main(names: list[str]) -> None:
    """Run the measurements of these names, or all, and write each result to fleet.json."""
    path = RESULTS / "fleet.json"
    results = json.loads(path.read_text()) if path.exists() else {}
    results["machine"] = machine()
    if not names or "loops" in names:
        results["events_per_s"] = measure_loops()
        print(json.dumps(results["events_per_s"]), flush=True)
        path.write_text(json.dumps(results, indent=1) + "\n")
    for name in [size_name for size_name in names or SIZES if size_name in SIZES]:
        scenario = scenario_of_size(SIZES[name])
        emulation = emulate(scenario, 1)
        row = {
            "hosts": scenario.fleet.hosts,
            "forwarders": scenario.fleet.forwarders,
            "slices": scenario.fleet.slices,
            "invocations": emulation.result["invocations"],
            "simulated_s": round(emulation.simulated_s, 1),
            "took_s": round(emulation.elapsed_s, 2),
            "callbacks_per_s": round(emulation.events / emulation.elapsed_s),
            "invocations_per_s": round(emulation.result["invocations"] / emulation.elapsed_s),
            "times_real_time": round(emulation.simulated_s / emulation.elapsed_s, 2),
            "service": emulation.result["service"],
            "rules_kept": sum(rule["kept"] is True for rule in emulation.result["rules"]),
        }
        if name == "24":
            begun_at = time.perf_counter()
            with tempfile.TemporaryDirectory() as folder, pool(Path(folder) / "runs.db", 8) as runner:
                runner.all([Job(Setting("bench", scenario), seed) for seed in range(1, 17)])
            row["16_runs_on_8_processes_s"] = round(time.perf_counter() - begun_at, 1)
        results[name] = row
        print(name, json.dumps(row), flush=True)
        path.write_text(json.dumps(results, indent=1) + "\n")


if __name__ == "__main__":
    main(sys.argv[1:])
