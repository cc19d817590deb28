"""Two settings on the same days: pairs of runs until the answer is clear, or the runs are used up."""

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

MIN_PAIRS = 8


@dataclass(frozen=True)
class LowOutcomeCounts:
    """Runs that ended in the lower of two outcomes, and how likely such a difference in pairs is by chance."""

    below: float
    a: int
    b: int
    chance: float  # McNemar's exact test on the pairs that disagree


@dataclass(frozen=True)
class Comparison:
    a: Setting
    b: Setting
    rows_a: list[RunResult]
    rows_b: list[RunResult]
    word: Judgement  # of `service`
    looks: int
    others: dict[str, Interval]  # differences of the other figures, each by itself at the same error
    outcomes_a: list[Outcome]
    outcomes_b: list[Outcome]
    tipped: LowOutcomeCounts | None

    @property
    def broken(self) -> tuple[int, int]:
        """Runs in which a rule broke, or could not be judged."""
        return sum(bool(r.broken) for r in self.rows_a), sum(bool(r.broken) for r in self.rows_b)


def count_low_outcomes(a: Sequence[float], b: Sequence[float]) -> LowOutcomeCounts | None:
    """None where neither setting has two outcomes by itself: two settings that differ are no tipping day."""
    parts = [p for p in (find_outcomes(a), find_outcomes(b)) if len(p) == 2]
    if not parts:
        return None
    below = (parts[0][0].high + parts[0][1].low) / 2
    only_a = sum(x < below <= y for x, y in zip(a, b, strict=True))
    only_b = sum(y < below <= x for x, y in zip(a, b, strict=True))
    chance = float(stats.binomtest(only_a, only_a + only_b).pvalue) if only_a + only_b else 1.0
    return LowOutcomeCounts(below, sum(x < below for x in a), sum(x < below for x in b), chance)


def compare(
    a: Setting,
    b: Setting,
    runs: int,
    pool: Pool,
    margin: float = 0.002,
    error: float = 0.05,
    first: int = 1,
    looked: Callable[[Judgement, int], None] = lambda *_: None,
    model: str = EMULATED,
) -> Comparison:
    """Pairs of seeds from `first` on. Raises `RunFault`."""
    counts = look_counts(min(MIN_PAIRS, runs), runs)
    rows_a: list[RunResult] = []
    rows_b: list[RunResult] = []
    for n, count in enumerate(counts, 1):
        seeds = range(first + len(rows_a), first + count)
        jobs = [Job(s, seed, model) for seed in seeds for s in (a, b)]
        done = pool.all(jobs)
        rows_a += [done[Job(a, seed, model).key] for seed in seeds]
        rows_b += [done[Job(b, seed, model).key] for seed in seeds]
        service_a, service_b = [r.service for r in rows_a], [r.service for r in rows_b]
        word = judge(service_a, service_b, margin, error, len(counts), n == len(counts))
        looked(word, count)
        if word.verdict != UNDECIDED:
            break
    others = {
        f: interval([getattr(y, f) - getattr(x, f) for x, y in zip(rows_a, rows_b, strict=True)], 1.0 - error)
        for f in FIGURES
        if f != "service"
    }
    return Comparison(
        a,
        b,
        rows_a,
        rows_b,
        word,
        n,
        others,
        find_outcomes(service_a),
        find_outcomes(service_b),
        count_low_outcomes(service_a, service_b),
    )


@dataclass(frozen=True)
class SweepPoint:
    """One value of a setting. against: the difference to the first value, which has none."""

    value: str
    rows: list[RunResult]
    service: Interval
    against: Interval | None
    outcomes: list[Outcome]


def sweep(settings: list[Setting], runs: int, pool: Pool, error: float = 0.05, first: int = 1) -> list[SweepPoint]:
    """The same seeds for every value. Differences share the error among them (Bonferroni)."""
    seeds = range(first, first + runs)
    done = pool.all([Job(s, seed) for seed in seeds for s in settings])
    rows = [[done[Job(s, seed).key] for seed in seeds] for s in settings]
    level = 1.0 - error / max(1, len(settings) - 1)
    out = []
    for k, s in enumerate(settings):
        service = [r.service for r in rows[k]]
        base = [r.service for r in rows[0]]
        against = interval([y - x for x, y in zip(base, service, strict=True)], level) if k else None
        out.append(SweepPoint(s.label, rows[k], interval(service, 1.0 - error), against, find_outcomes(service)))
    return out


@dataclass(frozen=True)
class Prediction:
    """Where the emulated runs expect another one, and where those on loopback came to lie."""

    scenario: str
    figure: str
    level: float
    low: float
    high: float
    emulated: list[float]
    loopback: list[float]

    @property
    def hits(self) -> int:
        return sum(self.low <= x <= self.high for x in self.loopback)

    @property
    def chance(self) -> float:
        """Of so few hits, did the interval hold what it says."""
        return hit_probability(self.hits, len(self.loopback), self.level)


def predict(
    s: Setting, emulated: int, loopback: int, pool: Pool, real: Pool, level: float = 0.9, first: int = 1
) -> list[Prediction]:
    """The seeds on loopback are others than the emulated ones: it is a prediction, not the same day again."""
    jobs = [Job(s, first + k) for k in range(emulated)]
    others = [Job(s, first + 10_000 + k, LOOPBACK) for k in range(loopback)]
    done, met = pool.all(jobs), real.all(others)
    out = []
    for name in ("service", "worst_10_s"):
        values = [float(getattr(done[j.key], name)) for j in jobs]
        low, high = prediction_interval(values, level)
        out.append(
            Prediction(s.label, name, level, low, high, values, [float(getattr(met[j.key], name)) for j in others])
        )
    return out
