"""Load reports at scale: `python -m bench.load_reports`. Results go to bench/results/load_reports.json and .png.

1. One controller with 5,000 senders at their normal rate, at ten times that, and at normal again: turns, channel and
   memory, in one run. 2. Reports per second that the intake processes on one core, beside a bare receive-and-drop.
3. Service and moves with and without reports on a quiet day, with hidden slowness, and with noisy neighbours.
4. How long a sender that stopped keeps its influence.
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
LOAD_REPORTS_BLOCK = """
load_reports {{
  listen = "127.0.0.1:{port}"
  key_file = "{key}"
  reports_per_s = 6000
  sender_rate = 2
  processes_most = {processes}
}}
"""


def send_reports(port: int, reports_per_second: float, seconds: float, sender_count: int, total_sent: Any) -> None:
    """Send signed reports, of the senders in turn; each report has its own sequence number and time."""
    sender_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bodies = [body(0.5 + 0.01 * index, False) for index in range(8)]
    begun_at, sent_count = time.monotonic(), 0
    while (elapsed_s := time.monotonic() - begun_at) < seconds:
        for _ in range(max(0, min(1000, int(reports_per_second * elapsed_s) - sent_count))):
            sender = sent_count % sender_count
            uptime_ms = time.monotonic() * 1000.0
            header = ReportHeader(
                sender % HOSTS,
                sender // HOSTS,
                0,
                sent_count + 1 + int(begun_at * 1e6),
                uptime_ms,
                time.time() * 1000.0,
                NO_NONCE,
            )
            sender_socket.sendto(encode_binary(header, bodies[sent_count % 8], KEY), ("127.0.0.1", port))
            sent_count += 1
        time.sleep(0.001)
    total_sent.value = sent_count


def measure_rates() -> dict[str, Any]:
    """Return the figures of a controller at each rate of reports, and the ratios of ten times over normal."""
    port, seconds = free_port(), 12.0
    sending_processes: list[Any] = []

    def send(per_s: float, processes: int) -> Any:
        """Return a function that starts this many sending processes."""

        def start() -> None:
            """Start the sending processes."""
            for _ in range(processes):
                sent = multiprocessing.Value("q", 0)
                args = (port, per_s / processes, seconds, HOSTS * PROCESSES, sent)
                process = multiprocessing.Process(target=send_reports, args=args, daemon=True)
                process.start()
                sending_processes.append((process, sent))

        return start

    with tempfile.TemporaryDirectory() as folder:
        key = Path(folder) / "key"
        key.write_bytes(KEY)
        extra_config = LOAD_REPORTS_BLOCK.format(port=port, key=key, processes=PROCESSES)
        normal_per_second = HOSTS * PROCESSES * 1.0
        phases = [
            (seconds, lambda: None),
            (seconds, send(normal_per_second, 1)),
            (seconds, send(normal_per_second * 10, 3)),
            (seconds, send(normal_per_second, 1)),
        ]
        figures = uvloop.run(measure(HOSTS, 12, 468, phases, extra_config))
    for process, _ in sending_processes:
        process.join(5)
    names = ("silence", "normal", "ten times", "normal again")
    before: dict[str, int] = {}
    results = {}
    for name, phase in zip(names, figures, strict=True):
        after = phase.pop("intake")
        phase["intake"] = {
            key: count - before.get(key, 0) for key, count in after.items() if key not in ("senders", "waiting")
        }
        phase["senders"], before = after.get("senders", 0), after
        results[name] = phase
    normal, tenfold = results["normal"], results["ten times"]
    ratios = {
        "turn_p50": tenfold["turn_ms"]["p50"] / normal["turn_ms"]["p50"],
        "turn_p99": tenfold["turn_ms"]["p99"] / normal["turn_ms"]["p99"],
        "ack_p99": tenfold["ack_ms"]["p99"] / normal["ack_ms"]["p99"],
        "resident": tenfold["resident_mib"] / normal["resident_mib"],
        "lines_waiting": tenfold["most_lines_waiting"] / max(normal["most_lines_waiting"], 1.0),
    }
    return {
        "senders": HOSTS * PROCESSES,
        "per_s": normal_per_second,
        "phases": results,
        "ten_times_over_normal": {key: round(ratio, 3) for key, ratio in ratios.items()},
    }


class DroppingProtocol(asyncio.DatagramProtocol):
    """Receiver that counts datagrams and drops them."""

    count = 0

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Count the datagram."""
        DroppingProtocol.count += 1


async def receive_and_drop(port: int, seconds: float) -> None:
    """Receive and drop datagrams for `seconds`."""
    transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
        DroppingProtocol, local_addr=("127.0.0.1", port)
    )
    await asyncio.sleep(seconds)
    transport.close()


def run_bare_receiver(port: int, seconds: float, received_count: Any) -> None:
    """Run the bare receiver and write its count to `received_count`."""
    uvloop.run(receive_and_drop(port, seconds))
    received_count.value = DroppingProtocol.count


def measure_intake_rate(signed: bool, seconds: float) -> float:
    """Return the reports per second that the intake process reads while more arrive than it can read."""
    port = free_port()
    ours, theirs = socket.socketpair()
    theirs.set_inheritable(True)
    settings = {
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
    command = [sys.executable, "-m", "corallanding.load_reports.intake", str(theirs.fileno()), json.dumps(settings)]
    process = subprocess.Popen(command, pass_fds=[theirs.fileno()])
    theirs.close()

    async def measure_rate() -> float:
        """Send hosts to the intake, flood it and return the rate of its counter."""
        import msgspec

        reader, writer = await asyncio.open_connection(sock=ours)
        counts: dict[str, int] = {}

        async def listen() -> None:
            """Update the counters from messages of the intake."""
            while True:
                size = int.from_bytes(await reader.readexactly(4), "big")
                kind, value = msgspec.msgpack.decode(await reader.readexactly(size))
                if kind == "counts":
                    counts.update(value)

        task = asyncio.create_task(listen())
        hosts = msgspec.msgpack.encode(["hosts", list(range(HOSTS))])
        writer.write(len(hosts).to_bytes(4, "big") + hosts)
        await asyncio.sleep(1.0)
        start_senders(port, seconds)
        await asyncio.sleep(1.0)
        count_before, begun_at = counts.get("came", 0), time.monotonic()
        await asyncio.sleep(seconds - 2.0)
        reports_per_second = (counts["came"] - count_before) / (time.monotonic() - begun_at)
        task.cancel()
        writer.close()
        return reports_per_second

    try:
        return asyncio.run(measure_rate())
    finally:
        process.terminate()
        process.wait()


def start_senders(port: int, seconds: float) -> None:
    """Start four processes that send as fast as they can."""
    for _ in range(4):
        sent = multiprocessing.Value("q", 0)
        multiprocessing.Process(
            target=send_reports, args=(port, 1e6, seconds, HOSTS * PROCESSES, sent), daemon=True
        ).start()


def measure_bare_rate(seconds: float) -> float:
    """Return the datagrams per second that the bare receiver reads under the same load."""
    port, received_count = free_port(), multiprocessing.Value("q", 0)
    receiver = multiprocessing.Process(target=run_bare_receiver, args=(port, seconds, received_count))
    receiver.start()
    time.sleep(0.5)
    start_senders(port, seconds - 0.5)
    receiver.join()
    return float(received_count.value) / (seconds - 0.5)


def measure_intake() -> dict[str, Any]:
    """Return the median of three runs of signed and unsigned intake beside the bare receiver."""
    rows = [(measure_intake_rate(True, 6.0), measure_intake_rate(False, 6.0), measure_bare_rate(6.0)) for _ in range(3)]
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


SCENARIO_FAULTS = {
    "quiet": [],
    "hidden slowness": [Fault(kind="slow", at_s=3, for_s=27, part=0.15, size=2.5)],
    "noisy neighbours": [Fault(kind="neighbour", at_s=3, for_s=27, part=0.2, size=0.6, extra=2)],
}


def run_scenario(job: tuple[str, bool, int]) -> dict[str, Any]:
    """Run one scenario in the lab and return its row of results. `job`: scenario, with reports or not, seed."""
    name, reports, seed = job
    base = load_scenario("examples/load-reports.hcl")
    assert base.load_reports is not None
    load_reports = base.load_reports.model_copy(update={"processes": 4}) if reports else None
    scenario = base.model_copy(
        update={"name": name, "seconds": 30.0, "fault": SCENARIO_FAULTS[name], "load_reports": load_reports}
    )
    with tempfile.TemporaryDirectory() as folder:
        path, output_path = Path(folder) / "s.hcl", Path(folder) / "out"
        path.write_text(scenario_hcl(scenario))
        command = [sys.executable, "-c", "from corallanding.cli.main import main; main()", "lab", "run", str(path)]
        subprocess.run([*command, "--out", str(output_path), "--seed", str(seed)], capture_output=True, check=False)
        result = json.loads((output_path / "result.json").read_text())
        records = read(output_path / "trace.jsonl.gz")
    frames = [
        record[4]
        for record in records
        if record[0] == "forwarder 0" and record[3] == "frame" and record[4][0] == "orders"
    ]
    lines = sum(1 for frame in frames for row in frame[4] if row[2] > 0)
    initial_lines = scenario.fleet.slices  # lines of the first placement, which are not moves
    is_each_rule_kept = all(rule["kept"] for rule in result["rules"])
    return {
        "day": name,
        "reports": reports,
        "seed": seed,
        "service": result["service"],
        "worst_10_s": result["worst_10_s"],
        "moves_a_slice": round((lines - initial_lines) / initial_lines, 4),
        "rules_kept": is_each_rule_kept,
    }


def run_scenarios() -> list[dict[str, Any]]:
    """Return the rows of all scenarios, seeds 1 to 3, with and without reports."""
    jobs = [(name, reports, seed) for name in SCENARIO_FAULTS for seed in (1, 2, 3) for reports in (False, True)]
    with ThreadPoolExecutor(3) as executor:
        return list(executor.map(run_scenario, jobs))


class HostWeightPublisher:
    """A decider that writes the weights of the host list into table 0, so that proxies receive them."""

    def __init__(self, settings: api.Settings, seed: int) -> None: ...

    def step(self, now: float, events: Sequence[api.Event]) -> list[api.Action]:
        """Return the weights of listed hosts that are up."""
        lists = [event for event in events if isinstance(event, api.HostListUpdate)]
        return [
            api.SetWeight(0, entry.host, entry.weight)
            for update in lists
            for entry in update.entries
            if entry.state == "up"
        ]


async def measure_silent_sender() -> dict[str, Any]:
    """Return how long a table line keeps a lowered weight.

    One host of ten reports overload until its weight falls, then stops reporting.
    """
    with tempfile.TemporaryDirectory() as folder:
        key = Path(folder) / "key"
        key.write_bytes(KEY)
        port = free_port()
        text = CONFIG.format(port=0, folder=folder, roster=1, slices=20, forwarders=1, rate=1e4, queue=1e4, lines=100)
        overrides = "half_life_ms = 1500\n  expiry_ms = 6000\n  window_ms = 1000\n  reports_per_s"
        text += LOAD_REPORTS_BLOCK.format(port=port, key=key, processes=4).replace("reports_per_s", overrides)
        text = text.replace("forwarders {", "forwarders {\n  silence_ms = 600000")
        (Path(folder) / "s.hcl").write_text(text)
        configure("json", "error")
        controller = Controller(load_controller(Path(folder) / "s.hcl"), HostWeightPublisher)
        await controller.start()
        rows = [{"host": host, "state": "up", "address": "127.0.0.1:9"} for host in range(10)]
        controller.host_sources.on_host_rows(True, 1, rows)
        address = controller.network.servers[0].sockets[0].getsockname()[:2]
        reader, writer = await asyncio.open_connection(*address)
        writer.write(frames.encode(frames.Hello(frames.PROTOCOL_VERSION, 1, "1")))
        frame_reader, weights = frames.FrameReader(frames.proxy_decoder, 16 << 20), dict[int, float]()

        async def listen() -> None:
            """Record the weights that the proxy receives."""
            while data := await reader.read(65536):
                for frame in frame_reader.feed(data):
                    if isinstance(frame, frames.Orders):
                        weights.update({host: weight for slice_id, host, weight in frame.lines if slice_id == 0})

        listening = asyncio.create_task(listen())
        sender_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sequence, fell_at, restored_at, begun_at = 0, 0.0, 0.0, time.monotonic()
        while time.monotonic() - begun_at < 60 and not restored_at:
            for host in range(10):
                if host == 9 and fell_at:
                    continue
                sequence += 1
                uptime_ms = time.monotonic() * 1000.0
                header = ReportHeader(host, 0, 0, sequence, uptime_ms, time.time() * 1000.0, NO_NONCE)
                load = 3.0 if host == 9 else 0.5 + 0.001 * (sequence % 9)
                sender_socket.sendto(encode_binary(header, body(load, False), KEY), ("127.0.0.1", port))
            if not fell_at and weights.get(9, 1.0) <= 0.6:
                fell_at = time.monotonic()
            elif fell_at and weights[9] == 1.0:
                restored_at = time.monotonic()
            await asyncio.sleep(0.05)
        listening.cancel()
        writer.close()
        controller.stop()
        await asyncio.sleep(0.1)
    return {
        "expiry_ms": 6000,
        "half_life_ms": 1500,
        "lowest_weight": 0.59,
        "weight_on_the_socket_whole_after_ms": round((restored_at - fell_at) * 1000) if restored_at else None,
    }


def chart(results: dict[str, Any]) -> None:
    """Draw turn time, memory and rate of reports by phase."""
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    phases = results["flood"]["phases"]
    fig, axes = plt.subplots(1, 3, figsize=(11, 3.5))
    for ax, label, value_of in (
        (axes[0], "turn p99, ms", lambda phase: phase["turn_ms"]["p99"]),
        (axes[1], "memory, MiB", lambda phase: phase["resident_mib"]),
        (axes[2], "reports a second that came", lambda phase: phase["intake"].get("came", 0) / 12.0),
    ):
        ax.bar(list(phases), [value_of(phase) for phase in phases.values()], color="C0")
        ax.set_ylabel(label)
        ax.tick_params(axis="x", rotation=25)
    fig.tight_layout()
    fig.savefig(RESULTS / "load_reports.png", dpi=90)


def main() -> None:
    """Run the parts that are named on the command line, or all, and update the results."""
    parts = {
        "flood": measure_rates,
        "intake": measure_intake,
        "days": run_scenarios,
        "silent": lambda: asyncio.run(measure_silent_sender()),
    }
    names = sys.argv[1:] or list(parts)
    path = RESULTS / "load_reports.json"
    results: dict[str, Any] = json.loads(path.read_text()) if path.exists() else {}
    results["machine"] = machine()
    for name in names:
        results[name] = parts[name]()
        path.write_text(json.dumps(results, indent=1) + "\n")
    chart(results)
    print(json.dumps({name: results[name] for name in names}, indent=1))


if __name__ == "__main__":
    os.environ.setdefault("PYTHONPATH", ".")
    main()
