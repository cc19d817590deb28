"""Experiments on the emulated fleet: statistics, paired runs, stored results, commands, recordings and the search."""

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

TESTS_PATH = Path(__file__).parent
HARD = load_scenario(TESTS_PATH / "hard.hcl")
SHORT = HARD.model_copy(update={"seconds": 4.0, "fault": [Fault(kind="crash", at_s=1, for_s=1, part=0.2)]})


def run_result(seed: int, service: float, **overrides: Any) -> RunResult:
    fields = {"broken": [], "worst_10_s": service, "worst_operation": service, "moves": 1.0, **overrides}
    return RunResult(
        "s",
        seed,
        "emulated",
        service,
        fields["worst_10_s"],
        fields["worst_operation"],
        {},
        fields["moves"],
        fields["broken"],
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
def test_intervals_cover_the_mean_at_their_level(shape: str) -> None:
    """95 of 100 intervals cover the true mean, within the error of 400 trials; fewer with a skewed sample of ten."""
    rng, hits, trials = np.random.default_rng(1), 0, 400
    for trial in range(trials):
        sample = rng.normal(0.3, 1.0, 10) if shape == "normal" else rng.exponential(1.0, 10) - 0.7
        found = interval(sample.tolist(), 0.95, trial)
        hits += found.low <= 0.3 <= found.high
    assert hits / trials > (0.93 if shape == "normal" else 0.88)


def test_interim_looks_keep_the_error_rate() -> None:
    """Without any difference, at most 5 of 100 experiments may end with "better" or "worse"."""
    rng, wrong_verdicts, counts = np.random.default_rng(2), 0, look_counts(8, 40)
    assert counts[0] == 8
    assert counts[-1] == 40
    assert counts == sorted(counts)
    for _ in range(150):
        a, b = rng.normal(0.9, 0.02, 40), rng.normal(0.9, 0.02, 40)
        for look, count in enumerate(counts, 1):
            verdict = judge(a[:count].tolist(), b[:count].tolist(), 0.0, 0.05, len(counts), look == len(counts)).verdict
            if verdict in (BETTER, WORSE):
                wrong_verdicts += 1
                break
    assert wrong_verdicts / 150 < 0.08


def test_judge_gives_each_verdict_only_with_evidence() -> None:
    base = [0.9 + 0.001 * (k % 5) for k in range(10)]
    better = [x + 0.01 + 0.001 * (k % 3) for k, x in enumerate(base)]
    assert judge(base, better, 0.002, 0.05, 1, True).verdict == BETTER
    assert judge(better, base, 0.002, 0.05, 1, True).verdict == WORSE
    similar = [x + 0.0003 * (-1) ** k for k, x in enumerate(base)]
    assert judge(base, similar, 0.002, 0.05, 1, False).verdict == SAME
    noisy = [x + 0.05 * (-1) ** k for k, x in enumerate(base)]
    assert judge(base, noisy, 0.002, 0.05, 1, False).verdict == UNDECIDED
    assert judge(base, noisy, 0.002, 0.05, 1, True).verdict == NO_DIFFERENCE
    assert math.isinf(interval([1.0, 2.0]).low)
    with pytest.raises(ValueError, match="pairs"):
        judge(base, better[:-1], 0.002, 0.05, 1, True)


def test_bimodal_runs_have_two_outcomes_and_unimodal_ones_are_not_split() -> None:
    rng = np.random.default_rng(3)
    for draw in (rng.normal, lambda m, s, n: rng.uniform(m - s, m + s, n)):
        split = sum(len(find_outcomes(draw(0.8, 0.05, 20).tolist())) > 1 for _ in range(300))
        assert split / 300 < 0.03, "unimodal samples are split"
    bimodal = [0.93 + 0.004 * (k % 4) if k % 3 else 0.41 + 0.01 * (k % 5) for k in range(21)]
    low, high = find_outcomes(bimodal)
    assert low.share == pytest.approx(1 / 3)
    assert low.mean < 0.5
    assert high.mean > 0.9
    constant = [0.93] * 21
    counts = compare.count_low_outcomes(bimodal, constant)
    assert counts
    assert (counts.count_a, counts.count_b) == (7, 0)
    assert counts.p_value == pytest.approx(2 * 0.5**7)
    assert compare.count_low_outcomes(constant, constant) is None


def test_prediction_interval_covers_another_run() -> None:
    rng, hits = np.random.default_rng(4), 0
    for _ in range(400):
        sample = rng.normal(0.9, 0.01, 21)
        low, high = prediction_interval(sample[:20].tolist(), 0.9)
        hits += low <= sample[20] <= high
    assert hits / 400 > 0.87
    assert hit_probability(18, 20, 0.9) > 0.05 > hit_probability(14, 20, 0.9)
    with pytest.raises(ValueError, match="too few"):
        prediction_interval([0.9] * 4, 0.9)


# ---- runs --------------------------------------------------------------------------------------------------


def test_paired_runs_share_random_draws_when_retries_differ() -> None:
    """More retries make more random draws; arrivals, work and failed hosts stay the same, as do most host choices."""
    more_retries = SHORT.model_copy(update={"forwarders": SHORT.forwarders.model_copy(update={"usual_retry": 2})})
    first, second = emulate(SHORT, 5), emulate(more_retries, 5)

    def fields_of(emulation: Any, kind: str, *fields: int) -> list[Any]:
        return [tuple(r[k] for k in fields) for r in emulation.records if r[3] == kind]

    assert fields_of(first, "asked", 4, 5, 6, 7) == fields_of(second, "asked", 4, 5, 6, 7)
    assert fields_of(first, "stop", 0) == fields_of(second, "stop", 0)
    picks = [{(r[4], r[5], r[6]): r[9] for r in emulation.records if r[3] == "send"} for emulation in (first, second)]
    common = picks[0].keys() & picks[1].keys()
    assert len(common) > 50
    assert sum(picks[0][k] == picks[1][k] for k in common) / len(common) > 0.8


def test_stored_results_are_not_run_again(tmp_path: Path) -> None:
    done: list[tuple[int, bool]] = []
    jobs = [Job(Setting("a", SHORT), seed) for seed in (1, 2)]
    with pool(tmp_path / "runs.db", 1, lambda job, _, was_stored: done.append((job.seed, was_stored))) as job_pool:
        first = job_pool.all(jobs[:1])
    with pool(tmp_path / "runs.db", 2, lambda job, _, was_stored: done.append((job.seed, was_stored))) as job_pool:
        both = job_pool.all(jobs)
    assert done == [(1, False), (1, True), (2, False)]
    assert both[jobs[0].key] == first[jobs[0].key]
    assert 0.0 < both[jobs[1].key].service <= 1.0
    other = Setting("a", SHORT.model_copy(update={"reports": SHORT.reports.model_copy(update={"every_ms": 777.0})}))
    assert Job(other, 1).key != jobs[0].key
    assert Job(Setting("a", SHORT), 1, "loopback").key != jobs[0].key
    bounded = ResultStore(tmp_path / "few.db", max_rows=2)
    for seed in range(5):
        bounded.put(Job(Setting("a", SHORT), seed), run_result(seed, 0.9))
    is_stored = [bounded.get(Job(Setting("a", SHORT), seed).key) is not None for seed in range(5)]
    assert is_stored == [False] * 3 + [True] * 2
    bounded.close()


def test_failed_run_is_reported_with_setting_and_seed(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    def fail(job: Job) -> RunResult:
        raise RuntimeError("no such scenario")

    monkeypatch.setattr(runs, "execute_job", fail)
    error = "a, seed 7: RuntimeError: no such scenario"
    with pool(tmp_path / "runs.db", 1) as job_pool, pytest.raises(runs.RunFailedError, match=error):
        job_pool.all([Job(Setting("a", SHORT), 7)])


def test_assigner_of_another_checkout_replaces_this_one(tmp_path: Path) -> None:
    folder = tmp_path / "other" / "corallanding" / "assignment"
    shutil.copytree(
        Path(api.__file__).parent.parent / "assignment", folder, ignore=shutil.ignore_patterns("__pycache__")
    )
    (tmp_path / "day.hcl").write_text(scenario_hcl(SHORT))
    setting = load_setting(tmp_path / "day.hcl", None, tmp_path / "other")
    ours = emulate(SHORT, 2)
    theirs = emulate(SHORT, 2, decider=runs.load_assigner(setting.module))
    assert ours.records == theirs.records
    assert setting.digests[0] != Setting("a", SHORT).digests[0]
    output = CliRunner().invoke(lab, ["compare", str(tmp_path / "day.hcl"), "--module", str(tmp_path)])
    assert output.exit_code == 2


# ---- the commands ------------------------------------------------------------------------------------------


def test_compare_stops_when_the_answer_is_clear_and_writes_its_page(tmp_path: Path) -> None:
    (tmp_path / "a.hcl").write_text(scenario_hcl(SHORT))
    arguments = [
        "compare",
        str(tmp_path / "a.hcl"),
        "--kept",
        str(tmp_path / "runs.db"),
        "--workers",
        "1",
        "--runs",
        "8",
    ]
    command = CliRunner().invoke(lab, [*arguments, "--set", "traffic.retries=0", "--out", str(tmp_path / "p.html")])
    assert command.exit_code == 0, command.output
    assert "billed service:" in command.output
    assert "over" in command.output
    html = (tmp_path / "p.html").read_text()
    assert html.count("data:image/png;base64,") == 2
    assert "http" not in html.replace("data:image", "")
    first_bytes = (tmp_path / "p.html").read_bytes()
    CliRunner().invoke(lab, [*arguments, "--set", "traffic.retries=0", "--out", str(tmp_path / "p.html")])
    assert (tmp_path / "p.html").read_bytes() == first_bytes, "the same runs give the same bytes"
    command = CliRunner().invoke(lab, [*arguments, "--set", 'name="x"', "--out", str(tmp_path / "p.md")])
    assert command.exit_code == 0 and "same within the margin" in command.output, "a name changes no result"
    assert "| service |" in (tmp_path / "p.md").read_text()


@pytest.mark.parametrize(
    ("arguments", "message"),
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
def test_bad_input_is_reported_by_name(tmp_path: Path, arguments: list[str], message: str) -> None:
    (tmp_path / "day.hcl").write_text(scenario_hcl(SHORT))
    (tmp_path / "steward.hcl").write_text(
        f'steward {{\n  listen = "127.0.0.1:1"\n}}\nstore {{\n  path = "{tmp_path}/s.db"\n}}\nroster {{\n'
        '  address = "127.0.0.1:1"\n}\nslices {\n  count = 9\n}\noperation "quote" {\n  repeat = "idempotent"\n'
        "  latency_objective_ms = 1\n  integration_timeout_ms = 2\n}\n"
    )
    names = {"DAY": str(tmp_path / "day.hcl"), "STEWARD": str(tmp_path / "steward.hcl"), "NONE": str(tmp_path / "none")}
    command = CliRunner().invoke(lab, [names.get(argument, argument) for argument in arguments])
    assert command.exit_code == 2 and message in command.output + (command.stderr or ""), command.output


def test_controller_configuration_runs_on_a_scenario(tmp_path: Path) -> None:
    from corallanding.lab.fleet.emulate import controller_config_for

    config = controller_config_for(SHORT.model_dump_json())
    setting = Setting("whole", SHORT, config)
    assert emulate(SHORT, 1, config).records == emulate(SHORT, 1).records
    changed = with_override(setting, "reports.every_ms", "2000")
    assert changed.config
    assert changed.config.reports.every_ms == 2000.0
    assert changed.label == "whole with reports.every_ms = 2000"
    assert emulate(SHORT, 1, changed.config).records != emulate(SHORT, 1).records
    assert with_key(SHORT, "seconds", "9").seconds == 9.0


def test_sweep_compares_each_value_with_the_first(tmp_path: Path) -> None:
    with pool(tmp_path / "runs.db", 1) as job_pool:
        settings = [
            with_override(Setting("s", SHORT), "reports.every_ms", value, value) for value in ("500", "500.0", "3000")
        ]
        points = compare.sweep(settings, 3, job_pool)
    assert points[0].difference is None
    assert points[1].difference
    assert points[1].difference.mean == 0.0
    assert "3000" in page.sweep_page(points, "reports.every_ms", "s", 0.05).markdown()


# ---- recorded days -----------------------------------------------------------------------------------------


def recording(*steps: tuple[float, list[Any]]) -> Recording:
    request_class = api.RequestClass("o", api.Idempotency.IDEMPOTENT, "all", 5000.0, 1.0, 0.0, 1000.0, 3000.0)
    settings = api.Settings(slice_count=3, request_classes=(request_class,), report_interval_ms=1000.0)
    return Recording(settings, 1, [(t, events, []) for t, events in steps], False)


def entry(host: int, state: str = "up", since: float = 0.0) -> api.HostEntry:
    return api.HostEntry(host, state=state, online_since=since)


def full_update(*rows: api.HostEntry) -> api.HostListUpdate:
    return api.HostListUpdate(api.HostListKind.FULL, 1, rows)


def change_update(*rows: api.HostEntry) -> api.HostListUpdate:
    return api.HostListUpdate(api.HostListKind.CHANGES, 2, rows)


def test_gaps_of_a_recording_are_marked_and_filled() -> None:
    hosts = full_update(entry(0), entry(1), entry(2))
    steps: list[tuple[float, list[Any]]] = [(0.0, [hosts, api.ProxyJoined(4, 1, 9.0, True)])]
    for second in range(1, 11):
        if not 4 <= second <= 6:  # three usage reports are missing
            steps.append(
                (
                    second * 1000.0,
                    [api.SliceUsageReport(0, 0, 10, 1, 1000.0), api.SliceUsageReport(1, 0, 20, 0, 1000.0)],
                )
            )
    steps.append((14_000.0, [api.SliceUsageReport(0, 0, 40, 0, 4000.0)]))  # one late report over four periods
    steps.append((4_500.0, [change_update(entry(1, "draining")), change_update(entry(2, "removed"))]))
    steps.append((6_500.0, [change_update(entry(1, "removed")), change_update(entry(7, since=6_000.0))]))
    day = recorded.day_from_recording(recording(*sorted(steps, key=lambda s: s[0])), notice_ms=400.0)
    assert day.length_ms == 14_000.0
    assert day.gaps == [(3_000.0, 6_000.0)]
    assert day.late_spans == [(10_000.0, 14_000.0)]
    filled = [w for w in day.windows if (w.begin_ms, w.end_ms) == day.gaps[0]]
    assert [(w.slice, w.count) for w in filled] == [(0, pytest.approx(30.0)), (1, pytest.approx(60.0))]
    assert day.filled_requests == pytest.approx(90.0)
    assert day.proxies == {4: (1, 9.0)}
    assert [(x.at_ms, x.what, x.host) for x in day.host_changes] == [
        (4_100.0, "draining", 1),
        (4_100.0, "dead", 2),
        (6_300.0, "up", 7),
        (6_500.0, "gone", 1),
    ]
    request_classes = [recorded.OperationSpec("o", 1.0, 100.0, 0.5, 1000.0, 3000.0, 1.0, 0.0, True)]
    traffic = recorded.generate_arrivals(day, 1, request_classes)
    assert len(traffic.at) == pytest.approx(70 + 140 + 40 + 90, abs=1)
    assert (np.diff(traffic.at) >= 0).all()
    assert ((traffic.at >= 3_000) & (traffic.at < 6_000)).sum() == pytest.approx(90, abs=1)
    again = recorded.generate_arrivals(day, 1, request_classes)
    assert (again.at == traffic.at).all()
    assert (again.work == traffic.work).all()


def test_slow_host_is_detected_and_recovers() -> None:
    hosts = full_update(entry(0), entry(1), entry(2))
    steps: list[tuple[float, list[Any]]] = [(0.0, [hosts, api.ProxyJoined(0, 0, 1.0, True)])]
    for second in range(1, 9):
        latency_ms = 900.0 if 3 <= second <= 5 else 200.0
        reports = [api.HostUsageReport(0, h, 9, 0, latency_ms if h == 1 else 200.0, 1000.0) for h in range(3)]
        steps.append((second * 1000.0, [api.SliceUsageReport(0, 0, 5, 0, 1000.0), *reports]))
    day = recorded.day_from_recording(recording(*steps), 0.0)
    assert [(x.at_ms, x.what, x.host, x.slowness) for x in day.host_changes] == [
        (3_000.0, "slow", 1, 4.5),
        (6_000.0, "slow", 1, 1.0),
    ]


@pytest.mark.parametrize(
    ("events", "reason"), [([], "no usage reports"), ([api.SliceUsageReport(0, 0, 1, 0, 1000.0)], "no proxy joined")]
)
def test_unusable_recording_is_rejected_with_the_reason(events: list[Any], reason: str) -> None:
    with pytest.raises(recorded.UnusableRecordingError, match=reason):
        recorded.day_from_recording(recording((5_000.0, events)), 0.0)


def test_recording_of_an_emulated_run_replays_as_that_run(tmp_path: Path) -> None:
    """A recorded run, read and replayed, has the same requests within its report periods, the same host failures, the
    same service within a few points, and the same bytes in two replays.
    """
    faults = [Fault(kind="crash", at_s=3, for_s=3, part=0.2), Fault(kind="deploy", at_s=5, for_s=6, part=0.3, extra=1)]
    scenario = HARD.model_copy(update={"seconds": 14.0, "fault": faults})
    emulation = emulate(scenario, 1, record=str(tmp_path / "s"))
    recorded_scenario = recorded.day_from_recording(read_recording(tmp_path / "s-1.rec"), scenario.roster.notice_ms)
    requests = sum(w.count for w in recorded_scenario.windows)
    assert requests == pytest.approx(emulation.result["invocations"], rel=0.12)  # the last period was not reported
    kinds = [x.what for x in recorded_scenario.host_changes]
    stopped = sum(r[3] == "stop" and r[2] < emulation.begun_ms + 13_900.0 for r in emulation.records)
    assert kinds.count("dead") >= 1
    assert kinds.count("gone") >= 1
    assert kinds.count("dead") + kinds.count("gone") == pytest.approx(stopped, abs=1)
    (tmp_path / "day.hcl").write_text(scenario_hcl(scenario))
    arguments = [
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
    for attempt in (1, 2):
        page_path = tmp_path / f"{attempt}.html"
        command = CliRunner().invoke(
            lab, [*arguments, "--kept", str(tmp_path / f"{attempt}.db"), "--out", str(page_path)]
        )
        assert command.exit_code == 0, command.output
        pages.append(page_path.read_bytes())
    assert pages[0] == pages[1]
    with pool(tmp_path / "1.db", 1) as job_pool:
        services = [r for (r,) in job_pool.store.db.execute("select service from run")]
    assert abs(services[0] - emulation.result["service"]) < 0.05, (services, emulation.result["service"])


def test_trace_gives_exact_arrivals(tmp_path: Path) -> None:
    emulation = emulate(SHORT, 3)
    traffic = recorded.traffic_from_trace(emulation.records)
    asked = [r for r in emulation.records if r[3] == "asked"]
    work = {r[4]: r[10] for r in emulation.records if r[3] == "take"}
    assert len(traffic.at) == len(asked)
    assert traffic.slice.tolist() == [r[6] for r in asked]
    assert all(traffic.work[k] == work[r[4]] for k, r in enumerate(asked) if r[4] in work)
    assert not np.isnan(traffic.work).any()
    with pytest.raises(recorded.UnusableRecordingError, match="no client request"):
        recorded.traffic_from_trace([])


def test_report_lists_stored_results(tmp_path: Path) -> None:
    command = CliRunner().invoke(lab, ["report", "--kept", str(tmp_path / "no.db"), "--out", str(tmp_path / "r.md")])
    assert command.exit_code == 2
    assert "no such file of results" in command.output + (command.stderr or "")
    with pool(tmp_path / "runs.db", 1) as job_pool:
        for seed in range(4):
            job_pool.store.put(Job(Setting("a", SHORT), seed), run_result(seed, 0.9 + seed / 1000))
    command = CliRunner().invoke(lab, ["report", "--kept", str(tmp_path / "runs.db"), "--out", str(tmp_path / "r.md")])
    assert command.exit_code == 0
    assert "| a |" in (tmp_path / "r.md").read_text()


# ---- the search --------------------------------------------------------------------------------------------


def test_worst_faults_are_minimized() -> None:
    harm = {"crash": 0.3, "slow": 0.02, "drain": 0.0}
    faults = [Fault(kind=k, at_s=1.0, for_s=8.0 if k == "crash" else 4.0, part=0.2) for k in harm]

    def evaluate(candidates: list[list[Fault]]) -> list[float]:
        # A crash shorter than five seconds does no harm; its share of hosts has no effect.
        return [1.0 - sum(harm[f.kind] * (f.kind != "crash" or f.for_s >= 5.0) for f in d) for d in candidates]

    remaining = search.minimized(faults, target=1.0 - 0.9 * 0.32, evaluate=evaluate)
    assert [f.kind for f in remaining] == ["crash"]
    assert remaining[0].for_s >= 5.0
    assert remaining[0].part < 0.1


def test_search_writes_a_scenario_worse_than_without_faults(tmp_path: Path) -> None:
    (tmp_path / "day.hcl").write_text(scenario_hcl(SHORT.model_copy(update={"seconds": 6.0, "fault": []})))
    out = tmp_path / "worst.hcl"
    arguments = [
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
    command = CliRunner().invoke(lab, arguments)
    assert command.exit_code == 0, command.output
    found = load_scenario(out)
    assert found.fault
    assert {f.kind for f in found.fault} <= {"crash", "hang"}
    again = tmp_path / "again.hcl"
    arguments[3] = str(again)
    CliRunner().invoke(lab, arguments)
    assert again.read_text() == out.read_text(), "the same seed finds the same scenario"
    service, baseline = (emulate(x, 1).result["service"] for x in (found, found.model_copy(update={"fault": []})))
    assert service < baseline


def test_page_shows_two_outcomes_instead_of_their_mean() -> None:
    a, b = Setting("a", SHORT), Setting("b", SHORT)
    bimodal = [run_result(seed, 0.9 if seed % 2 else 0.4) for seed in range(10)]
    constant = [run_result(seed, 0.9) for seed in range(10)]
    judgement = judge([r.service for r in bimodal], [r.service for r in constant], 0.002, 0.05, 1, True)
    comparison = compare.Comparison(
        a,
        b,
        bimodal,
        constant,
        judgement,
        1,
        {},
        find_outcomes([r.service for r in bimodal]),
        find_outcomes([0.9] * 10),
        compare.count_low_outcomes([r.service for r in bimodal], [r.service for r in constant]),
    )
    markdown = page.comparison_page(comparison, 0.002, 0.05).markdown()
    assert "two outcomes: 0.4000 in 50% of the runs; 0.9000 in 50%" in markdown
    assert "ended 5 of 10 runs under a and 0 under b" in markdown
    assert "no run is near the mean" in markdown


def test_help_lists_the_commands() -> None:
    command = CliRunner().invoke(lab, ["--help"])
    assert all(name in command.output for name in ("compare", "sweep", "search", "predict", "replay-day"))
    assert app is not None
