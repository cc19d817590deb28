"""`corallanding lab compare`, `sweep`, `search`, `predict`, `replay-day`, `report`: experiments and their results.

A run is emulated within one process, except that `compare --loopback` and `predict` run real processes on loopback
sockets. The billed service of a run is the share of requests answered, by priority weight, from 0 to 1.
"""

from __future__ import annotations

import os
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Optional

import typer

from ...cli import fail
from ...config import ConfigError

# The command line imports this file even to start a controller, which must not wait for the imports of experiments.
if TYPE_CHECKING:
    from .runs import Job, Pool, RunResult

RunsOption = Annotated[
    int, typer.Option("--runs", min=3, max=1000, help="maximum number of pairs of runs; for sweep, runs per value")
]
ResultsOption = Annotated[Path, typer.Option("--kept", help="file of results; runs stored in it are not repeated")]
WorkersOption = Annotated[int, typer.Option("--workers", min=1, max=64, help="number of processes that execute runs")]
ReportOption = Annotated[Optional[Path], typer.Option("--out", help="file for a page of the results: .html or .md")]  # noqa: UP045
SeedOption = Annotated[
    int, typer.Option("--seed", help="first seed of the runs; for search, seed of its random choices")
]
ErrorOption = Annotated[
    float, typer.Option("--error", min=0.001, max=0.5, help="maximum probability of a wrong verdict or interval")
]
DEFAULT_RESULTS_PATH, DEFAULT_WORKERS = Path("out/runs.db"), max(1, (os.cpu_count() or 2) - 1)


@contextmanager
def reported_errors() -> Iterator[None]:
    """Report bad input, failed runs and Ctrl-C as a message, and exit.

    The exit code is 3 for a failed run and 130, as shells have it, for Ctrl-C. Results of completed runs are stored one
    by one, so the same command continues after them.
    """
    from .runs import RunFailedError

    try:
        yield
    except ConfigError as error:
        raise fail(error) from None
    except RunFailedError as error:
        raise fail(error, 3) from None
    except KeyboardInterrupt:
        raise fail(
            "interrupted; results are stored, and the same command executes only the remaining runs", 130
        ) from None


@contextmanager
def pool_with_progress(results_path: Path, workers: int, total: int) -> Iterator[Pool]:
    """Open a pool that shows its progress if stderr is a terminal."""
    from rich.console import Console
    from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeRemainingColumn

    from .runs import pool

    progress = Progress(
        TextColumn("{task.description}"),
        BarColumn(),
        MofNCompleteColumn(),
        TimeRemainingColumn(),
        console=Console(stderr=True),
        disable=not sys.stderr.isatty(),
        transient=True,
    )
    with progress:
        task = progress.add_task("runs", total=total)

        def on_done(job: Job, result: RunResult, is_stored: bool) -> None:
            progress.update(task, advance=1, description=f"{job.setting.label}, seed {job.seed}: {result.service:.3f}")

        with pool(results_path, workers, on_done) as jobs:
            yield jobs


def add(lab: typer.Typer) -> None:
    """Add the commands of this file to `lab`, the command group `corallanding lab`."""
    for name, command in COMMANDS.items():
        lab.command(name)(command)


def compare(
    a: Annotated[Path, typer.Argument(help="A: a scenario, or a controller's configuration with --day")],
    b: Annotated[Optional[Path], typer.Argument(help="B, in the same form; default: A with --set or --module")] = None,  # noqa: UP045
    day: Annotated[Optional[Path], typer.Option("--day", help="scenario for the configurations")] = None,  # noqa: UP045
    overrides: Annotated[
        Optional[list[str]], typer.Option("--set", help="KEY=VALUE to change in B; repeatable")  # noqa: UP045
    ] = None,
    module: Annotated[
        Optional[Path],  # noqa: UP045
        typer.Option("--module", help="checkout whose assigner B uses; all other code is this version's"),
    ] = None,
    runs: RunsOption = 40,
    margin: Annotated[
        float, typer.Option("--margin", min=0.0, help="difference of billed service that counts as none")
    ] = 0.002,
    loopback: Annotated[
        bool, typer.Option("--loopback", help="run real processes on sockets; use few --workers")
    ] = False,
    error: ErrorOption = 0.05,
    seed: SeedOption = 1,
    page_path: ReportOption = None,
    results_path: ResultsOption = DEFAULT_RESULTS_PATH,
    workers: WorkersOption = DEFAULT_WORKERS,
) -> None:
    """Compare the billed service of settings B and A in pairs of runs with equal seeds, until the verdict is clear."""
    from . import page
    from .compare import compare as run_comparison
    from .runs import EMULATED, LOOPBACK
    from .settings import load_setting, with_overrides

    with reported_errors():
        setting_a = load_setting(a, day)
        setting_b = load_setting(b or a, day, module)
        if b is None and not overrides and module is None:
            raise ConfigError("B is missing: name another file, --set KEY=VALUE or --module CHECKOUT")
        setting_b = with_overrides(setting_b, overrides)
        if setting_b.label == setting_a.label:
            setting_b = replace(setting_b, label=f"{setting_b.label} ({module or b})")
        if list(setting_a.scenario.operation) != list(setting_b.scenario.operation):
            raise ConfigError(f"{b}: operation: the names, or their order, differ from {a}")
        if loopback and (setting_a.config or setting_b.config or setting_b.module):
            raise ConfigError("--loopback: A and B must be scenarios, without --module")
        with pool_with_progress(results_path, workers, runs * 2) as job_pool:
            found = run_comparison(
                setting_a,
                setting_b,
                runs,
                job_pool,
                margin,
                error,
                seed,
                lambda judgement, pairs: print(
                    f"{pairs:4} pairs: {judgement.verdict}, {page.signed(judgement.difference)}", file=sys.stderr
                ),
                LOOPBACK if loopback else EMULATED,
            )
        print(page.format_verdict(found))
        for name, difference in found.other_differences.items():
            print(f"  {name.replace('_', ' '):16} {page.signed(difference)}")
        broken_a, broken_b = found.broken_counts
        print(f"  runs with a broken rule: A {broken_a}, B {broken_b}, of {len(found.results_a)} each")
        if page_path:
            page.comparison_page(found, margin, error).write(page_path)


def sweep(
    file: Annotated[Path, typer.Argument(help="a scenario, or a controller's configuration with --day")],
    key: Annotated[str, typer.Argument(help="the setting to change, e.g. reports.every_ms")],
    values: Annotated[list[str], typer.Argument(help="its values; each is compared with the first")],
    day: Annotated[Optional[Path], typer.Option("--day")] = None,  # noqa: UP045
    runs: RunsOption = 12,
    error: ErrorOption = 0.05,
    seed: SeedOption = 1,
    page_path: ReportOption = None,
    results_path: ResultsOption = DEFAULT_RESULTS_PATH,
    workers: WorkersOption = DEFAULT_WORKERS,
) -> None:
    """Compare the billed service under several values of one setting, in runs with the same seeds."""
    from . import page
    from .compare import sweep as run_sweep
    from .settings import load_setting, with_override

    with reported_errors():
        base = load_setting(file, day)
        settings = [with_override(base, key, value, value) for value in values]
        with pool_with_progress(results_path, workers, runs * len(values)) as job_pool:
            points = run_sweep(settings, runs, job_pool, error, seed)
        for point in points:
            difference = f"  {page.signed(point.difference)}" if point.difference else ""
            print(f"{key} = {point.value:10} {page.outcomes_text(point.outcomes)}{difference}")
        if page_path:
            page.sweep_page(points, key, base.label, error).write(page_path)


def search(
    file: Annotated[Path, typer.Argument(help="a scenario whose faults are replaced, or a configuration with --day")],
    out: Annotated[Path, typer.Option("--out", help="the scenario file to write")],
    day: Annotated[Optional[Path], typer.Option("--day")] = None,  # noqa: UP045
    budget: Annotated[
        int,
        typer.Option(
            "--budget", min=20, max=100_000, help="runs for random and mutated faults; minimizing adds as many at most"
        ),
    ] = 400,
    max_faults: Annotated[int, typer.Option("--faults", min=1, max=12, help="maximum number of faults")] = 4,
    kinds: Annotated[
        Optional[list[str]], typer.Option("--kind", help="use only this kind of fault; repeatable")  # noqa: UP045
    ] = None,
    seed: SeedOption = 1,
    results_path: ResultsOption = DEFAULT_RESULTS_PATH,
    workers: WorkersOption = DEFAULT_WORKERS,
) -> None:
    """Search for the faults within bounds that reduce the billed service most, and write them as a scenario.

    Faults that contribute little are removed, and the others are made smaller.
    """
    from ..scenario_text import scenario_hcl
    from .search import RANGES
    from .search import search as run_search
    from .settings import load_setting

    with reported_errors():
        for kind in kinds or ():
            if kind not in RANGES:
                raise ConfigError(f"--kind {kind}: not one of {', '.join(sorted(RANGES))}")
        base = load_setting(file, day)
        with pool_with_progress(results_path, workers, budget * 2) as job_pool:
            found = run_search(
                base,
                budget,
                job_pool,
                max_faults=max_faults,
                kinds=kinds,
                seed=seed,
                on_progress=lambda text: print(text, file=sys.stderr),
            )
        out.parent.mkdir(parents=True, exist_ok=True)
        out.write_text(scenario_hcl(found.scenario))
        print(
            f"{out}: score {found.score:.4f} with {len(found.scores_without_fault)} faults, "
            f"{found.baseline:.4f} without any (mean billed service, less the share of runs that broke a rule); "
            f"{found.runs} emulated runs"
        )
        for fault, without in found.scores_without_fault:
            print(f"  {fault.kind} at {fault.at_s:g} s for {fault.for_s:g} s: score without it {without:.4f}")
        if found.broken:
            print(f"  rules broken: {'; '.join(found.broken)}")
        print(f"  to run it on sockets: corallanding lab run {out} --out out/worst")


def predict(
    files: Annotated[list[Path], typer.Argument(help="scenarios")],
    runs: Annotated[int, typer.Option("--runs", min=5, max=1000, help="emulated runs of each scenario")] = 40,
    loopback: Annotated[int, typer.Option("--loopback", min=1, max=1000, help="runs of each on loopback sockets")] = 20,
    level: Annotated[float, typer.Option("--level", min=0.5, max=0.99)] = 0.9,
    seed: SeedOption = 1,
    page_path: ReportOption = None,
    results_path: ResultsOption = DEFAULT_RESULTS_PATH,
    workers: WorkersOption = DEFAULT_WORKERS,
    loopback_workers: Annotated[int, typer.Option("--beside", min=1, max=16, help="concurrent runs on loopback")] = 2,
) -> None:
    """Predict results of runs on loopback sockets from emulated runs, and count how many are in the predicted interval.

    The level is the probability with which the interval should contain a run.
    """
    from . import page
    from .compare import predict as run_prediction
    from .settings import load_setting

    with reported_errors():
        predictions = []
        with (
            pool_with_progress(results_path, workers, len(files) * runs) as job_pool,
            pool_with_progress(results_path, loopback_workers, len(files) * loopback) as loopback_pool,
        ):
            for path in files:
                predictions += run_prediction(
                    load_setting(path, None), runs, loopback, job_pool, loopback_pool, level, seed
                )
        result_page = page.prediction_page(predictions)
        print(result_page.markdown())
        if page_path:
            result_page.write(page_path)


def replay_day(
    recording: Annotated[Path, typer.Argument(help="a controller's recording (--record)")],
    like: Annotated[
        Path, typer.Option("--like", help="the recorded setting: a scenario, or a configuration with --day")
    ],
    other: Annotated[Optional[Path], typer.Option("--with", help="second setting, in the same form")] = None,  # noqa: UP045
    overrides: Annotated[
        Optional[list[str]], typer.Option("--set", help="KEY=VALUE to change in the second setting")  # noqa: UP045
    ] = None,
    day: Annotated[Optional[Path], typer.Option("--day", help="scenario for the configurations")] = None,  # noqa: UP045
    trace: Annotated[
        Optional[Path], typer.Option("--trace", help="trace of the same time span, with exact arrival times")  # noqa: UP045
    ] = None,
    span_s: Annotated[float, typer.Option("--every", min=1.0, help="time span of a table row, s")] = 60.0,
    runs: Annotated[int, typer.Option("--runs", min=1, max=200)] = 3,
    seed: SeedOption = 1,
    page_path: ReportOption = None,
    results_path: ResultsOption = DEFAULT_RESULTS_PATH,
    workers: WorkersOption = DEFAULT_WORKERS,
) -> None:
    """Replay a recording under one setting or two, and show the billed service in each span of time."""
    from . import page
    from .runs import Job
    from .settings import load_setting, with_overrides, with_recording

    with reported_errors():
        setting, recorded = with_recording(load_setting(like, day), recording, trace)
        settings = [setting]
        if other or overrides:
            other_setting = with_recording(load_setting(other, day), recording, trace)[0] if other else setting
            settings.append(with_overrides(other_setting, overrides))
        seeds = range(seed, seed + runs)
        with pool_with_progress(results_path, workers, runs * len(settings)) as job_pool:
            results = job_pool.all([Job(s, run_seed) for s in settings for run_seed in seeds])
        results_by_label = [(s.label, [results[Job(s, run_seed).key] for run_seed in seeds]) for s in settings]
        result_page = page.replay_page(recorded, results_by_label, span_s)
        print(result_page.markdown())
        if page_path:
            result_page.write(page_path)


def report(
    page_path: Annotated[Path, typer.Option("--out", help="file for the page: .html or .md")],
    results_path: ResultsOption = DEFAULT_RESULTS_PATH,
    scenario: Annotated[str, typer.Option("--scenario", help="only results of this scenario")] = "",
) -> None:
    """Write a page of all results in the file of results."""
    from . import page
    from .runs import ResultStore

    with reported_errors():
        if not results_path.is_file():
            raise ConfigError(f"{results_path}: there is no such file of results")
        store = ResultStore(results_path)
        rows = store.rows(scenario)
        store.close()
        if not rows:
            raise ConfigError(f"{results_path}: has no results" + (f" of {scenario}" if scenario else ""))
        page.results_page(rows).write(page_path)
        print(f"{page_path}: {len(rows)} runs")


COMMANDS: dict[str, Callable[..., None]] = {
    "compare": compare,
    "sweep": sweep,
    "search": search,
    "predict": predict,
    "replay-day": replay_day,
    "report": report,
}
