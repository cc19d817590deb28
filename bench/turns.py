"""Turn latency and publish-to-ack delay of the real controller process with two sizes of fleet.

Proxies are raw connections that ack at once and report usage of every host and slice each period. One host a second is
drained or returns, so that there is always something to publish. `measure` is shared with other benchmarks.
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

# hosts, proxies, slices
SIZES = {"24 x 12 x 144": (24, 12, 144), "78 x 130 x 468": (78, 130, 468)}
SETTLE_S = 4.0  # not measured: the proxies join
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


class TableKeepingProxy(asyncio.Protocol):
    """Connection of proxy `number` that joins, keeps tables and acks, and does nothing else that a proxy does.

    `rng` draws the latencies and request counts of its usage reports.
    """

    def __init__(self, number: int, rng: np.random.Generator) -> None:
        self.number, self.rng = number, rng
        self.reader = frames.FrameReader(frames.proxy_decoder, 16 << 20)
        self.tables: dict[int, set[int]] = {}

    def connection_made(self, transport: Any) -> None:
        """Send the greeting."""
        self.transport = transport
        transport.write(frames.encode(frames.Hello(frames.PROTOCOL_VERSION, self.number, f"{self.number}")))

    def data_received(self, data: bytes) -> None:
        """Apply tables and orders, and ack the version."""
        for frame in self.reader.feed(data):
            if isinstance(frame, frames.Tables):
                rows = {slice_id: {host for host, _ in lines} for slice_id, lines in frame.tables}
                self.tables = {**self.tables, **rows} if frame.only_slices else rows
            elif isinstance(frame, frames.Orders):
                for slice_id in frame.withdrawn_slices:
                    self.tables.pop(slice_id, None)
                for slice_id, host, weight in frame.lines:
                    row = self.tables.setdefault(slice_id, set())
                    (row.add if weight > 0 else row.discard)(host)
                if frame.version >= 0:
                    self.transport.write(frames.encode(frames.Ack(frame.version)))

    def report(self) -> None:
        """Report usage of all hosts and slices in its tables. Raises RuntimeError if the connection is closed."""
        if self.transport.is_closing():
            raise RuntimeError(f"the connection of proxy {self.number} is closed")
        host_ids = sorted({host for row in self.tables.values() for host in row})
        hosts = [(host, 5, 0, float(self.rng.uniform(200, 300))) for host in host_ids]
        slices = [
            (slice_id, request_class, int(self.rng.poisson(2)), 0)
            for slice_id in self.tables
            for request_class in (0, 1)
        ]
        self.transport.write(frames.encode(frames.UsageReport(500.0, hosts, slices)))


async def start_host_list(host_count: int, started: float = 0.0) -> Roster:
    """Return a running host list whose hosts have no process behind them."""
    host_list = Roster(Trace())
    await host_list.start()
    for host in range(host_count):
        row = {"state": "up", "address": f"127.0.0.1:{20000 + host}", "zone": 0, "started": started}
        host_list.rows[host] = {"host": host, **row}
    host_list.changed()
    return host_list


async def measure(
    host_count: int,
    proxy_count: int,
    slice_count: int,
    phases: list[tuple[float, Callable[[], Any]]],
    extra_config: str = "",
    started: float = 0.0,
) -> list[dict[str, Any]]:
    """Run a controller process with a fleet of raw connections and return its figures for each phase.

    A phase is its duration in seconds and a function that is called at its start. `extra_config` is appended to the
    configuration. `started` is the start time in the rows of the host list.
    """
    with tempfile.TemporaryDirectory() as folder:
        host_list, port = await start_host_list(host_count, started), free_port()
        text = CONFIG.format(
            port=port,
            folder=folder,
            roster=host_list.port,
            slices=slice_count,
            forwarders=proxy_count,
            rate=max(10_000, slice_count * proxy_count),
            queue=(8 + 2 * slice_count) * proxy_count * 2,
            lines=host_count + 2 * slice_count,
        )
        (Path(folder) / "s.hcl").write_text(text + extra_config)
        results_path = Path(folder) / "out.json"
        command = [sys.executable, "-m", "bench.measured", f"{folder}/s.hcl", str(results_path)]
        controller = await asyncio.create_subprocess_exec(*command)
        try:
            await drive(controller, host_list, port, host_count, proxy_count, [(SETTLE_S, lambda: None), *phases])
            controller.send_signal(signal.SIGTERM)
            await asyncio.wait_for(controller.wait(), 10)
        finally:
            if controller.returncode is None:
                controller.kill()
        return list(json.loads(results_path.read_text()))[1:]


async def drive(
    controller: asyncio.subprocess.Process,
    host_list: Roster,
    port: int,
    host_count: int,
    proxy_count: int,
    phases: list[tuple[float, Callable[[], Any]]],
) -> None:
    """Connect the proxies, then report usage and drain hosts throughout the phases.

    A signal tells the controller at the end of each phase to record its figures.
    """
    loop, rng = asyncio.get_running_loop(), np.random.default_rng(1)
    links: list[TableKeepingProxy] = []
    for number in range(proxy_count):
        for _ in range(100):
            try:
                _, link = await loop.create_connection(
                    lambda number=number: TableKeepingProxy(number, rng),  # type: ignore[misc]
                    "127.0.0.1",
                    port,
                )
                links.append(link)
                break
            except OSError:
                await asyncio.sleep(0.1)
    tick = 0
    for phase, (seconds, start) in enumerate(phases):
        if phase:
            controller.send_signal(signal.SIGUSR1)
        start()
        ends_at = loop.time() + seconds
        while loop.time() < ends_at:
            for index, link in enumerate(links):
                if index % 4 == tick % 4:
                    link.report()
            if tick % 8 == 0:
                host_list.put((tick // 16) % host_count, state="draining" if tick % 16 == 0 else "up")
            tick += 1
            await asyncio.sleep(0.125)


def run(seconds: float) -> dict[str, Any]:
    """Return the figures of each size, measured for `seconds`."""
    return {name: uvloop.run(measure(*size, [(seconds, lambda: None)]))[0] for name, size in SIZES.items()}


if __name__ == "__main__":
    print(json.dumps(run(float(os.environ.get("SECONDS", "15"))), indent=1))
