"""The experiment tool: intervals that hold what they say, two outcomes shown as two, pairs that share their chances,
results kept and taken up again, recorded days, the search."""

from __future__ import annotations

import math
import shutil
from pathlib import Path
from typing import Any

import numpy as np
import pytest
from typer.testing import CliRunner

from corallanding import interface as api
from corallanding.cli.main import app
from corallanding.controller.recorder import Recording, read_recording
from corallanding.lab.commands import lab
from corallanding.lab.fleet import compare, page, recorded, runs, search
from corallanding.lab.fleet.emulate import emulate
from corallanding.lab.fleet.runs import Job, ResultStore, RunResult, Setting, pool
from corallanding.lab.fleet.settings import load_setting, with_key, with_override
from corallanding.lab.fleet.statistics import (
    BETTER,
    NO_DIFFERENCE,
    SAME,
    UNDECIDED,
    WORSE,
    find_outcomes,
    hit_probability,
    interval,
    judge,
    look_counts,
    prediction_interval,
)
from corallanding.lab.scenario import Fault, load_scenario
from corallanding.lab.scenario_text import scenario_hcl

HERE = Path(__file__).parent
HARD = load_scenario(HERE / "hard.hcl")
SHORT = HARD.model_copy(update={"seconds": 4.0, "fault": [Fault(kind="crash", at_s=1, for_s=1, part=0.2)]})


def row(seed: int, service: float, **more: Any) -> RunResult:
    given = {"broken": [], "worst_10_s": service, "worst_operation": service, "moves": 1.0, **more}
    return RunResult(
        "s",
        seed,
        "emulated",
        service,
        given["worst_10_s"],
        given["worst_operation"],
        {},
        given["moves"],
        given["broken"],
        10,
        10,
        0,
        1,
        [1.0],
        [service],
        1.0,
        1.0,
        1,
    )


# ---- statistics --------------------------------------------------------------------------------------------


@pytest.mark.parametrize("shape", ["normal", "skewed"])
def test_intervals_hold_what_they_say(shape: str) -> None:
    """95 of 100 hold the true mean, to within what 400 tries can show; a skewed sample of ten costs a little."""
    chance, hits, tries = np.random.default_rng(1), 0, 400
    for k in range(tries):
        x = chance.normal(0.3, 1.0, 10) if shape == "normal" else chance.exponential(1.0, 10) - 0.7
        i = interval(x.tolist(), 0.95, k)
        hits += i.low <= 0.3 <= i.high
    assert hits / tries > (0.93 if shape == "normal" else 0.88)


def test_looks_in_between_do_not_cost_the_promise() -> None:
    """No difference at all: "better" or "worse" is said in 5 of 100 experiments at most."""
    chance, wrong, counts = np.random.default_rng(2), 0, look_counts(8, 40)
    assert counts[0] == 8
    assert counts[-1] == 40
    assert counts == sorted(counts)
    for _ in range(150):
        a, b = chance.normal(0.9, 0.02, 40), chance.normal(0.9, 0.02, 40)
        for n, count in enumerate(counts, 1):
            verdict = judge(a[:count].tolist(), b[:count].tolist(), 0.0, 0.05, len(counts), n == len(counts)).verdict
            if verdict in (BETTER, WORSE):
                wrong += 1
                break
    assert wrong / 150 < 0.08


def test_words_are_said_when_they_are_true_and_not_before() -> None:
    a = [0.9 + 0.001 * (k % 5) for k in range(10)]
    up = [x + 0.01 + 0.001 * (k % 3) for k, x in enumerate(a)]
    assert judge(a, up, 0.002, 0.05, 1, True).verdict == BETTER
    assert judge(up, a, 0.002, 0.05, 1, True).verdict == WORSE
    near = [x + 0.0003 * (-1) ** k for k, x in enumerate(a)]
    assert judge(a, near, 0.002, 0.05, 1, False).verdict == SAME
    wild = [x + 0.05 * (-1) ** k for k, x in enumerate(a)]
    assert judge(a, wild, 0.002, 0.05, 1, False).verdict == UNDECIDED
    assert judge(a, wild, 0.002, 0.05, 1, True).verdict == NO_DIFFERENCE
    assert math.isinf(interval([1.0, 2.0]).low)
    with pytest.raises(ValueError, match="pairs"):
        judge(a, up[:-1], 0.002, 0.05, 1, True)


def test_two_outcomes_are_told_and_one_is_not_split() -> None:
    chance = np.random.default_rng(3)
    for draw in (chance.normal, lambda m, s, n: chance.uniform(m - s, m + s, n)):
        split = sum(len(find_outcomes(draw(0.8, 0.05, 20).tolist())) > 1 for _ in range(300))
        assert split / 300 < 0.03, "a day that does not tip"
    tips = [0.93 + 0.004 * (k % 4) if k % 3 else 0.41 + 0.01 * (k % 5) for k in range(21)]
    low, high = find_outcomes(tips)
    assert low.share == pytest.approx(1 / 3)
    assert low.mean < 0.5
    assert high.mean > 0.9
    other = [0.93] * 21
    t = compare.count_low_outcomes(tips, other)
    assert t
    assert (t.count_a, t.count_b) == (7, 0)
    assert t.p_value == pytest.approx(2 * 0.5**7)
    assert compare.count_low_outcomes(other, other) is None


def test_a_prediction_covers_another_run() -> None:
    chance, hits = np.random.default_rng(4), 0
    for _ in range(400):
        x = chance.normal(0.9, 0.01, 21)
        low, high = prediction_interval(x[:20].tolist(), 0.9)
        hits += low <= x[20] <= high
    assert hits / 400 > 0.87
    assert hit_probability(18, 20, 0.9) > 0.05 > hit_probability(14, 20, 0.9)
    with pytest.raises(ValueError, match="too few"):
        prediction_interval([0.9] * 4, 0.9)


# ---- runs --------------------------------------------------------------------------------------------------


def test_pairs_share_their_chances_whatever_else_is_drawn() -> None:
    """More retries draw more chances; arrivals, work and struck hosts stay the same, and so do most picks."""
    more = SHORT.model_copy(update={"forwarders": SHORT.forwarders.model_copy(update={"usual_retry": 2})})
    one, two = emulate(SHORT, 5), emulate(more, 5)

    def what(e: Any, kind: str, *fields: int) -> list[Any]:
        return [tuple(r[k] for k in fields) for r in e.records if r[3] == kind]

    assert what(one, "asked", 4, 5, 6, 7) == what(two, "asked", 4, 5, 6, 7)
    assert what(one, "stop", 0) == what(two, "stop", 0)
    picks = [{(r[4], r[5], r[6]): r[9] for r in e.records if r[3] == "send"} for e in (one, two)]
    both = picks[0].keys() & picks[1].keys()
    assert len(both) > 50
    assert sum(picks[0][k] == picks[1][k] for k in both) / len(both) > 0.8


def test_what_was_run_is_kept_and_not_run_again(tmp_path: Path) -> None:
    told: list[tuple[int, bool]] = []
    jobs = [Job(Setting("a", SHORT), n) for n in (1, 2)]
    with pool(tmp_path / "runs.db", 1, lambda j, r, known: told.append((j.seed, known))) as p:
        first = p.all(jobs[:1])
    with pool(tmp_path / "runs.db", 2, lambda j, r, known: told.append((j.seed, known))) as p:
        both = p.all(jobs)
    assert told == [(1, False), (1, True), (2, False)]
    assert both[jobs[0].key] == first[jobs[0].key]
    assert 0.0 < both[jobs[1].key].service <= 1.0
    other = Setting("a", SHORT.model_copy(update={"reports": SHORT.reports.model_copy(update={"every_ms": 777.0})}))
    assert Job(other, 1).key != jobs[0].key
    assert Job(Setting("a", SHORT), 1, "loopback").key != jobs[0].key
    bounded = ResultStore(tmp_path / "few.db", max_rows=2)
    for n in range(5):
        bounded.put(Job(Setting("a", SHORT), n), row(n, 0.9))
    assert [bounded.get(Job(Setting("a", SHORT), n).key) is not None for n in range(5)] == [False] * 3 + [True] * 2
    bounded.close()


def test_a_run_that_fails_is_named(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    def broken(job: Job) -> RunResult:
        raise RuntimeError("no such day")

    monkeypatch.setattr(runs, "execute_job", broken)
    with (
        pool(tmp_path / "runs.db", 1) as p,
        pytest.raises(runs.RunFailedError, match="a, seed 7: RuntimeError: no such day"),
    ):
        p.all([Job(Setting("a", SHORT), 7)])


def test_another_checkout_s_module_decides_in_this_one_s_place(tmp_path: Path) -> None:
    folder = tmp_path / "other" / "corallanding" / "assignment"
    shutil.copytree(
        Path(api.__file__).parent.parent / "assignment", folder, ignore=shutil.ignore_patterns("__pycache__")
    )
    (tmp_path / "day.hcl").write_text(scenario_hcl(SHORT))
    same = load_setting(tmp_path / "day.hcl", None, tmp_path / "other")
    ours = emulate(SHORT, 2)
    theirs = emulate(SHORT, 2, decider=runs.decider_of(same.module))
    assert ours.records == theirs.records
    assert same.digests[0] != Setting("a", SHORT).digests[0]
    told = CliRunner().invoke(lab, ["compare", str(tmp_path / "day.hcl"), "--module", str(tmp_path)])
    assert told.exit_code == 2


# ---- the commands ------------------------------------------------------------------------------------------


def test_compare_stops_when_the_answer_is_clear_and_writes_its_page(tmp_path: Path) -> None:
    (tmp_path / "a.hcl").write_text(scenario_hcl(SHORT))
    base = ["compare", str(tmp_path / "a.hcl"), "--kept", str(tmp_path / "runs.db"), "--workers", "1", "--runs", "8"]
    told = CliRunner().invoke(lab, [*base, "--set", "traffic.retries=0", "--out", str(tmp_path / "p.html")])
    assert told.exit_code == 0, told.output
    assert "billed service:" in told.output
    assert "over" in told.output
    html = (tmp_path / "p.html").read_text()
    assert html.count("data:image/png;base64,") == 2
    assert "http" not in html.replace("data:image", "")
    once = (tmp_path / "p.html").read_bytes()
    CliRunner().invoke(lab, [*base, "--set", "traffic.retries=0", "--out", str(tmp_path / "p.html")])
    assert (tmp_path / "p.html").read_bytes() == once, "the same runs give the same bytes"
    told = CliRunner().invoke(lab, [*base, "--set", 'name="x"', "--out", str(tmp_path / "p.md")])
    assert told.exit_code == 0 and "same within the margin" in told.output, "a name changes nothing"
    assert "| service |" in (tmp_path / "p.md").read_text()


@pytest.mark.parametrize(
    ("words", "said"),
    [
        (["compare", "DAY", "--set", "traffic.nothing=1"], "traffic.nothing: there is no 'nothing'"),
        (["compare", "DAY", "--set", "traffic.per_s=-1"], "traffic.per_s = -1:"),
        (["compare", "DAY"], "B is missing"),
        (["compare", "STEWARD"], "needs a --day"),
        (["compare", "STEWARD", "--day", "DAY", "--set", "probe.allowed=false"], "slices.count: 9; the scenario has"),
        (["compare", "NONE", "--set", "a=1"], "cannot be read"),
        (["sweep", "DAY", "reports.every", "1", "2"], "there is no 'every'"),
        (["search", "DAY", "--out", "x.hcl", "--kind", "rain"], "--kind rain: not one of"),
        (["replay-day", "DAY", "--like", "DAY"], "not a recording"),
    ],
)
def test_bad_input_is_named(tmp_path: Path, words: list[str], said: str) -> None:
    (tmp_path / "day.hcl").write_text(scenario_hcl(SHORT))
    (tmp_path / "steward.hcl").write_text(
        f'steward {{\n  listen = "127.0.0.1:1"\n}}\nstore {{\n  path = "{tmp_path}/s.db"\n}}\nroster {{\n'
        '  address = "127.0.0.1:1"\n}\nslices {\n  count = 9\n}\noperation "quote" {\n  repeat = "idempotent"\n'
        "  latency_objective_ms = 1\n  integration_timeout_ms = 2\n}\n"
    )
    names = {"DAY": str(tmp_path / "day.hcl"), "STEWARD": str(tmp_path / "steward.hcl"), "NONE": str(tmp_path / "none")}
    told = CliRunner().invoke(lab, [names.get(w, w) for w in words])
    assert told.exit_code == 2 and said in told.output + (told.stderr or ""), told.output


def test_a_stewards_configuration_meets_a_day(tmp_path: Path) -> None:
    from corallanding.lab.fleet.emulate import controller_config_for

    config = controller_config_for(SHORT.model_dump_json())
    one = Setting("whole", SHORT, config)
    assert emulate(SHORT, 1, config).records == emulate(SHORT, 1).records
    two = with_override(one, "reports.every_ms", "2000")
    assert two.config
    assert two.config.reports.every_ms == 2000.0
    assert two.label == "whole with reports.every_ms = 2000"
    assert emulate(SHORT, 1, two.config).records != emulate(SHORT, 1).records
    assert with_key(SHORT, "seconds", "9").seconds == 9.0


def test_a_sweep_holds_each_value_against_the_first(tmp_path: Path) -> None:
    with pool(tmp_path / "runs.db", 1) as p:
        settings = [with_override(Setting("s", SHORT), "reports.every_ms", v, v) for v in ("500", "500.0", "3000")]
        rows = compare.sweep(settings, 3, p)
    assert rows[0].difference is None
    assert rows[1].difference
    assert rows[1].difference.mean == 0.0
    assert "3000" in page.sweep_page(rows, "reports.every_ms", "s", 0.05).markdown()


# ---- recorded days -----------------------------------------------------------------------------------------


def recording(*steps: tuple[float, list[Any]]) -> Recording:
    one = api.RequestClass("o", api.Idempotency.IDEMPOTENT, "all", 5000.0, 1.0, 0.0, 1000.0, 3000.0)
    settings = api.Settings(slice_count=3, request_classes=(one,), report_interval_ms=1000.0)
    return Recording(settings, 1, [(t, events, []) for t, events in steps], False)


def entry(host: int, state: str = "up", since: float = 0.0) -> api.HostEntry:
    return api.HostEntry(host, state=state, online_since=since)


def full(*rows: api.HostEntry) -> api.HostListUpdate:
    return api.HostListUpdate(api.HostListKind.FULL, 1, rows)


def changes(*rows: api.HostEntry) -> api.HostListUpdate:
    return api.HostListUpdate(api.HostListKind.CHANGES, 2, rows)


def test_a_recording_is_a_day_with_its_gaps_marked_and_filled() -> None:
    hosts = full(entry(0), entry(1), entry(2))
    steps: list[tuple[float, list[Any]]] = [(0.0, [hosts, api.ProxyJoined(4, 1, 9.0, True)])]
    for k in range(1, 11):
        if not 4 <= k <= 6:  # three sums that never came
            steps.append(
                (k * 1000.0, [api.SliceUsageReport(0, 0, 10, 1, 1000.0), api.SliceUsageReport(1, 0, 20, 0, 1000.0)])
            )
    steps.append((14_000.0, [api.SliceUsageReport(0, 0, 40, 0, 4000.0)]))  # one that came late, for four periods
    steps.append((4_500.0, [changes(entry(1, "draining")), changes(entry(2, "removed"))]))
    steps.append((6_500.0, [changes(entry(1, "removed")), changes(entry(7, since=6_000.0))]))
    d = recorded.day_from_recording(recording(*sorted(steps, key=lambda s: s[0])), notice_ms=400.0)
    assert d.length_ms == 14_000.0
    assert d.gaps == [(3_000.0, 6_000.0)]
    assert d.late_spans == [(10_000.0, 14_000.0)]
    filled = [w for w in d.windows if (w.begin_ms, w.end_ms) == d.gaps[0]]
    assert [(w.slice, w.count) for w in filled] == [(0, pytest.approx(30.0)), (1, pytest.approx(60.0))]
    assert d.filled_requests == pytest.approx(90.0)
    assert d.proxies == {4: (1, 9.0)}
    assert [(x.at_ms, x.what, x.host) for x in d.host_changes] == [
        (4_100.0, "draining", 1),
        (4_100.0, "dead", 2),
        (6_300.0, "up", 7),
        (6_500.0, "gone", 1),
    ]
    spec = [recorded.OperationSpec("o", 1.0, 100.0, 0.5, 1000.0, 3000.0, 1.0, 0.0, True)]
    t = recorded.generate_arrivals(d, 1, spec)
    assert len(t.at) == pytest.approx(70 + 140 + 40 + 90, abs=1)
    assert (np.diff(t.at) >= 0).all()
    assert ((t.at >= 3_000) & (t.at < 6_000)).sum() == pytest.approx(90, abs=1)
    again = recorded.generate_arrivals(d, 1, spec)
    assert (again.at == t.at).all()
    assert (again.work == t.work).all()


def test_a_slow_host_shows_and_comes_back() -> None:
    hosts = full(entry(0), entry(1), entry(2))
    steps: list[tuple[float, list[Any]]] = [(0.0, [hosts, api.ProxyJoined(0, 0, 1.0, True)])]
    for k in range(1, 9):
        slow = 900.0 if 3 <= k <= 5 else 200.0
        met = [api.HostUsageReport(0, h, 9, 0, slow if h == 1 else 200.0, 1000.0) for h in range(3)]
        steps.append((k * 1000.0, [api.SliceUsageReport(0, 0, 5, 0, 1000.0), *met]))
    d = recorded.day_from_recording(recording(*steps), 0.0)
    assert [(x.at_ms, x.what, x.host, x.slowness) for x in d.host_changes] == [
        (3_000.0, "slow", 1, 4.5),
        (6_000.0, "slow", 1, 1.0),
    ]


@pytest.mark.parametrize(
    ("events", "why"), [([], "no usage reports"), ([api.SliceUsageReport(0, 0, 1, 0, 1000.0)], "no proxy joined")]
)
def test_what_is_no_day_says_why(events: list[Any], why: str) -> None:
    with pytest.raises(recorded.UnusableRecordingError, match=why):
        recorded.day_from_recording(recording((5_000.0, events)), 0.0)


def test_an_emulated_day_s_own_recording_comes_back_as_that_day(tmp_path: Path) -> None:
    """Recorded, read as a day, replayed: the same invocations to within the ends of its periods, the same deaths, the
    same service within a few points, and twice the same bytes."""
    faults = [Fault(kind="crash", at_s=3, for_s=3, part=0.2), Fault(kind="deploy", at_s=5, for_s=6, part=0.3, extra=1)]
    day = HARD.model_copy(update={"seconds": 14.0, "fault": faults})
    e = emulate(day, 1, record=str(tmp_path / "s"))
    d = recorded.day_from_recording(read_recording(tmp_path / "s-1.rec"), day.roster.notice_ms)
    asked = sum(w.count for w in d.windows)
    assert asked == pytest.approx(e.result["invocations"], rel=0.12)  # the last period was never told
    kinds = [x.what for x in d.host_changes]
    died = sum(r[3] == "stop" and r[2] < e.begun + 13_900.0 for r in e.records)
    assert kinds.count("dead") >= 1
    assert kinds.count("gone") >= 1
    assert kinds.count("dead") + kinds.count("gone") == pytest.approx(died, abs=1)
    (tmp_path / "day.hcl").write_text(scenario_hcl(day))
    words = [
        "replay-day",
        str(tmp_path / "s-1.rec"),
        "--like",
        str(tmp_path / "day.hcl"),
        "--set",
        "reports.every_ms=2000",
        "--runs",
        "1",
        "--every",
        "5",
        "--workers",
        "1",
    ]
    pages = []
    for k in (1, 2):
        out = tmp_path / f"{k}.html"
        told = CliRunner().invoke(lab, [*words, "--kept", str(tmp_path / f"{k}.db"), "--out", str(out)])
        assert told.exit_code == 0, told.output
        pages.append(out.read_bytes())
    assert pages[0] == pages[1]
    with pool(tmp_path / "1.db", 1) as p:
        rows = [r for (r,) in p.store.db.execute("select service from run")]
    assert abs(rows[0] - e.result["service"]) < 0.05, (rows, e.result["service"])


def test_a_trace_of_the_day_gives_its_very_arrivals(tmp_path: Path) -> None:
    e = emulate(SHORT, 3)
    t = recorded.traffic_from_trace(e.records)
    asked = [r for r in e.records if r[3] == "asked"]
    work = {r[4]: r[10] for r in e.records if r[3] == "take"}
    assert len(t.at) == len(asked)
    assert t.slice.tolist() == [r[6] for r in asked]
    assert all(t.work[k] == work[r[4]] for k, r in enumerate(asked) if r[4] in work)
    assert not np.isnan(t.work).any()
    with pytest.raises(recorded.UnusableRecordingError, match="no client request"):
        recorded.traffic_from_trace([])


def test_a_report_shows_what_the_file_holds(tmp_path: Path) -> None:
    told = CliRunner().invoke(lab, ["report", "--kept", str(tmp_path / "no.db"), "--out", str(tmp_path / "r.md")])
    assert told.exit_code == 2
    assert "no such file of results" in told.output + (told.stderr or "")
    with pool(tmp_path / "runs.db", 1) as p:
        for n in range(4):
            p.store.put(Job(Setting("a", SHORT), n), row(n, 0.9 + n / 1000))
    told = CliRunner().invoke(lab, ["report", "--kept", str(tmp_path / "runs.db"), "--out", str(tmp_path / "r.md")])
    assert told.exit_code == 0
    assert "| a |" in (tmp_path / "r.md").read_text()


# ---- the search --------------------------------------------------------------------------------------------


def test_the_worst_day_is_cut_down_to_what_matters() -> None:
    harm = {"crash": 0.3, "slow": 0.02, "drain": 0.0}
    faults = [Fault(kind=k, at_s=1.0, for_s=8.0 if k == "crash" else 4.0, part=0.2) for k in harm]

    def evaluate(days: list[list[Fault]]) -> list[float]:
        # A crash of less than five seconds does nothing; its part does not matter.
        return [1.0 - sum(harm[f.kind] * (f.kind != "crash" or f.for_s >= 5.0) for f in d) for d in days]

    left = search.minimized(faults, target=1.0 - 0.9 * 0.32, evaluate=evaluate)
    assert [f.kind for f in left] == ["crash"]
    assert left[0].for_s >= 5.0
    assert left[0].part < 0.1


def test_a_search_finds_a_day_worse_than_quiet_and_keeps_it(tmp_path: Path) -> None:
    (tmp_path / "day.hcl").write_text(scenario_hcl(SHORT.model_copy(update={"seconds": 6.0, "fault": []})))
    out = tmp_path / "worst.hcl"
    words = [
        "search",
        str(tmp_path / "day.hcl"),
        "--out",
        str(out),
        "--budget",
        "24",
        "--workers",
        "1",
        "--kind",
        "crash",
        "--kind",
        "hang",
        "--kept",
        str(tmp_path / "runs.db"),
    ]
    told = CliRunner().invoke(lab, words)
    assert told.exit_code == 0, told.output
    found = load_scenario(out)
    assert found.fault
    assert {f.kind for f in found.fault} <= {"crash", "hang"}
    again = tmp_path / "again.hcl"
    words[3] = str(again)
    CliRunner().invoke(lab, words)
    assert again.read_text() == out.read_text(), "the same seed finds the same day"
    service, quiet = (emulate(x, 1).result["service"] for x in (found, found.model_copy(update={"fault": []})))
    assert service < quiet


def test_the_page_shows_two_outcomes_not_their_mean() -> None:
    a, b = Setting("a", SHORT), Setting("b", SHORT)
    tips = [row(k, 0.9 if k % 2 else 0.4) for k in range(10)]
    good = [row(k, 0.9) for k in range(10)]
    word = judge([r.service for r in tips], [r.service for r in good], 0.002, 0.05, 1, True)
    c = compare.Comparison(
        a,
        b,
        tips,
        good,
        word,
        1,
        {},
        find_outcomes([r.service for r in tips]),
        find_outcomes([0.9] * 10),
        compare.count_low_outcomes([r.service for r in tips], [r.service for r in good]),
    )
    said = page.comparison_page(c, 0.002, 0.05).markdown()
    assert "two outcomes: 0.4000 in 50% of the runs; 0.9000 in 50%" in said
    assert "ended 5 of 10 runs under a and 0 under b" in said
    assert "no run is near the mean" in said


def test_the_commands_are_there() -> None:
    told = CliRunner().invoke(lab, ["--help"])
    assert all(w in told.output for w in ("compare", "sweep", "search", "predict", "replay-day"))
    assert app is not None
