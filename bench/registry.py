"""The registry client, measured: `python -m bench.registry`. Results go to bench/results/registry.json.

Three steward processes share 468 slices of 78 hosts for 130 forwarders, which are raw links here; the registry is the
stand-in, in this process. Times include its own work and that of the 390 links.
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
from .turns import CONFIG, Raw

HOSTS, FORWARDERS, SLICES, STEWARDS = 78, 130, 468, 3
LARGE = (200, 300, 1200)
PREFIX = "/corallanding/hosts/"


class Link(Raw):
    """Beats, and counts with all others how many lines name each host."""

    naming: Counter[int] = Counter()

    def lines(self, t: int, row: set[int]) -> None:
        self.naming.subtract(self.tables.get(t, ()))
        self.naming.update(row)
        self.tables[t] = row

    def data_received(self, data: bytes) -> None:
        for f in self.reader.feed(data):
            if isinstance(f, frames.Tables):
                if not f.only_slices:
                    for t in list(self.tables):
                        self.lines(t, set())
                for t, rows in f.tables:
                    self.lines(t, {h for h, _ in rows})
            elif isinstance(f, frames.Orders):
                for t in f.withdrawn_slices:
                    self.lines(t, set())
                for t, h, w in f.lines:
                    row = set(self.tables.get(t, ()))
                    (row.add if w > 0 else row.discard)(h)
                    self.lines(t, row)
                if f.version >= 0:
                    self.transport.write(frames.encode(frames.Ack(f.version)))

    def beat(self) -> None:
        if not self.transport.is_closing():
            self.transport.write(frames.encode(frames.Heartbeat(1.0)))


def host(n: int, state: str = "up") -> dict[str, Any]:
    return {"address": f"127.0.0.1:{20000 + n}", "state": state}


def quantiles(values: list[float]) -> dict[str, float]:
    return {
        "count": len(values),
        "p50_ms": round(float(np.percentile(values, 50)), 1),
        "p99_ms": round(float(np.percentile(values, 99)), 1),
    }


async def until(wanted: Any, within: float = 60.0) -> float:
    begun = time.monotonic()
    while not wanted():
        if time.monotonic() - begun > within:
            raise TimeoutError
        await asyncio.sleep(0.002)
    return (time.monotonic() - begun) * 1000.0


async def large() -> dict[str, Any]:
    return await fleet(*LARGE)


async def fleet(hosts: int = HOSTS, forwarders: int = FORWARDERS, slices: int = SLICES) -> dict[str, Any]:
    Link.naming = Counter()
    r, chance = Registry(), np.random.default_rng(1)
    await r.start()
    for n in range(hosts):
        await r.put(f"{PREFIX}{n}", host(n))
    links: list[list[Link]] = [[] for _ in range(STEWARDS)]
    with tempfile.TemporaryDirectory() as folder:
        processes, ports = [], [free_port() for _ in range(STEWARDS)]
        for me in range(STEWARDS):
            text = CONFIG.format(
                port=ports[me],
                folder=folder,
                roster=1,
                slices=slices,
                forwarders=forwarders,
                rate=1e3 * forwarders,
                queue=(8 + 2 * slices) * forwarders * 2,
                lines=2000,
            )
            block = f'registry {{\n  address = "127.0.0.1:{r.port}"\n  charge = true\n  lease_ms = 3000\n}}\n'
            text = text.replace('roster {\n  address = "127.0.0.1:1"\n}\n', block).replace("/s.db", f"/{me}.db")
            text = text.replace("steward {", f"steward {{\n  number = {me}\n  stewards = {STEWARDS}")
            path = Path(folder) / f"{me}.hcl"
            path.write_text(text + 'log {\n  level = "warning"\n}\n')
            command = [sys.executable, "-m", "corallanding.cli.main", "steward", "--config", str(path)]
            processes.append(await asyncio.create_subprocess_exec(*command))
        loop = asyncio.get_running_loop()
        stop = False

        async def beats() -> None:
            while not stop:
                for row in links:
                    for link in row:
                        link.beat()
                await asyncio.sleep(0.7)

        beating = asyncio.create_task(beats())
        try:
            for me in range(STEWARDS):
                for f in range(forwarders):
                    for _ in range(200):
                        try:
                            made = await loop.create_connection(lambda f=f: Link(f, chance), "127.0.0.1", ports[me])  # type: ignore[misc]
                            links[me].append(made[1])
                            break
                        except OSError:
                            await asyncio.sleep(0.1)

            def spoken(among: list[int]) -> bool:
                """Each slice has a line at every forwarder, from one steward or another."""
                return all(
                    len({t for me in among for t, row in links[me][f].tables.items() if row}) == slices
                    for f in (0, forwarders // 2, forwarders - 1)
                )

            await until(lambda: spoken(list(range(STEWARDS))), 60)
            await asyncio.sleep(5.0)
            drains = []
            for k in range(30):
                n = k % hosts
                await r.put(f"{PREFIX}{n}", host(n, "draining"))
                gone = lambda n=n: not Link.naming[n]  # noqa: E731
                drains.append(await until(gone, 20))
                await r.put(f"{PREFIX}{n}", host(n))
                await asyncio.sleep(0.3)
            before = {t for t, row in links[0][0].tables.items() if row}
            processes[0].send_signal(signal.SIGKILL)
            for x in links[0]:
                for t in list(x.tables):
                    x.lines(t, set())
            takeover = await until(lambda: spoken([1, 2]), 30)
        finally:
            stop = True
            beating.cancel()
            for p in processes:
                if p.returncode is None:
                    p.kill()
            await r.stop()
    return {
        "hosts": hosts,
        "forwarders": forwarders,
        "slices": slices,
        "change_to_every_forwarder": quantiles(drains),
        "slices_of_the_killed_steward": len(before),
        "killed_to_all_slices_spoken_for_ms": round(takeover),
        "lease_ms": 3000,
    }


class Seat:
    def __init__(self) -> None:
        self.view: dict[int, str] = {}
        self.rows = 0

    def on_host_rows(self, full: bool, version: int, rows: list[Any]) -> None:
        self.rows += len(rows)
        self.view = {} if full else self.view
        for row in rows:
            self.view[row["host"]] = row["state"]
            if row["state"] == "removed":
                del self.view[row["host"]]

    def on_source_failure(self, reason: str) -> None: ...


def source(r: Registry, seat: Seat, k: int) -> Any:
    block = RegistryBlock(address=f"127.0.0.1:{r.port}")
    made = make_source(block, seat, lambda: time.monotonic() * 1000.0, random.Random(k).random)
    made.start()
    return made


def truth(r: Registry) -> dict[int, str]:
    return {int(k[len(PREFIX) :]): json.loads(v.value)["state"] for k, v in r.store.keys.items()}


def write(r: Registry, k: int) -> None:
    row = host(k % HOSTS, ("draining", "up")[k % 2])
    r.store.put(f"{PREFIX}{k % HOSTS}".encode(), json.dumps(row).encode())


async def breaks() -> list[dict[str, Any]]:
    out = []
    for seconds in (1.0, 10.0, 60.0):
        for compacted in (False, True):
            r, seat = Registry(), Seat()
            await r.start()
            for n in range(HOSTS):
                await r.put(f"{PREFIX}{n}", host(n))
            s = source(r, seat, 1)
            await until(lambda: seat.view == truth(r))  # noqa: B023
            await r.stop()
            for k in range(200):
                write(r, k)
            r.store.put(f"{PREFIX}5".encode(), None)
            if compacted:
                r.store.compact(r.store.revision)
            await asyncio.sleep(seconds)
            await r.start()
            took = await until(lambda: seat.view == truth(r))  # noqa: B023
            out.append(
                {
                    "break_s": seconds,
                    "compacted": compacted,
                    "true_view_after_ms": round(took),
                    "full_reads": r.store.calls["Range"],
                }
            )
            s.stop()
            await r.stop()
    return out


async def stampede() -> dict[str, Any]:
    r = Registry()
    await r.start()
    for n in range(HOSTS):
        await r.put(f"{PREFIX}{n}", host(n))
    seats = [Seat() for _ in range(50)]
    sources = [source(r, seat, k) for k, seat in enumerate(seats)]
    await until(lambda: all(x.view == truth(r) for x in seats))
    await r.stop()
    await asyncio.sleep(2.0)
    r.store.calls.clear()
    r.store.put(f"{PREFIX}1".encode(), json.dumps(host(1, "draining")).encode())
    await r.start()
    took = await until(lambda: all(x.view == truth(r) for x in seats))
    for s in sources:
        s.stop()
    await r.stop()
    return {"stewards": 50, "all_true_after_ms": round(took), "requests": dict(r.store.calls)}


class Count:
    def __init__(self) -> None:
        self.rows = 0

    def on_created(self, header: Any) -> None: ...

    def on_progress(self, header: Any) -> None: ...

    def on_changes(self, header: Any, rows: list[Any], *, is_fragment: bool) -> None:
        self.rows += len(rows)

    def on_cancelled(self, header: Any, compacted: int, why: str) -> None: ...


async def pace() -> dict[str, Any]:
    """Changes a second through the whole source, and through the bare client stream, from the same registry."""
    rates: dict[str, list[float]] = {"source": [], "bare": []}
    total = 20_000
    for _ in range(3):
        for kind in rates:
            r, seat, count = Registry(), Seat(), Count()
            await r.start()
            await r.put(f"{PREFIX}0", host(0))
            conn = EtcdConnection(f"127.0.0.1:{r.port}", 5000.0)
            if kind == "source":
                s = source(r, seat, 1)
                await until(lambda: seat.view)  # noqa: B023
            else:

                async def watch(
                    conn: EtcdConnection = conn, count: Count = count, at: int = r.store.revision + 1
                ) -> None:
                    try:
                        await conn.watch(PREFIX.encode(), at, count)
                    except RegistryUnavailableError:
                        return

                task = asyncio.create_task(watch())
                await asyncio.sleep(0.3)
            start = seat.rows
            for k in range(total):
                write(r, k)
            begun = time.monotonic()
            r.store.poke()
            await until(lambda: (seat.rows - start if kind == "source" else count.rows) >= total)  # noqa: B023
            rates[kind].append(total / (time.monotonic() - begun))
            if kind == "source":
                s.stop()
            else:
                task.cancel()
            await conn.close()
            await r.stop()
    ours, bare = float(np.median(rates["source"])), float(np.median(rates["bare"]))
    return {"source_per_s": round(ours), "bare_stream_per_s": round(bare), "ratio": round(ours / bare, 3)}


def main() -> None:
    os.environ.setdefault("PYTHONPATH", ".")
    found: dict[str, Any] = {"machine": machine()}
    for name, work in (("pace", pace), ("stampede", stampede), ("breaks", breaks), ("fleet", fleet), ("large", large)):
        if len(sys.argv) > 1 and name not in sys.argv[1:]:
            continue
        found[name] = uvloop.run(work())
        print(name, json.dumps(found[name]), flush=True)
    path = RESULTS / "registry.json"
    old = json.loads(path.read_text()) if path.exists() else {}
    path.write_text(json.dumps({**old, **found}, indent=1) + "\n")


if __name__ == "__main__":
    main()
