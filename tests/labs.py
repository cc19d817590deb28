"""Runs of scenarios for tests, each in a process of its own, side by side."""

from __future__ import annotations

import json
import subprocess
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import Any

Run = tuple[int, Path, str]  # exit code, folder of the results, output


def run_scenarios(out: Path, jobs: Iterable[tuple[str, Path, tuple[str, ...]]]) -> dict[str, Run]:
    """Run all jobs (name, scenario file, further options); return when the last has ended."""
    processes = {}
    for name, file, options in jobs:
        command = [sys.executable, "-c", "from corallanding.cli.main import main; main()", "lab", "run", str(file)]
        processes[name] = subprocess.Popen(
            [*command, "--out", str(out / name), *options], stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True
        )
    finished = {}
    for name, process in processes.items():
        output, _ = process.communicate(timeout=200)
        finished[name] = (process.returncode, out / name, output)
    return finished


def rule_verdicts(folder: Path) -> list[Any]:
    """Return for each rule whether it held; None if it was not judged."""
    return [r["kept"] for r in json.loads((folder / "result.json").read_text())["rules"]]
