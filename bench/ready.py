"""How long the platform's steward takes from its start to its first sign of life, by phase, on a share of a core.

    .venv/bin/python -m bench.ready [--restarts 20] [--shares 0.1 0.25 1.0]

Its peers are stand-ins of this process: 200 hosts in the list, 1,600 proxies joined and 1,200 slices of two lines each
in the relay, all of it this steward's: the most that one is ever told. The share is kept by stopping the steward for
the rest of each 50 ms. Phases: load (interpreter and imports, up to opening the configuration), begin (configuration,
module, listening), ask (the first turn, up to asking for news), settle (up to the sign of life). Results go to
bench/results/ready.json.
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
PERIOD = 0.05  # s
PHASES = ("load", "begin", "ask", "settle", "all")
NEWS = b'{"seq":1,"whole":false,"hosts":[]}'  # none
HB = b"*1\r\n$2\r\nhb\r\n"
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


def row(n: int) -> dict[str, Any]:
    return {
        "host": f"s-{n:08x}",
        "dial": "127.0.0.1:9",
        "site": "abcd"[n % 4],
        "class": "std",
        "block": n // 8,
        "health": "in_service",
        "share": 1.0,
        "born_ms": 0,
    }


def line(method: str, **params: Any) -> bytes:
    return msgspec.json.encode({"jsonrpc": "2.0", "method": method, "params": params}) + b"\n"


class Peers:
    """Relay and agent, as far as a start needs them. asked: when news was last asked for."""

    def __init__(self) -> None:
        self.asked = 0.0
        rows = [line("attach", node=n, locality="abcd"[n % 4], w=2.5, cold=False) for n in range(PROXIES)]
        for n in range(SLICES):
            rows.append(line("owner", shard=n, set=True))
            rows += [line("entry", shard=n, endpoint=f"s-{(n + k) % HOSTS:08x}", w=1.0) for k in range(2)]
        self.stands = b"".join(rows)

    async def relay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError):
            while said := await reader.readline():
                call = msgspec.json.decode(said)
                head = {"jsonrpc": "2.0", "id": call["id"]}
                if call["method"] == "relay.apply":
                    writer.write(msgspec.json.encode({**head, "result": {"taken": len(call["params"]["ops"])}}) + b"\n")
                    continue
                self.asked = time.perf_counter()
                writer.write(msgspec.json.encode({**head, "result": True}) + b"\n" + self.stands + line("ping"))
        writer.close()

    async def agent(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while await reader.readuntil(b"\r\n\r\n"):
                loop.call_later(1.0, writer.write, b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(NEWS) + NEWS)
        writer.close()


async def throttle(pid: int, share: float) -> None:
    """Lets the process run for its share of each period."""
    while share < 1.0:
        os.kill(pid, signal.SIGCONT)
        await asyncio.sleep(PERIOD * share)
        os.kill(pid, signal.SIGSTOP)
        await asyncio.sleep(PERIOD * (1.0 - share))


async def start(folder: Path, config: dict[str, Any], peers: Peers, share: float) -> dict[str, float]:
    """One start; seconds by phase."""
    path = folder / "config.json"
    path.unlink(missing_ok=True)
    os.mkfifo(path)
    begun = time.perf_counter()
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
        loaded = time.perf_counter()
        await asyncio.to_thread(os.write, pipe, msgspec.json.encode(config))
        os.close(pipe)
        host, _, port = str(config["listen"]).rpartition(":")
        while True:
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                break
            except ConnectionError:
                await asyncio.sleep(0.002)
        listening = time.perf_counter()
        writer.write(HB)
        await reader.readuntil(b"hb_ok\r\n")
        alive = time.perf_counter()
        writer.close()
    finally:
        throttling.cancel()
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()
    marks = [begun, loaded, listening, peers.asked, alive]
    return dict(zip(PHASES, [*(b - a for a, b in itertools.pairwise(marks)), alive - begun], strict=True))


def free() -> str:
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{s.getsockname()[1]}"


def figures(s: list[float]) -> dict[str, float]:
    s = sorted(s)
    return {"min": s[0], "median": statistics.median(s), "nine_in_ten": s[math.ceil(0.9 * len(s)) - 1], "max": s[-1]}


async def measure(shares: list[float], restarts: int) -> dict[str, Any]:
    peers = Peers()
    servers = [await asyncio.start_server(serve, "127.0.0.1", 0) for serve in (peers.relay, peers.agent)]
    relay, agent = (f"127.0.0.1:{s.sockets[0].getsockname()[1]}" for s in servers)
    config = {
        "name": "n0",
        "discovery": agent,
        "store": {"address": relay},
        "seed": "1",
        "settings": SETTINGS,
        "known": {"seq": 1, "whole": True, "hosts": [row(n) for n in range(HOSTS)]},
    }
    found: dict[str, Any] = {}
    with tempfile.TemporaryDirectory() as folder:
        for share in shares:
            starts = [await start(Path(folder), {**config, "listen": free()}, peers, share) for _ in range(restarts)]
            found[f"{share:g}"] = {phase: figures([one[phase] for one in starts]) for phase in PHASES}
    return found


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--restarts", type=int, default=20)
    parser.add_argument("--shares", type=float, nargs="+", default=[0.1, 0.25, 1.0])
    told = parser.parse_args()
    found = {"machine": machine(), "restarts": told.restarts, "s": asyncio.run(measure(told.shares, told.restarts))}
    (Path(__file__).parent / "results" / "ready.json").write_text(json.dumps(found, indent=1) + "\n")
    for share, phases in found["s"].items():
        for phase, s in phases.items():
            print(f"{share:>5} {phase:>7} " + " ".join(f"{key} {value:.2f}" for key, value in s.items()))


if __name__ == "__main__":
    main()
