"""Runs the controller as a separate process whose log a test reads."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

from sockets import until

START_WITHIN_S = 15


class ControllerProgram:
    """Starts and kills the program with one configuration; it is killed at the end of the `with` block."""

    def __init__(self, folder: Path, configuration: str) -> None:
        self.path = folder / "s.hcl"
        self.path.write_text(configuration)
        self.log = folder / "log"
        self.process: subprocess.Popen[bytes] | None = None
        self.environment: dict[str, str] = {}  # in addition to that of the test

    def __enter__(self) -> ControllerProgram:
        return self

    def __exit__(self, *error: object) -> None:
        self.kill()

    def entries(self, event: str = "") -> list[dict[str, Any]]:
        """Return the log entries of all starts whose event starts with `event`."""
        lines = self.log.read_text().splitlines() if self.log.exists() else []
        entries = [json.loads(line) for line in lines if line.startswith("{")]
        return [entry for entry in entries if entry["event"].startswith(event)]

    def spawn(self) -> None:
        """Start the program."""
        command = [sys.executable, "-m", "corallanding.cli.main", "steward", "--config", str(self.path)]
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(command, stdout=log, stderr=log, env={**os.environ, **self.environment})

    async def start(self, event: str = "ready") -> dict[str, Any]:
        """Start the program; return the first log entry of this start whose event starts with `event`."""
        before = len(self.entries(event))
        self.spawn()
        await until(lambda: len(self.entries(event)) > before, START_WITHIN_S)
        return self.entries(event)[before]

    def kill(self) -> None:
        """Kill the running process, if any."""
        if self.process:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
            self.process = None
