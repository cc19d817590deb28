"""Several controllers as processes with faults between them: budgets, leased tasks, version pinning and jobs."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from labs import Run, rule_verdicts, run_scenarios

from corallanding.lab.trace import read

HERE = Path(__file__).parent
EXAMPLES = HERE.parent / "examples"
pytestmark = pytest.mark.processes


@pytest.fixture(scope="module")
def runs(tmp_path_factory: pytest.TempPathFactory) -> dict[str, Run]:
    """Run the scenarios two or three at a time, because each starts many processes that must meet their deadlines."""
    out, done = tmp_path_factory.mktemp("stewards"), dict[str, Run]()
    batches = (("budgets", "leases"), ("pinned-runs", "waiting_upgrade", "waiting"), ("registry_leases", "fleet-day"))
    for batch in batches:
        files = [(n, (HERE if "_" in n else EXAMPLES) / f"{n}.hcl", ()) for n in batch]
        done |= run_scenarios(out, files)
    return done


def test_five_controllers_when_links_and_processes_fail_then_budgets_are_kept(runs: dict[str, Any]) -> None:
    """Guard against more rights in use than a budget allows.

    Faults: a partition of two from three, also in one direction; suspension beyond every lease; kills, immediate
    restarts, lost and duplicated datagrams; one controller joins and one leaves.
    """
    code, folder, output = runs["budgets"]
    assert code == 0 and rule_verdicts(folder) == [True] * 5, output
    result = json.loads((folder / "result.json").read_text())
    assert result["lives"] == 9
    assert result["doubles"] == 0
    rows = {r["name"]: r for r in result["budgets"]}
    assert set(rows) == {"probes", "cold_slices", "moves", "emptied"}
    for row in rows.values():
        assert row["kind"] == "witnessed" and row["over_ms"] == 0 and row["most"] <= row["whole"], row
    assert rows["probes"]["uses"] > 10 and rows["moves"]["uses"] > 20, rows
    # Health checks that the hosts received, from any controller: a right is in use for a second and the stated drift.
    received_at: dict[str, list[float]] = {}
    for r in read(folder / "trace.jsonl.gz"):
        if r[3] == "probe":
            received_at.setdefault(r[0], []).append(r[2])
    assert sum(map(len, received_at.values())) <= rows["probes"]["uses"]
    assert all(b - a >= 950.0 for times in received_at.values() for a, b in zip(times, times[2:], strict=False))
    log = "".join((folder / f"steward{k}.log").read_text() for k in range(6))
    for text in ('"state": "dead"', '"state": "left"', "quota leadership gained", "quota exhausted"):
        assert text in log, text


def test_five_controllers_when_links_and_processes_fail_then_each_task_has_one_holder(runs: dict[str, Any]) -> None:
    """Guard against two holders that act on one task at the same time, and against fencing tokens that decrease.

    Faults: a partition of two from three, also in one direction; suspension beyond every lease; kills, immediate
    restarts; one controller joins and one leaves; finally all restart.
    """
    code, folder, output = runs["leases"]
    assert code == 0 and rule_verdicts(folder) == [True] * 5, output
    result = json.loads((folder / "result.json").read_text())
    found = result["leases"]
    assert found["kind"] == "witnessed"
    assert result["doubles"] == result["lines_lost"] == 0
    assert (found["overlaps"], found["falls"], found["shared"], found["late"]) == (0, 0, 0, 0), found
    assert found["acts"] > 2_000 and found["takeovers"] > 65, found
    log = "".join((folder / f"steward{k}.log").read_text() for k in range(6))
    for text in ('"change": "taken up"', '"change": "given up"', '"change": "lost"', "task leadership gained"):
        assert text in log, text


def test_leases_when_the_leader_is_elected_in_the_registry_then_each_task_has_one_holder(runs: dict[str, Any]) -> None:
    """The registry's revisions are the terms of the leader.

    Faults: lost datagrams, one controller suspended beyond every lease, one killed, finally all restarted.
    """
    code, folder, output = runs["registry_leases"]
    assert code == 0 and rule_verdicts(folder) == [True] * 5, output
    found = json.loads((folder / "result.json").read_text())["leases"]
    assert (found["overlaps"], found["falls"], found["shared"], found["late"]) == (0, 0, 0, 0), found
    assert found["kind"] == "witnessed" and found["acts"] > 1_000 and found["takeovers"] > 65, found


def test_runs_when_releases_change_and_controllers_fail_then_keep_their_versions(runs: dict[str, Any]) -> None:
    """Guard against runs whose requests mix the versions of two releases.

    A rolling deployment, a release that is rolled forward, back and forward, and a third one in place. Faults:
    partitions in both directions and in one, suspension beyond every lease, kills, restarts faster than their
    detection, finally a restart of all at once.
    """
    code, folder, output = runs["pinned-runs"]
    assert code == 0 and rule_verdicts(folder) == [True] * 5, output
    result = json.loads((folder / "result.json").read_text())
    found = result["pins"]
    assert (found["split_runs"], found["wrong_version"], result["doubles"]) == (0, 0, 0), found
    assert found["runs"] > 300 and found["ends"]["ok"] > 0.6 * found["steps"] and len(found["sets_used"]) >= 2, found
    log = "".join((folder / f"steward{k}.log").read_text() for k in range(5))
    for text in ('"set 2 opened"', '"set 1 opened"', '"set 2 closed"', '"set 1 closed"'):
        assert text in log, text


def test_jobs_when_links_and_controllers_fail_then_are_dispatched_once_and_in_order(runs: dict[str, Any]) -> None:
    """Guard against jobs that are lost, dispatched twice or overtaken by more than the stated bound.

    Two request classes differ in priority and aging. Faults: links of proxies drop; controllers are partitioned,
    suspended, killed and restarted.
    """
    code, folder, output = runs["waiting"]
    assert code == 0 and rule_verdicts(folder) == [True] * 5, output
    result = json.loads((folder / "result.json").read_text())
    found = result["waiting"]
    assert found["kind"] == "witnessed"
    assert result["doubles"] == 0
    assert (found["doubled"], found["lost"], found["inversions_over_bound"]) == (0, 0, 0), found
    assert found["released"] > 300 and found["ends"].get("twin", 0) > 20, found
    assert found["longest_wait_ms"] < 40_000 + found["bound_ms"], found


def test_queued_jobs_when_controller_is_upgraded_then_proxies_submit_them_again(runs: dict[str, Any]) -> None:
    """The new process does not know the queued jobs; it takes over the records file and the ages of proxy processes."""
    code, folder, output = runs["waiting_upgrade"]
    assert code == 0 and rule_verdicts(folder) == [True] * 5, output
    result = json.loads((folder / "result.json").read_text())
    found = result["waiting"]
    assert result["lives"] == 3
    assert result["doubles"] == 0
    assert found["released"] > 150
    assert (found["doubled"], found["lost"], found["inversions_over_bound"]) == (0, 0, 0) and found["still"] < 60, found


def test_tasks_runs_and_jobs_when_combined_in_a_rolling_deployment_then_are_all_kept(runs: dict[str, Any]) -> None:
    code, folder, output = runs["fleet-day"]
    assert code == 0 and rule_verdicts(folder) == [True] * 5, output
    result = json.loads((folder / "result.json").read_text())
    tasks, pins, waiting = result["leases"], result["pins"], result["waiting"]
    assert result["doubles"] == 0
    assert waiting["kind"] == tasks["kind"] == "witnessed"
    assert (tasks["overlaps"], pins["split_runs"], pins["wrong_version"]) == (0, 0, 0), (tasks, pins)
    assert (waiting["doubled"], waiting["lost"], waiting["inversions_over_bound"]) == (0, 0, 0), waiting
    assert pins["runs"] > 200 and waiting["released"] > 200 and waiting["of_runs"] > 50, (pins, waiting)
