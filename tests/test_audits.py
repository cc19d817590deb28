"""The audits of budgets, leased tasks and version pinning detect violations and do not judge damaged files."""

from __future__ import annotations

import json
from pathlib import Path

from corallanding.lab import fences, versions
from corallanding.lab.uses import judge_files, most


def test_task_audit_when_holders_overlap_or_tokens_fall_then_counts_them_and_rejects_damaged_files(
    tmp_path: Path,
) -> None:
    rows = [
        ["act", 0.0, 100.0, 7, 1, 11, 5],
        ["act", 90.0, 190.0, 7, 2, 22, 6],
        ["act", 300.0, 400.0, 7, 1, 11, 6],
        ["act", 0.0, 100.0, 8, 1, 11, 5],
        ["took", 1.0, "p", 7, 1, 11, 6, True],
        ["took", 2.0, "p", 7, 1, 11, 5, True],
        ["took", 3.0, "p", 7, 1, 11, 5, False],
    ]
    (tmp_path / "a").write_text("\n".join(json.dumps(r) for r in rows) + '\n["act", 1.0')
    found = fences.judge_files([tmp_path / "a"])
    assert (found["acts"], found["overlaps"], found["falls"], found["shared"]) == (4, 1, 1, 1)
    assert (found["late"], found["refused_by_fence"], found["takeover_ms_p50"]) == (1, 1, 110.0)
    assert found["kind"] == "witnessed"
    (tmp_path / "b").write_text('["act", 1.0\n["act", 0.0, 100.0, 8, 1, 11, 5]\n')
    assert fences.judge_files([tmp_path / "a", tmp_path / "b"])["kind"] == "not judged"


def test_budget_audit_when_capacity_is_exceeded_then_measures_it_and_rejects_damaged_files(tmp_path: Path) -> None:
    uses = [
        (0.0, 100.0, "probes", 7, 1),
        (50.0, 150.0, "probes", 7, 1),
        (90.0, 120.0, "probes", 7, 1),
        (100.0, 200.0, "probes", 8, 3),
    ]
    row = most(uses, {"probes": 2, "moves": 1})[0]
    assert (row["most"], row["over_ms"], row["uses"]) == (3, 110.0, 6), "10 ms on host 7 and 100 on host 8"
    rows = [json.dumps([a, b - a, name, host, n]) for a, b, name, host, n in uses]
    (tmp_path / "a").write_text("\n".join(rows) + "\n" + rows[0][:9])
    assert judge_files([tmp_path / "a"], {"probes": 2})[0]["kind"] == "witnessed", (
        "a killed process may leave a partial last line"
    )
    (tmp_path / "b").write_text(rows[0][:9] + "\n" + rows[1] + "\n")
    assert judge_files([tmp_path / "a", tmp_path / "b"], {"probes": 2})[0]["kind"] == "not judged"


def test_version_audit_when_runs_split_or_migrate_then_tells_them_apart() -> None:
    def ran(run: str, operation: int, version: int, served: list[int]) -> list[object]:
        return ["host 1", 1, 0.0, "ran", 7, 0, 0, run, operation, version, served]

    sets = {1: [1, 1], 2: [2, 2], 3: [3, 2]}
    good = [ran("a", 0, 2, [2]), ran("a", 1, 2, [2]), ran("b", 0, 3, [3]), ran("b", 1, 2, [1, 2])]
    found = versions.judge(good, sets, {})
    assert (found["split_runs"], found["wrong_version"]) == (0, 0)
    bad = [*good, ran("a", 1, 1, [1]), ran("c", 0, 2, [1])]
    found = versions.judge(bad, sets, {})
    assert (found["split_runs"], found["wrong_version"], found["carried_over"]) == (1, 1, 0)
    migrated = versions.judge([*good, ran("a", 1, 1, [1])], sets, {2: [1]})
    assert (migrated["split_runs"], migrated["carried_over"]) == (0, 1), "runs of release 1 may migrate to release 2"
    two_pins = versions.judge([["forwarder 1", 1, 0.0, "pin", "d", "pinned", n, 0] for n in (1, 2)], sets, {})
    assert two_pins["split_runs"] == 1, "two pins of one run"
