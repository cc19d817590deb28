"""Runs to be made, made in several processes, and kept in SQLite: what was made once is not made again."""

from __future__ import annotations

import hashlib
import importlib.util
import json
import multiprocessing
import sqlite3
import sys
import tempfile
import time
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from contextlib import contextmanager
from dataclasses import dataclass, field
from functools import cached_property, lru_cache
from pathlib import Path
from typing import Any

import msgspec
import numpy as np

from ... import interface as api
from ...config import ControllerConfig
from ...controller.event_inbox import Decider
from ...controller.recorder import read_recording
from .. import report, trace
from ..publishers import PUBLISHERS
from ..scenario import Scenario
from .emulate import emulate
from .recorded import RecordedDay, day_from_recording, traffic_from_trace

EMULATED, LOOPBACK = "emulated", "loopback"
ROOT = Path(__file__).resolve().parents[2]


class RunResult(msgspec.Struct, frozen=True):
    """What one run came to. asked, answered: billed value by the second in which it was asked."""

    scenario: str
    seed: int
    model: str
    service: float
    worst_10_s: float
    worst_operation: float
    by_operation: dict[str, float]
    moves: float
    broken: list[str]  # rules broken, or not judged
    invocations: int
    succeeded: int
    doubles: int
    lives: int
    asked: list[float]
    answered: list[float]
    simulated_s: float
    took_s: float
    events: int


FIGURES = ("service", "worst_10_s", "worst_operation", "moves")


def digest(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()[:16]


@lru_cache(maxsize=16)
def code_digest(path: str) -> str:
    """Of the program's text: this one's, or that of a module elsewhere together with this one's rest."""
    h = hashlib.sha256()
    for file in sorted(ROOT.rglob("*.py")):
        h.update(str(file.relative_to(ROOT)).encode() + b"\0" + file.read_bytes())
    whole = Path(path).name == "__init__.py"
    for file in sorted(Path(path).parent.glob("*.py")) if whole else [Path(path)] if path else []:
        h.update(file.read_bytes())
    return h.hexdigest()[:16]


@dataclass(frozen=True)
class Setting:
    """label; a scenario; a steward's configuration in place of the one that the lab would write; the file of another
    version's module, taken with this version's rest; a recording whose day it meets."""

    label: str
    scenario: Scenario
    config: ControllerConfig | None = None
    module: str = ""
    recording: str = ""
    trace: str = ""  # of the same day: its arrivals are exact

    @cached_property
    def digests(self) -> tuple[str, str, str]:
        """Digests of code, scenario and configuration."""
        config = self.config.model_dump_json() if self.config else ""
        for file in (self.recording, self.trace):
            config += hashlib.sha256(Path(file).read_bytes()).hexdigest() if file else ""
        return code_digest(self.module), digest(self.scenario.model_dump_json()), digest(config)


@dataclass(frozen=True)
class Job:
    setting: Setting
    seed: int
    model: str = EMULATED

    @property
    def key(self) -> str:
        return digest(json.dumps([*self.setting.digests, self.seed, self.model]))


@lru_cache(maxsize=4)
def decider_of(path: str) -> Callable[[api.Settings, int], Decider]:
    """The module of another checkout: its package `assignment`, in this package's place. Raises
    `ImportError`."""
    name = f"corallanding._other_{digest(path)}"
    package = [str(Path(path).parent)] if Path(path).name == "__init__.py" else None
    spec = importlib.util.spec_from_file_location(name, path, submodule_search_locations=package)
    if spec is None or spec.loader is None:
        raise ImportError(f"{path} is no module")
    module = importlib.util.module_from_spec(spec)
    sys.modules[name] = module
    spec.loader.exec_module(module)
    found: Callable[[api.Settings, int], Decider] = module.Assigner
    return found


@lru_cache(maxsize=2)
def recorded_day(recording: str, of: str, notice: float) -> RecordedDay:
    """The day of a recording; of: a trace of the same day, or "". Raises what their readers raise, and `NoDay`."""
    day = day_from_recording(read_recording(recording), notice)
    if of:
        day.exact_traffic = traffic_from_trace(trace.read(Path(of)))
    return day


def execute_job(job: Job) -> RunResult:
    """Makes the run. Raises what the run raises."""
    s = job.setting
    decider = decider_of(s.module) if s.module else PUBLISHERS[s.scenario.publisher]
    begun = time.perf_counter()
    if job.model == LOOPBACK:
        from ..runner import play

        with tempfile.TemporaryDirectory(prefix="corallanding-") as folder:
            result = play(s.scenario, Path(folder), job.seed)
            records: Any = trace.read(Path(folder) / "trace.jsonl.gz")
        started, simulated, events = first_request_ms(records), s.scenario.seconds, 0
    else:
        recorded = recorded_day(s.recording, s.trace, s.scenario.roster.notice_ms) if s.recording else None
        e = emulate(s.scenario, job.seed, s.config, decider, recorded=recorded)
        result, records, simulated, events = e.result, e.records, e.simulated, e.events
        started = e.begun
    asked, answered = report.service_by_second(records, started)
    broken = [r["rule"] for r in result["rules"] if r["kept"] is not True]
    return RunResult(
        s.scenario.name,
        job.seed,
        job.model,
        result["service"],
        result["worst_10_s"],
        result["worst_operation"],
        result["by_operation"],
        result["moves"],
        broken,
        result["invocations"],
        result["succeeded"],
        result["doubles"],
        result["lives"],
        np.round(asked, 6).tolist(),
        np.round(answered, 6).tolist(),
        round(simulated, 3),
        round(time.perf_counter() - begun, 3),
        events,
    )


def first_request_ms(records: Iterable[Any]) -> float:
    """When a run on loopback began, to within its first arrival."""
    return float(min(r[2] for r in records if r[3] == "asked"))


class RunFailedError(Exception):
    """A run that could not be made, by its setting and seed."""


@dataclass
class ResultStore:
    """The file of all results. Bounded by `most` rows; the oldest go first."""

    path: Path
    most: int = 100_000
    db: sqlite3.Connection = field(init=False)

    def __post_init__(self) -> None:
        self.path.parent.mkdir(parents=True, exist_ok=True)
        self.db = sqlite3.connect(self.path, isolation_level=None, timeout=10.0)
        self.db.execute("pragma journal_mode=wal")
        self.db.execute(
            "create table if not exists run (key text primary key, made integer, label text, code text, scenario text,"
            " config text, name text, seed integer, model text, service real, row blob)"
        )

    def get(self, key: str) -> RunResult | None:
        found = self.db.execute("select row from run where key = ?", (key,)).fetchone()
        return msgspec.msgpack.decode(found[0], type=RunResult) if found else None

    def put(self, job: Job, row: RunResult) -> None:
        code, scenario, config = job.setting.digests
        self.db.execute(
            "insert or replace into run values (?, (select coalesce(max(made), 0) + 1 from run)" + ", ?" * 9 + ")",
            (
                job.key,
                job.setting.label,
                code,
                scenario,
                config,
                row.scenario,
                row.seed,
                row.model,
                row.service,
                msgspec.msgpack.encode(row),
            ),
        )
        self.db.execute("delete from run where made <= (select max(made) from run) - ?", (self.most,))

    def rows(self, name: str = "") -> list[tuple[str, str, str, RunResult]]:
        """(label, code, configuration, row), in the order in which they were made; of one scenario if it is named."""
        found = self.db.execute(
            "select label, code, config, row from run where ? in ('', name) order by made", (name,)
        ).fetchall()
        return [(a, b, c, msgspec.msgpack.decode(raw, type=RunResult)) for a, b, c, raw in found]

    def close(self) -> None:
        self.db.close()


class Pool:
    """Makes jobs in `workers` processes, and hands back what the file has."""

    def __init__(
        self, runs: ResultStore, workers: int, tell: Callable[[Job, RunResult, bool], None] = lambda *_: None
    ) -> None:
        """tell(job, row, known): called once for each job that is done."""
        self.runs, self.workers, self.tell = runs, max(1, workers), tell
        self.pool: ProcessPoolExecutor | None = None

    def all(self, jobs: list[Job]) -> dict[str, RunResult]:
        """Every job's row by its key. What is done stays in the file. Raises `RunFault`."""
        rows: dict[str, RunResult] = {}
        left: list[Job] = []
        for job in jobs:
            if row := self.runs.get(job.key):
                rows[job.key] = row
                self.tell(job, row, True)
            else:
                left.append(job)
        if self.workers == 1 or len(left) == 1:
            for job in left:
                rows[job.key] = self.kept(job, lambda job=job: execute_job(job))  # type: ignore[misc]
            return rows
        if left and self.pool is None:
            self.pool = ProcessPoolExecutor(self.workers, multiprocessing.get_context("spawn"))
        coming = {self.pool.submit(execute_job, job): job for job in left} if self.pool else {}
        for future in as_completed(coming):
            rows[coming[future].key] = self.kept(coming[future], future.result)
        return rows

    def kept(self, job: Job, result: Callable[[], RunResult]) -> RunResult:
        try:
            row = result()
        except Exception as fault:
            raise RunFailedError(f"{job.setting.label}, seed {job.seed}: {type(fault).__name__}: {fault}") from fault
        self.runs.put(job, row)
        self.tell(job, row, False)
        return row

    def close(self) -> None:
        if self.pool:
            self.pool.shutdown(wait=False, cancel_futures=True)


@contextmanager
def pool(path: Path, workers: int, tell: Callable[[Job, RunResult, bool], None] = lambda *_: None) -> Iterator[Pool]:
    runs = ResultStore(path)
    made_by = Pool(runs, workers, tell)
    try:
        yield made_by
    finally:
        made_by.close()
        runs.close()
