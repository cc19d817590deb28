"""Comparison of settings by paired runs, sweeps over values, and predictions of runs on loopback."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from scipy import stats

from .runs import EMULATED, FIGURES, LOOPBACK, Job, Pool, RunResult, Setting
from .statistics import (
    UNDECIDED,
    Interval,
    Judgement,
    Outcome,
    find_outcomes,
    hit_probability,
    interval,
    judge,
    look_counts,
    prediction_interval,
)

MIN_PAIRS = 8  # before the first look


@dataclass(frozen=True)
class LowOutcomeCounts:
    """Number of runs that ended in the lower of two outcomes, with a test of the difference."""

    threshold: float  # between the outcomes
    count_a: int
    count_b: int
    p_value: float  # McNemar's exact test on the pairs that disagree


@dataclass(frozen=True)
class Comparison:
    """Paired runs of two settings, with the judgement on B against A."""

    a: Setting
    b: Setting
    results_a: list[RunResult]
    results_b: list[RunResult]
    judgement: Judgement  # of `service`
    looks: int
    other_differences: dict[str, Interval]  # differences of the other figures, each by itself at the same error
    outcomes_a: list[Outcome]
    outcomes_b: list[Outcome]
    low_outcomes: LowOutcomeCounts | None

    @property
    def broken_counts(self) -> tuple[int, int]:
        """Number of runs of A and of B in which a rule was broken or could not be judged."""
        return sum(bool(r.broken) for r in self.results_a), sum(bool(r.broken) for r in self.results_b)


def count_low_outcomes(values_a: Sequence[float], values_b: Sequence[float]) -> LowOutcomeCounts | None:
    """Count the runs in the lower outcome, if a setting by itself has two; otherwise return None.

    Two settings that merely differ from each other are not bimodal.
    """
    parts = [outcomes for outcomes in (find_outcomes(values_a), find_outcomes(values_b)) if len(outcomes) == 2]
    if not parts:
        return None
    threshold = (parts[0][0].high + parts[0][1].low) / 2
    only_a = sum(x < threshold <= y for x, y in zip(values_a, values_b, strict=True))
    only_b = sum(y < threshold <= x for x, y in zip(values_a, values_b, strict=True))
    p_value = float(stats.binomtest(only_a, only_a + only_b).pvalue) if only_a + only_b else 1.0
    return LowOutcomeCounts(
        threshold, sum(x < threshold for x in values_a), sum(x < threshold for x in values_b), p_value
    )


def compare(
    a: Setting,
    b: Setting,
    runs: int,
    pool: Pool,
    margin: float = 0.002,
    error: float = 0.05,
    first_seed: int = 1,
    on_look: Callable[[Judgement, int], None] = lambda *_: None,
    model: str = EMULATED,
) -> Comparison:
    """Run pairs of seeds from `first_seed` until the answer is clear or `runs` pairs are used up.

    `on_look` is called after each look with the number of pairs. Raises `RunFailedError`.
    """
    counts = look_counts(min(MIN_PAIRS, runs), runs)
    results_a: list[RunResult] = []
    results_b: list[RunResult] = []
    for look, count in enumerate(counts, 1):
        seeds = range(first_seed + len(results_a), first_seed + count)
        jobs = [Job(setting, seed, model) for seed in seeds for setting in (a, b)]
        results = pool.all(jobs)
        results_a += [results[Job(a, seed, model).key] for seed in seeds]
        results_b += [results[Job(b, seed, model).key] for seed in seeds]
        service_a, service_b = [r.service for r in results_a], [r.service for r in results_b]
        judgement = judge(service_a, service_b, margin, error, len(counts), look == len(counts))
        on_look(judgement, count)
        if judgement.verdict != UNDECIDED:
            break
    other_differences = {
        figure: interval(
            [getattr(y, figure) - getattr(x, figure) for x, y in zip(results_a, results_b, strict=True)], 1.0 - error
        )
        for figure in FIGURES
        if figure != "service"
    }
    return Comparison(
        a,
        b,
        results_a,
        results_b,
        judgement,
        look,
        other_differences,
        find_outcomes(service_a),
        find_outcomes(service_b),
        count_low_outcomes(service_a, service_b),
    )


@dataclass(frozen=True)
class SweepPoint:
    """Results of one value; `difference` is against the first value, which has none."""

    value: str
    results: list[RunResult]
    service: Interval
    difference: Interval | None
    outcomes: list[Outcome]


def sweep(settings: list[Setting], runs: int, pool: Pool, error: float = 0.05, first_seed: int = 1) -> list[SweepPoint]:
    """Run all settings on the same seeds. The differences share the error (Bonferroni). Raises `RunFailedError`."""
    seeds = range(first_seed, first_seed + runs)
    by_key = pool.all([Job(setting, seed) for seed in seeds for setting in settings])
    results = [[by_key[Job(setting, seed).key] for seed in seeds] for setting in settings]
    level = 1.0 - error / max(1, len(settings) - 1)
    points = []
    for index, setting in enumerate(settings):
        service = [r.service for r in results[index]]
        base = [r.service for r in results[0]]
        difference = interval([y - x for x, y in zip(base, service, strict=True)], level) if index else None
        points.append(
            SweepPoint(
                setting.label, results[index], interval(service, 1.0 - error), difference, find_outcomes(service)
            )
        )
    return points


@dataclass(frozen=True)
class Prediction:
    """Interval that the emulated runs predict for another run, and the results of the runs on loopback."""

    scenario: str
    figure: str
    level: float
    low: float
    high: float
    emulated: list[float]
    loopback: list[float]

    @property
    def hits(self) -> int:
        """Number of runs on loopback within the interval."""
        return sum(self.low <= x <= self.high for x in self.loopback)

    @property
    def p_value(self) -> float:
        """Probability of at most so many hits if the interval covers its level."""
        return hit_probability(self.hits, len(self.loopback), self.level)


def predict(
    setting: Setting,
    emulated_runs: int,
    loopback_runs: int,
    pool: Pool,
    loopback_pool: Pool,
    level: float = 0.9,
    first_seed: int = 1,
) -> list[Prediction]:
    """Predict runs on loopback from emulated runs, then run them. Raises `RunFailedError`.

    The seeds on loopback differ from the emulated ones, so that no run is predicted by an emulation of itself.
    """
    emulated_jobs = [Job(setting, first_seed + index) for index in range(emulated_runs)]
    loopback_jobs = [Job(setting, first_seed + 10_000 + index, LOOPBACK) for index in range(loopback_runs)]
    emulated_results, loopback_results = pool.all(emulated_jobs), loopback_pool.all(loopback_jobs)
    predictions = []
    for figure in ("service", "worst_10_s"):
        values = [float(getattr(emulated_results[job.key], figure)) for job in emulated_jobs]
        low, high = prediction_interval(values, level)
        predictions.append(
            Prediction(
                setting.label,
                figure,
                level,
                low,
                high,
                values,
                [float(getattr(loopback_results[job.key], figure)) for job in loopback_jobs],
            )
        )
    return predictions
