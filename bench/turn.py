"""Cost of the decider's turns by size of fleet, in one process, beside an older version of it if one is given.

    python -m bench.turn [--against FILE] [--out NAME]

Every host and slice has usage reports each second. A turn is the step at the decider's own timer; a drain step is an
urgent one between turns. `marks` in the results is the cost of the lists of rendezvous scores, which are computed ahead
of need after a start.
"""

from __future__ import annotations

import argparse
import gc
import json
import time
from typing import Any

import numpy as np

from corallanding import interface as api
from corallanding.assignment import Assigner
from corallanding.lab.fleet.runs import load_assigner

from .machine import machine
from .run import RESULTS

# hosts, slices, proxies
SIZES = [(24, 144, 12), (78, 468, 130), (300, 1800, 500), (1000, 6000, 1000)]
QUOTE = api.RequestClass("quote", api.Idempotency.IDEMPOTENT, "all", 5000, 3, 0.1, 1200, 3000)
SLOW_HOSTS_PART = 0.1  # part of the hosts that are slow in the second half, so that turns look for other owners


def settings(hosts: int, slices: int, proxies: int) -> api.Settings:
    """Return the settings of the decider for this size of fleet."""
    return api.Settings(
        request_classes=(QUOTE,),
        slice_count=slices,
        proxy_count=proxies,
        max_queued_lines=(8.0 + 2 * slices) * proxies * 2,
        reports_per_second=hosts + 2.0 * slices,
        channel_lines_per_second=10.0 * slices * proxies,
        warm_up_ms=5_000.0,
    )


class Fleet:
    """A decider built by `make` with its hosts, slices and proxies, which all exist from the first step on.

    `slow`: hosts that answer late. `first_step_ms`: duration of the first step.
    """

    def __init__(self, make: Any, hosts: int, slices: int, proxies: int) -> None:
        self.rng = np.random.default_rng(1)
        self.hosts, self.slices, self.proxies, self.now = hosts, slices, proxies, 1e9
        self.decider, self.version = make(settings(hosts, slices, proxies), 7), 1
        self.slow: set[int] = set()
        self.owner = {slice_id: slice_id % hosts for slice_id in range(slices)}
        entries = tuple(api.HostEntry(host) for host in range(hosts))
        events: list[api.Event] = [api.HostListUpdate(api.HostListKind.FULL, 1, entries)]
        for slice_id in range(slices):
            events += [api.SliceOwnershipChange(slice_id, True), api.StoredWeight(slice_id, slice_id % hosts, 1.0)]
        events += [api.ProxyJoined(proxy, 0, 10.0, True) for proxy in range(proxies)]
        self.first_step_ms = self.step(events)

    def step(self, events: list[api.Event]) -> float:
        """Run one step, ack its versions and answer its health checks at once, and return the duration in ms."""
        begun_at = time.perf_counter()
        actions = self.decider.step(self.now, events)
        duration_ms = (time.perf_counter() - begun_at) * 1000.0
        answers: list[api.Event] = []
        for action in actions:
            if isinstance(action, api.SetWeight) and action.weight > 0:
                self.owner[action.slice] = action.host
            elif isinstance(action, api.PublishVersion):
                answers += [api.VersionAcked(proxy, action.version) for proxy in range(self.proxies)]
            elif isinstance(action, api.CheckHealth):
                answers.append(api.HealthCheckResult(action.host, api.HealthCheckOutcome.OK))
        if answers:
            self.now += 1.0
            self.decider.step(self.now, answers)
        return duration_ms

    def report_usage(self) -> None:
        """Report the usage of every host and slice."""
        rng = self.rng
        latencies_ms = rng.uniform(200, 300, self.hosts)
        events: list[api.Event] = [
            api.HostUsageReport(0, host, 60, 0, float(latencies_ms[host]) * (6.0 if host in self.slow else 1.0), 1000.0)
            for host in range(self.hosts)
        ]
        request_counts = rng.poisson(8, self.slices)
        self.now += 1.0
        self.decider.step(
            self.now,
            [
                *events,
                *(
                    api.SliceUsageReport(slice_id, 0, int(request_counts[slice_id]), 0, 1000.0)
                    for slice_id in range(self.slices)
                ),
            ],
        )

    def turn(self) -> float:
        """Run the step at the timer, 500 ms later, and return its duration in ms."""
        self.now += 500.0
        return self.step([api.TimerFired(0)])

    def change_host(self, host: int, state: str) -> float:
        """Change the state of a host in the host list and return the duration of the step in ms."""
        self.now += 10.0
        self.version += 1
        return self.step(
            [api.HostListUpdate(api.HostListKind.CHANGES, self.version, (api.HostEntry(host, state=state),))]
        )


def measure(makes: list[Any], size: tuple[int, int, int], turn_count: int) -> list[dict[str, Any]]:
    """Return a row of results for each decider.

    Their turns alternate, so that other load of the machine affects all of them alike.
    """
    hosts, slices, proxies = size
    fleets = [Fleet(make, hosts, slices, proxies) for make in makes]
    rows: list[dict[str, Any]] = []
    for fleet in fleets:
        begun_at = time.perf_counter()
        while fleet.decider.rendezvous.precompute(range(slices), 100_000):
            pass
        precompute_ms = (time.perf_counter() - begun_at) * 1000.0
        rows.append(
            {
                "hosts": hosts,
                "slices": slices,
                "forwarders": proxies,
                "turns": turn_count,
                "marks_ms": round(precompute_ms, 1),
                "first_step_ms": round(fleet.first_step_ms, 1),
            }
        )
    durations_ms: list[dict[str, list[float]]] = [{"turn": [], "strained": [], "drain": []} for _ in fleets]
    for index in range(2 * turn_count):
        for fleet, fleet_durations in zip(fleets, durations_ms, strict=True):
            if index == turn_count:
                fleet.slow = set(range(0, hosts, round(1 / SLOW_HOSTS_PART)))
            fleet.report_usage()
            gc.collect()
            fleet_durations["turn" if index < turn_count else "strained"].append(fleet.turn())
            if index % 4 == 0:
                fleet_durations["drain"].append(fleet.change_host(index % hosts, "draining"))
                fleet.change_host(index % hosts, "up")
    for row, fleet_durations in zip(rows, durations_ms, strict=True):
        for kind, values in fleet_durations.items():
            row[f"{kind}_p50_ms"] = round(float(np.percentile(values, 50)), 3)
            row[f"{kind}_p99_ms"] = round(float(np.percentile(values, 99)), 3)
    return rows


def growth_exponent(rows: list[dict[str, Any]], key: str) -> float:
    """Return the exponent of growth: the slope of log(time) over log(hosts) from 78 hosts on."""
    large_rows = [row for row in rows if row["hosts"] >= 78 and row[key] > 0]
    return round(
        float(np.polyfit(np.log([row["hosts"] for row in large_rows]), np.log([row[key] for row in large_rows]), 1)[0]),
        2,
    )


def main() -> None:
    """Measure all sizes and write the results."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--against", help="the decider of another checkout: its assignment/__init__.py")
    parser.add_argument("--out", default="turn")
    parser.add_argument("--turns", type=int, default=60)
    args = parser.parse_args()
    results: dict[str, Any] = {"machine": machine(), "now": [], "before": []}
    deciders = {"now": Assigner, **({"before": load_assigner(args.against)} if args.against else {})}
    for size in SIZES:
        for side, row in zip(deciders, measure(list(deciders.values()), size, args.turns), strict=True):
            results[side].append(row)
            print(side, json.dumps(row), flush=True)
    for side in ("now", "before"):
        if results[side]:
            keys = ("turn_p50_ms", "strained_p50_ms", "drain_p50_ms")
            results[f"growth_{side}"] = {key: growth_exponent(results[side], key) for key in keys}
    print(json.dumps({key: value for key, value in results.items() if key.startswith("growth")}))
    (RESULTS / f"{args.out}.json").write_text(json.dumps(results, indent=1) + "\n")


if __name__ == "__main__":
    main()
