"""Orders to many forwarders: a drain's way to the last of them, a storm of joins, hostile links, memory a forwarder.

    python -m bench.fanout [SIZE ...]

The steward is the real process. Forwarders are raw links in processes of their own: they join, ack, beat, and report
sums of twenty slices and twenty hosts a second. Hosts are rows of a roster, none answers. Delays are from the roster's
change to the bytes' arrival at a link. Simulated: no invocation is sent.
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
from .turns import CONFIG, listed

SIZES = {"24": (24, 12, 144), "78": (78, 130, 468), "300": (300, 500, 1800), "1000": (1000, 1000, 6000)}
PROCESSES, DRAINS, LINES_A_FORWARDER = 4, 12, 400.0  # lines a second that the channel gives each forwarder


class Raw(asyncio.Protocol):
    def __init__(self, fleet: Links, number: int) -> None:
        self.fleet, self.number = fleet, number
        self.reader = frames.FrameReader(frames.proxy_decoder, 64 << 20)
        self.held = False

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.held = False
        transport.write(frames.encode(frames.Hello(frames.PROTOCOL_VERSION, self.number, f"{self.number}")))

    def data_received(self, data: bytes) -> None:
        now, log = time.monotonic(), self.fleet.log
        for f in self.reader.feed(data):
            if isinstance(f, frames.Tables) and not f.only_slices:
                self.held = True
                log.append((now, self.number, -1, 0))
            elif isinstance(f, frames.Orders):
                gone = {h for _, h, w in f.lines if w <= 0} | {h for h, on in f.cordons if on}
                cost = len(f.lines) + len(f.cordons) + len(f.levels) + 1
                log += [(now, self.number, h, cost) for h in gone]
                if f.version >= 0:
                    self.transport.write(frames.encode(frames.Ack(f.version)))

    def connection_lost(self, exc: Exception | None) -> None:
        log = self.fleet.log
        log.append((time.monotonic(), self.number, -2, 0))
        if not self.fleet.over:
            self.fleet.again(self.number)


class Links:
    """Forwarders FIRST to FIRST + COUNT of one process."""

    kind: type[Raw] = Raw

    def __init__(self, port: int, first: int, count: int, hosts: int, slices: int) -> None:
        self.port, self.numbers, self.hosts, self.slices = port, range(first, first + count), hosts, slices
        self.log: list[tuple[float, int, int, int]] = []
        self.links: dict[int, Raw] = {}
        self.chance = np.random.default_rng(first)
        self.over = False
        self.tasks: set[asyncio.Task[None]] = set()

    def again(self, number: int) -> None:
        task = asyncio.get_running_loop().create_task(self.dial(number))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def dial(self, number: int) -> None:
        while not self.over:
            await asyncio.sleep(float(self.chance.uniform(0, 0.3)))
            try:
                made = await asyncio.get_running_loop().create_connection(
                    lambda: self.kind(self, number), "127.0.0.1", self.port
                )
                self.links[number] = made[1]
                return
            except (OSError, RuntimeError):
                continue

    async def run(self, seconds: float, out: str) -> None:
        loop = asyncio.get_running_loop()
        for n in self.numbers:
            self.again(n)
        end, beat = loop.time() + seconds, 0
        r = self.chance
        while loop.time() < end:
            await asyncio.sleep(0.05)
            beat += 1
            for n in self.numbers:
                link = self.links.get(n)
                if n % 20 != beat % 20 or link is None or link.transport.is_closing() or not link.held:
                    continue
                met = [(int(h), 5, 0, 250.0) for h in set(r.integers(0, self.hosts, 20))]
                came = [(int(s), 0, 5, 0) for s in set(r.integers(0, self.slices, 20))]
                link.transport.write(frames.encode(frames.UsageReport(1000.0, met, came)))
        self.over = True
        Path(out).write_text(json.dumps(self.log))


async def hostile(port: int, first: int, count: int, seconds: float) -> None:
    """Every kind in turn: says nothing; reconnects in a loop; acks what was not sent; never acks; hardly reads."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds

    async def one(k: int) -> None:
        kind = k % 5
        while loop.time() < end:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=64)
                if kind:
                    writer.write(frames.encode(frames.Hello(frames.PROTOCOL_VERSION, first + k, f"h{k}")))
                while kind != 1 and loop.time() < end:
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

    await asyncio.wait([asyncio.create_task(one(k)) for k in range(count)], timeout=seconds + 2)


def split(forwarders: int) -> list[tuple[int, int]]:
    """The first one and the count of each process."""
    each = -(-forwarders // PROCESSES)
    return [(k * each, min(each, forwarders - k * each)) for k in range(PROCESSES) if k * each < forwarders]


async def child(*args: object) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(sys.executable, "-m", "bench.fanout", *map(str, args))


def figures(ms: list[float]) -> dict[str, float]:
    if not ms:
        return {}
    return {
        "p50": round(float(np.percentile(ms, 50)), 2),
        "p99": round(float(np.percentile(ms, 99)), 2),
        "last": round(max(ms), 2),
    }


async def play(size: tuple[int, int, int], folder: str, hostiles: int, storm: bool) -> dict[str, Any]:
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
    text = text.replace("forwarders {\n", f"forwarders {{\n  most = {forwarders * 2}\n")
    text = text.replace("every_ms = 500", "every_ms = 1000")
    (Path(folder) / "s.hcl").write_text(text)
    out = Path(folder) / "steward.json"
    command = [sys.executable, "-m", "bench.measured", f"{folder}/s.hcl", str(out)]
    steward = await asyncio.create_subprocess_exec(*command)
    # Every host has its slices before anybody joins, else the first drains find empty ones.
    settle = 6.0 + hosts / 60.0
    await asyncio.sleep(settle / 2)
    seconds = settle + DRAINS * 1.0 + 4.0 + (25.0 if storm else 0.0)
    parts = split(forwarders)
    children = [
        await child("links", port, first, count, hosts, slices, seconds, f"{folder}/{first}.json")
        for first, count in parts
    ]
    if hostiles:
        children.append(await child("hostile", port, forwarders, hostiles, seconds))
    await asyncio.sleep(settle)
    steward.send_signal(signal.SIGUSR1)
    drains = []
    for k in range(DRAINS):
        drains.append((time.monotonic(), k))
        roster.put(k, state="draining")
        await asyncio.sleep(1.0)
    steward.send_signal(signal.SIGUSR1)
    found: dict[str, Any] = {}
    killed = restarted = 0.0
    if storm:
        await asyncio.sleep(0.5)
        steward.kill()
        await steward.wait()
        killed = time.monotonic()
        steward = await asyncio.create_subprocess_exec(*command)
        while time.monotonic() < killed + 60.0:
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.close()
                break
            except (OSError, RuntimeError):
                await asyncio.sleep(0.02)
        restarted = time.monotonic()
    for c in children:
        await c.wait()
    steward.send_signal(signal.SIGTERM)
    await steward.wait()
    log = [tuple(x) for first, _ in parts for x in json.loads(Path(f"{folder}/{first}.json").read_text())]
    delays, last, cost, missed = [], [], [], 0
    for at, h in drains:
        first: dict[int, float] = {}
        for t, link, what, lines in log:
            if what == h and t >= at and (link not in first or t < first[link]):
                first[link] = t
                cost.append(lines)
        missed += forwarders - len(first)
        if first:
            delays += [(t - at) * 1000.0 for t in first.values()]
            last.append((max(first.values()) - at) * 1000.0)
    lines = float(np.median(cost)) if cost else 0.0
    found = {
        "hosts": hosts,
        "forwarders": forwarders,
        "slices": slices,
        "hostile": hostiles,
        "drain_ms": figures(delays),
        "last_forwarder_p50_ms": round(float(np.median(last)), 2) if last else None,
        "drains_not_seen": missed,
        "lines_a_drain": lines,
        "physical_ms": round((lines + 8.0) * 1000.0 / LINES_A_FORWARDER, 2),
    }
    if storm:
        back: dict[int, float] = {}
        for t, link, what, _ in log:
            if what == -1 and t > killed:
                back.setdefault(link, t)
        found["storm"] = {
            "listening_after_ms": round((restarted - killed) * 1000.0),
            "back": len(back),
            "all_hold_tables_after_ms": round((max(back.values()) - killed) * 1000.0) if back else None,
        }
    else:
        phases = json.loads(out.read_text())
        found |= {k: phases[1][k] for k in ("turn_ms", "late_ms", "ack_ms", "resident_mib", "cpu_share")}
        found["ended_links"] = sum(1 for x in log if x[2] == -2) - forwarders
    return found


async def main(names: list[str]) -> None:
    path = RESULTS / "fanout.json"
    kept = json.loads(path.read_text()) if path.exists() else {}
    kept["machine"] = machine()
    for name in names or list(SIZES):
        size = SIZES[name]
        runs = {}
        for kind, hostiles, storm in (("calm", 0, False), ("hostile", size[1] // 10, False), ("storm", 0, True)):
            with tempfile.TemporaryDirectory() as folder:
                runs[kind] = await play(size, folder, hostiles, storm)
            print(name, kind, json.dumps(runs[kind]), flush=True)
        kept[name] = runs
        path.write_text(json.dumps(kept, indent=1) + "\n")


if __name__ == "__main__":
    if sys.argv[1:2] == ["links"]:
        port, first, count, hosts, slices = map(int, sys.argv[2:7])
        uvloop.run(Links(port, first, count, hosts, slices).run(float(sys.argv[7]), sys.argv[8]))
    elif sys.argv[1:2] == ["hostile"]:
        uvloop.run(hostile(int(sys.argv[2]), int(sys.argv[3]), int(sys.argv[4]), float(sys.argv[5])))
    else:
        uvloop.run(main(sys.argv[1:]))
