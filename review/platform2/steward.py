"""A real steward, started with the command `run` of the deploy file."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import tomllib
from pathlib import Path
from typing import TYPE_CHECKING, Any

from .hosts import free_port

if TYPE_CHECKING:
    from .world import World

ROOT = Path(__file__).resolve().parents[2]


def resp(*words: str) -> bytes:
    """Return a RESP2 array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(w.encode()), w.encode()) for w in words)


class Steward:
    """The process of one steward, the collectors that report to it, and its configuration."""

    def __init__(self, world: World, me: int) -> None:
        self.world = world
        self.me = me
        self.folder = world.folder / f"n{me}"
        self.folder.mkdir()
        self.port = free_port()
        self.process: asyncio.subprocess.Process | None = None
        self.ready_at: float | None = None  # when it first answered after its last start
        self.has_ended_unasked = False
        self.collectors: dict[str, asyncio.StreamWriter] = {}
        self.starts = 0

    def write_configuration(self, known: dict[str, Any]) -> Path:
        """Write the configuration file, with the list of hosts as the steward last had it."""
        world = self.world
        self.starts += 1
        value = {
            "name": f"n{self.me}",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": world.agents[self.me].address,
            "seed": f"{hash((world.seed, self.me, self.starts)) & 0xFFFFFFFF:016x}",
            "limits": {"cores": 1.0, "memory_mb": world.site.memory_mb, "sockets": world.site.sockets},
            "store": {"address": world.relays[self.me].address},
            "known": known,
            "settings": world.site.settings(self.me),
        }
        path = self.folder / "config.json"
        fresh = path.with_suffix(".new")
        fresh.write_text(json.dumps(value))
        fresh.replace(path)
        return path

    async def start(self, known: dict[str, Any]) -> None:
        """Start the process, wait until it answers, and connect the collectors."""
        path = self.write_configuration(known)
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {
            **os.environ,
            "LB_NAME": f"n{self.me}",
            "LB_LISTEN": f"127.0.0.1:{self.port}",
            "LB_DISCOVERY": self.world.agents[self.me].address,
            "LB_CONFIG": str(path),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        log = (self.folder / "log.txt").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self.world.record.add(f"steward n{self.me} started, process {self.process.pid}")
        self.world.spawn(self._watch_end(self.process))
        await self._wait_until_ready()

    async def _watch_end(self, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        self.world.record.add(f"steward n{self.me} ended with {code}")
        if process is self.process and not self.world.is_over:
            self.has_ended_unasked = True
            self.world.judge.breach("crash", f"n{self.me} ended by itself with {code}")

    async def _wait_until_ready(self) -> None:
        deadline = self.world.now() + 30_000.0
        while self.world.now() < deadline:
            if await self.heartbeat(1.0) is not None:
                self.ready_at = self.world.now()
                self.world.record.add(f"steward n{self.me} answers")
                return
            await asyncio.sleep(0.05)
        self.world.judge.breach("crash", f"n{self.me} was not ready within 30 s")

    async def heartbeat(self, timeout_s: float) -> float | None:
        """Return the time that the answer to a heartbeat took in s; None if none came."""
        began = self.world.now()
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                try:
                    writer.write(resp("hb"))
                    await reader.readexactly(len(resp("hb_ok")))
                finally:
                    writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return None
        return (self.world.now() - began) / 1000.0

    async def connect_collectors(self) -> None:
        """Connect a collector for each zone."""
        for zone in self.world.zones:
            _, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(resp("telemetry", "locality", zone))
            self.collectors[zone] = writer

    def report(self, zone: str, words: list[str]) -> None:
        """Send a report by the collector of a zone."""
        writer = self.collectors.get(zone)
        if writer and not writer.transport.is_closing():
            writer.write(resp(*words))

    def kill(self, number: signal.Signals = signal.SIGKILL) -> None:
        """Send a signal that ends the process."""
        process, self.process = self.process, None
        self.ready_at = None
        for writer in self.collectors.values():
            writer.close()
        self.collectors = {}
        if process and process.returncode is None:
            self.world.record.add(f"steward n{self.me} gets {number.name}")
            process.send_signal(number)

    def hang_up(self) -> None:
        """Send SIGHUP."""
        if self.process and self.process.returncode is None:
            self.world.record.add(f"steward n{self.me} gets SIGHUP")
            self.process.send_signal(signal.SIGHUP)
