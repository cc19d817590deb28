"""Controllers and host sources that read a registry, under load: `python -m bench.registry [NAME ...]`.

Measures the delay of changes to proxies, the takeover from a killed controller, the recovery after outages and restarts
of the registry, and the throughput of changes. Results go to bench/results/registry.json.

For the delay and the takeover, three controller processes divide 468 slices of 78 hosts, for 130 proxies with one
connection to each controller. These 390 connections, which only join, ack and send heartbeats, and the registry, the
emulation in `corallanding.lab.registry`, run in this process. The times include the work of both.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any

import numpy as np
import uvloop

from corallanding.config.sources import RegistryBlock
from corallanding.lab.processes import free_port
from corallanding.lab.registry import Registry
from corallanding.registry.errors import RegistryUnavailableError
from corallanding.registry.etcd import EtcdConnection
from corallanding.registry.source import make_source
from corallanding.wire import frames

from .machine import machine
from .run import RESULTS
from .turns import CONFIG, TableKeepingProxy

HOSTS, PROXIES, SLICES, CONTROLLERS = 78, 130, 468, 3
# Hosts, proxies and slices of the large size.
LARGE = (200, 300, 1200)
PREFIX = "/corallanding/hosts/"


class LineCountingProxy(TableKeepingProxy):
    """Proxy connection that sends heartbeats and counts the entries of its tables.

    `lines_by_host`: number of table entries ("lines") by host, over the tables of all connections.
    """

    lines_by_host: Counter[int] = Counter()

    def set_hosts(self, slice_id: int, hosts: set[int]) -> None:
        """Replace the hosts of slice `slice_id`."""
        self.lines_by_host.subtract(self.tables.get(slice_id, ()))
        self.lines_by_host.update(hosts)
        self.tables[slice_id] = hosts

    def data_received(self, data: bytes) -> None:
        """Apply tables and orders, and ack the version."""
        for frame in self.reader.feed(data):
            if isinstance(frame, frames.Tables):
                if not frame.only_slices:
                    for slice_id in list(self.tables):
                        self.set_hosts(slice_id, set())
                for slice_id, rows in frame.tables:
                    self.set_hosts(slice_id, {host_id for host_id, _ in rows})
            elif isinstance(frame, frames.Orders):
                for slice_id in frame.withdrawn_slices:
                    self.set_hosts(slice_id, set())
                for slice_id, host_id, weight in frame.lines:
                    row = set(self.tables.get(slice_id, ()))
                    (row.add if weight > 0 else row.discard)(host_id)
                    self.set_hosts(slice_id, row)
                if frame.version >= 0:
                    self.transport.write(frames.encode(frames.Ack(frame.version)))

    def send_heartbeat(self) -> None:
        """Send a heartbeat unless the connection is closing."""
        if not self.transport.is_closing():
            self.transport.write(frames.encode(frames.Heartbeat(1.0)))


def host_value(number: int, state: str = "up") -> dict[str, Any]:
    """Return the value of host `number` in the registry; `state` is "up" or "draining"."""
    return {"address": f"127.0.0.1:{20000 + number}", "state": state}


def quantiles(values: list[float]) -> dict[str, float]:
    """Return count, p50 and p99 of times in ms."""
    return {
        "count": len(values),
        "p50_ms": round(float(np.percentile(values, 50)), 1),
        "p99_ms": round(float(np.percentile(values, 99)), 1),
    }


async def wait_until(condition: Any, timeout_s: float = 60.0) -> float:
    """Wait until the condition holds and return the time in ms. Raises TimeoutError after `timeout_s` seconds."""
    begun_at = time.monotonic()
    while not condition():
        if time.monotonic() - begun_at > timeout_s:
            raise TimeoutError
        await asyncio.sleep(0.002)
    return (time.monotonic() - begun_at) * 1000.0


async def measure_large_fleet() -> dict[str, Any]:
    """Run `measure_fleet` with the large size."""
    return await measure_fleet(*LARGE)


async def measure_fleet(
    host_count: int = HOSTS, proxy_count: int = PROXIES, slice_count: int = SLICES
) -> dict[str, Any]:
    """Return the delay from draining a host in the registry until no proxy's table has it, and the takeover time.

    The takeover time is that from killing a controller until three sampled proxies have tables of all slices from the
    others.
    """
    LineCountingProxy.lines_by_host = Counter()
    registry, rng = Registry(), np.random.default_rng(1)
    await registry.start()
    for host_id in range(host_count):
        await registry.put(f"{PREFIX}{host_id}", host_value(host_id))
    links: list[list[LineCountingProxy]] = [[] for _ in range(CONTROLLERS)]
    with tempfile.TemporaryDirectory() as folder:
        processes, ports = [], [free_port() for _ in range(CONTROLLERS)]
        for controller_id in range(CONTROLLERS):
            text = CONFIG.format(
                port=ports[controller_id],
                folder=folder,
                roster=1,
                slices=slice_count,
                forwarders=proxy_count,
                rate=1e3 * proxy_count,
                queue=(8 + 2 * slice_count) * proxy_count * 2,
                lines=2000,
            )
            block = f'registry {{\n  address = "127.0.0.1:{registry.port}"\n  charge = true\n  lease_ms = 3000\n}}\n'
            text = text.replace('roster {\n  address = "127.0.0.1:1"\n}\n', block).replace(
                "/s.db", f"/{controller_id}.db"
            )
            text = text.replace("steward {", f"steward {{\n  number = {controller_id}\n  stewards = {CONTROLLERS}")
            path = Path(folder) / f"{controller_id}.hcl"
            path.write_text(text + 'log {\n  level = "warning"\n}\n')
            command = [sys.executable, "-m", "corallanding.cli.main", "steward", "--config", str(path)]
            processes.append(await asyncio.create_subprocess_exec(*command))
        loop = asyncio.get_running_loop()
        is_stopped = False

        async def send_heartbeats() -> None:
            """Send heartbeats on all connections until the end."""
            while not is_stopped:
                for row in links:
                    for link in row:
                        link.send_heartbeat()
                await asyncio.sleep(0.7)

        heartbeat_task = asyncio.create_task(send_heartbeats())
        try:
            for controller_id in range(CONTROLLERS):
                for proxy in range(proxy_count):
                    for _ in range(200):
                        try:
                            connection = await loop.create_connection(
                                lambda proxy=proxy: LineCountingProxy(proxy, rng),  # type: ignore[misc]
                                "127.0.0.1",
                                ports[controller_id],
                            )
                            links[controller_id].append(connection[1])
                            break
                        except OSError:
                            await asyncio.sleep(0.1)

            def all_slices_assigned(controller_ids: list[int]) -> bool:
                """Return whether each slice has an entry at three sampled proxies, from any of these controllers."""
                return all(
                    len(
                        {
                            slice_id
                            for controller_id in controller_ids
                            for slice_id, row in links[controller_id][proxy].tables.items()
                            if row
                        }
                    )
                    == slice_count
                    for proxy in (0, proxy_count // 2, proxy_count - 1)
                )

            await wait_until(lambda: all_slices_assigned(list(range(CONTROLLERS))), 60)
            await asyncio.sleep(5.0)
            drain_delays_ms = []
            for index in range(30):
                host_id = index % host_count
                await registry.put(f"{PREFIX}{host_id}", host_value(host_id, "draining"))
                has_no_lines = lambda host_id=host_id: not LineCountingProxy.lines_by_host[host_id]  # noqa: E731
                drain_delays_ms.append(await wait_until(has_no_lines, 20))
                await registry.put(f"{PREFIX}{host_id}", host_value(host_id))
                await asyncio.sleep(0.3)
            killed_slices = {slice_id for slice_id, row in links[0][0].tables.items() if row}
            processes[0].send_signal(signal.SIGKILL)
            # The proxies of this benchmark clear the killed controller's tables, so that only new ones count.
            for link in links[0]:
                for slice_id in list(link.tables):
                    link.set_hosts(slice_id, set())
            takeover_ms = await wait_until(lambda: all_slices_assigned([1, 2]), 30)
        finally:
            is_stopped = True
            heartbeat_task.cancel()
            for process in processes:
                if process.returncode is None:
                    process.kill()
            await registry.stop()
    return {
        "hosts": host_count,
        "forwarders": proxy_count,
        "slices": slice_count,
        "change_to_every_forwarder": quantiles(drain_delays_ms),
        "slices_of_the_killed_steward": len(killed_slices),
        "killed_to_all_slices_spoken_for_ms": round(takeover_ms),
        "lease_ms": 3000,
    }


class HostRowReceiver:
    """Receiver of a host source that keeps the state of each host."""

    def __init__(self) -> None:
        self.states: dict[int, str] = {}
        self.rows = 0

    def on_host_rows(self, full: bool, version: int, rows: list[Any]) -> None:
        """Apply a complete list or changes."""
        self.rows += len(rows)
        self.states = {} if full else self.states
        for row in rows:
            self.states[row["host"]] = row["state"]
            if row["state"] == "removed":
                del self.states[row["host"]]

    def on_source_failure(self, reason: str) -> None:
        """Ignore the failure; the source retries."""


def start_source(registry: Registry, receiver: HostRowReceiver, seed: int) -> Any:
    """Start a host source that reads this registry into `receiver`."""
    block = RegistryBlock(address=f"127.0.0.1:{registry.port}")
    host_source = make_source(block, receiver, lambda: time.monotonic() * 1000.0, random.Random(seed).random)
    host_source.start()
    return host_source


def registry_states(registry: Registry) -> dict[int, str]:
    """Return the state of each host in the registry."""
    return {int(key[len(PREFIX) :]): json.loads(stored.value)["state"] for key, stored in registry.store.keys.items()}


def write_change(registry: Registry, index: int) -> None:
    """Write change number `index`: one host becomes draining or up."""
    row = host_value(index % HOSTS, ("draining", "up")[index % 2])
    registry.store.put(f"{PREFIX}{index % HOSTS}".encode(), json.dumps(row).encode())


async def measure_outages() -> list[dict[str, Any]]:
    """Return the times until a host source has the registry's state again, after outages of several lengths.

    Hosts change during each outage. In half of the runs the registry also compacts its history, so that the source
    cannot resume its watch and reads all hosts.
    """
    results = []
    for outage_s in (1.0, 10.0, 60.0):
        for compacted in (False, True):
            registry, receiver = Registry(), HostRowReceiver()
            await registry.start()
            for host_id in range(HOSTS):
                await registry.put(f"{PREFIX}{host_id}", host_value(host_id))
            host_source = start_source(registry, receiver, 1)
            await wait_until(lambda: receiver.states == registry_states(registry))  # noqa: B023
            await registry.stop()
            for index in range(200):
                write_change(registry, index)
            registry.store.put(f"{PREFIX}5".encode(), None)
            if compacted:
                registry.store.compact(registry.store.revision)
            await asyncio.sleep(outage_s)
            await registry.start()
            recovery_ms = await wait_until(lambda: receiver.states == registry_states(registry))  # noqa: B023
            results.append(
                {
                    "break_s": outage_s,  # length of the outage
                    "compacted": compacted,
                    "true_view_after_ms": round(recovery_ms),  # from the end of the outage
                    "full_reads": registry.store.calls["Range"],  # including the first one
                }
            )
            host_source.stop()
            await registry.stop()
    return results


async def measure_reconnects() -> dict[str, Any]:
    """Return the time until 50 host sources have the registry's state after its restart, and their requests by kind.

    In the results, "stewards" is the number of sources: each controller has one.
    """
    registry = Registry()
    await registry.start()
    for host_id in range(HOSTS):
        await registry.put(f"{PREFIX}{host_id}", host_value(host_id))
    receivers = [HostRowReceiver() for _ in range(50)]
    sources = [start_source(registry, receiver, index) for index, receiver in enumerate(receivers)]
    await wait_until(lambda: all(receiver.states == registry_states(registry) for receiver in receivers))
    await registry.stop()
    await asyncio.sleep(2.0)
    registry.store.calls.clear()
    registry.store.put(f"{PREFIX}1".encode(), json.dumps(host_value(1, "draining")).encode())
    await registry.start()
    recovery_ms = await wait_until(lambda: all(receiver.states == registry_states(registry) for receiver in receivers))
    for host_source in sources:
        host_source.stop()
    await registry.stop()
    return {"stewards": 50, "all_true_after_ms": round(recovery_ms), "requests": dict(registry.store.calls)}


class CountingWatcher:
    """Watch receiver that only counts changes."""

    def __init__(self) -> None:
        self.rows = 0

    def on_created(self, header: Any) -> None:
        """Ignore the start of the watch."""

    def on_progress(self, header: Any) -> None:
        """Ignore progress notifications."""

    def on_changes(self, header: Any, rows: list[Any], *, is_fragment: bool) -> None:
        """Count the changes."""
        self.rows += len(rows)

    def on_cancelled(self, header: Any, compacted: int, why: str) -> None:
        """Ignore the end of the watch."""


async def measure_throughput() -> dict[str, Any]:
    """Return changes per second through a host source, and through the watch of the etcd client without a source.

    Medians of three runs; "ratio" is the first divided by the second.
    """
    rates: dict[str, list[float]] = {"source": [], "bare": []}
    change_count = 20_000
    for _ in range(3):
        for kind in rates:
            registry, receiver, counter = Registry(), HostRowReceiver(), CountingWatcher()
            await registry.start()
            await registry.put(f"{PREFIX}0", host_value(0))
            connection = EtcdConnection(f"127.0.0.1:{registry.port}", 5000.0)
            if kind == "source":
                host_source = start_source(registry, receiver, 1)
                await wait_until(lambda: receiver.states)  # noqa: B023
            else:

                async def watch(
                    connection: EtcdConnection = connection,
                    counter: CountingWatcher = counter,
                    start_revision: int = registry.store.revision + 1,
                ) -> None:
                    try:
                        await connection.watch(PREFIX.encode(), start_revision, counter)
                    except RegistryUnavailableError:
                        return

                task = asyncio.create_task(watch())
                await asyncio.sleep(0.3)
            rows_before = receiver.rows
            for index in range(change_count):
                write_change(registry, index)
            begun_at = time.monotonic()
            registry.store.poke()  # send the changes to the watches
            await wait_until(
                lambda: (receiver.rows - rows_before if kind == "source" else counter.rows) >= change_count  # noqa: B023
            )
            rates[kind].append(change_count / (time.monotonic() - begun_at))
            if kind == "source":
                host_source.stop()
            else:
                task.cancel()
            await connection.close()
            await registry.stop()
    ours, bare = float(np.median(rates["source"])), float(np.median(rates["bare"]))
    return {"source_per_s": round(ours), "bare_stream_per_s": round(bare), "ratio": round(ours / bare, 3)}


def main() -> None:
    """Run the measurements that are named on the command line, or all, and update registry.json.

    "pace": throughput; "stampede": reconnects after a restart; "breaks": outages; "fleet", "large": delay and takeover.
    """
    os.environ.setdefault("PYTHONPATH", ".")
    results: dict[str, Any] = {"machine": machine()}
    for name, run in (
        ("pace", measure_throughput),
        ("stampede", measure_reconnects),
        ("breaks", measure_outages),
        ("fleet", measure_fleet),
        ("large", measure_large_fleet),
    ):
        if len(sys.argv) > 1 and name not in sys.argv[1:]:
            continue
        results[name] = uvloop.run(run())
        print(name, json.dumps(results[name]), flush=True)
    path = RESULTS / "registry.json"
    previous = json.loads(path.read_text()) if path.exists() else {}
    path.write_text(json.dumps({**previous, **results}, indent=1) + "\n")


if __name__ == "__main__":
    main()
