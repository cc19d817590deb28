"""Upgrades as proxies see them: the longest silence of the connection, and the delay of drains in their midst.

    python -m bench.handover [SIZE ...]

The controller is the real process and hands over to itself. Proxies are raw connections in processes of their own (see
`fanout`). No request is sent. A gap is the longest time between two arrivals at a connection; heartbeats are sent every
HEARTBEAT_INTERVAL_MS, so an undisturbed connection has gaps of about that length. Calm spans and upgrades alternate in
one run.
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

from .fanout import LINES_PER_PROXY_PER_SECOND, SIZES, ProxyFleet, RecordingProxy, split_proxies, summarize_delays
from .machine import machine
from .run import RESULTS
from .turns import CONFIG, start_host_list

UPGRADE_COUNT, HEARTBEAT_INTERVAL_MS, ARRIVAL_EVENT = 6, 100.0, -3  # the last: code of an arrival in a proxy's log


class ArrivalLoggingProxy(RecordingProxy):
    """Proxy connection that also logs arrivals, at most one per millisecond."""

    last_logged_at = 0.0

    def data_received(self, data: bytes) -> None:
        """Process the data and log its arrival."""
        super().data_received(data)
        if (now := time.monotonic()) - self.last_logged_at > 0.001:
            self.last_logged_at = now
            self.fleet.log.append((now, self.number, ARRIVAL_EVENT, 0))


class ArrivalLoggingFleet(ProxyFleet):
    """Proxies whose connections log arrivals."""

    protocol_class = ArrivalLoggingProxy


def longest_gaps(arrivals: dict[int, list[float]], begin: float, end: float) -> list[float]:
    """Return for each connection the longest time in ms between two of its arrivals from `begin` to `end`."""
    longest_gaps_ms = []
    for times in arrivals.values():
        inside = [at for at in times if begin <= at <= end]
        longest_gaps_ms.append(
            max((after - before for before, after in itertools.pairwise(inside)), default=end - begin) * 1000.0
        )
    return longest_gaps_ms


async def measure_upgrades(size: tuple[int, int, int], folder: str) -> dict[str, Any]:
    """Run one fleet through upgrades and return gaps and drain delays of calm spans and of upgrades."""
    host_count, proxy_count, slice_count = size
    host_list, port = await start_host_list(host_count), free_port()
    lines_per_second = LINES_PER_PROXY_PER_SECOND * proxy_count
    text = CONFIG.format(
        port=port,
        folder=folder,
        roster=host_list.port,
        slices=slice_count,
        forwarders=proxy_count,
        rate=lines_per_second,
        queue=lines_per_second,
        lines=host_count + 2 * slice_count,
    )
    text = text.replace(
        "forwarders {\n", f"forwarders {{\n  most = {proxy_count * 2}\n  beat_ms = {HEARTBEAT_INTERVAL_MS:g}\n"
    )
    text = text.replace("steward {\n", f'steward {{\n  control = "{folder}/c"\n  upgrade_within_ms = 20000\n')
    text = text.replace("every_ms = 500", "every_ms = 1000") + 'log {\n  level = "info"\n  format = "json"\n}\n'
    (Path(folder) / "s.hcl").write_text(text)
    command = [sys.executable, "-m", "corallanding.cli.main", "steward", "--config", f"{folder}/s.hcl"]
    with open(f"{folder}/log", "wb") as log:
        controller = await asyncio.create_subprocess_exec(*command, stderr=log, start_new_session=True)
    settle_s = 8.0 + host_count / 40.0
    await asyncio.sleep(settle_s / 2)
    seconds = settle_s + UPGRADE_COUNT * 9.0 + 10.0
    proxy_ranges = split_proxies(proxy_count)
    child_args = [
        ["links", port, first, count, host_count, slice_count, seconds, f"{folder}/{first}.json"]
        for first, count in proxy_ranges
    ]
    children = [
        await asyncio.create_subprocess_exec(sys.executable, "-m", "bench.handover", *map(str, args))
        for args in child_args
    ]
    await asyncio.sleep(settle_s)
    drains: dict[str, list[tuple[float, int]]] = {"calm": [], "upgrade": []}
    spans: dict[str, list[tuple[float, float]]] = {"calm": [], "upgrade": []}
    answers, rng, host = [], np.random.default_rng(1), 0

    async def drain_hosts(kind: str, is_over: asyncio.Event) -> None:
        """Drain a host, then another every 0.15 to 0.25 s, until `is_over` is set."""
        nonlocal host
        while not is_over.is_set():
            drains[kind].append((time.monotonic(), host % host_count))
            host_list.put(host % host_count, state="draining")
            host_list.put((host - 4) % host_count, state="up")
            host += 1
            await asyncio.sleep(float(rng.uniform(0.15, 0.25)))

    for _ in range(UPGRADE_COUNT):
        for kind in ("calm", "upgrade"):
            begun_at, is_over = time.monotonic(), asyncio.Event()
            draining = asyncio.create_task(drain_hosts(kind, is_over))
            if kind == "upgrade":
                reader, writer = await asyncio.open_unix_connection(f"{folder}/c")
                writer.write(b"upgrade\n")
                answers.append((await reader.readline()).decode().split(":")[0])
                writer.close()
            else:
                await asyncio.sleep(1.5)
            is_over.set()
            await draining
            await asyncio.sleep(1.0)
            spans[kind].append((begun_at, time.monotonic()))
    for process in children:
        await process.wait()
    os.killpg(controller.pid, signal.SIGKILL)
    await controller.wait()
    rows = [tuple(row) for first, _ in proxy_ranges for row in json.loads(Path(f"{folder}/{first}.json").read_text())]
    arrivals: dict[int, list[float]] = {}
    for at, proxy, event, _ in rows:
        if event == ARRIVAL_EVENT:
            arrivals.setdefault(proxy, []).append(at)
    log_entries = [json.loads(line) for line in Path(f"{folder}/log").read_text().splitlines() if line.startswith("{")]
    result: dict[str, Any] = {
        "hosts": host_count,
        "forwarders": proxy_count,
        "slices": slice_count,
        "handed_over": answers.count("ok"),
        "joined_anew": sum(1 for at, _, event, _ in rows if event == -1 and at >= spans["calm"][0][0]),
        "silent_ms": [entry["silent_ms"] for entry in log_entries if entry["event"] == "handed over"],
        "whole_ms": [entry["ms"] for entry in log_entries if entry["event"] == "handed over"],
    }
    for kind in ("calm", "upgrade"):
        delays_ms, missed_count, empty_count = [], 0, 0
        for drained_at, drained_host in drains[kind]:
            first_arrivals: dict[int, float] = {}
            for at, proxy, event, _ in rows:
                if (
                    event == drained_host
                    and drained_at <= at < drained_at + 4.0
                    and (proxy not in first_arrivals or at < first_arrivals[proxy])
                ):
                    first_arrivals[proxy] = at
            if not first_arrivals:
                empty_count += 1  # the host had no slice at that time
                continue
            missed_count += proxy_count - len(first_arrivals)
            delays_ms += [(at - drained_at) * 1000.0 for at in first_arrivals.values()]
        result[kind] = {
            "longest_gap_ms": summarize_delays(
                [gap for begin, end in spans[kind] for gap in longest_gaps(arrivals, begin, end)]
            ),
            "drain_ms": summarize_delays(delays_ms),
            "drains": len(drains[kind]) - empty_count,
            "not_seen": missed_count,
        }
    return result


async def main(names: list[str]) -> None:
    """Run the sizes of these names, or all, and write each result to handover.json."""
    path = RESULTS / "handover.json"
    results = json.loads(path.read_text()) if path.exists() else {}
    results["machine"] = machine()
    for name in names or list(SIZES):
        with tempfile.TemporaryDirectory() as folder:
            results[name] = await measure_upgrades(SIZES[name], folder)
        print(name, json.dumps(results[name]), flush=True)
        path.write_text(json.dumps(results, indent=1) + "\n")


if __name__ == "__main__":
    if sys.argv[1:2] == ["links"]:
        port, first, count, hosts, slices = map(int, sys.argv[2:7])
        uvloop.run(ArrivalLoggingFleet(port, first, count, hosts, slices).run(float(sys.argv[7]), sys.argv[8]))
    else:
        uvloop.run(main(sys.argv[1:]))
