"""`corallanding lab compare`, `sweep`, `search`, `predict`, `replay-day`: experiments on the emulated fleet."""

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

if TYPE_CHECKING:  # a steward's start goes by this file, and must not wait for what experiments stand on
    from .runs import Job, Pool, RunResult

RunsOption = Annotated[int, typer.Option("--runs", min=3, max=1000, help="pairs of runs at most")]
ResultsOption = Annotated[Path, typer.Option("--kept", help="the file of results; what stands there is not run again")]
WorkersOption = Annotated[int, typer.Option("--workers", min=1, max=64, help="processes")]
ReportOption = Annotated[Optional[Path], typer.Option("--out", help="a page: .html or .md")]  # noqa: UP045
SeedOption = Annotated[int, typer.Option("--seed", help="the first seed")]
ErrorOption = Annotated[float, typer.Option("--error", min=0.001, max=0.5, help="chance of a wrong word")]
DEFAULT_RESULTS_PATH, DEFAULT_WORKERS = Path("out/runs.db"), max(1, (os.cpu_count() or 2) - 1)


@contextmanager
def faults() -> Iterator[None]:
    """Bad input and runs that could not be made, by name. Ctrl-C keeps what is done."""
    from .runs import RunFailedError

    try:
        yield
    except ConfigError as fault:
        raise fail(fault) from None
    except RunFailedError as fault:
        raise fail(fault, 3) from None
    except KeyboardInterrupt:
        raise fail("broken off; the same command goes on from here", 130) from None


@contextmanager
def making(kept: Path, workers: int, total: int) -> Iterator[Pool]:
    """A pool that shows how far it is where somebody looks."""
    from rich.console import Console
    from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeRemainingColumn

    from .runs import pool

    bar = Progress(
        TextColumn("{task.description}"),
        BarColumn(),
        MofNCompleteColumn(),
        TimeRemainingColumn(),
        console=Console(stderr=True),
        disable=not sys.stderr.isatty(),
        transient=True,
    )
    with bar:
        task = bar.add_task("runs", total=total)

        def tell(job: Job, row: RunResult, known: bool) -> None:
            bar.update(task, advance=1, description=f"{job.setting.label}, seed {job.seed}: {row.service:.3f}")

        with pool(kept, workers, tell) as found:
            yield found


def add(lab: typer.Typer) -> None:
    for name, command in COMMANDS.items():
        lab.command(name)(command)


def compare(
    a: Annotated[Path, typer.Argument(help="a scenario, or a steward's configuration (then --day)")],
    b: Annotated[Optional[Path], typer.Argument(help="the other; without it, --set or --module")] = None,  # noqa: UP045
    day: Annotated[Optional[Path], typer.Option("--day", help="the scenario that both stewards meet")] = None,  # noqa: UP045
    put: Annotated[Optional[list[str]], typer.Option("--set", help="KEY=VALUE: what B has otherwise")] = None,  # noqa: UP045
    module: Annotated[
        Optional[Path], typer.Option("--module", help="B decides by this checkout's module, with this version's rest")  # noqa: UP045
    ] = None,
    runs: RunsOption = 40,
    margin: Annotated[float, typer.Option("--margin", min=0.0, help="a difference that does not matter")] = 0.002,
    loopback: Annotated[bool, typer.Option("--loopback", help="real runs on sockets; few --workers then")] = False,
    error: ErrorOption = 0.05,
    seed: SeedOption = 1,
    out: ReportOption = None,
    kept: ResultsOption = DEFAULT_RESULTS_PATH,
    workers: WorkersOption = DEFAULT_WORKERS,
) -> None:
    """Billed service of B against A on the same emulated days, with an interval. Stops when the answer is clear."""
    from . import page
    from .compare import compare as play
    from .runs import EMULATED, LOOPBACK
    from .settings import load_setting, with_overrides

    with faults():
        one = load_setting(a, day)
        two = load_setting(b or a, day, module)
        if b is None and not put and module is None:
            raise ConfigError("B is missing: another file, --set KEY=VALUE or --module CHECKOUT")
        two = with_overrides(two, put)
        if two.label == one.label:
            two = replace(two, label=f"{two.label} ({module or b})")
        if list(one.scenario.operation) != list(two.scenario.operation):
            raise ConfigError(f"{b}: operation: other than those of {a}")
        if loopback and (one.config or two.config or two.module):
            raise ConfigError("--loopback: goes with scenarios and the module as it is")
        with making(kept, workers, runs * 2) as by:
            found = play(
                one,
                two,
                runs,
                by,
                margin,
                error,
                seed,
                lambda w, n: print(f"{n:4} pairs: {w.verdict}, {page.signed(w.difference)}", file=sys.stderr),
                LOOPBACK if loopback else EMULATED,
            )
        print(page.verdict(found))
        for name, i in found.other_differences.items():
            print(f"  {name.replace('_', ' '):16} {page.signed(i)}")
        print(
            f"  runs with a broken rule: {found.broken_counts[0]} and {found.broken_counts[1]} of {len(found.rows_a)}"
        )
        if out:
            page.compared(found, margin, error).write(out)


def sweep(
    file: Annotated[Path, typer.Argument(help="a scenario, or a steward's configuration (then --day)")],
    key: Annotated[str, typer.Argument(help="the key, e.g. reports.every_ms")],
    values: Annotated[list[str], typer.Argument(help="its values; the first is what the others are held against")],
    day: Annotated[Optional[Path], typer.Option("--day")] = None,  # noqa: UP045
    runs: RunsOption = 12,
    error: ErrorOption = 0.05,
    seed: SeedOption = 1,
    out: ReportOption = None,
    kept: ResultsOption = DEFAULT_RESULTS_PATH,
    workers: WorkersOption = DEFAULT_WORKERS,
) -> None:
    """One key over several values, the same seeds for each."""
    from . import page
    from .compare import sweep as play
    from .settings import load_setting, with_override

    with faults():
        base = load_setting(file, day)
        settings = [with_override(base, key, v, v) for v in values]
        with making(kept, workers, runs * len(values)) as by:
            rows = play(settings, runs, by, error, seed)
        for r in rows:
            against = f"  {page.signed(r.difference)}" if r.difference else ""
            print(f"{key} = {r.value:10} {page.told(r.outcomes)}{against}")
        if out:
            page.swept(rows, key, base.label, error).write(out)


def search(
    file: Annotated[Path, typer.Argument(help="the day without its faults: a scenario, or a configuration with --day")],
    out: Annotated[Path, typer.Option("--out", help="the scenario file for the worst day")],
    day: Annotated[Optional[Path], typer.Option("--day")] = None,  # noqa: UP045
    budget: Annotated[int, typer.Option("--budget", min=20, max=100_000, help="runs for drawing and breeding")] = 400,
    max_faults: Annotated[int, typer.Option("--faults", min=1, max=12, help="faults a day")] = 4,
    kind: Annotated[Optional[list[str]], typer.Option("--kind", help="only these kinds of fault")] = None,  # noqa: UP045
    seed: SeedOption = 1,
    kept: ResultsOption = DEFAULT_RESULTS_PATH,
    workers: WorkersOption = DEFAULT_WORKERS,
) -> None:
    """Look for the worst day within bounds, cut it down to what matters, and keep it as a scenario."""
    from ..scenario_text import scenario_hcl
    from .search import RANGES
    from .search import search as play
    from .settings import load_setting

    with faults():
        for k in kind or ():
            if k not in RANGES:
                raise ConfigError(f"--kind {k}: not one of {', '.join(sorted(RANGES))}")
        base = load_setting(file, day)
        with making(kept, workers, budget * 2) as by:
            found = play(
                base,
                budget,
                by,
                max_faults=max_faults,
                kinds=kind,
                seed=seed,
                on_progress=lambda t: print(t, file=sys.stderr),
            )
        out.parent.mkdir(parents=True, exist_ok=True)
        out.write_text(scenario_hcl(found.scenario))
        print(
            f"{out}: service {found.score:.4f} by {len(found.scores_without_fault)} faults, {found.baseline:.4f} without any; "
            f"{found.runs} emulated runs"
        )
        for f, without in found.scores_without_fault:
            print(f"  {f.kind} at {f.at_s:g} s for {f.for_s:g} s: without it {without:.4f}")
        if found.broken:
            print(f"  rules broken: {'; '.join(found.broken)}")
        print(f"  on sockets: corallanding lab run {out} --out out/worst")


def predict(
    files: Annotated[list[Path], typer.Argument(help="scenarios")],
    runs: Annotated[int, typer.Option("--runs", min=5, max=1000, help="emulated runs")] = 40,
    loopback: Annotated[int, typer.Option("--loopback", min=1, max=1000, help="runs on loopback")] = 20,
    level: Annotated[float, typer.Option("--level", min=0.5, max=0.99)] = 0.9,
    seed: SeedOption = 1,
    out: ReportOption = None,
    kept: ResultsOption = DEFAULT_RESULTS_PATH,
    workers: WorkersOption = DEFAULT_WORKERS,
    beside: Annotated[int, typer.Option("--beside", min=1, max=16, help="runs on loopback side by side")] = 2,
) -> None:
    """Say where a run on loopback will lie, run it, and count how often that was right."""
    from . import page
    from .compare import predict as play
    from .settings import load_setting

    with faults():
        found = []
        with making(kept, workers, len(files) * runs) as by, making(kept, beside, len(files) * loopback) as real:
            for path in files:
                found += play(load_setting(path, None), runs, loopback, by, real, level, seed)
        made = page.predicted(found)
        print(made.markdown())
        if out:
            made.write(out)


def replay_day(
    recording: Annotated[Path, typer.Argument(help="a steward's recording (--record)")],
    like: Annotated[Path, typer.Option("--like", help="that day's setting: a scenario, or a configuration with --day")],
    other: Annotated[Optional[Path], typer.Option("--with", help="the other setting, in the same form")] = None,  # noqa: UP045
    put: Annotated[Optional[list[str]], typer.Option("--set", help="KEY=VALUE in the other setting")] = None,  # noqa: UP045
    day: Annotated[Optional[Path], typer.Option("--day", help="hosts, operations and clients of both")] = None,  # noqa: UP045
    trace: Annotated[
        Optional[Path], typer.Option("--trace", help="a trace of the same day: its arrivals, exactly")  # noqa: UP045
    ] = None,
    every: Annotated[float, typer.Option("--every", min=1.0, help="seconds of a row")] = 60.0,
    runs: Annotated[int, typer.Option("--runs", min=1, max=200)] = 3,
    seed: SeedOption = 1,
    out: ReportOption = None,
    kept: ResultsOption = DEFAULT_RESULTS_PATH,
    workers: WorkersOption = DEFAULT_WORKERS,
) -> None:
    """The billed service that a recorded day would have had under each setting, minute by minute."""
    from . import page
    from .runs import Job
    from .settings import load_setting, with_overrides, with_recording

    with faults():
        one, found = with_recording(load_setting(like, day), recording, trace)
        settings = [one]
        if other or put:
            two = with_recording(load_setting(other, day), recording, trace)[0] if other else one
            settings.append(with_overrides(two, put))
        seeds = range(seed, seed + runs)
        with making(kept, workers, runs * len(settings)) as by:
            done = by.all([Job(s, n) for s in settings for n in seeds])
        pairs = [(s.label, [done[Job(s, n).key] for n in seeds]) for s in settings]
        made = page.replayed(found, pairs, every)
        print(made.markdown())
        if out:
            made.write(out)


def report(
    out: Annotated[Path, typer.Option("--out", help="a page: .html or .md")],
    kept: ResultsOption = DEFAULT_RESULTS_PATH,
    name: Annotated[str, typer.Option("--scenario", help="only this one")] = "",
) -> None:
    """A page of all results that a file holds."""
    from . import page
    from .runs import ResultStore

    with faults():
        if not kept.is_file():
            raise ConfigError(f"{kept}: there is no such file of results")
        runs = ResultStore(kept)
        rows = runs.rows(name)
        runs.close()
        if not rows:
            raise ConfigError(f"{kept}: no runs" + (f" of {name}" if name else ""))
        page.kept(rows).write(out)
        print(f"{out}: {len(rows)} runs")


COMMANDS: dict[str, Callable[..., None]] = {
    "compare": compare,
    "sweep": sweep,
    "search": search,
    "predict": predict,
    "replay-day": replay_day,
    "report": report,
}
