"""Time from the start of the platform's controller to its first heartbeat reply, by phase, with a share of a core.

    .venv/bin/python -m bench.ready [--restarts 20] [--shares 0.1 0.25 1.0]

Its peers are stand-ins in this process: 200 hosts in the list, 1,600 proxies joined and 1,200 slices of two lines each
in the relay, all of them owned by this controller: the most that one controller ever receives. The share is enforced by
stopping the controller for the rest of each 50 ms. Phases: load (interpreter and imports, until the configuration is
opened), begin (configuration, decider, listening), ask (the first turn, until the controller requests watch events),
settle (until the heartbeat reply). Results go to bench/results/ready.json.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import itertools
import json
import math
import os
import signal
import socket
import statistics
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import msgspec

from .machine import machine

HOSTS, PROXIES, SLICES = 200, 1_600, 1_200
PERIOD_S = 0.05
PHASES = ("load", "begin", "ask", "settle", "all")
EMPTY_WATCH_REPLY = b'{"seq":1,"whole":false,"hosts":[]}'  # no changes
HEARTBEAT_REQUEST = b"*1\r\n$2\r\nhb\r\n"
SETTINGS = {
    "zones": ["a", "b", "c", "d"],
    "kinds": ["std"],
    "zone": 0,
    "balancers": 5,
    "me": 0,
    "discovery": "pushed",
    "period": 2000,
    "classes": [
        {"name": "quote", "idempotency": "repeatable", "aim": 1200000, "giveUp": 3000000, "worth": 3.0},
        {"name": "claim", "idempotency": "once", "aim": 1500000, "giveUp": 5000000, "worth": 2.0},
    ],
    "familyInfo": {
        "keyRanges": SLICES,
        "proxies": PROXIES,
        "reportEvery": 500000,
        "channelRate": 400000.0,
        "mostWaiting": 600000,
        "pushesAllowed": 20,
        "intakePerS": 200,
    },
    "limits": {"mayProbe": True, "dialTimeout": 300000},
    "rules": {"drainGrace": 3000000},
    "loadReport": {"fields": []},
}


def host_row(number: int) -> dict[str, Any]:
    """Return row `number` of the host list."""
    return {
        "host": f"s-{number:08x}",
        "dial": "127.0.0.1:9",
        "site": "abcd"[number % 4],
        "class": "std",
        "block": number // 8,
        "health": "in_service",
        "share": 1.0,
        "born_ms": 0,
    }


def notification(method: str, **params: Any) -> bytes:
    """Return a JSON-RPC notification as a line."""
    return msgspec.json.encode({"jsonrpc": "2.0", "method": method, "params": params}) + b"\n"


class PeerStandIn:
    """Stand-in of relay and agent for a start. `polled_at`: time in seconds of the last request for watch events."""

    def __init__(self) -> None:
        self.polled_at = 0.0
        rows = [
            notification("attach", node=number, locality="abcd"[number % 4], w=2.5, cold=False)
            for number in range(PROXIES)
        ]
        for number in range(SLICES):
            rows.append(notification("owner", shard=number, set=True))
            rows += [
                notification("entry", shard=number, endpoint=f"s-{(number + offset) % HOSTS:08x}", w=1.0)
                for offset in range(2)
            ]
        self.state = b"".join(rows)

    async def relay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Confirm updates; answer any other call with the complete state of the relay."""
        with contextlib.suppress(ConnectionError):
            while request := await reader.readline():
                call = msgspec.json.decode(request)
                head = {"jsonrpc": "2.0", "id": call["id"]}
                if call["method"] == "relay.apply":
                    writer.write(msgspec.json.encode({**head, "result": {"taken": len(call["params"]["ops"])}}) + b"\n")
                    continue
                self.polled_at = time.perf_counter()
                writer.write(msgspec.json.encode({**head, "result": True}) + b"\n" + self.state + notification("ping"))
        writer.close()

    async def agent(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer each request after one second with no changes."""
        loop = asyncio.get_running_loop()
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while await reader.readuntil(b"\r\n\r\n"):
                loop.call_later(
                    1.0,
                    writer.write,
                    b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(EMPTY_WATCH_REPLY) + EMPTY_WATCH_REPLY,
                )
        writer.close()


async def throttle(pid: int, share: float) -> None:
    """Let the process run for its share of each period and stop it for the rest."""
    while share < 1.0:
        os.kill(pid, signal.SIGCONT)
        await asyncio.sleep(PERIOD_S * share)
        os.kill(pid, signal.SIGSTOP)
        await asyncio.sleep(PERIOD_S * (1.0 - share))


async def measure_start(folder: Path, config: dict[str, Any], peers: PeerStandIn, share: float) -> dict[str, float]:
    """Start and kill the controller once; return the duration of each phase in seconds."""
    path = folder / "config.json"
    path.unlink(missing_ok=True)
    os.mkfifo(path)
    begun_at = time.perf_counter()
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "corallanding.platform",
        env={**os.environ, "LB_CONFIG": str(path)},
        stderr=asyncio.subprocess.DEVNULL,
    )
    throttling = asyncio.create_task(throttle(process.pid, share))
    try:
        pipe = await asyncio.to_thread(os.open, path, os.O_WRONLY)
        loaded_at = time.perf_counter()
        await asyncio.to_thread(os.write, pipe, msgspec.json.encode(config))
        os.close(pipe)
        host, _, port = str(config["listen"]).rpartition(":")
        while True:
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                break
            except ConnectionError:
                await asyncio.sleep(0.002)
        listening_at = time.perf_counter()
        writer.write(HEARTBEAT_REQUEST)
        await reader.readuntil(b"hb_ok\r\n")
        alive_at = time.perf_counter()
        writer.close()
    finally:
        throttling.cancel()
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()
    instants = [begun_at, loaded_at, listening_at, peers.polled_at, alive_at]
    return dict(
        zip(
            PHASES,
            [*(after - before for before, after in itertools.pairwise(instants)), alive_at - begun_at],
            strict=True,
        )
    )


def free_address() -> str:
    """Return a free address of the loopback interface."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{listener.getsockname()[1]}"


def summarize(values: list[float]) -> dict[str, float]:
    """Return minimum, median, 90th percentile and maximum."""
    values = sorted(values)
    return {
        "min": values[0],
        "median": statistics.median(values),
        "nine_in_ten": values[math.ceil(0.9 * len(values)) - 1],
        "max": values[-1],
    }


async def measure(shares: list[float], restarts: int) -> dict[str, Any]:
    """Return the figures of each phase by share, of `restarts` starts each."""
    peers = PeerStandIn()
    servers = [await asyncio.start_server(serve, "127.0.0.1", 0) for serve in (peers.relay, peers.agent)]
    relay, agent = (f"127.0.0.1:{server.sockets[0].getsockname()[1]}" for server in servers)
    config = {
        "name": "n0",
        "discovery": agent,
        "store": {"address": relay},
        "seed": "1",
        "settings": SETTINGS,
        "known": {"seq": 1, "whole": True, "hosts": [host_row(number) for number in range(HOSTS)]},
    }
    results: dict[str, Any] = {}
    with tempfile.TemporaryDirectory() as folder:
        for share in shares:
            starts = [
                await measure_start(Path(folder), {**config, "listen": free_address()}, peers, share)
                for _ in range(restarts)
            ]
            results[f"{share:g}"] = {phase: summarize([durations[phase] for durations in starts]) for phase in PHASES}
    return results


def main() -> None:
    """Measure with the options of the command line and write ready.json."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--restarts", type=int, default=20)
    parser.add_argument("--shares", type=float, nargs="+", default=[0.1, 0.25, 1.0])
    args = parser.parse_args()
    results = {"machine": machine(), "restarts": args.restarts, "s": asyncio.run(measure(args.shares, args.restarts))}
    (Path(__file__).parent / "results" / "ready.json").write_text(json.dumps(results, indent=1) + "\n")
    for share, phases in results["s"].items():
        for phase, quantiles in phases.items():
            print(f"{share:>5} {phase:>7} " + " ".join(f"{key} {value:.2f}" for key, value in quantiles.items()))


if __name__ == "__main__":
    main()
