"""The stewards of a run as programs: started, asked whether they are well, stopped, killed, handed over, ended."""

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
    """doors: of each by its number. named(stem, number, ending): a file of a steward."""

    def __init__(self, doors: list[int], publisher: str, named: Callable[[str, int, str], Path]) -> None:
        self.doors, self.publisher, self.named = doors, publisher, named
        self.running: dict[int, asyncio.subprocess.Process | AdoptedProcess] = {}
        self.well: set[Any] = set()  # processes that have said that they are ready
        self.killed: set[Any] = set()  # processes that a fault has ended

    async def start(self, me: int, life: int) -> None:
        """Returns once it is ready, or another fault has ended it. Raises RuntimeError if it does not start."""
        config, record = self.named("steward", me, ".hcl"), self.named("steward", me, f"-{life}.rec")
        command = ["-m", "corallanding.cli.main", "steward", "--config", str(config), "--record", str(record)]
        if self.publisher != "corallanding":
            command = ["-m", "corallanding.lab.standin", self.publisher, str(config), str(record)]
        env = {**os.environ, "PYTHONPATH": os.pathsep.join(p for p in sys.path if p)}
        with open(self.named("steward", me, ".log"), "ab") as log:
            process = await asyncio.create_subprocess_exec(sys.executable, *command, stderr=log, env=env)
        self.running[me] = process
        for _ in range(600):
            await asyncio.sleep(0.05)
            if self.running[me] is not process or process in self.killed:
                return  # another fault has ended it meanwhile, and starts it again where that is its way
            try:
                if (await http_get(self.doors[me], "/healthz"))[0] == 200:
                    self.well.add(process)
                    return
            except (OSError, asyncio.IncompleteReadError):
                if process.returncode is not None and process not in self.killed:
                    break
        raise RuntimeError(f"the steward did not start: see {self.named('steward', me, '.log')}")

    def alive(self, me: int) -> asyncio.subprocess.Process | AdoptedProcess | None:
        process = self.running.get(me)
        return process if process is not None and process.returncode is None else None

    async def kill(self, me: int) -> bool:
        """False if it was dead already."""
        process = self.alive(me)
        if process is None:
            return False
        self.killed.add(process)
        process.kill()
        await process.wait()
        return True

    async def upgrade(self, control: str) -> float:
        """As `corallanding upgrade` does: by the control socket. The process that took over is followed by number. ms
        that it took."""
        begun = clock()
        reader, writer = await asyncio.open_unix_connection(control)
        writer.write(b"upgrade\n")
        answer = (await reader.readline()).decode().strip()
        writer.close()
        if not answer.startswith("ok"):
            raise RuntimeError(f"the steward was not handed over: {answer}")
        await self.running[0].wait()
        self.running[0] = AdoptedProcess(int(answer.rsplit(" ", 1)[1]))
        return clock() - begun

    async def freeze(self, seconds: float, me: int) -> None:
        if process := self.alive(me):
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)

    async def end(self, me: int) -> None:
        """SIGTERM: its slices go to others first."""
        if process := self.alive(me):
            process.terminate()
            await process.wait()

    async def end_all(self, seconds: float) -> None:
        """SIGTERM, and after that time SIGKILL, one after the other."""
        for me in self.running:
            if process := self.alive(me):
                process.terminate()
                try:
                    await asyncio.wait_for(process.wait(), seconds)
                except TimeoutError:
                    await self.kill(me)

    def want(self, number: int, stewards: int) -> None:
        """That set is to be current: configurations are read again. One that starts reads its own anyway, and does not
        yet hear signals."""
        for me in range(stewards):
            path = self.named("steward", me, ".hcl")
            path.write_text(re.sub(r"(?m)^  current = \d+$", f"  current = {number}", path.read_text()))
            process = self.alive(me)
            if process is not None and process in self.well:
                process.send_signal(signal.SIGHUP)

    async def laid(self) -> dict[int, set[int]]:
        """Tables as the stewards have them. Raises OSError if one does not answer."""
        tables: dict[int, set[int]] = {}
        for me, door in enumerate(self.doors):
            if self.alive(me) is None:
                continue  # not there yet, or gone for good
            _, page = await http_get(door, "/tables")
            tables |= {int(t): {int(h) for h in row} for t, row in json.loads(page)["tables"].items()}
        return tables
