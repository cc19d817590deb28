"""Cost of the module's turns by size of fleet, in one process, beside an older text of the module if one is given.

    python -m bench.turn [--against FILE] [--out NAME]

Every host and slice has sums each second; a turn is the step of the module's own timer. A drain's step is urgent,
between turns. `marks` is what the lists of rendezvous marks cost at a start, ahead of need.
"""

from __future__ import annotations

import argparse
import gc
import importlib.util
import json
import sys
import time
from typing import Any

import numpy as np

from corallanding import interface as api
from corallanding.balance import Assigner

from .machine import machine
from .run import RESULTS

SIZES = [(24, 144, 12), (78, 468, 130), (300, 1800, 500), (1000, 6000, 1000)]
QUOTE = api.Operation("quote", api.Repeat.IDEMPOTENT, "all", 5000, 3, 0.1, 1200, 3000)
STRAINED = 0.1  # part of the hosts that answer late in the second half: turns that look for other owners


def older(path: str) -> Any:
    """The `Assigner` of an older text, loaded beside this package's own."""
    spec = importlib.util.spec_from_file_location("corallanding.older", path)
    assert spec and spec.loader
    found = importlib.util.module_from_spec(spec)
    sys.modules["corallanding.older"] = found
    spec.loader.exec_module(found)
    return found.Assigner


def settings(hosts: int, slices: int, proxies: int) -> api.Settings:
    return api.Settings(
        operations=(QUOTE,), slices=slices, proxies=proxies, queue_most=(8.0 + 2 * slices) * proxies * 2,
        reports_per_s=hosts + 2.0 * slices, channel_rate=10.0 * slices * proxies, cold=5_000.0,
    )  # fmt: skip


class Fleet:
    def __init__(self, make: Any, hosts: int, slices: int, proxies: int) -> None:
        self.chance = np.random.default_rng(1)
        self.hosts, self.slices, self.proxies, self.now = hosts, slices, proxies, 1e9
        self.module, self.version = make(settings(hosts, slices, proxies), 7), 1
        self.slow: set[int] = set()
        self.owner = {s: s % hosts for s in range(slices)}
        entries = tuple(api.HostEntry(h) for h in range(hosts))
        events: list[api.Event] = [api.Membership(api.ListForm.FULL, 1, entries)]
        for s in range(slices):
            events += [api.SliceGiven(s, True), api.OnRecord(s, s % hosts, 1.0)]
        events += [api.ProxyJoined(p, 0, 10.0, True) for p in range(proxies)]
        self.first = self.step(events)

    def step(self, events: list[api.Event]) -> float:
        """One step, ms; every mark is acked at once."""
        begun = time.perf_counter()
        out = self.module.step(self.now, events)
        took = (time.perf_counter() - begun) * 1000.0
        acks: list[api.Event] = []
        for a in out:
            if isinstance(a, api.SetLine) and a.weight > 0:
                self.owner[a.slice] = a.host
            elif isinstance(a, api.Mark):
                acks += [api.Acked(p, a.number) for p in range(self.proxies)]
            elif isinstance(a, api.Probe):
                acks.append(api.ProbeDone(a.host, api.ProbeEnd.OK))
        if acks:
            self.now += 1.0
            self.module.step(self.now, acks)
        return took

    def sums(self) -> None:
        r = self.chance
        late = r.uniform(200, 300, self.hosts)
        events: list[api.Event] = [
            api.HostSums(0, h, 60, 0, float(late[h]) * (6.0 if h in self.slow else 1.0), 1000.0)
            for h in range(self.hosts)
        ]
        came = r.poisson(8, self.slices)
        self.now += 1.0
        self.module.step(self.now, [*events, *(api.SliceSums(s, 0, int(came[s]), 0, 1000.0)
                                               for s in range(self.slices))])  # fmt: skip

    def turn(self) -> float:
        self.now += 500.0
        return self.step([api.Due(0)])

    def listed(self, h: int, state: str) -> float:
        self.now += 10.0
        self.version += 1
        return self.step([api.Membership(api.ListForm.CHANGES, self.version, (api.HostEntry(h, state=state),))])


def measure(make: Any, size: tuple[int, int, int], turns: int) -> dict[str, Any]:
    hosts, slices, proxies = size
    f = Fleet(make, hosts, slices, proxies)
    warming = 0.0
    if ranks := getattr(f.module, "ranks", None):
        begun = time.perf_counter()
        while ranks.warm(range(slices), 100_000):
            pass
        warming = (time.perf_counter() - begun) * 1000.0
    calm, strained, drains = [], [], []
    for k in range(turns):
        f.sums()
        gc.collect()
        calm.append(f.turn())
        if k % 4 == 0:
            drains.append(f.listed(k % hosts, "draining"))
            f.listed(k % hosts, "up")
    f.slow = set(range(0, hosts, round(1 / STRAINED)))
    for _ in range(turns):
        f.sums()
        gc.collect()
        strained.append(f.turn())
    def ms(values: list[float], q: float) -> float:
        return round(float(np.percentile(values, q)), 3)

    return {
        "hosts": hosts, "slices": slices, "forwarders": proxies, "turns": turns, "marks_ms": round(warming, 1),
        "turn_p50_ms": ms(calm, 50), "turn_p99_ms": ms(calm, 99), "strained_p50_ms": ms(strained, 50),
        "strained_p99_ms": ms(strained, 99), "drain_p50_ms": ms(drains, 50), "first_step_ms": round(f.first, 1),
    }  # fmt: skip


def exponent(rows: list[dict[str, Any]], key: str) -> float:
    """Growth: the slope of log(time) over log(hosts) from 78 hosts up."""
    big = [r for r in rows if r["hosts"] >= 78 and r[key] > 0]
    return round(float(np.polyfit(np.log([r["hosts"] for r in big]), np.log([r[key] for r in big]), 1)[0]), 2)


def main() -> None:
    ask = argparse.ArgumentParser()
    ask.add_argument("--against", help="an older balance.py")
    ask.add_argument("--out", default="turn")
    ask.add_argument("--turns", type=int, default=60)
    args = ask.parse_args()
    found: dict[str, Any] = {"machine": machine(), "now": [], "before": []}
    for size in SIZES:
        found["now"].append(measure(Assigner, size, args.turns))
        print("now", json.dumps(found["now"][-1]), flush=True)
        if args.against:
            few = args.turns if size[0] < 100 else 8 if size[0] < 500 else 2
            found["before"].append(measure(older(args.against), size, few))
            print("before", json.dumps(found["before"][-1]), flush=True)
    for side in ("now", "before"):
        if found[side]:
            keys = ("turn_p50_ms", "strained_p50_ms", "drain_p50_ms")
            found[f"growth_{side}"] = {k: exponent(found[side], k) for k in keys}
    print(json.dumps({k: v for k, v in found.items() if k.startswith("growth")}))
    (RESULTS / f"{args.out}.json").write_text(json.dumps(found, indent=1) + "\n")


if __name__ == "__main__":
    main()
