"""Turn latency and publish-to-ack delay of the real steward process at two sizes of fleet.

Forwarders are raw links that ack at once and report sums for every host and slice each period; one host a
second drains or returns, so that there is always something to publish. `drive` is shared with other benches.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

import numpy as np
import uvloop

from corallanding.lab.processes import free_port
from corallanding.lab.roster import Roster
from corallanding.lab.trace import Trace
from corallanding.wire import frames

SIZES = {"24 x 12 x 144": (24, 12, 144), "78 x 130 x 468": (78, 130, 468)}
SETTLE = 4.0
CONFIG = """\
steward {{
  listen = "127.0.0.1:{port}"
}}
store {{
  path = "{folder}/s.db"
}}
roster {{
  address = "127.0.0.1:{roster}"
}}
slices {{
  count = {slices}
}}
operation "quote" {{
  repeat = "idempotent"
  latency_objective_ms = 1200
  integration_timeout_ms = 3000
}}
operation "claim" {{
  repeat = "side-effecting"
  latency_objective_ms = 1500
  integration_timeout_ms = 5000
}}
forwarders {{
  count = {forwarders}
}}
channel {{
  rate_lines_per_s = {rate}
  queue_most_lines = {queue}
}}
reports {{
  every_ms = 500
  lines_per_s = {lines}
}}
probe {{
  allowed = false
}}
"""


class Raw(asyncio.Protocol):
    """A forwarder's link: joins, keeps tables, acks. Nothing else of a forwarder is there."""

    def __init__(self, number: int, chance: np.random.Generator) -> None:
        self.number, self.chance = number, chance
        self.reader = frames.FrameReader(frames.proxy_decoder, 16 << 20)
        self.tables: dict[int, set[int]] = {}

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        transport.write(frames.encode(frames.Hello(frames.PROTOCOL_VERSION, self.number, f"{self.number}")))

    def data_received(self, data: bytes) -> None:
        for f in self.reader.feed(data):
            if isinstance(f, frames.Tables):
                rows = {t: {h for h, _ in lines} for t, lines in f.tables}
                self.tables = {**self.tables, **rows} if f.only_slices else rows
            elif isinstance(f, frames.Orders):
                for t in f.withdrawn_slices:
                    self.tables.pop(t, None)
                for t, h, w in f.lines:
                    row = self.tables.setdefault(t, set())
                    (row.add if w > 0 else row.discard)(h)
                if f.version >= 0:
                    self.transport.write(frames.encode(frames.Ack(f.version)))

    def report(self) -> None:
        if self.transport.is_closing():
            raise RuntimeError(f"the link of forwarder {self.number} was closed")
        met = sorted({h for row in self.tables.values() for h in row})
        hosts = [(h, 5, 0, float(self.chance.uniform(200, 300))) for h in met]
        slices = [(s, o, int(self.chance.poisson(2)), 0) for s in self.tables for o in (0, 1)]
        self.transport.write(frames.encode(frames.UsageReport(500.0, hosts, slices)))


async def listed(hosts: int, started: float = 0.0) -> Roster:
    """A roster at work, with hosts that nobody plays."""
    roster = Roster(Trace())
    await roster.start()
    for h in range(hosts):
        row = {"state": "up", "address": f"127.0.0.1:{20000 + h}", "zone": 0, "started": started}
        roster.rows[h] = {"host": h, **row}
    roster.changed()
    return roster


async def measure(
    hosts: int,
    forwarders: int,
    slices: int,
    phases: list[tuple[float, Callable[[], Any]]],
    more: str = "",
    started: float = 0.0,
) -> list[dict[str, Any]]:
    """A steward process under a fleet of raw links; each phase is (seconds, what begins it). Figures a phase."""
    with tempfile.TemporaryDirectory() as folder:
        roster, port = await listed(hosts, started), free_port()
        text = CONFIG.format(
            port=port,
            folder=folder,
            roster=roster.port,
            slices=slices,
            forwarders=forwarders,
            rate=max(10_000, slices * forwarders),
            queue=(8 + 2 * slices) * forwarders * 2,
            lines=hosts + 2 * slices,
        )
        (Path(folder) / "s.hcl").write_text(text + more)
        out = Path(folder) / "out.json"
        command = [sys.executable, "-m", "bench.measured", f"{folder}/s.hcl", str(out)]
        steward = await asyncio.create_subprocess_exec(*command)
        try:
            await drive(steward, roster, port, hosts, forwarders, [(SETTLE, lambda: None), *phases])
            steward.send_signal(signal.SIGTERM)
            await asyncio.wait_for(steward.wait(), 10)
        finally:
            if steward.returncode is None:
                steward.kill()
        return list(json.loads(out.read_text()))[1:]


async def drive(
    steward: asyncio.subprocess.Process,
    roster: Roster,
    port: int,
    hosts: int,
    forwarders: int,
    phases: list[tuple[float, Callable[[], Any]]],
) -> None:
    loop, chance = asyncio.get_running_loop(), np.random.default_rng(1)
    links: list[Raw] = []
    for number in range(forwarders):
        for _ in range(100):
            try:
                _, link = await loop.create_connection(lambda n=number: Raw(n, chance), "127.0.0.1", port)  # type: ignore[misc]
                links.append(link)
                break
            except OSError:
                await asyncio.sleep(0.1)
    beat = 0
    for number, (seconds, start) in enumerate(phases):
        if number:
            steward.send_signal(signal.SIGUSR1)
        start()
        end = loop.time() + seconds
        while loop.time() < end:
            for k, link in enumerate(links):
                if k % 4 == beat % 4:
                    link.report()
            if beat % 8 == 0:
                roster.put((beat // 16) % hosts, state="draining" if beat % 16 == 0 else "up")
            beat += 1
            await asyncio.sleep(0.125)


def run(seconds: float) -> dict[str, Any]:
    return {name: uvloop.run(measure(*at, [(seconds, lambda: None)]))[0] for name, at in SIZES.items()}


if __name__ == "__main__":
    print(json.dumps(run(float(os.environ.get("SECONDS", "15"))), indent=1))
