"""Recovery after kill -9 with and without a snapshot: time until the last proxy has tables; cost of a snapshot.

    python -m bench.recovery

The controller is the real process; proxies are raw connections in this one. Every host answers late until the
controller lowers the admission level; then the controller is killed. "let_in" in the results is the admission level,
before the kill and in the tables that proxies receive first after it.
"""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import numpy as np
import uvloop

from corallanding.assignment import Assigner
from corallanding.lab.processes import free_port
from corallanding.snapshot import file
from corallanding.snapshot.assigner_state import AssignerState, dump, load
from corallanding.wire import frames

from .machine import machine
from .run import RESULTS
from .turn import SIZES, Fleet, settings
from .turns import CONFIG, TableKeepingProxy, start_host_list

HOSTS, PROXIES, SLICES, KILL_COUNT = 78, 130, 468, 5


class RecoveringProxy(TableKeepingProxy):
    """Proxy connection with the time in seconds of its last tables and the admission level."""

    tables_received_at, level = 0.0, 1.0

    def data_received(self, data: bytes) -> None:
        """Apply tables and levels, and ack the version."""
        for frame in self.reader.feed(data):
            if isinstance(frame, frames.Tables):
                rows = {slice_id: {host for host, _ in lines} for slice_id, lines in frame.tables}
                self.tables = {**self.tables, **rows} if frame.only_slices else rows
                self.tables_received_at = time.monotonic()
                self.level = min([level for _, _, level, _ in frame.levels], default=1.0)
            elif isinstance(frame, frames.Orders):
                for _, _, level, _ in frame.levels:
                    self.level = level
                if frame.version >= 0:
                    self.transport.write(frames.encode(frames.Ack(frame.version)))


async def measure_recovery(has_snapshot: bool) -> dict[str, Any]:
    """Kill the controller repeatedly, with or without a snapshot file, and return recovery times and levels."""
    loop, rng = asyncio.get_running_loop(), np.random.default_rng(1)
    host_list, port = await start_host_list(HOSTS), free_port()
    recovery_ms, levels_after, levels_before, killed_at = list[float](), list[float](), list[float](), 0.0
    with tempfile.TemporaryDirectory() as folder:
        text = CONFIG.format(
            port=port,
            folder=folder,
            roster=host_list.port,
            slices=SLICES,
            forwarders=PROXIES,
            rate=1e5,
            queue=(8 + 2 * SLICES) * PROXIES * 2,
            lines=2 * HOSTS + 4 * SLICES,
        )
        if has_snapshot:
            text = text.replace('s.db"\n', f's.db"\n  snapshot_path = "{folder}/s.snap"\n  snapshot_every_ms = 2000\n')
        text = text.replace("forwarders {\n", "forwarders {\n  accepts_per_s = 5000\n  reads_per_s = 1000\n")
        (Path(folder) / "s.hcl").write_text(text + 'log {\n  level = "error"\n}\n')
        command = [sys.executable, "-m", "corallanding.cli.main", "steward", "--config", f"{folder}/s.hcl"]
        controller = await asyncio.create_subprocess_exec(*command)
        for _ in range(KILL_COUNT):
            links: list[RecoveringProxy] = []
            for proxy in range(PROXIES):
                while True:
                    try:
                        connection = await loop.create_connection(
                            lambda proxy=proxy: RecoveringProxy(proxy, rng),  # type: ignore[misc]
                            "127.0.0.1",
                            port,
                        )
                        links.append(connection[1])
                        break
                    except OSError:
                        await asyncio.sleep(0.005)
            while not all(link.tables_received_at for link in links):
                await asyncio.sleep(0.005)
            if levels_before:
                recovery_ms.append((max(link.tables_received_at for link in links) - killed_at) * 1000.0)
                levels_after.append(max(link.level for link in links))
            for _ in range(24):
                for link in links:
                    host_rows = [(host, 8, 2, 2500.0) for host in range(HOSTS)]
                    slice_rows = [(slice_id, 0, 2, 1) for slice_id in range(SLICES)]
                    link.transport.write(frames.encode(frames.UsageReport(500.0, host_rows, slice_rows)))
                await asyncio.sleep(0.5)
            levels_before.append(links[0].level)
            for link in links:
                link.transport.abort()
            controller.send_signal(signal.SIGKILL)
            killed_at = time.monotonic()
            await controller.wait()
            controller = await asyncio.create_subprocess_exec(*command)
        controller.kill()
        await controller.wait()
    return {
        "kills": len(recovery_ms),
        "killed_to_tables_at_the_last_p50_ms": round(float(np.median(recovery_ms))),
        "worst_ms": round(max(recovery_ms)),
        "let_in_before": [round(level, 2) for level in levels_before[:-1]],
        "let_in_by_the_first_tables": [round(level, 2) for level in levels_after],
    }


def measure_snapshots() -> list[dict[str, Any]]:
    """Return size and costs of a snapshot for each size of fleet."""
    rows = []
    for size in SIZES:
        fleet = Fleet(Assigner, *size)
        for _ in range(2):
            fleet.report_usage()
            fleet.turn()
        durations_ms: dict[str, list[float]] = {"dump": [], "load": []}
        for _ in range(5):
            begun_at = time.perf_counter()
            data = file.pack(dump(fleet.decider))
            durations_ms["dump"].append((time.perf_counter() - begun_at) * 1000.0)
            begun_at = time.perf_counter()
            load(settings(*size), file.unpack(data, AssignerState))
            durations_ms["load"].append((time.perf_counter() - begun_at) * 1000.0)
        rows.append(
            {
                "hosts": size[0],
                "slices": size[1],
                "bytes": len(data),
                **{f"{kind}_p50_ms": round(float(np.median(values)), 2) for kind, values in durations_ms.items()},
            }
        )
    return rows


def main() -> None:
    """Measure snapshots and recovery, and write recovery.json."""
    results: dict[str, Any] = {"machine": machine(), "snapshots": measure_snapshots()}
    print(json.dumps(results["snapshots"]), flush=True)
    for name, has_snapshot in (("with", True), ("without", False)):
        results[name] = uvloop.run(measure_recovery(has_snapshot))
        print(name, json.dumps(results[name]), flush=True)
    (RESULTS / "recovery.json").write_text(json.dumps(results, indent=1) + "\n")


if __name__ == "__main__":
    main()
