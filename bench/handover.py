"""Upgrades as forwarders see them: the longest time without a word, and a drain told in the middle of one.

    python -m bench.handover [SIZE ...]

The steward is the real process and hands over to itself. Forwarders are raw links in processes of their own (`fanout`).
Simulated: no invocation is sent. The gap is the longest time between two arrivals at a link; beats come each
BEAT ms, so that a calm link has gaps of about that, too. Calm and upgrades alternate in one run.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import signal
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import numpy as np
import uvloop

from corallanding.lab.processes import free_port

from .fanout import LINES_A_FORWARDER, SIZES, Links, Raw, figures, split
from .machine import machine
from .run import RESULTS
from .turns import CONFIG, listed

UPGRADES, BEAT, CAME = 6, 100.0, -3


class Timed(Raw):
    """Also logs that something came, at most once a millisecond."""

    last = 0.0

    def data_received(self, data: bytes) -> None:
        super().data_received(data)
        if (now := time.monotonic()) - self.last > 0.001:
            self.last = now
            self.fleet.log.append((now, self.number, CAME, 0))


class TimedLinks(Links):
    kind = Timed


def gaps(at: dict[int, list[float]], begin: float, end: float) -> list[float]:
    """The longest time without a word at each link, of those that lie in a span, in ms."""
    found = []
    for times in at.values():
        inside = [t for t in times if begin <= t <= end]
        found.append(max((b - a for a, b in itertools.pairwise(inside)), default=end - begin) * 1000.0)
    return found


async def play(size: tuple[int, int, int], folder: str) -> dict[str, Any]:
    hosts, forwarders, slices = size
    roster, port = await listed(hosts), free_port()
    rate = LINES_A_FORWARDER * forwarders
    text = CONFIG.format(
        port=port,
        folder=folder,
        roster=roster.port,
        slices=slices,
        forwarders=forwarders,
        rate=rate,
        queue=rate,
        lines=hosts + 2 * slices,
    )
    text = text.replace("forwarders {\n", f"forwarders {{\n  most = {forwarders * 2}\n  beat_ms = {BEAT:g}\n")
    text = text.replace("steward {\n", f'steward {{\n  control = "{folder}/c"\n  upgrade_within_ms = 20000\n')
    text = text.replace("every_ms = 500", "every_ms = 1000") + 'log {\n  level = "info"\n  format = "json"\n}\n'
    (Path(folder) / "s.hcl").write_text(text)
    command = [sys.executable, "-m", "corallanding.cli.main", "steward", "--config", f"{folder}/s.hcl"]
    with open(f"{folder}/log", "wb") as log:
        steward = await asyncio.create_subprocess_exec(*command, stderr=log, start_new_session=True)
    settle = 8.0 + hosts / 40.0
    await asyncio.sleep(settle / 2)
    seconds = settle + UPGRADES * 9.0 + 10.0
    parts = split(forwarders)
    words = [["links", port, first, count, hosts, slices, seconds, f"{folder}/{first}.json"] for first, count in parts]
    children = [
        await asyncio.create_subprocess_exec(sys.executable, "-m", "bench.handover", *map(str, w)) for w in words
    ]
    await asyncio.sleep(settle)
    drains: dict[str, list[tuple[float, int]]] = {"calm": [], "upgrade": []}
    spans: dict[str, list[tuple[float, float]]] = {"calm": [], "upgrade": []}
    answers, chance, host = [], np.random.default_rng(1), 0

    async def some_drains(kind: str, last: asyncio.Event) -> None:
        """One, and again a fifth of a second later, as long as the span lasts."""
        nonlocal host
        while not last.is_set():
            drains[kind].append((time.monotonic(), host % hosts))
            roster.put(host % hosts, state="draining")
            roster.put((host - 4) % hosts, state="up")
            host += 1
            await asyncio.sleep(float(chance.uniform(0.15, 0.25)))

    for _ in range(UPGRADES):
        for kind in ("calm", "upgrade"):
            begun, last = time.monotonic(), asyncio.Event()
            draining = asyncio.create_task(some_drains(kind, last))
            if kind == "upgrade":
                reader, writer = await asyncio.open_unix_connection(f"{folder}/c")
                writer.write(b"upgrade\n")
                answers.append((await reader.readline()).decode().split(":")[0])
                writer.close()
            else:
                await asyncio.sleep(1.5)
            last.set()
            await draining
            await asyncio.sleep(1.0)
            spans[kind].append((begun, time.monotonic()))
    for c in children:
        await c.wait()
    os.killpg(steward.pid, signal.SIGKILL)
    await steward.wait()
    rows = [tuple(x) for first, _ in parts for x in json.loads(Path(f"{folder}/{first}.json").read_text())]
    at: dict[int, list[float]] = {}
    for t, link, what, _ in rows:
        if what == CAME:
            at.setdefault(link, []).append(t)
    said = [json.loads(x) for x in Path(f"{folder}/log").read_text().splitlines() if x.startswith("{")]
    found: dict[str, Any] = {
        "hosts": hosts,
        "forwarders": forwarders,
        "slices": slices,
        "handed_over": answers.count("ok"),
        "joined_anew": sum(1 for t, _, what, _ in rows if what == -1 and t >= spans["calm"][0][0]),
        "silent_ms": [x["silent_ms"] for x in said if x["event"] == "handed over"],
        "whole_ms": [x["ms"] for x in said if x["event"] == "handed over"],
    }
    for kind in ("calm", "upgrade"):
        delays, missed, empty = [], 0, 0
        for told, h in drains[kind]:
            first: dict[int, float] = {}
            for t, link, what, _ in rows:
                if what == h and told <= t < told + 4.0 and (link not in first or t < first[link]):
                    first[link] = t
            if not first:
                empty += 1  # a host that had no slice at that time
                continue
            missed += forwarders - len(first)
            delays += [(t - told) * 1000.0 for t in first.values()]
        found[kind] = {
            "longest_gap_ms": figures([g for a, b in spans[kind] for g in gaps(at, a, b)]),
            "drain_ms": figures(delays),
            "drains": len(drains[kind]) - empty,
            "not_seen": missed,
        }
    return found


async def main(names: list[str]) -> None:
    path = RESULTS / "handover.json"
    kept = json.loads(path.read_text()) if path.exists() else {}
    kept["machine"] = machine()
    for name in names or list(SIZES):
        with tempfile.TemporaryDirectory() as folder:
            kept[name] = await play(SIZES[name], folder)
        print(name, json.dumps(kept[name]), flush=True)
        path.write_text(json.dumps(kept, indent=1) + "\n")


if __name__ == "__main__":
    if sys.argv[1:2] == ["links"]:
        port, first, count, hosts, slices = map(int, sys.argv[2:7])
        uvloop.run(TimedLinks(port, first, count, hosts, slices).run(float(sys.argv[7]), sys.argv[8]))
    else:
        uvloop.run(main(sys.argv[1:]))
