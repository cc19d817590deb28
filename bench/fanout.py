"""Delay of table updates to many proxies: until the last one, after mass reconnects, beside hostile peers.

    python -m bench.fanout [SIZE ...]

The controller is the real process. Proxies are raw connections in processes of their own: they join, ack, send
heartbeats, and report usage of twenty slices and twenty hosts once a second. Hosts are rows of a host list; no host
answers. A delay runs from the change of the host list to the arrival of the bytes at a proxy. No request is sent.
Memory and CPU of the controller are measured too.
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

from corallanding.lab.processes import free_port
from corallanding.wire import frames

from .machine import machine
from .run import RESULTS
from .turns import CONFIG, start_host_list

# hosts, proxies, slices
SIZES = {"24": (24, 12, 144), "78": (78, 130, 468), "300": (300, 500, 1800), "1000": (1000, 1000, 6000)}
# LINES_PER_PROXY_PER_SECOND: the rate of table lines that the channel is configured with, for each proxy
PROCESS_COUNT, DRAIN_COUNT, LINES_PER_PROXY_PER_SECOND = 4, 12, 400.0


class RecordingProxy(asyncio.Protocol):
    """Connection of proxy `number` that acks each version and logs in `fleet` when drains and tables arrive."""

    def __init__(self, fleet: ProxyFleet, number: int) -> None:
        self.fleet, self.number = fleet, number
        self.reader = frames.FrameReader(frames.proxy_decoder, 64 << 20)
        self.has_tables = False

    def connection_made(self, transport: Any) -> None:
        """Send the greeting."""
        self.transport = transport
        self.has_tables = False
        transport.write(frames.encode(frames.Hello(frames.PROTOCOL_VERSION, self.number, f"{self.number}")))

    def data_received(self, data: bytes) -> None:
        """Log complete tables and hosts that lost lines or were cordoned; ack the version."""
        now, log = time.monotonic(), self.fleet.log
        for frame in self.reader.feed(data):
            if isinstance(frame, frames.Tables) and not frame.only_slices:
                self.has_tables = True
                log.append((now, self.number, -1, 0))
            elif isinstance(frame, frames.Orders):
                removed_hosts = {host for _, host, weight in frame.lines if weight <= 0} | {
                    host for host, on in frame.cordons if on
                }
                line_count = len(frame.lines) + len(frame.cordons) + len(frame.levels) + 1
                log += [(now, self.number, host, line_count) for host in removed_hosts]
                if frame.version >= 0:
                    self.transport.write(frames.encode(frames.Ack(frame.version)))

    def connection_lost(self, exc: Exception | None) -> None:
        """Log the loss and reconnect, unless the run is over."""
        log = self.fleet.log
        log.append((time.monotonic(), self.number, -2, 0))
        if not self.fleet.is_finished:
            self.fleet.schedule_connect(self.number)


class ProxyFleet:
    """The proxies `first` to `first` + `count` - 1 of one process, for fleets of `hosts` hosts and `slices` slices.

    A row of `log` holds: time of arrival in seconds, proxy, drained host (or -1: complete tables, -2: connection lost),
    table lines of the frame.
    """

    protocol_class: type[RecordingProxy] = RecordingProxy

    def __init__(self, port: int, first: int, count: int, hosts: int, slices: int) -> None:
        self.port, self.numbers, self.hosts, self.slices = port, range(first, first + count), hosts, slices
        self.log: list[tuple[float, int, int, int]] = []
        self.links: dict[int, RecordingProxy] = {}
        self.rng = np.random.default_rng(first)
        self.is_finished = False
        self.tasks: set[asyncio.Task[None]] = set()

    def schedule_connect(self, number: int) -> None:
        """Start a task that connects this proxy."""
        task = asyncio.get_running_loop().create_task(self.connect(number))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def connect(self, number: int) -> None:
        """Connect after a random delay below 0.3 s; retry until it succeeds or the run ends."""
        while not self.is_finished:
            await asyncio.sleep(float(self.rng.uniform(0, 0.3)))
            try:
                connection = await asyncio.get_running_loop().create_connection(
                    lambda: self.protocol_class(self, number), "127.0.0.1", self.port
                )
                self.links[number] = connection[1]
                return
            except (OSError, RuntimeError):
                continue

    async def run(self, seconds: float, results_path: str) -> None:
        """Connect all proxies, send usage reports for `seconds`, and write the log to `results_path`."""
        loop = asyncio.get_running_loop()
        for number in self.numbers:
            self.schedule_connect(number)
        ends_at, tick = loop.time() + seconds, 0
        rng = self.rng
        while loop.time() < ends_at:
            await asyncio.sleep(0.05)
            tick += 1
            for number in self.numbers:
                link = self.links.get(number)
                if number % 20 != tick % 20 or link is None or link.transport.is_closing() or not link.has_tables:
                    continue
                host_rows = [(int(host), 5, 0, 250.0) for host in set(rng.integers(0, self.hosts, 20))]
                slice_rows = [(int(slice_id), 0, 5, 0) for slice_id in set(rng.integers(0, self.slices, 20))]
                link.transport.write(frames.encode(frames.UsageReport(1000.0, host_rows, slice_rows)))
        self.is_finished = True
        Path(results_path).write_text(json.dumps(self.log))


async def run_hostile_peers(port: int, first: int, count: int, seconds: float) -> None:
    """Run `count` misbehaving peers for `seconds`, five kinds in turn.

    They send nothing; reconnect in a loop; ack versions that were not sent; never ack; read one byte a second.
    """
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + seconds

    async def run_peer(index: int) -> None:
        kind = index % 5
        while loop.time() < ends_at:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=64)
                if kind:
                    writer.write(frames.encode(frames.Hello(frames.PROTOCOL_VERSION, first + index, f"h{index}")))
                while kind != 1 and loop.time() < ends_at:
                    if kind == 2:
                        writer.write(frames.encode(frames.Ack(int(loop.time() * 1000) % 65536)))
                    elif kind:
                        writer.write(frames.encode(frames.Heartbeat()))
                    data = await reader.read(1 if kind == 4 else 1 << 16)
                    if not data:
                        break
                    await asyncio.sleep(1.0 if kind in (0, 4) else 0.05)
                writer.close()
                await asyncio.sleep(0)
            except (OSError, RuntimeError):
                await asyncio.sleep(0.05)

    await asyncio.wait([asyncio.create_task(run_peer(index)) for index in range(count)], timeout=seconds + 2)


def split_proxies(proxy_count: int) -> list[tuple[int, int]]:
    """Return the first proxy and the number of proxies of each process."""
    proxies_per_process = -(-proxy_count // PROCESS_COUNT)
    return [
        (index * proxies_per_process, min(proxies_per_process, proxy_count - index * proxies_per_process))
        for index in range(PROCESS_COUNT)
        if index * proxies_per_process < proxy_count
    ]


async def start_child(*args: object) -> asyncio.subprocess.Process:
    """Start this module as a subprocess with these arguments."""
    return await asyncio.create_subprocess_exec(sys.executable, "-m", "bench.fanout", *map(str, args))


def summarize_delays(delays_ms: list[float]) -> dict[str, float]:
    """Return p50, p99 and maximum of delays in ms, or nothing if there are none."""
    if not delays_ms:
        return {}
    return {
        "p50": round(float(np.percentile(delays_ms, 50)), 2),
        "p99": round(float(np.percentile(delays_ms, 99)), 2),
        "last": round(max(delays_ms), 2),
    }


async def measure_fanout(size: tuple[int, int, int], folder: str, hostile_count: int, is_storm: bool) -> dict[str, Any]:
    """Run one fleet with a controller and return its results.

    `size`: hosts, proxies, slices. `hostile_count`: misbehaving peers. `is_storm`: kill and restart the controller, so
    that all proxies reconnect at once.
    """
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
    text = text.replace("forwarders {\n", f"forwarders {{\n  most = {proxy_count * 2}\n")
    text = text.replace("every_ms = 500", "every_ms = 1000")
    (Path(folder) / "s.hcl").write_text(text)
    results_path = Path(folder) / "steward.json"
    command = [sys.executable, "-m", "bench.measured", f"{folder}/s.hcl", str(results_path)]
    controller = await asyncio.create_subprocess_exec(*command)
    # Every host has its slices before the first proxy joins; otherwise the first drains hit hosts without slices.
    settle_s = 6.0 + host_count / 60.0
    await asyncio.sleep(settle_s / 2)
    seconds = settle_s + DRAIN_COUNT * 1.0 + 4.0 + (25.0 if is_storm else 0.0)
    proxy_ranges = split_proxies(proxy_count)
    children = [
        await start_child("links", port, first, count, host_count, slice_count, seconds, f"{folder}/{first}.json")
        for first, count in proxy_ranges
    ]
    if hostile_count:
        children.append(await start_child("hostile", port, proxy_count, hostile_count, seconds))
    await asyncio.sleep(settle_s)
    controller.send_signal(signal.SIGUSR1)
    drains = []
    for host in range(DRAIN_COUNT):
        drains.append((time.monotonic(), host))
        host_list.put(host, state="draining")
        await asyncio.sleep(1.0)
    controller.send_signal(signal.SIGUSR1)
    result: dict[str, Any] = {}
    killed_at = restarted_at = 0.0
    if is_storm:
        await asyncio.sleep(0.5)
        controller.kill()
        await controller.wait()
        killed_at = time.monotonic()
        controller = await asyncio.create_subprocess_exec(*command)
        while time.monotonic() < killed_at + 60.0:
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.close()
                break
            except (OSError, RuntimeError):
                await asyncio.sleep(0.02)
        restarted_at = time.monotonic()
    for process in children:
        await process.wait()
    controller.send_signal(signal.SIGTERM)
    await controller.wait()
    log_rows = [
        tuple(row) for first, _ in proxy_ranges for row in json.loads(Path(f"{folder}/{first}.json").read_text())
    ]
    delays_ms, last_delays_ms, line_counts, missed_count = [], [], [], 0
    for drained_at, host in drains:
        first_arrivals: dict[int, float] = {}
        for arrived_at, proxy, event, line_count in log_rows:
            if (
                event == host
                and arrived_at >= drained_at
                and (proxy not in first_arrivals or arrived_at < first_arrivals[proxy])
            ):
                first_arrivals[proxy] = arrived_at
                line_counts.append(line_count)
        missed_count += proxy_count - len(first_arrivals)
        if first_arrivals:
            delays_ms += [(arrived_at - drained_at) * 1000.0 for arrived_at in first_arrivals.values()]
            last_delays_ms.append((max(first_arrivals.values()) - drained_at) * 1000.0)
    median_lines = float(np.median(line_counts)) if line_counts else 0.0
    result = {
        "hosts": host_count,
        "forwarders": proxy_count,
        "slices": slice_count,
        "hostile": hostile_count,
        "drain_ms": summarize_delays(delays_ms),
        "last_forwarder_p50_ms": round(float(np.median(last_delays_ms)), 2) if last_delays_ms else None,
        "drains_not_seen": missed_count,
        "lines_a_drain": median_lines,
        "physical_ms": round((median_lines + 8.0) * 1000.0 / LINES_PER_PROXY_PER_SECOND, 2),
    }
    if is_storm:
        tables_received_at: dict[int, float] = {}
        for arrived_at, proxy, event, _ in log_rows:
            if event == -1 and arrived_at > killed_at:
                tables_received_at.setdefault(proxy, arrived_at)
        result["storm"] = {
            "listening_after_ms": round((restarted_at - killed_at) * 1000.0),
            "back": len(tables_received_at),
            "all_hold_tables_after_ms": round((max(tables_received_at.values()) - killed_at) * 1000.0)
            if tables_received_at
            else None,
        }
    else:
        phases = json.loads(results_path.read_text())
        result |= {key: phases[1][key] for key in ("turn_ms", "late_ms", "ack_ms", "resident_mib", "cpu_share")}
        result["ended_links"] = sum(1 for row in log_rows if row[2] == -2) - proxy_count
    return result


async def main(names: list[str]) -> None:
    """Run the sizes of these names, or all, and write each result to fanout.json."""
    path = RESULTS / "fanout.json"
    results = json.loads(path.read_text()) if path.exists() else {}
    results["machine"] = machine()
    for name in names or list(SIZES):
        size = SIZES[name]
        runs = {}
        for kind, hostile_count, is_storm in (
            ("calm", 0, False),
            ("hostile", size[1] // 10, False),
            ("storm", 0, True),
        ):
            with tempfile.TemporaryDirectory() as folder:
                runs[kind] = await measure_fanout(size, folder, hostile_count, is_storm)
            print(name, kind, json.dumps(runs[kind]), flush=True)
        results[name] = runs
        path.write_text(json.dumps(results, indent=1) + "\n")


if __name__ == "__main__":
    if sys.argv[1:2] == ["links"]:
        port, first, count, hosts, slices = map(int, sys.argv[2:7])
        uvloop.run(ProxyFleet(port, first, count, hosts, slices).run(float(sys.argv[7]), sys.argv[8]))
    elif sys.argv[1:2] == ["hostile"]:
        uvloop.run(run_hostile_peers(int(sys.argv[2]), int(sys.argv[3]), int(sys.argv[4]), float(sys.argv[5])))
    else:
        uvloop.run(main(sys.argv[1:]))
