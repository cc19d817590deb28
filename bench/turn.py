"""Cost of the module's turns by size of fleet, in one process, beside an older text of the module if one is given.

    python -m bench.turn [--against FILE] [--out NAME]

Every host and slice has sums each second; a turn is the step of the module's own timer. A drain's step is urgent,
between turns. `marks` is what the lists of rendezvous marks cost at a start, ahead of need.
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

SIZES = [(24, 144, 12), (78, 468, 130), (300, 1800, 500), (1000, 6000, 1000)]
QUOTE = api.RequestClass("quote", api.Idempotency.IDEMPOTENT, "all", 5000, 3, 0.1, 1200, 3000)
STRAINED = 0.1  # part of the hosts that answer late in the second half: turns that look for other owners


def settings(hosts: int, slices: int, proxies: int) -> api.Settings:
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
    def __init__(self, make: Any, hosts: int, slices: int, proxies: int) -> None:
        self.chance = np.random.default_rng(1)
        self.hosts, self.slices, self.proxies, self.now = hosts, slices, proxies, 1e9
        self.module, self.version = make(settings(hosts, slices, proxies), 7), 1
        self.slow: set[int] = set()
        self.owner = {s: s % hosts for s in range(slices)}
        entries = tuple(api.HostEntry(h) for h in range(hosts))
        events: list[api.Event] = [api.HostListUpdate(api.HostListKind.FULL, 1, entries)]
        for s in range(slices):
            events += [api.SliceOwnershipChange(s, True), api.StoredWeight(s, s % hosts, 1.0)]
        events += [api.ProxyJoined(p, 0, 10.0, True) for p in range(proxies)]
        self.first = self.step(events)

    def step(self, events: list[api.Event]) -> float:
        """One step, ms; every mark is acked at once."""
        begun = time.perf_counter()
        out = self.module.step(self.now, events)
        took = (time.perf_counter() - begun) * 1000.0
        acks: list[api.Event] = []
        for a in out:
            if isinstance(a, api.SetWeight) and a.weight > 0:
                self.owner[a.slice] = a.host
            elif isinstance(a, api.PublishVersion):
                acks += [api.VersionAcked(p, a.version) for p in range(self.proxies)]
            elif isinstance(a, api.CheckHealth):
                acks.append(api.HealthCheckResult(a.host, api.HealthCheckOutcome.OK))
        if acks:
            self.now += 1.0
            self.module.step(self.now, acks)
        return took

    def sums(self) -> None:
        r = self.chance
        late = r.uniform(200, 300, self.hosts)
        events: list[api.Event] = [
            api.HostUsageReport(0, h, 60, 0, float(late[h]) * (6.0 if h in self.slow else 1.0), 1000.0)
            for h in range(self.hosts)
        ]
        came = r.poisson(8, self.slices)
        self.now += 1.0
        self.module.step(
            self.now, [*events, *(api.SliceUsageReport(s, 0, int(came[s]), 0, 1000.0) for s in range(self.slices))]
        )

    def turn(self) -> float:
        self.now += 500.0
        return self.step([api.TimerFired(0)])

    def listed(self, h: int, state: str) -> float:
        self.now += 10.0
        self.version += 1
        return self.step([api.HostListUpdate(api.HostListKind.CHANGES, self.version, (api.HostEntry(h, state=state),))])


def measure(makes: list[Any], size: tuple[int, int, int], turns: int) -> list[dict[str, Any]]:
    """A row for each module, played turn by turn in turns: what the machine does meanwhile strikes all alike."""
    hosts, slices, proxies = size
    fleets = [Fleet(make, hosts, slices, proxies) for make in makes]
    rows: list[dict[str, Any]] = []
    for f in fleets:
        begun = time.perf_counter()
        while f.module.rendezvous.precompute(range(slices), 100_000):
            pass
        warming = (time.perf_counter() - begun) * 1000.0
        rows.append(
            {
                "hosts": hosts,
                "slices": slices,
                "forwarders": proxies,
                "turns": turns,
                "marks_ms": round(warming, 1),
                "first_step_ms": round(f.first, 1),
            }
        )
    took: list[dict[str, list[float]]] = [{"turn": [], "strained": [], "drain": []} for _ in fleets]
    for k in range(2 * turns):
        for f, mine in zip(fleets, took, strict=True):
            if k == turns:
                f.slow = set(range(0, hosts, round(1 / STRAINED)))
            f.sums()
            gc.collect()
            mine["turn" if k < turns else "strained"].append(f.turn())
            if k % 4 == 0:
                mine["drain"].append(f.listed(k % hosts, "draining"))
                f.listed(k % hosts, "up")
    for row, mine in zip(rows, took, strict=True):
        for kind, values in mine.items():
            row[f"{kind}_p50_ms"] = round(float(np.percentile(values, 50)), 3)
            row[f"{kind}_p99_ms"] = round(float(np.percentile(values, 99)), 3)
    return rows


def exponent(rows: list[dict[str, Any]], key: str) -> float:
    """Growth: the slope of log(time) over log(hosts) from 78 hosts up."""
    big = [r for r in rows if r["hosts"] >= 78 and r[key] > 0]
    return round(float(np.polyfit(np.log([r["hosts"] for r in big]), np.log([r[key] for r in big]), 1)[0]), 2)


def main() -> None:
    ask = argparse.ArgumentParser()
    ask.add_argument("--against", help="the module of another checkout: its assignment/__init__.py")
    ask.add_argument("--out", default="turn")
    ask.add_argument("--turns", type=int, default=60)
    args = ask.parse_args()
    found: dict[str, Any] = {"machine": machine(), "now": [], "before": []}
    sides = {"now": Assigner, **({"before": load_assigner(args.against)} if args.against else {})}
    for size in SIZES:
        for side, row in zip(sides, measure(list(sides.values()), size, args.turns), strict=True):
            found[side].append(row)
            print(side, json.dumps(row), flush=True)
    for side in ("now", "before"):
        if found[side]:
            keys = ("turn_p50_ms", "strained_p50_ms", "drain_p50_ms")
            found[f"growth_{side}"] = {k: exponent(found[side], k) for k in keys}
    print(json.dumps({k: v for k, v in found.items() if k.startswith("growth")}))
    (RESULTS / f"{args.out}.json").write_text(json.dumps(found, indent=1) + "\n")


if __name__ == "__main__":
    main()
