"""All measurements of the running controller: `make bench`. Results go to bench/results/steward.json."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

from . import link, turns
from .machine import machine

RESULTS = Path(__file__).parent / "results"


def run_scenario(seed: int, publisher: str, output_path: Path) -> dict[str, Any]:
    """Run the scenario examples/bad-day.hcl in the lab, with its output in `output_path`, and return its result."""
    command = [sys.executable, "-c", "from corallanding.cli.main import main; main()", "lab", "run"]
    command += ["examples/bad-day.hcl", "--out", str(output_path), "--seed", str(seed), "--publisher", publisher]
    subprocess.run(command, check=False, stdout=subprocess.DEVNULL)
    return dict(json.loads((output_path / "result.json").read_text()))


def run_scenarios(seeds: range) -> list[dict[str, Any]]:
    """Return a row of results for each seed, with corallanding and with plain hashing as publisher."""
    rows = []
    with tempfile.TemporaryDirectory() as folder:
        for seed in seeds:
            for publisher in ("corallanding", "hashing"):
                result = run_scenario(seed, publisher, Path(folder) / f"{seed}-{publisher}")
                rows.append(
                    {
                        "seed": seed,
                        "publisher": publisher,
                        "service": result["service"],
                        "worst_10_s": result["worst_10_s"],
                        "doubles": result["doubles"],
                        "rules_kept": sum(rule["kept"] is True for rule in result["rules"]),
                    }
                )
    return rows


def main() -> None:
    """Run all measurements and write the results."""
    RESULTS.mkdir(exist_ok=True)
    results = {
        "machine": machine(),
        "turns": turns.run(20.0),
        "link": link.run(3.0),
        "bad_day": run_scenarios(range(1, 4)),
    }
    (RESULTS / "steward.json").write_text(json.dumps(results, indent=1) + "\n")
    print(json.dumps(results, indent=1))


if __name__ == "__main__":
    main()
