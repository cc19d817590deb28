"""The audit of leased tasks: whether two holders ever acted at once, and whether fencing tokens increase.

Imports nothing of what it judges. An act is (begin, end, task, controller, process, token), times in ms of one clock
shared by all recorders; its end is its begin plus the stated longest time of an act. A taking is (at, place, task,
controller, process, token, accepted): a place that receives acts has checked the token.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from .uses import for_each_row

Act = tuple[float, float, int, int, int, int]
Taking = tuple[float, str, int, int, int, int, bool]


def judge(acts: Iterable[Act], takings: Iterable[Taking] = ()) -> dict[str, Any]:
    """Count violations and measure takeovers.

    overlaps: pairs of acts of two processes on one task at one instant. falls: changes of a task's holder at which the
    token did not increase. shared: tokens under which two processes acted. late: acts that a place accepted after one
    with a higher token. takeover_ms: from the end of one process's last act to the next one's first.
    """
    acts_by_task: dict[int, list[Act]] = defaultdict(list)
    for act in acts:
        acts_by_task[act[2]].append(act)
    result: dict[str, Any] = {"acts": 0, "overlaps": 0, "falls": 0, "shared": 0, "late": 0, "refused_by_fence": 0}
    gaps: list[float] = []
    for rows in acts_by_task.values():
        rows.sort()
        result["acts"] += len(rows)
        holder_by_token: dict[int, tuple[int, int]] = {}
        ends: dict[tuple[int, int], float] = {}
        last: Act | None = None
        for act in rows:
            begin, end, _, controller, process, token = act
            holder = (controller, process)
            result["overlaps"] += sum(begin < until for other, until in ends.items() if other != holder)
            if holder_by_token.setdefault(token, holder) != holder:
                result["shared"] += 1
            if last and (last[3], last[4]) != holder:
                result["falls"] += token <= last[5]
                gaps.append(begin - max(ends.values()))
            ends[holder] = max(end, ends.get(holder, end))
            last = act
    highest: dict[tuple[str, int], int] = {}
    for _, place, task, _, _, token, is_accepted in sorted(takings):
        if not is_accepted:
            result["refused_by_fence"] += 1
        elif token < highest.get((place, task), 0):
            result["late"] += 1
        else:
            highest[place, task] = token
    gaps.sort()
    result["takeovers"] = len(gaps)
    for name, q in (("p50", 0.5), ("p99", 0.99)):
        result[f"takeover_ms_{name}"] = round(gaps[min(len(gaps) - 1, int(q * len(gaps)))], 1) if gaps else 0.0
    return result


def read_acts(path: Path) -> tuple[list[Act], list[Taking], bool]:
    """Return the acts and takings that a controller recorded, and whether the file is intact."""
    acts: list[Act] = []
    takings: list[Taking] = []

    def take(kind: str, *row: Any) -> None:
        if kind == "act":
            begin, end, task, controller, process, token = row
            acts.append((float(begin), float(end), int(task), int(controller), int(process), int(token)))
        elif kind == "took":
            at, place, task, controller, process, token, is_accepted = row
            numbers = (int(task), int(controller), int(process), int(token))
            takings.append((float(at), str(place), *numbers, bool(is_accepted)))

    is_intact = for_each_row(path, take)
    return acts, takings, is_intact


def judge_files(paths: Iterable[Path]) -> dict[str, Any]:
    """Return the result of `judge` with `kind`: "witnessed", or "not judged" if a file is damaged."""
    acts: list[Act] = []
    takings: list[Taking] = []
    are_intact = True
    for path in paths:
        file_acts, file_takings, is_intact = read_acts(path)
        acts = acts + file_acts
        takings = takings + file_takings
        are_intact = are_intact and is_intact
    return {**judge(acts, takings), "kind": "witnessed" if are_intact else "not judged"}
