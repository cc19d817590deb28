"""All measurements of the running steward: `make bench`. Results go to bench/results/steward.json and .md."""

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


def day(seed: int, publisher: str, out: Path) -> dict[str, Any]:
    command = [sys.executable, "-c", "from corallanding.cli.main import main; main()", "lab", "run"]
    command += ["examples/bad-day.hcl", "--out", str(out), "--seed", str(seed), "--publisher", publisher]
    subprocess.run(command, check=False, stdout=subprocess.DEVNULL)
    return dict(json.loads((out / "result.json").read_text()))


def days(seeds: range) -> list[dict[str, Any]]:
    rows = []
    with tempfile.TemporaryDirectory() as folder:
        for seed in seeds:
            for publisher in ("corallanding", "hashing"):
                r = day(seed, publisher, Path(folder) / f"{seed}-{publisher}")
                rows.append(
                    {
                        "seed": seed,
                        "publisher": publisher,
                        "service": r["service"],
                        "worst_10_s": r["worst_10_s"],
                        "doubles": r["doubles"],
                        "rules_kept": sum(x["kept"] is True for x in r["rules"]),
                    }
                )
    return rows


def main() -> None:
    RESULTS.mkdir(exist_ok=True)
    found = {"machine": machine(), "turns": turns.run(20.0), "link": link.run(3.0), "bad_day": days(range(1, 4))}
    (RESULTS / "steward.json").write_text(json.dumps(found, indent=1) + "\n")
    print(json.dumps(found, indent=1))


if __name__ == "__main__":
    main()
