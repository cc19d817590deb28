"""What all audits say of a run, as `result.json` has it."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

from . import fences, report, uses, versions, waited
from .audit import Limits, judge
from .scenario import Scenario

Named = Callable[[str, int, str], Path]


def limits(s: Scenario) -> Limits:
    unsafe = tuple(k for k, o in enumerate(s.operation.values()) if o.repeat == "side-effecting")
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
        unsafe,
    )


def verdict(s: Scenario, records: Sequence[Any], begun: float, seed: int, named: Named) -> dict[str, Any]:
    """named(stem, steward, ending): where a steward's witness wrote."""

    def paths(stem: str) -> dict[int, Path]:
        return {me: p for me in range(s.numbers) if (p := named(stem, me, ".jsonl")).exists()}

    verdicts, doubled = judge(records, limits(s))
    result = report.summary(records, begun, seed, s.name, verdicts, doubled, list(s.operation))
    if s.budget:
        result["budgets"] = uses.judged(paths("uses").values(), {name: b.whole for name, b in s.budget.items()})
    if s.task or s.task_group:
        result["leases"] = fences.judged(paths("acts").values())
    if s.pins:
        names = list(s.operation)
        sets = {r.number: [r.versions[name] for name in names] for r in s.release.values()}
        result["pins"] = versions.judge(records, sets, {r.number: r.carries for r in s.release.values()})
    if s.jobs:
        result["waiting"] = waited.judged(records, paths("waits"), waits_of(s), bound_of(s))
    return result


def waits_of(s: Scenario) -> dict[int, tuple[float, float, float]]:
    """Operations that wait, by number: priority, patience, the longest."""
    return {
        n: (o.waits.priority, o.waits.patience_ms, o.waits.most_ms)
        for n, o in enumerate(s.operation.values())
        if o.waits
    }


def bound_of(s: Scenario) -> float:
    """ms by which a job may go too early, as docs/waiting.md states it."""
    kinds = waits_of(s).values()
    ratio = max(k[1] for k in kinds) / min(k[1] for k in kinds)
    drift = 2.0 * s.budgets.drift * max(k[2] for k in kinds)
    return s.waiting.stale_ms + s.waiting.slack_ms * ratio + 100.0 + drift + 2.0 * s.fleet.transit_ms


def witnesses(s: Scenario, named: Named, me: int) -> tuple[str, str, str, str]:
    """Files of a steward: uses of budgets, acts on tasks, its records, releases of waiting work; "" for none."""

    def path(stem: str, ending: str, wanted: bool) -> str:
        return str(named(stem, me, ending).resolve()) if wanted else ""

    return (
        path("uses", ".jsonl", bool(s.budget)),
        path("acts", ".jsonl", bool(s.task or s.task_group)),
        path("runs", ".db", bool(s.records)),
        path("waits", ".jsonl", bool(s.jobs)),
    )


def clear(out: Path) -> None:
    """What a former run has left in its folder."""
    out.mkdir(parents=True, exist_ok=True)
    names = ("store*.db*", "steward*.rec", "steward*.log", "uses*.jsonl", "acts*.jsonl", "runs*", "waits*.jsonl")
    for old in [p for name in names for p in out.glob(name)]:
        old.unlink()
