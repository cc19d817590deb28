"""Several stewards as processes, with faults between them: budgets, tasks, runs, waiting work, and a day of all."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from labs import Run, played, rules

from corallanding.lab.trace import read

HERE = Path(__file__).parent
EXAMPLES = HERE.parent / "examples"
pytestmark = pytest.mark.processes


@pytest.fixture(scope="module")
def runs(tmp_path_factory: pytest.TempPathFactory) -> dict[str, Run]:
    """Two or three at a time: each starts many processes at once, and their times are to be kept."""
    out, done = tmp_path_factory.mktemp("stewards"), dict[str, Run]()
    waves = (("budgets", "leases"), ("pinned-runs", "waiting_upgrade", "waiting"), ("registry_leases", "fleet-day"))
    for wave in waves:
        files = [(n, (HERE if "_" in n else EXAMPLES) / f"{n}.hcl", ()) for n in wave]
        done |= played(out, files)
    return done


def test_five_stewards_keep_their_budgets_whatever_fails_between_them(runs: dict[str, Any]) -> None:
    """Cut two to three, one way, stopped past any lease, killed, restarted at once, words lost and repeated, one new,
    one gone: the five rules hold, and at no instant is more in use than the whole."""
    code, folder, said = runs["budgets"]
    assert code == 0 and rules(folder) == [True] * 5, said
    result = json.loads((folder / "result.json").read_text())
    assert result["lives"] == 9
    assert result["doubles"] == 0
    rows = {r["name"]: r for r in result["budgets"]}
    assert set(rows) == {"probes", "cold_slices", "moves", "emptied"}
    for row in rows.values():
        assert row["kind"] == "witnessed" and row["over_ms"] == 0 and row["most"] <= row["whole"], row
    assert rows["probes"]["uses"] > 10 and rows["moves"]["uses"] > 20, rows
    # What the hosts themselves saw, whoever asked: a right stays in use for a second and the stated drift.
    asked: dict[str, list[float]] = {}
    for r in read(folder / "trace.jsonl.gz"):
        if r[3] == "probe":
            asked.setdefault(r[0], []).append(r[2])
    assert sum(map(len, asked.values())) <= rows["probes"]["uses"]
    assert all(b - a >= 950.0 for times in asked.values() for a, b in zip(times, times[2:], strict=False))
    log = "".join((folder / f"steward{k}.log").read_text() for k in range(6))
    for word in ('"state": "dead"', '"state": "left"', "quota leadership gained", "quota exhausted"):
        assert word in log, word


def test_five_stewards_have_one_holder_a_task_whatever_fails_between_them(runs: dict[str, Any]) -> None:
    """Cut two to three, one way, stopped past any lease, killed, restarted at once, one new, one gone, then all anew:
    at no instant do two act on one task, and fences rise through all of it."""
    code, folder, said = runs["leases"]
    assert code == 0 and rules(folder) == [True] * 5, said
    result = json.loads((folder / "result.json").read_text())
    found = result["leases"]
    assert found["kind"] == "witnessed"
    assert result["doubles"] == result["lines_lost"] == 0
    assert (found["overlaps"], found["falls"], found["shared"], found["late"]) == (0, 0, 0, 0), found
    assert found["acts"] > 2_000 and found["takeovers"] > 65, found
    log = "".join((folder / f"steward{k}.log").read_text() for k in range(6))
    for word in ('"change": "taken up"', '"change": "given up"', '"change": "lost"', "task leadership gained"):
        assert word in log, word


def test_an_office_in_the_registry_gives_one_holder_a_task_and_fences_that_rise(runs: dict[str, Any]) -> None:
    """Words lost, one stopped past every lease, one killed, all anew; the registry's revisions are its terms."""
    code, folder, said = runs["registry_leases"]
    assert code == 0 and rules(folder) == [True] * 5, said
    found = json.loads((folder / "result.json").read_text())["leases"]
    assert (found["overlaps"], found["falls"], found["shared"], found["late"]) == (0, 0, 0, 0), found
    assert found["kind"] == "witnessed" and found["acts"] > 1_000 and found["takeovers"] > 65, found


def test_runs_keep_their_versions_through_releases_and_everything_between_five_stewards(runs: dict[str, Any]) -> None:
    """A rolling deploy, a release forward, back, forward, and a third in place; cut both ways and one way, stopped past
    any lease, killed, started anew faster than anyone notices, then all at once."""
    code, folder, said = runs["pinned-runs"]
    assert code == 0 and rules(folder) == [True] * 5, said
    result = json.loads((folder / "result.json").read_text())
    found = result["pins"]
    assert (found["split_runs"], found["wrong_version"], result["doubles"]) == (0, 0, 0), found
    assert found["runs"] > 300 and found["ends"]["ok"] > 0.6 * found["steps"] and len(found["sets_used"]) >= 2, found
    log = "".join((folder / f"steward{k}.log").read_text() for k in range(5))
    for word in ('"set 2 opened"', '"set 1 opened"', '"set 2 closed"', '"set 1 closed"'):
        assert word in log, word


def test_waiting_work_goes_in_one_order_whatever_fails_between_five_stewards(runs: dict[str, Any]) -> None:
    """Two operations of other priority and patience; links of forwarders drop, stewards are cut, stopped, killed,
    started anew: nothing goes twice or is lost, and what goes before its place does so within the stated bound."""
    code, folder, said = runs["waiting"]
    assert code == 0 and rules(folder) == [True] * 5, said
    result = json.loads((folder / "result.json").read_text())
    found = result["waiting"]
    assert found["kind"] == "witnessed"
    assert result["doubles"] == 0
    assert (found["doubled"], found["lost"], found["inversions_over_bound"]) == (0, 0, 0), found
    assert found["released"] > 300 and found["ends"].get("twin", 0) > 20, found
    assert found["longest_wait_ms"] < 40_000 + found["bound_ms"], found


def test_jobs_that_wait_are_handed_in_again_when_their_steward_is_handed_over(runs: dict[str, Any]) -> None:
    """The new process knows nothing of them; the file of records and the ages of forwarders' processes go over."""
    code, folder, said = runs["waiting_upgrade"]
    assert code == 0 and rules(folder) == [True] * 5, said
    result = json.loads((folder / "result.json").read_text())
    found = result["waiting"]
    assert result["lives"] == 3
    assert result["doubles"] == 0
    assert found["released"] > 150
    assert (found["doubled"], found["lost"], found["inversions_over_bound"]) == (0, 0, 0) and found["still"] < 60, found


def test_a_day_of_all_three_in_a_rolling_deploy(runs: dict[str, Any]) -> None:
    code, folder, said = runs["fleet-day"]
    assert code == 0 and rules(folder) == [True] * 5, said
    result = json.loads((folder / "result.json").read_text())
    tasks, pins, waiting = result["leases"], result["pins"], result["waiting"]
    assert result["doubles"] == 0
    assert waiting["kind"] == tasks["kind"] == "witnessed"
    assert (tasks["overlaps"], pins["split_runs"], pins["wrong_version"]) == (0, 0, 0), (tasks, pins)
    assert (waiting["doubled"], waiting["lost"], waiting["inversions_over_bound"]) == (0, 0, 0), waiting
    assert pins["runs"] > 200 and waiting["released"] > 200 and waiting["of_runs"] > 50, (pins, waiting)
