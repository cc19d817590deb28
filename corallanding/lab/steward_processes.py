"""The controller processes of a run: start, readiness, suspension, kill, upgrade and shutdown."""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from .processes import AdoptedProcess, http_get
from .trace import clock


class StewardProcesses:
    """All controller processes, by number. file_of(stem, number, ending): path of a file of a controller."""

    def __init__(self, http_ports: list[int], publisher: str, file_of: Callable[[str, int, str], Path]) -> None:
        self.http_ports, self.publisher, self.file_of = http_ports, publisher, file_of
        self.running: dict[int, asyncio.subprocess.Process | AdoptedProcess] = {}
        self.ready: set[Any] = set()  # processes that have reported readiness
        self.killed: set[Any] = set()  # processes that a fault has killed

    async def start(self, me: int, life: int) -> None:
        """Start a controller; return when it is ready or killed by a fault. Raises RuntimeError if it fails."""
        config, record = self.file_of("steward", me, ".hcl"), self.file_of("steward", me, f"-{life}.rec")
        command = ["-m", "corallanding.cli.main", "steward", "--config", str(config), "--record", str(record)]
        if self.publisher != "corallanding":
            command = ["-m", "corallanding.lab.standin", self.publisher, str(config), str(record)]
        env = {**os.environ, "PYTHONPATH": os.pathsep.join(p for p in sys.path if p)}
        with open(self.file_of("steward", me, ".log"), "ab") as log:
            process = await asyncio.create_subprocess_exec(sys.executable, *command, stderr=log, env=env)
        self.running[me] = process
        for _ in range(600):
            await asyncio.sleep(0.05)
            if self.running[me] is not process or process in self.killed:
                return  # another fault has killed it and starts it again if that is part of the fault
            try:
                if (await http_get(self.http_ports[me], "/healthz"))[0] == 200:
                    self.ready.add(process)
                    return
            except (OSError, asyncio.IncompleteReadError):
                if process.returncode is not None and process not in self.killed:
                    break
        raise RuntimeError(f"controller {me} did not start: see {self.file_of('steward', me, '.log')}")

    def alive(self, me: int) -> asyncio.subprocess.Process | AdoptedProcess | None:
        """Return the process if it is running."""
        process = self.running.get(me)
        return process if process is not None and process.returncode is None else None

    async def kill(self, me: int) -> bool:
        """Kill a process; return False if it was not running."""
        process = self.alive(me)
        if process is None:
            return False
        self.killed.add(process)
        process.kill()
        await process.wait()
        return True

    async def upgrade(self, control: str) -> float:
        """Upgrade controller 0 by its control socket, as `corallanding upgrade` does; return the ms that it took.

        The new process is not a child of the lab and is known by its process id only.
        """
        begun = clock()
        reader, writer = await asyncio.open_unix_connection(control)
        writer.write(b"upgrade\n")
        answer = (await reader.readline()).decode().strip()
        writer.close()
        if not answer.startswith("ok"):
            raise RuntimeError(f"the upgrade of the controller failed: {answer}")
        await self.running[0].wait()
        self.running[0] = AdoptedProcess(int(answer.rsplit(" ", 1)[1]))
        return clock() - begun

    async def freeze(self, seconds: float, me: int) -> None:
        """Suspend a process for some seconds."""
        if process := self.alive(me):
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)

    async def end(self, me: int) -> None:
        """Send SIGTERM, on which a controller first hands its slices over to others."""
        if process := self.alive(me):
            process.terminate()
            await process.wait()

    async def end_all(self, seconds: float) -> None:
        """Send SIGTERM, and SIGKILL after some seconds, to one process after the other."""
        for me in self.running:
            if process := self.alive(me):
                process.terminate()
                try:
                    await asyncio.wait_for(process.wait(), seconds)
                except TimeoutError:
                    await self.kill(me)

    def set_current_release(self, number: int, stewards: int) -> None:
        """Make release `number` current in all configurations and let running processes read them again.

        A process that is starting reads its file anyway and does not handle signals yet.
        """
        for me in range(stewards):
            path = self.file_of("steward", me, ".hcl")
            path.write_text(re.sub(r"(?m)^  current = \d+$", f"  current = {number}", path.read_text()))
            process = self.alive(me)
            if process is not None and process in self.ready:
                process.send_signal(signal.SIGHUP)

    async def laid(self) -> dict[int, set[int]]:
        """Return the published hosts by slice. Raises OSError if a controller does not respond."""
        tables: dict[int, set[int]] = {}
        for me, port in enumerate(self.http_ports):
            if self.alive(me) is None:
                continue  # not started yet, or removed
            _, page = await http_get(port, "/tables")
            tables |= {int(t): {int(h) for h in row} for t, row in json.loads(page)["tables"].items()}
        return tables
