"""The audit of budgets: the most units in use at any instant, from the recorded uses. Imports nothing of the product.

A use is (begin, end, budget, subject, units), times in ms of one clock shared by all recorders. A subject is what the
budget applies to, for instance a host.
"""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from pathlib import Path
from typing import Any

Use = tuple[float, float, str, int, int]


def most(uses: Iterable[Use], capacities: Mapping[str, int]) -> list[dict[str, Any]]:
    """Return one row per budget. capacities: of each budget, in units.

    `most`: units in use at one instant on the worst subject. `over_ms`: time above the capacity, summed over subjects.
    `used_share`: mean share of the capacity in use while anything of a subject was in use. A use that ends at the
    instant at which another begins does not overlap it.
    """
    edges: dict[tuple[str, int], list[tuple[float, int]]] = defaultdict(list)
    for begin, end, name, subject, units in uses:
        edges[name, subject] += [(begin, units), (end, -units)]
    empty = {"most": 0, "over_ms": 0.0, "used_share": 0.0, "uses": 0}
    rows: dict[str, dict[str, Any]] = {
        name: {"name": name, "whole": capacity, **empty} for name, capacity in capacities.items()
    }
    area, busy = dict.fromkeys(capacities, 0.0), dict.fromkeys(capacities, 0.0)
    for (name, _), points in edges.items():
        row, level, since = rows[name], 0, 0.0
        for t, change in sorted(points):
            if level > 0:
                area[name] += level * (t - since)
                busy[name] += t - since
            if level > capacities[name]:
                row["over_ms"] += t - since
            level, since = level + change, t
            row["most"] = max(row["most"], level)
            row["uses"] += max(0, change)
    for name, row in rows.items():
        row["used_share"] = round(area[name] / (busy[name] * capacities[name]), 4) if busy[name] else 0.0
        row["over_ms"] = round(row["over_ms"], 3)
    return list(rows.values())


def for_each_row(path: Path, take: Callable[..., None]) -> bool:
    """Pass each row of a file to `take`; return whether the file is intact.

    A damaged last line is accepted, because a controller that is killed may leave one. take: raises ValueError or
    TypeError on an invalid row.
    """
    lines = path.read_bytes().split(b"\n")
    for number, line in enumerate(lines):
        if not line:
            continue
        try:
            take(*json.loads(line))
        except (ValueError, TypeError):
            if number < len(lines) - 1:
                return False
    return True


def read_uses(path: Path) -> tuple[list[Use], bool]:
    """Return the uses that a controller recorded, and whether the file is intact."""
    uses: list[Use] = []

    def take(begin: float, duration: float, name: str, subject: int, units: int) -> None:
        uses.append((float(begin), float(begin) + float(duration), str(name), int(subject), int(units)))

    return uses, for_each_row(path, take)


def judge_files(paths: Iterable[Path], capacities: Mapping[str, int]) -> list[dict[str, Any]]:
    """Return the rows of `most`, each with `kind`: "witnessed", or "not judged" if a file is damaged."""
    uses: list[Use] = []
    are_intact = True
    for path in paths:
        found, is_intact = read_uses(path)
        uses = uses + found
        are_intact = are_intact and is_intact
    return [{**row, "kind": "witnessed" if are_intact else "not judged"} for row in most(uses, capacities)]
