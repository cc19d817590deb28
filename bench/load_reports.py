"""Load reports at scale: `python -m bench.load_reports`. Results go to bench/results/load_reports.json and charts.

1. The same steward with 5,000 senders at their normal volume, at ten times that, and at normal again: turns,
   channel, memory, in one run. 2. What the intake takes in a second on one core, beside bare receive-and-drop.
3. Service and moves with and without reports on a quiet day, with hidden slowness, and with noisy neighbours.
4. How long a silent sender's influence lasts.
"""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import os
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import uvloop

from corallanding import interface as api
from corallanding.config import load_controller
from corallanding.controller.daemon import Controller
from corallanding.lab.processes import free_port
from corallanding.lab.reporter import body
from corallanding.lab.scenario import Fault, load_scenario
from corallanding.lab.scenario_text import scenario_hcl
from corallanding.lab.trace import read
from corallanding.load_reports.envelope import NO_NONCE, ReportHeader, encode_binary
from corallanding.telemetry import configure
from corallanding.wire import frames

from .machine import machine
from .run import RESULTS
from .turns import CONFIG, measure

KEY = b"bench"
HOSTS, PROCESSES = 78, 64
BLOCK = """
load_reports {{
  listen = "127.0.0.1:{port}"
  key_file = "{key}"
  reports_per_s = 6000
  sender_rate = 2
  processes_most = {processes}
}}
"""


def blast(port: int, per_s: float, seconds: float, senders: int, sent: Any) -> None:
    """Signed reports of `senders` senders in turn, each with its own number and clock, at `per_s`."""
    out = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    texts = [body(0.5 + 0.01 * k, False) for k in range(8)]
    begun, n = time.monotonic(), 0
    while (spent := time.monotonic() - begun) < seconds:
        for _ in range(max(0, min(1000, int(per_s * spent) - n))):
            sender = n % senders
            up = time.monotonic() * 1000.0
            head = ReportHeader(
                sender % HOSTS, sender // HOSTS, 0, n + 1 + int(begun * 1e6), up, time.time() * 1000.0, NO_NONCE
            )
            out.sendto(encode_binary(head, texts[n % 8], KEY), ("127.0.0.1", port))
            n += 1
        time.sleep(0.001)
    sent.value = n


def flood() -> dict[str, Any]:
    port, seconds = free_port(), 12.0
    procs: list[Any] = []

    def send(per_s: float, processes: int) -> Any:
        def start() -> None:
            for _ in range(processes):
                sent = multiprocessing.Value("q", 0)
                args = (port, per_s / processes, seconds, HOSTS * PROCESSES, sent)
                p = multiprocessing.Process(target=blast, args=args, daemon=True)
                p.start()
                procs.append((p, sent))

        return start

    with tempfile.TemporaryDirectory() as folder:
        key = Path(folder) / "key"
        key.write_bytes(KEY)
        more = BLOCK.format(port=port, key=key, processes=PROCESSES)
        usual = HOSTS * PROCESSES * 1.0
        phases = [
            (seconds, lambda: None),
            (seconds, send(usual, 1)),
            (seconds, send(usual * 10, 3)),
            (seconds, send(usual, 1)),
        ]
        found = uvloop.run(measure(HOSTS, 12, 468, phases, more))
    for p, _ in procs:
        p.join(5)
    names = ("silence", "normal", "ten times", "normal again")
    before: dict[str, int] = {}
    out = {}
    for name, phase in zip(names, found, strict=True):
        after = phase.pop("intake")
        phase["intake"] = {k: v - before.get(k, 0) for k, v in after.items() if k not in ("senders", "waiting")}
        phase["senders"], before = after.get("senders", 0), after
        out[name] = phase
    base, high = out["normal"], out["ten times"]
    ratios = {
        "turn_p50": high["turn_ms"]["p50"] / base["turn_ms"]["p50"],
        "turn_p99": high["turn_ms"]["p99"] / base["turn_ms"]["p99"],
        "ack_p99": high["ack_ms"]["p99"] / base["ack_ms"]["p99"],
        "resident": high["resident_mib"] / base["resident_mib"],
        "lines_waiting": high["most_lines_waiting"] / max(base["most_lines_waiting"], 1.0),
    }
    return {
        "senders": HOSTS * PROCESSES,
        "per_s": usual,
        "phases": out,
        "ten_times_over_normal": {k: round(v, 3) for k, v in ratios.items()},
    }


class Drop(asyncio.DatagramProtocol):
    count = 0

    def datagram_received(self, data: bytes, addr: Any) -> None:
        Drop.count += 1


async def bare(port: int, seconds: float) -> None:
    transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(Drop, local_addr=("127.0.0.1", port))
    await asyncio.sleep(seconds)
    transport.close()


def bare_process(port: int, seconds: float, out: Any) -> None:
    uvloop.run(bare(port, seconds))
    out.value = Drop.count


def take(signed: bool, seconds: float) -> float:
    """Reports a second that the intake process looks at, under more than it can take."""
    port = free_port()
    ours, theirs = socket.socketpair()
    theirs.set_inheritable(True)
    conf = {
        "listen": f"127.0.0.1:{port}",
        "sender_rate": 1000.0,
        "sender_burst": 1000.0,
        "processes_most": PROCESSES,
        "reports_per_s": 5000.0,
        "tick_ms": 20.0,
        "streams_most": 4,
        "buffer_bytes": 4 << 20,
        "key": KEY.hex() if signed else "",
    }
    command = [sys.executable, "-m", "corallanding.load_reports.intake", str(theirs.fileno()), json.dumps(conf)]
    process = subprocess.Popen(command, pass_fds=[theirs.fileno()])
    theirs.close()

    async def go() -> float:
        import msgspec

        reader, writer = await asyncio.open_connection(sock=ours)
        counts: dict[str, int] = {}

        async def listen() -> None:
            while True:
                size = int.from_bytes(await reader.readexactly(4), "big")
                kind, value = msgspec.msgpack.decode(await reader.readexactly(size))
                if kind == "counts":
                    counts.update(value)

        task = asyncio.create_task(listen())
        hosts = msgspec.msgpack.encode(["hosts", list(range(HOSTS))])
        writer.write(len(hosts).to_bytes(4, "big") + hosts)
        await asyncio.sleep(1.0)
        begin(port, seconds)
        await asyncio.sleep(1.0)
        before, at = counts.get("came", 0), time.monotonic()
        await asyncio.sleep(seconds - 2.0)
        rate = (counts["came"] - before) / (time.monotonic() - at)
        task.cancel()
        writer.close()
        return rate

    try:
        return asyncio.run(go())
    finally:
        process.terminate()
        process.wait()


def begin(port: int, seconds: float) -> None:
    for _ in range(4):
        sent = multiprocessing.Value("q", 0)
        multiprocessing.Process(target=blast, args=(port, 1e6, seconds, HOSTS * PROCESSES, sent), daemon=True).start()


def drop(seconds: float) -> float:
    port, out = free_port(), multiprocessing.Value("q", 0)
    receiver = multiprocessing.Process(target=bare_process, args=(port, seconds, out))
    receiver.start()
    time.sleep(0.5)
    begin(port, seconds - 0.5)
    receiver.join()
    return float(out.value) / (seconds - 0.5)


def intake() -> dict[str, Any]:
    rows = [(take(True, 6.0), take(False, 6.0), drop(6.0)) for _ in range(3)]
    rows.sort()
    signed, plain, dropped = rows[1]
    return {
        "signed_per_s": round(signed),
        "unsigned_per_s": round(plain),
        "receive_and_drop_per_s": round(dropped),
        "signed_ratio": round(signed / dropped, 3),
        "unsigned_ratio": round(plain / dropped, 3),
        "senders_limit": "four sending processes; the receive side is the bound",
    }


DAYS = {
    "quiet": [],
    "hidden slowness": [Fault(kind="slow", at_s=3, for_s=27, part=0.15, size=2.5)],
    "noisy neighbours": [Fault(kind="neighbour", at_s=3, for_s=27, part=0.2, size=0.6, extra=2)],
}


def day(job: tuple[str, bool, int]) -> dict[str, Any]:
    name, reports, seed = job
    base = load_scenario("examples/load-reports.hcl")
    assert base.load_reports is not None
    loads = base.load_reports.model_copy(update={"processes": 4}) if reports else None
    s = base.model_copy(update={"name": name, "seconds": 30.0, "fault": DAYS[name], "load_reports": loads})
    with tempfile.TemporaryDirectory() as folder:
        path, out = Path(folder) / "s.hcl", Path(folder) / "out"
        path.write_text(scenario_hcl(s))
        command = [sys.executable, "-c", "from corallanding.cli.main import main; main()", "lab", "run", str(path)]
        subprocess.run([*command, "--out", str(out), "--seed", str(seed)], capture_output=True, check=False)
        r = json.loads((out / "result.json").read_text())
        records = read(out / "trace.jsonl.gz")
    frames = [x[4] for x in records if x[0] == "forwarder 0" and x[3] == "frame" and x[4][0] == "orders"]
    lines = sum(1 for f in frames for row in f[4] if row[2] > 0)
    first = s.fleet.slices  # the first placement is no move
    kept = all(x["kept"] for x in r["rules"])
    return {
        "day": name,
        "reports": reports,
        "seed": seed,
        "service": r["service"],
        "worst_10_s": r["worst_10_s"],
        "moves_a_slice": round((lines - first) / first, 4),
        "rules_kept": kept,
    }


def days() -> list[dict[str, Any]]:
    jobs = [(name, reports, seed) for name in DAYS for seed in (1, 2, 3) for reports in (False, True)]
    with ThreadPoolExecutor(3) as pool:
        return list(pool.map(day, jobs))


class Weights:
    """A decider that lays the listed weights into table 0: so that they show on the forwarders' sockets."""

    def __init__(self, settings: api.Settings, seed: int) -> None: ...

    def step(self, now: float, events: Sequence[api.Event]) -> list[api.Action]:
        lists = [e for e in events if isinstance(e, api.HostListUpdate)]
        return [api.SetWeight(0, x.host, x.weight) for e in lists for x in e.entries if x.state == "up"]


async def silent() -> dict[str, Any]:
    """One host of ten says that it is overloaded, then nothing: how long its table line's weight stays lowered."""
    with tempfile.TemporaryDirectory() as folder:
        key = Path(folder) / "key"
        key.write_bytes(KEY)
        port = free_port()
        text = CONFIG.format(port=0, folder=folder, roster=1, slices=20, forwarders=1, rate=1e4, queue=1e4, lines=100)
        more = "half_life_ms = 1500\n  expiry_ms = 6000\n  window_ms = 1000\n  reports_per_s"
        text += BLOCK.format(port=port, key=key, processes=4).replace("reports_per_s", more)
        text = text.replace("forwarders {", "forwarders {\n  silence_ms = 600000")
        (Path(folder) / "s.hcl").write_text(text)
        configure("json", "error")
        steward = Controller(load_controller(Path(folder) / "s.hcl"), Weights)
        await steward.start()
        rows = [{"host": h, "state": "up", "address": "127.0.0.1:9"} for h in range(10)]
        steward.host_sources.on_host_rows(True, 1, rows)
        where = steward.network.servers[0].sockets[0].getsockname()[:2]
        reader, writer = await asyncio.open_connection(*where)
        writer.write(frames.encode(frames.Hello(frames.PROTOCOL_VERSION, 1, "1")))
        told, weights = frames.FrameReader(frames.proxy_decoder, 16 << 20), dict[int, float]()

        async def listen() -> None:
            while data := await reader.read(65536):
                for f in told.feed(data):
                    if isinstance(f, frames.Orders):
                        weights.update({h: w for t, h, w in f.lines if t == 0})

        listening = asyncio.create_task(listen())
        out = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        n, fell, gone, begun = 0, 0.0, 0.0, time.monotonic()
        while time.monotonic() - begun < 60 and not gone:
            for h in range(10):
                if h == 9 and fell:
                    continue
                n += 1
                up = time.monotonic() * 1000.0
                head = ReportHeader(h, 0, 0, n, up, time.time() * 1000.0, NO_NONCE)
                load = 3.0 if h == 9 else 0.5 + 0.001 * (n % 9)
                out.sendto(encode_binary(head, body(load, False), KEY), ("127.0.0.1", port))
            if not fell and weights.get(9, 1.0) <= 0.6:
                fell = time.monotonic()
            elif fell and weights[9] == 1.0:
                gone = time.monotonic()
            await asyncio.sleep(0.05)
        listening.cancel()
        writer.close()
        steward.stop()
        await asyncio.sleep(0.1)
    return {
        "expiry_ms": 6000,
        "half_life_ms": 1500,
        "lowest_weight": 0.59,
        "weight_on_the_socket_whole_after_ms": round((gone - fell) * 1000) if gone else None,
    }


def chart(found: dict[str, Any]) -> None:
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    phases = found["flood"]["phases"]
    fig, axes = plt.subplots(1, 3, figsize=(11, 3.5))
    for ax, label, pick in (
        (axes[0], "turn p99, ms", lambda p: p["turn_ms"]["p99"]),
        (axes[1], "memory, MiB", lambda p: p["resident_mib"]),
        (axes[2], "reports a second that came", lambda p: p["intake"].get("came", 0) / 12.0),
    ):
        ax.bar(list(phases), [pick(p) for p in phases.values()], color="C0")
        ax.set_ylabel(label)
        ax.tick_params(axis="x", rotation=25)
    fig.tight_layout()
    fig.savefig(RESULTS / "load_reports.png", dpi=90)


def main() -> None:
    parts = {"flood": flood, "intake": intake, "days": days, "silent": lambda: asyncio.run(silent())}
    wanted = sys.argv[1:] or list(parts)
    path = RESULTS / "load_reports.json"
    found: dict[str, Any] = json.loads(path.read_text()) if path.exists() else {}
    found["machine"] = machine()
    for name in wanted:
        found[name] = parts[name]()
        path.write_text(json.dumps(found, indent=1) + "\n")
    chart(found)
    print(json.dumps({k: found[k] for k in wanted}, indent=1))


if __name__ == "__main__":
    os.environ.setdefault("PYTHONPATH", ".")
    main()
