"""The lab proves itself: the real steward keeps the rules, each saboteur is caught, a torn record is not judged."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import numpy as np
import pytest
from labs import played, rules
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
SABOTAGE = HERE / "sabotage.hcl"
NOT_OF_DAYS = ("drain", "steward_kill", "roster_down", "store_down", *PEER_FAULTS)
BREAKS = {"barer": 0, "doubler": 1, "clinger": 2, "pusher": 3, "flooder": 4}


pytestmark = pytest.mark.processes


@pytest.fixture(scope="module")
def runs(tmp_path_factory: pytest.TempPathFactory) -> dict[str, tuple[int, Path, str]]:
    """The same scenario under the real module and under each saboteur, side by side."""
    out, done = tmp_path_factory.mktemp("runs"), dict[str, tuple[int, Path, str]]()
    # In waves: a dozen labs at once leave each too little of the machine to keep its times.
    for wave in (("hard", "corallanding"), ("three-stewards", "reports"), tuple(BREAKS)):
        jobs = []
        for name in wave:
            wrong = name in ("corallanding", *BREAKS)
            here = HERE.parent / "examples" if name == "three-stewards" else HERE
            more = ("--lift-limits",) if name == "flooder" else ()
            file, publisher = (SABOTAGE, name) if wrong else (here / f"{name}.hcl", "corallanding")
            jobs.append((name, file, ("--publisher", publisher, *more)))
        done |= played(out, jobs)
    return done


def test_the_real_steward_keeps_the_rules_and_leaves_its_results(runs: dict[str, Any]) -> None:
    code, folder, said = runs["corallanding"]
    assert code == 0 and rules(folder) == [True] * 5, said
    result = json.loads((folder / "result.json").read_text())
    assert {"seed", "invocations", "succeeded", "service", "doubles", "rules"} <= set(result)
    assert result["invocations"] > 300
    assert result["doubles"] == 0
    assert "kept" in (folder / "result.md").read_text()
    for chart in ("service", "load", "channel", "publish"):
        assert (folder / f"{chart}.png").read_bytes()[:4] == b"\x89PNG"


def test_hard_cases_of_restart_and_reassignment(runs: dict[str, Any]) -> None:
    """Slices move while claims are in flight on the old owner; forwarders stall through it and come back with old
    tables; the steward is killed while some have a message that others lack; then roster and store fail."""
    code, folder, said = runs["hard"]
    assert code == 0 and rules(folder) == [True] * 5, said
    result = json.loads((folder / "result.json").read_text())
    assert result["doubles"] == 0
    assert result["lives"] == 2
    assert result["lines_lost"] == 0
    records = read(folder / "trace.jsonl.gz")
    running: dict[int, tuple[str, int]] = {}
    in_flight_moves = stalled_out = 0
    ran: dict[int, int] = {}
    for r in records:
        if r[3] == "run" and r[8] == 1:
            running[r[4]] = (r[0], r[9])
            ran[r[4]] = ran.get(r[4], 0) + 1
        elif r[3] == "done":
            running.pop(r[4], None)
        elif r[3] == "frame" and r[4][0] == "orders":
            gone = {(f"host {h}", s) for s, h, w in r[4][4] if w == 0}
            in_flight_moves += sum(at in gone for at in running.values())
        elif r[3] == "left" and r[0] in ("forwarder 1", "forwarder 3"):
            stalled_out += 1
    assert in_flight_moves > 0
    assert stalled_out >= 2
    assert max(ran.values()) == 1
    log = (folder / "steward.log").read_text()
    assert '"why": "silent"' in log
    assert "store does not write" in log
    assert "store writes again" in log
    for life in (1, 2):
        assert CliRunner().invoke(app, ["replay", str(folder / f"steward-{life}.rec")]).exit_code == 0


def test_three_stewards_share_slices_and_outlive_one_and_the_registry(runs: dict[str, Any]) -> None:
    """One is killed and comes back, the registry is away for a while, hosts drain and die; all through what
    forwarders saw: no slice is spoken for by two, no line is lost, no claim doubled."""
    code, folder, said = runs["three-stewards"]
    assert code == 0 and rules(folder) == [True] * 5, said
    result = json.loads((folder / "result.json").read_text())
    assert result["lives"] == 4
    assert result["doubles"] == 0
    assert result["lines_lost"] == 0
    records = read(folder / "trace.jsonl.gz")
    owner: dict[int, int] = {}
    moved, spoke = 0, set()
    for r in records:
        if r[0] != "forwarder 0" or r[3] != "frame":
            continue
        frame, k = r[4], r[5]
        if frame[0] == "tables":
            for s, _ in frame[2]:
                moved += owner.get(s, k) != k
                owner[s] = k
                spoke.add(k)
        else:
            for s, _, _ in frame[4]:
                assert owner.get(s) == k, f"slice {s} is steward {owner.get(s)}'s; {k} wrote a line of it"
    assert moved > 20
    assert spoke == {0, 1, 2}


def test_hard_cases_of_load_reports(runs: dict[str, Any]) -> None:
    """A flood in a surge, an hour-old sender, a liar, skewed clocks, silence, losses, kill -9 in mid-flood."""
    code, folder, said = runs["reports"]
    assert code == 0 and rules(folder) == [True] * 5, said
    result = json.loads((folder / "result.json").read_text())
    counts = result["load_reports"]
    assert result["lives"] == 2
    assert result["doubles"] == 0
    for end in ("counted", "forged", "unknown", "doubtful"):
        assert counts[end] > 0, counts
    log = [json.loads(line) for line in (folder / "steward.log").read_text().splitlines()]
    lowered = {host for line in log if line["event"] == "load factors" for host in line["factors"]}
    assert "3" not in lowered, "what is an hour old lowers nobody"
    assert (folder / "reports.png").exists()
    for life in (1, 2):
        assert CliRunner().invoke(app, ["replay", str(folder / f"steward-{life}.rec")]).exit_code == 0


@pytest.mark.parametrize("name", BREAKS)
def test_the_audit_catches_each_saboteur(runs: dict[str, Any], name: str) -> None:
    code, folder, said = runs[name]
    assert code == 1 and rules(folder)[BREAKS[name]] is False, said


def test_a_recording_replays_and_a_changed_one_is_told(runs: dict[str, Any], tmp_path: Path) -> None:
    _, folder, _ = runs["corallanding"]
    run, path = CliRunner(), folder / "steward-1.rec"
    told = run.invoke(app, ["replay", str(path)])
    assert told.exit_code == 0
    assert "no difference" in told.output
    data = path.read_bytes()
    torn = tmp_path / "torn.rec"
    torn.write_bytes(data[:-7])
    told = run.invoke(app, ["replay", str(torn)])
    assert told.exit_code == 0
    assert "torn off" in told.output
    changed = tmp_path / "changed.rec"
    changed.write_bytes(data.replace(b"\xa7SetLine\x83\xa5slice\x00", b"\xa7SetLine\x83\xa5slice\x01", 1))
    assert changed.read_bytes() != data
    told = run.invoke(app, ["replay", str(changed)])
    assert told.exit_code == 1
    assert "action" in told.output
    assert "recorded SetLine" in told.output


def limits_of(path: Path) -> Limits:
    return limits(load_scenario(path))


def test_a_truncated_record_is_not_judged(runs: dict[str, Any], tmp_path: Path) -> None:
    _, folder, _ = runs["corallanding"]
    records, limits = read(folder / "trace.jsonl.gz"), limits_of(SABOTAGE)
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


def test_bad_scenarios_are_named(tmp_path: Path) -> None:
    path, run = tmp_path / "s.hcl", CliRunner()
    text = SABOTAGE.read_text()
    for old, new, said in (
        ('fault "slow"', 'fault "sloth"', "fault 'sloth' is not one of crash, deploy"),
        ("seconds = 7", "seconds = -7", "s.hcl:3: seconds: input should be greater than 0"),
        ("  hosts = 4\n", "", "s.hcl:6: fleet.hosts: is missing"),
    ):
        path.write_text(text.replace(old, new).replace(str(tmp_path), ""))
        told = run.invoke(lab, ["run", str(path), "--out", str(tmp_path / "out")])
        assert told.exit_code == 2 and said in told.output.replace(str(tmp_path) + "/", ""), told.output
    path.write_text(text)
    told = run.invoke(lab, ["run", str(path), "--out", str(tmp_path / "out"), "--publisher", "nobody"])
    assert told.exit_code == 2
    assert "'nobody' is not one of corallanding" in told.output


def test_a_fault_lasts_until_ends_of_load_reports_only_if_it_is_one_of_theirs() -> None:
    assert Fault(kind="report_flood", at_s=1, until=["forged", "unknown"]).until == ["forged", "unknown"]
    with pytest.raises(ValueError, match=r"until is for report_flood.*, not for slow"):
        Fault(kind="slow", at_s=1, until=["forged"])
    with pytest.raises(ValueError, match="until: frogged is not one of"):
        Fault(kind="report_flood", at_s=1, until=["frogged"])


def test_what_a_former_life_of_the_steward_counted_is_not_counted_by_the_present_one(tmp_path: Path) -> None:
    played = Lab(load_scenario(HERE / "reports.hcl"), tmp_path, 1)
    played.life[0] = 1
    assert not played.reports_counted(["forged"]), "nothing has been polled"
    played.polls.append({"life": 1, "forged": 3.0, "unknown": 0.0})
    assert played.reports_counted(["forged"]) and not played.reports_counted(["forged", "unknown"])
    played.life[0] = 2
    assert not played.reports_counted(["forged"])
    played.polls.append({"life": 2, "forged": 1.0})
    assert played.reports_counted(["forged"]) and not played.reports_counted(["doubtful"])


def day() -> dict[str, Any]:
    """A day as the bench prints it, written here: the fields that the conversion reads."""
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
            if k not in NOT_OF_DAYS
        ],
    }


def test_a_bench_day_becomes_a_scenario_that_reads_back_the_same(tmp_path: Path) -> None:
    found = from_day(day(), "day")
    assert (found.fleet.hosts, found.fleet.forwarders, found.fleet.slices) == (8, 6, 40)
    assert found.traffic.per_s == 0.5 * 8 * 4 * 1000 / 100
    assert len(found.fault) == len(KINDS) - len(NOT_OF_DAYS)
    path = tmp_path / "day.hcl"
    path.write_text(scenario_hcl(found))
    assert load_scenario(path) == found
    half = from_day(day(), "day", 0.5)
    assert half.fleet.hosts == 4
    assert half.traffic.per_s == found.traffic.per_s / 2
    (tmp_path / "d.json").write_text(json.dumps(day()))
    told = CliRunner().invoke(lab, ["scenario", "--from", str(tmp_path / "d.json")])
    assert told.exit_code == 0
    assert told.output.startswith('name = "d"')


def test_a_file_that_is_no_day_is_named(tmp_path: Path) -> None:
    odd = day()
    odd["troubles"][0]["kind"] = "earthquake"
    with pytest.raises(ConfigError, match="'earthquake' of the day is not in the vocabulary"):
        from_day(odd, "odd")
    with pytest.raises(ConfigError, match="not a day of the bench: KeyError"):
        from_day({"servers": []}, "odd")
    (tmp_path / "d.json").write_text("{")
    assert CliRunner().invoke(lab, ["scenario", "--from", str(tmp_path / "d.json")]).exit_code == 2
