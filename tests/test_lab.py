"""Tests of the lab: the real controller keeps the rules, the audit detects faulty deciders and damaged traces."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import numpy as np
import pytest
from labs import rule_verdicts, run_scenarios
from typer.testing import CliRunner

from corallanding.cli.main import app
from corallanding.config import ConfigError
from corallanding.lab.audit import RULES, Limits, judge
from corallanding.lab.commands import lab
from corallanding.lab.runner import Lab
from corallanding.lab.scenario import KINDS, PEER_FAULTS, Fault, load_scenario
from corallanding.lab.scenario_day import from_day
from corallanding.lab.scenario_text import scenario_hcl
from corallanding.lab.trace import read
from corallanding.lab.verdict import limits

HERE = Path(__file__).parent
SABOTAGE_SCENARIO = HERE / "sabotage.hcl"
KINDS_WITHOUT_BENCH_DAY = ("drain", "steward_kill", "roster_down", "store_down", *PEER_FAULTS)
BROKEN_RULE = {"barer": 0, "doubler": 1, "clinger": 2, "pusher": 3, "flooder": 4}


pytestmark = pytest.mark.processes


@pytest.fixture(scope="module")
def runs(tmp_path_factory: pytest.TempPathFactory) -> dict[str, tuple[int, Path, str]]:
    """Run the same scenario with the real decider and with each faulty one, and the scenarios of single tests."""
    out, finished = tmp_path_factory.mktemp("runs"), dict[str, tuple[int, Path, str]]()
    # In batches: a dozen labs at once leave each too little processor time to meet its deadlines.
    for batch in (("hard", "corallanding"), ("three-stewards", "reports"), tuple(BROKEN_RULE)):
        jobs = []
        for name in batch:
            uses_sabotage_scenario = name in ("corallanding", *BROKEN_RULE)
            scenario_folder = HERE.parent / "examples" if name == "three-stewards" else HERE
            options = ("--lift-limits",) if name == "flooder" else ()
            file, publisher = (
                (SABOTAGE_SCENARIO, name)
                if uses_sabotage_scenario
                else (scenario_folder / f"{name}.hcl", "corallanding")
            )
            jobs.append((name, file, ("--publisher", publisher, *options)))
        finished |= run_scenarios(out, jobs)
    return finished


def test_real_controller_when_scenario_runs_then_keeps_the_rules_and_writes_results(runs: dict[str, Any]) -> None:
    code, folder, output = runs["corallanding"]
    assert code == 0 and rule_verdicts(folder) == [True] * 5, output
    result = json.loads((folder / "result.json").read_text())
    assert {"seed", "invocations", "succeeded", "service", "doubles", "rules"} <= set(result)
    assert result["invocations"] > 300
    assert result["doubles"] == 0
    assert "kept" in (folder / "result.md").read_text()
    for chart in ("service", "load", "channel", "publish"):
        assert (folder / f"{chart}.png").read_bytes()[:4] == b"\x89PNG"


def test_controller_when_killed_during_moves_and_stalls_then_keeps_the_rules(runs: dict[str, Any]) -> None:
    """Slices move while requests run on their old host, and proxies stall and reconnect with old tables.

    The controller is killed while only some proxies have received a message; then the host list and the store fail.
    """
    code, folder, output = runs["hard"]
    assert code == 0 and rule_verdicts(folder) == [True] * 5, output
    result = json.loads((folder / "result.json").read_text())
    assert result["doubles"] == 0
    assert result["lives"] == 2
    assert result["lines_lost"] == 0
    records = read(folder / "trace.jsonl.gz")
    running: dict[int, tuple[str, int]] = {}
    moves_with_requests = stalled_disconnects = 0
    ran: dict[int, int] = {}
    for r in records:
        if r[3] == "run" and r[8] == 1:
            running[r[4]] = (r[0], r[9])
            ran[r[4]] = ran.get(r[4], 0) + 1
        elif r[3] == "done":
            running.pop(r[4], None)
        elif r[3] == "frame" and r[4][0] == "orders":
            gone = {(f"host {h}", s) for s, h, w in r[4][4] if w == 0}
            moves_with_requests += sum(at in gone for at in running.values())
        elif r[3] == "left" and r[0] in ("forwarder 1", "forwarder 3"):
            stalled_disconnects += 1
    assert moves_with_requests > 0
    assert stalled_disconnects >= 2
    assert max(ran.values()) == 1
    log = (folder / "steward.log").read_text()
    assert '"why": "silent"' in log
    assert "store does not write" in log
    assert "store writes again" in log
    for life in (1, 2):
        assert CliRunner().invoke(app, ["replay", str(folder / f"steward-{life}.rec")]).exit_code == 0


def test_three_controllers_when_one_and_the_registry_fail_then_each_slice_has_one_owner(runs: dict[str, Any]) -> None:
    """One controller is killed and restarted, the registry is down for a while, hosts drain and crash.

    By what proxies received, no slice has two owners, no table line is lost and no request runs twice.
    """
    code, folder, output = runs["three-stewards"]
    assert code == 0 and rule_verdicts(folder) == [True] * 5, output
    result = json.loads((folder / "result.json").read_text())
    assert result["lives"] == 4
    assert result["doubles"] == 0
    assert result["lines_lost"] == 0
    records = read(folder / "trace.jsonl.gz")
    owner: dict[int, int] = {}
    moved, senders = 0, set()
    for r in records:
        if r[0] != "forwarder 0" or r[3] != "frame":
            continue
        frame, k = r[4], r[5]
        if frame[0] == "tables":
            for s, _ in frame[2]:
                moved += owner.get(s, k) != k
                owner[s] = k
                senders.add(k)
        else:
            for s, _, _ in frame[4]:
                assert owner.get(s) == k, f"slice {s} is owned by controller {owner.get(s)}, but {k} sent a line of it"
    assert moved > 20
    assert senders == {0, 1, 2}


def test_controller_when_load_reports_are_faulty_then_keeps_the_rules(runs: dict[str, Any]) -> None:
    """Load reports flood in, are an hour old, false, missing, lost or of skewed clocks; a kill happens in the flood."""
    code, folder, output = runs["reports"]
    assert code == 0 and rule_verdicts(folder) == [True] * 5, output
    result = json.loads((folder / "result.json").read_text())
    counts = result["load_reports"]
    assert result["lives"] == 2
    assert result["doubles"] == 0
    for end in ("counted", "forged", "unknown", "doubtful"):
        assert counts[end] > 0, counts
    log = [json.loads(line) for line in (folder / "steward.log").read_text().splitlines()]
    lowered = {host for line in log if line["event"] == "load factors" for host in line["factors"]}
    assert "3" not in lowered, "reports that are an hour old lower no host"
    assert (folder / "reports.png").exists()
    for life in (1, 2):
        assert CliRunner().invoke(app, ["replay", str(folder / f"steward-{life}.rec")]).exit_code == 0


@pytest.mark.parametrize("name", BROKEN_RULE)
def test_audit_when_a_decider_breaks_one_rule_then_reports_it(runs: dict[str, Any], name: str) -> None:
    code, folder, output = runs[name]
    assert code == 1 and rule_verdicts(folder)[BROKEN_RULE[name]] is False, output


def test_replay_when_recording_is_changed_then_reports_the_difference(runs: dict[str, Any], tmp_path: Path) -> None:
    _, folder, _ = runs["corallanding"]
    run, path = CliRunner(), folder / "steward-1.rec"
    invoked = run.invoke(app, ["replay", str(path)])
    assert invoked.exit_code == 0
    assert "no difference" in invoked.output
    data = path.read_bytes()
    truncated = tmp_path / "torn.rec"
    truncated.write_bytes(data[:-7])
    invoked = run.invoke(app, ["replay", str(truncated)])
    assert invoked.exit_code == 0
    assert "torn off" in invoked.output
    changed = tmp_path / "changed.rec"
    changed.write_bytes(data.replace(b"\xa7SetLine\x83\xa5slice\x00", b"\xa7SetLine\x83\xa5slice\x01", 1))
    assert changed.read_bytes() != data
    invoked = run.invoke(app, ["replay", str(changed)])
    assert invoked.exit_code == 1
    assert "action" in invoked.output
    assert "recorded SetLine" in invoked.output


def limits_of(path: Path) -> Limits:
    return limits(load_scenario(path))


def test_audit_when_trace_is_truncated_then_judges_nothing(runs: dict[str, Any], tmp_path: Path) -> None:
    _, folder, _ = runs["corallanding"]
    records, limits = read(folder / "trace.jsonl.gz"), limits_of(SABOTAGE_SCENARIO)
    whole, _ = judge(records, limits)
    assert [v.kept for v in whole] == [True] * 5
    chance = np.random.default_rng(3)
    cuts = [records[:-1], records[: len(records) // 2], [r for r in records if r[0] != "roster"]]
    cuts += [records[:k] + records[k + 1 :] for k in chance.integers(0, len(records), 20)]
    for cut in cuts:
        verdicts, _ = judge(cut, limits)
        assert [v.kept for v in verdicts] == [None] * 5
        assert verdicts[0].note.startswith("not judged")
    assert len(RULES) == 5


def test_lab_run_when_scenario_is_invalid_then_names_the_fault(tmp_path: Path) -> None:
    path, run = tmp_path / "s.hcl", CliRunner()
    text = SABOTAGE_SCENARIO.read_text()
    for old, new, output in (
        ('fault "slow"', 'fault "sloth"', "fault 'sloth' is not one of crash, deploy"),
        ("seconds = 7", "seconds = -7", "s.hcl:3: seconds: input should be greater than 0"),
        ("  hosts = 4\n", "", "s.hcl:6: fleet.hosts: is missing"),
    ):
        path.write_text(text.replace(old, new).replace(str(tmp_path), ""))
        invoked = run.invoke(lab, ["run", str(path), "--out", str(tmp_path / "out")])
        assert invoked.exit_code == 2 and output in invoked.output.replace(str(tmp_path) + "/", ""), invoked.output
    path.write_text(text)
    invoked = run.invoke(lab, ["run", str(path), "--out", str(tmp_path / "out"), "--publisher", "nobody"])
    assert invoked.exit_code == 2
    assert "'nobody' is not one of corallanding" in invoked.output


def test_fault_when_until_is_set_then_requires_a_load_report_fault_and_known_outcomes() -> None:
    assert Fault(kind="report_flood", at_s=1, until=["forged", "unknown"]).until == ["forged", "unknown"]
    with pytest.raises(ValueError, match=r"until is for report_flood.*, not for slow"):
        Fault(kind="slow", at_s=1, until=["forged"])
    with pytest.raises(ValueError, match="until: frogged is not one of"):
        Fault(kind="report_flood", at_s=1, until=["frogged"])


def test_reports_counted_when_controller_restarted_then_ignores_counts_of_the_former_incarnation(
    tmp_path: Path,
) -> None:
    lab_run = Lab(load_scenario(HERE / "reports.hcl"), tmp_path, 1)
    lab_run.life[0] = 1
    assert not lab_run.reports_counted(["forged"]), "nothing has been polled"
    lab_run.polls.append({"life": 1, "forged": 3.0, "unknown": 0.0})
    assert lab_run.reports_counted(["forged"]) and not lab_run.reports_counted(["forged", "unknown"])
    lab_run.life[0] = 2
    assert not lab_run.reports_counted(["forged"])
    lab_run.polls.append({"life": 2, "forged": 1.0})
    assert lab_run.reports_counted(["forged"]) and not lab_run.reports_counted(["doubtful"])


def day() -> dict[str, Any]:
    """Return a day as the bench prints it, with the fields that the conversion reads."""
    return {
        "zones": ["x", "y"],
        "length": 30_000_000,
        "drain_grace": 2_000_000,
        "fall_for": 3_000_000,
        "fall_multiple": 4.0,
        "servers": [{"kind": k % 2, "speed": 1.0, "up": k < 8} for k in range(10)],
        "balancers": [{}] * 7,
        "tiers": [
            {"kinds": [{"name": n, "cores": 4, "queue": 40, "cold": 9_000_000, "cold_from": 0.3} for n in ("k1", "k2")]}
        ],
        "classes": [
            {
                "name": "c",
                "share": 1.0,
                "work": 100_000,
                "aim": 800_000,
                "deadline": 2_000_000,
                "worth": 1.0,
                "late_worth": 0.1,
                "effect": "unsafe",
                "cv": 0.5,
            }
        ],
        "clients": {"retries": 1, "try_share": 0.9, "backoff_us": 50_000.0},
        "discovery": {"ask": False, "notice": 900_000, "add": 100_000},
        "allow": {"probes": True},
        "traffic": {"load": 0.5},
        "fam": {
            "slices": 40,
            "slice_cv": 0.4,
            "late": 100_000,
            "heard_late": 400_000,
            "bare": 3_000_000,
            "head": 8.0,
            "rate": 9000.0,
            "backlog": 9000.0,
            "messages_most": 20,
            "period": 500_000,
            "intake": 300.0,
            "pick": "two",
            "admit": "share",
            "usual_how": 1,
            "try_aims": 1.2,
            "ejects": 0,
            "controllers": [0],
        },
        "troubles": [
            {"kind": k, "at": 1_000_000, "len": 2_000_000, "size": 0.5, "extra": 0.3, "on": [0, 9]}
            for k in KINDS
            if k not in KINDS_WITHOUT_BENCH_DAY
        ],
    }


def test_bench_day_when_converted_then_reads_back_as_an_equal_scenario(tmp_path: Path) -> None:
    scenario = from_day(day(), "day")
    assert (scenario.fleet.hosts, scenario.fleet.forwarders, scenario.fleet.slices) == (8, 6, 40)
    assert scenario.traffic.per_s == 0.5 * 8 * 4 * 1000 / 100
    assert len(scenario.fault) == len(KINDS) - len(KINDS_WITHOUT_BENCH_DAY)
    path = tmp_path / "day.hcl"
    path.write_text(scenario_hcl(scenario))
    assert load_scenario(path) == scenario
    half_scenario = from_day(day(), "day", 0.5)
    assert half_scenario.fleet.hosts == 4
    assert half_scenario.traffic.per_s == scenario.traffic.per_s / 2
    (tmp_path / "d.json").write_text(json.dumps(day()))
    invoked = CliRunner().invoke(lab, ["scenario", "--from", str(tmp_path / "d.json")])
    assert invoked.exit_code == 0
    assert invoked.output.startswith('name = "d"')


def test_bench_day_when_invalid_then_conversion_names_the_fault(tmp_path: Path) -> None:
    invalid_day = day()
    invalid_day["troubles"][0]["kind"] = "earthquake"
    with pytest.raises(ConfigError, match="'earthquake' of the day is not in the vocabulary"):
        from_day(invalid_day, "odd")
    with pytest.raises(ConfigError, match="not a day of the bench: KeyError"):
        from_day({"servers": []}, "odd")
    (tmp_path / "d.json").write_text("{")
    assert CliRunner().invoke(lab, ["scenario", "--from", str(tmp_path / "d.json")]).exit_code == 2
