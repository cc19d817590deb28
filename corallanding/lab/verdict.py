"""The results of all audits of a run, as `result.json` holds them, and the files that audits read."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

from . import fences, report, uses, versions, waited
from .audit import Limits, judge
from .scenario import Scenario

FileOf = Callable[[str, int, str], Path]


def limits(s: Scenario) -> Limits:
    """Return the limits of the five rules in a scenario."""
    side_effecting = tuple(k for k, o in enumerate(s.operation.values()) if o.repeat == "side-effecting")
    return Limits(
        s.rules.bare_most_ms,
        s.rules.drain_grace_ms,
        s.rules.drain_binds_alone,
        s.rules.fall_ms,
        s.rules.fall_multiple,
        s.channel.queue_most_lines,
        s.channel.head_lines,
        s.channel.messages_most,
        s.channel.messages_span_ms,
        s.fleet.slices,
        side_effecting,
    )


def verdict(s: Scenario, records: Sequence[Any], begun: float, seed: int, file_of: FileOf) -> dict[str, Any]:
    """Judge a run. file_of(stem, controller, ending): the path of a file that a controller wrote."""

    def paths(stem: str) -> dict[int, Path]:
        return {number: p for number in range(s.numbers) if (p := file_of(stem, number, ".jsonl")).exists()}

    verdicts, duplicated = judge(records, limits(s))
    result = report.summary(records, begun, seed, s.name, verdicts, duplicated, list(s.operation))
    if s.budget:
        result["budgets"] = uses.judge_files(paths("uses").values(), {name: b.whole for name, b in s.budget.items()})
    if s.task or s.task_group:
        result["leases"] = fences.judge_files(paths("acts").values())
    if s.pins:
        names = list(s.operation)
        sets = {r.number: [r.versions[name] for name in names] for r in s.release.values()}
        result["pins"] = versions.judge(records, sets, {r.number: r.carries for r in s.release.values()})
    if s.jobs:
        result["waiting"] = waited.judge_run(records, paths("waits"), waits_of(s), bound_of(s))
    return result


def waits_of(s: Scenario) -> dict[int, tuple[float, float, float]]:
    """Return priority, ms of waiting per unit of priority and longest wait in ms of each request class that waits."""
    return {
        n: (o.waits.priority, o.waits.patience_ms, o.waits.most_ms)
        for n, o in enumerate(s.operation.values())
        if o.waits
    }


def bound_of(s: Scenario) -> float:
    """Return the ms by which a job may be dispatched out of order, as docs/waiting.md states it."""
    kinds = waits_of(s).values()
    ratio = max(k[1] for k in kinds) / min(k[1] for k in kinds)
    drift = 2.0 * s.budgets.drift * max(k[2] for k in kinds)
    return s.waiting.stale_ms + s.waiting.slack_ms * ratio + 100.0 + drift + 2.0 * s.fleet.transit_ms


def audit_files(s: Scenario, file_of: FileOf, number: int) -> tuple[str, str, str, str]:
    """Return the paths of a controller's files: budget uses, task acts, records, dispatched jobs; "" for none."""

    def path(stem: str, ending: str, wanted: bool) -> str:
        return str(file_of(stem, number, ending).resolve()) if wanted else ""

    return (
        path("uses", ".jsonl", bool(s.budget)),
        path("acts", ".jsonl", bool(s.task or s.task_group)),
        path("runs", ".db", bool(s.records)),
        path("waits", ".jsonl", bool(s.jobs)),
    )


def clear(out: Path) -> None:
    """Create the folder of a run; delete the files of a former run."""
    out.mkdir(parents=True, exist_ok=True)
    names = ("store*.db*", "steward*.rec", "steward*.log", "uses*.jsonl", "acts*.jsonl", "runs*", "waits*.jsonl")
    for old in [p for name in names for p in out.glob(name)]:
        old.unlink()
