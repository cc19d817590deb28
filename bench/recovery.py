"""Recovery after kill -9, with a snapshot and without: first tables at the last forwarder; cost of a snapshot.

    python -m bench.recovery

The steward is the real process, forwarders are raw links in this one. Every host answers late until the steward lets in
less; then it is killed. "What was let in" is the level in the tables that forwarders read first after the kill.
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
from .turns import CONFIG, Raw, listed

HOSTS, FORWARDERS, SLICES, KILLS = 78, 130, 468, 5


class Link(Raw):
    """Knows when it held tables last, and the level in them."""

    at, level = 0.0, 1.0

    def data_received(self, data: bytes) -> None:
        for f in self.reader.feed(data):
            if isinstance(f, frames.Tables):
                rows = {t: {h for h, _ in lines} for t, lines in f.tables}
                self.tables = {**self.tables, **rows} if f.only_slices else rows
                self.at = time.monotonic()
                self.level = min([a for _, _, a, _ in f.levels], default=1.0)
            elif isinstance(f, frames.Orders):
                for _, _, amount, _ in f.levels:
                    self.level = amount
                if f.version >= 0:
                    self.transport.write(frames.encode(frames.Ack(f.version)))


async def play(snapshot: bool) -> dict[str, Any]:
    loop, chance = asyncio.get_running_loop(), np.random.default_rng(1)
    roster, port = await listed(HOSTS), free_port()
    firsts, levels, before, killed = list[float](), list[float](), list[float](), 0.0
    with tempfile.TemporaryDirectory() as folder:
        text = CONFIG.format(
            port=port,
            folder=folder,
            roster=roster.port,
            slices=SLICES,
            forwarders=FORWARDERS,
            rate=1e5,
            queue=(8 + 2 * SLICES) * FORWARDERS * 2,
            lines=2 * HOSTS + 4 * SLICES,
        )
        if snapshot:
            text = text.replace('s.db"\n', f's.db"\n  snapshot_path = "{folder}/s.snap"\n  snapshot_every_ms = 2000\n')
        text = text.replace("forwarders {\n", "forwarders {\n  accepts_per_s = 5000\n  reads_per_s = 1000\n")
        (Path(folder) / "s.hcl").write_text(text + 'log {\n  level = "error"\n}\n')
        command = [sys.executable, "-m", "corallanding.cli.main", "steward", "--config", f"{folder}/s.hcl"]
        steward = await asyncio.create_subprocess_exec(*command)
        for _ in range(KILLS):
            links: list[Link] = []
            for f in range(FORWARDERS):
                while True:
                    try:
                        made = await loop.create_connection(lambda f=f: Link(f, chance), "127.0.0.1", port)  # type: ignore[misc]
                        links.append(made[1])
                        break
                    except OSError:
                        await asyncio.sleep(0.005)
            while not all(x.at for x in links):
                await asyncio.sleep(0.005)
            if before:
                firsts.append((max(x.at for x in links) - killed) * 1000.0)
                levels.append(max(x.level for x in links))
            for _ in range(24):
                for link in links:
                    hosts = [(h, 8, 2, 2500.0) for h in range(HOSTS)]
                    came = [(s, 0, 2, 1) for s in range(SLICES)]
                    link.transport.write(frames.encode(frames.UsageReport(500.0, hosts, came)))
                await asyncio.sleep(0.5)
            before.append(links[0].level)
            for link in links:
                link.transport.abort()
            steward.send_signal(signal.SIGKILL)
            killed = time.monotonic()
            await steward.wait()
            steward = await asyncio.create_subprocess_exec(*command)
        steward.kill()
        await steward.wait()
    return {
        "kills": len(firsts),
        "killed_to_tables_at_the_last_p50_ms": round(float(np.median(firsts))),
        "worst_ms": round(max(firsts)),
        "let_in_before": [round(x, 2) for x in before[:-1]],
        "let_in_by_the_first_tables": [round(x, 2) for x in levels],
    }


def sizes() -> list[dict[str, Any]]:
    rows = []
    for size in SIZES:
        f = Fleet(Assigner, *size)
        for _ in range(2):
            f.sums()
            f.turn()
        took: dict[str, list[float]] = {"dump": [], "load": []}
        for _ in range(5):
            begun = time.perf_counter()
            data = file.pack(dump(f.module))
            took["dump"].append((time.perf_counter() - begun) * 1000.0)
            begun = time.perf_counter()
            load(settings(*size), file.unpack(data, AssignerState))
            took["load"].append((time.perf_counter() - begun) * 1000.0)
        rows.append(
            {
                "hosts": size[0],
                "slices": size[1],
                "bytes": len(data),
                **{f"{k}_p50_ms": round(float(np.median(v)), 2) for k, v in took.items()},
            }
        )
    return rows


def main() -> None:
    found: dict[str, Any] = {"machine": machine(), "snapshots": sizes()}
    print(json.dumps(found["snapshots"]), flush=True)
    for name, on in (("with", True), ("without", False)):
        found[name] = uvloop.run(play(on))
        print(name, json.dumps(found[name]), flush=True)
    (RESULTS / "recovery.json").write_text(json.dumps(found, indent=1) + "\n")


if __name__ == "__main__":
    main()
