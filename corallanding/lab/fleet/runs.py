"""Jobs, their execution in several processes, and a SQLite store of results, so that no job is run twice."""

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

EMULATED, LOOPBACK = "emulated", "loopback"  # where a job runs
PACKAGE_PATH = Path(__file__).resolve().parents[2]


class RunResult(msgspec.Struct, frozen=True):
    """Result of one run. `asked`, `answered`: priority weight of all and of answered requests by second of arrival."""

    scenario: str
    seed: int
    model: str
    service: float
    worst_10_s: float
    worst_operation: float
    by_operation: dict[str, float]
    moves: float
    broken: list[str]  # rules of the audit that were broken or could not be judged
    invocations: int
    succeeded: int
    doubles: int
    lives: int
    asked: list[float]
    answered: list[float]
    simulated_s: float
    took_s: float
    events: int


# Fields of `RunResult` that settings are compared by.
FIGURES = ("service", "worst_10_s", "worst_operation", "moves")


def digest(text: str) -> str:
    """Return a short digest of a text."""
    return hashlib.sha256(text.encode()).hexdigest()[:16]


@lru_cache(maxsize=16)
def code_digest(path: str) -> str:
    """Return a digest of this program's source, together with another version's assigner module if a path is given."""
    hasher = hashlib.sha256()
    for file in sorted(PACKAGE_PATH.rglob("*.py")):
        hasher.update(str(file.relative_to(PACKAGE_PATH)).encode() + b"\0" + file.read_bytes())
    is_package = Path(path).name == "__init__.py"
    for file in sorted(Path(path).parent.glob("*.py")) if is_package else [Path(path)] if path else []:
        hasher.update(file.read_bytes())
    return hasher.hexdigest()[:16]


@dataclass(frozen=True)
class Setting:
    """A scenario with what it is run with."""

    label: str
    scenario: Scenario
    config: ControllerConfig | None = None  # the controller's, in place of the one that the lab would write
    module: str = ""  # file of another version's assigner module, which runs with the rest of this version
    recording: str = ""  # file of a controller's recording that gives hosts, traffic and faults
    trace: str = ""  # file of a trace of the same time span, whose arrivals are used exactly

    @cached_property
    def digests(self) -> tuple[str, str, str]:
        """Digests of the code, of the scenario, and of the configuration with its recording and trace."""
        config = self.config.model_dump_json() if self.config else ""
        for file in (self.recording, self.trace):
            config += hashlib.sha256(Path(file).read_bytes()).hexdigest() if file else ""
        return code_digest(self.module), digest(self.scenario.model_dump_json()), digest(config)


@dataclass(frozen=True)
class Job:
    """One run: a setting, a seed, and where it runs (emulated or on loopback)."""

    setting: Setting
    seed: int
    model: str = EMULATED

    @property
    def key(self) -> str:
        """Key of the result: digest of everything that determines it."""
        return digest(json.dumps([*self.setting.digests, self.seed, self.model]))


@lru_cache(maxsize=4)
def load_assigner(path: str) -> Callable[[api.Settings, int], Decider]:
    """Load the assigner of another checkout from its package `assignment`. Raises `ImportError`."""
    name = f"corallanding._other_{digest(path)}"
    package = [str(Path(path).parent)] if Path(path).name == "__init__.py" else None
    spec = importlib.util.spec_from_file_location(name, path, submodule_search_locations=package)
    if spec is None or spec.loader is None:
        raise ImportError(f"{path} is not a Python module")
    module = importlib.util.module_from_spec(spec)
    sys.modules[name] = module
    spec.loader.exec_module(module)
    found: Callable[[api.Settings, int], Decider] = module.Assigner
    return found


@lru_cache(maxsize=2)
def recorded_day(recording_path: str, trace_path: str, notice_ms: float) -> RecordedDay:
    """Read a recording as a scenario; `trace_path` is a trace of the same time span, or empty.

    Raises the errors of the readers of recordings and traces, and `UnusableRecordingError`.
    """
    day = day_from_recording(read_recording(recording_path), notice_ms)
    if trace_path:
        day.exact_traffic = traffic_from_trace(trace.read(Path(trace_path)))
    return day


def execute_job(job: Job) -> RunResult:
    """Run a job. Raises the errors of the run."""
    setting = job.setting
    decider = load_assigner(setting.module) if setting.module else PUBLISHERS[setting.scenario.publisher]
    started = time.perf_counter()
    if job.model == LOOPBACK:
        from ..runner import play

        with tempfile.TemporaryDirectory(prefix="corallanding-") as folder:
            result = play(setting.scenario, Path(folder), job.seed)
            records: Any = trace.read(Path(folder) / "trace.jsonl.gz")
        begun_ms, length_s, events = first_request_ms(records), setting.scenario.seconds, 0
    else:
        path = setting.recording
        day = recorded_day(path, setting.trace, setting.scenario.roster.notice_ms) if path else None
        run = emulate(setting.scenario, job.seed, setting.config, decider, recorded=day)
        result, records, length_s, events = run.result, run.records, run.simulated_s, run.events
        begun_ms = run.begun_ms
    asked, answered = report.service_by_second(records, begun_ms)
    broken_rules = [rule["rule"] for rule in result["rules"] if rule["kept"] is not True]
    return RunResult(
        setting.scenario.name,
        job.seed,
        job.model,
        result["service"],
        result["worst_10_s"],
        result["worst_operation"],
        result["by_operation"],
        result["moves"],
        broken_rules,
        result["invocations"],
        result["succeeded"],
        result["doubles"],
        result["lives"],
        np.round(asked, 6).tolist(),
        np.round(answered, 6).tolist(),
        round(length_s, 3),
        round(time.perf_counter() - started, 3),
        events,
    )


def first_request_ms(records: Iterable[Any]) -> float:
    """Return when the first request of a run on loopback arrived, in ms; taken as the beginning of the run."""
    return float(min(record[2] for record in records if record[3] == "asked"))


class RunFailedError(Exception):
    """A run failed; the text has its setting and seed."""


@dataclass
class ResultStore:
    """SQLite file of all results. Above `max_rows` rows, the oldest are deleted."""

    path: Path
    max_rows: int = 100_000
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
        """Return the result of a job's key, or None."""
        row = self.db.execute("select row from run where key = ?", (key,)).fetchone()
        return msgspec.msgpack.decode(row[0], type=RunResult) if row else None

    def put(self, job: Job, result: RunResult) -> None:
        """Store the result of a job."""
        code, scenario, config = job.setting.digests
        self.db.execute(
            "insert or replace into run values (?, (select coalesce(max(made), 0) + 1 from run)" + ", ?" * 9 + ")",
            (
                job.key,
                job.setting.label,
                code,
                scenario,
                config,
                result.scenario,
                result.seed,
                result.model,
                result.service,
                msgspec.msgpack.encode(result),
            ),
        )
        self.db.execute("delete from run where made <= (select max(made) from run) - ?", (self.max_rows,))

    def rows(self, name: str = "") -> list[tuple[str, str, str, RunResult]]:
        """Return (label, code digest, configuration digest, result) in order of storage, of one scenario if named."""
        rows = self.db.execute(
            "select label, code, config, row from run where ? in ('', name) order by made", (name,)
        ).fetchall()
        return [(label, code, config, msgspec.msgpack.decode(raw, type=RunResult)) for label, code, config, raw in rows]

    def close(self) -> None:
        """Close the database."""
        self.db.close()


class Pool:
    """Runs jobs in `workers` processes; results that the store has are not computed again."""

    def __init__(
        self, store: ResultStore, workers: int, on_done: Callable[[Job, RunResult, bool], None] = lambda *_: None
    ) -> None:
        """`on_done(job, result, was_stored)` is called once for each job."""
        self.store, self.workers, self.on_done = store, max(1, workers), on_done
        self.pool: ProcessPoolExecutor | None = None

    def all(self, jobs: list[Job]) -> dict[str, RunResult]:
        """Return every job's result by its key; each is stored once it is done. Raises `RunFailedError`."""
        results: dict[str, RunResult] = {}
        missing: list[Job] = []
        for job in jobs:
            if result := self.store.get(job.key):
                results[job.key] = result
                self.on_done(job, result, True)
            else:
                missing.append(job)
        if self.workers == 1 or len(missing) == 1:
            for job in missing:
                results[job.key] = self.store_result(job, lambda job=job: execute_job(job))  # type: ignore[misc]
            return results
        if missing and self.pool is None:
            self.pool = ProcessPoolExecutor(self.workers, multiprocessing.get_context("spawn"))
        jobs_by_future = {self.pool.submit(execute_job, job): job for job in missing} if self.pool else {}
        for future in as_completed(jobs_by_future):
            results[jobs_by_future[future].key] = self.store_result(jobs_by_future[future], future.result)
        return results

    def store_result(self, job: Job, compute: Callable[[], RunResult]) -> RunResult:
        """Compute and store one result. Raises `RunFailedError`."""
        try:
            result = compute()
        except Exception as error:
            raise RunFailedError(f"{job.setting.label}, seed {job.seed}: {type(error).__name__}: {error}") from error
        self.store.put(job, result)
        self.on_done(job, result, False)
        return result

    def close(self) -> None:
        """Stop the processes; jobs that have not started are cancelled."""
        if self.pool:
            self.pool.shutdown(wait=False, cancel_futures=True)


@contextmanager
def pool(path: Path, workers: int, on_done: Callable[[Job, RunResult, bool], None] = lambda *_: None) -> Iterator[Pool]:
    """Open a pool on a file of results; close both at the end."""
    store = ResultStore(path)
    jobs = Pool(store, workers, on_done)
    try:
        yield jobs
    finally:
        jobs.close()
        store.close()
