"""Statistics of paired runs: differences with intervals, when to stop, and whether there are two outcomes. Pure.

Runs are paired by seed: the same arrivals, work and faults under both settings. Compared is the mean of the paired
differences, by the bootstrap (BCa) and by Student's t, whichever interval is wider: with few runs each is too narrow
in some cases. Interim looks are corrected for: each of K looks takes a K-th of the error (Bonferroni), so that the
probability of a wrong verdict over all looks stays under `error`.
"""

from __future__ import annotations

import math
import warnings
from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np
from scipy import stats

RESAMPLES = 2_000


@dataclass(frozen=True)
class Interval:
    """A mean with its confidence interval."""

    mean: float
    low: float
    high: float
    level: float  # confidence, e.g. 0.95
    runs: int


def interval(values: Sequence[float], level: float = 0.95, seed: int = 0) -> Interval:
    """Return the confidence interval of the mean; infinite with fewer than three values.

    `seed` is that of the bootstrap. Raises `ValueError` without values.
    """
    sample = np.asarray(values, dtype=float)
    if not len(sample):
        raise ValueError("no values")
    mean = float(sample.mean())
    if len(sample) < 3:
        return Interval(mean, -math.inf, math.inf, level, len(sample))
    if np.ptp(sample) == 0.0:
        return Interval(mean, mean, mean, level, len(sample))
    low, high = stats.t.interval(level, len(sample) - 1, mean, float(sample.std(ddof=1)) / math.sqrt(len(sample)))
    with warnings.catch_warnings():
        warnings.simplefilter("ignore")  # a degenerate resampling returns NaN
        resampled = stats.bootstrap(
            (sample,),
            np.mean,
            confidence_level=level,
            n_resamples=RESAMPLES,
            method="BCa",
            rng=np.random.default_rng(seed),
        ).confidence_interval
    if math.isfinite(resampled.low) and math.isfinite(resampled.high):
        low, high = min(low, resampled.low), max(high, resampled.high)
    return Interval(mean, float(low), float(high), level, len(sample))


def look_counts(min_pairs: int, max_pairs: int) -> list[int]:
    """Return after how many pairs to look: from `min_pairs`, growing by half each time, up to `max_pairs`."""
    counts, count = [], min_pairs
    while count < max_pairs:
        counts.append(count)
        count = math.ceil(count * 1.5)
    return [*counts, max_pairs]


BETTER, WORSE, SAME, UNDECIDED, NO_DIFFERENCE = (
    "better",
    "worse",
    "same within the margin",
    "open",
    "no difference seen",
)


@dataclass(frozen=True)
class Judgement:
    """Verdict on B against A by the pairs so far, with the mean difference."""

    verdict: str
    difference: Interval


def judge(
    values_a: Sequence[float], values_b: Sequence[float], margin: float, error: float, look_count: int, is_last: bool
) -> Judgement:
    """Judge B against A by one of `look_count` looks at the pairs; higher values are better.

    Differences below `margin` do not matter; `error` is that of all looks together. Raises `ValueError` if the values
    are not paired.
    """
    if len(values_a) != len(values_b):
        raise ValueError(f"{len(values_a)} runs of A and {len(values_b)} of B are not pairs")
    difference = interval(np.subtract(values_b, values_a).tolist(), 1.0 - error / look_count)
    if difference.low > 0.0:
        return Judgement(BETTER, difference)
    if difference.high < 0.0:
        return Judgement(WORSE, difference)
    if -margin < difference.low and difference.high < margin:
        return Judgement(SAME, difference)
    return Judgement(NO_DIFFERENCE if is_last else UNDECIDED, difference)


@dataclass(frozen=True)
class Outcome:
    """A cluster of runs with similar values."""

    mean: float
    low: float
    high: float
    share: float  # of the runs


def find_outcomes(values: Sequence[float], min_gap: float = 0.02, min_separation: float = 5.0) -> list[Outcome]:
    """Return one outcome, or two if the values are bimodal: no run is near a mean that lies between two clusters.

    There are two if the best split into a lower and an upper part leaves at least two runs and a tenth of them in each,
    `min_gap` or more between the parts, and Ashman's D over `min_separation` (the halves of a normal sample have 2.7,
    those of a uniform one 3.5).
    """
    ordered = np.sort(np.asarray(values, dtype=float))
    count, min_part = len(ordered), max(2, math.ceil(len(ordered) / 10))
    best: tuple[float, int] | None = None
    for split in range(min_part, count - min_part + 1):
        spread = ordered[:split].var() * split + ordered[split:].var() * (count - split)
        if best is None or spread < best[0]:
            best = (float(spread), split)
    parts = [ordered]
    if best and ordered[best[1]] - ordered[best[1] - 1] >= min_gap:
        low, high = ordered[: best[1]], ordered[best[1] :]
        within = math.sqrt(float(low.var(ddof=1)) + float(high.var(ddof=1)))
        if math.sqrt(2.0) * (high.mean() - low.mean()) > min_separation * within:
            parts = [low, high]
    return [Outcome(float(p.mean()), float(p.min()), float(p.max()), len(p) / count) for p in parts]


def prediction_interval(values: Sequence[float], level: float) -> tuple[float, float]:
    """Return the interval that holds one further run with probability `level`.

    It is Student's interval for a single value, widened to the quantiles of the runs for that share, because they need
    not be normal. Raises `ValueError` with fewer than five runs.
    """
    sample = np.asarray(values, dtype=float)
    if len(sample) < 5:
        raise ValueError(f"{len(sample)} runs are too few to predict another")
    half_width = float(
        stats.t.ppf((1 + level) / 2, len(sample) - 1) * sample.std(ddof=1) * math.sqrt(1 + 1 / len(sample))
    )
    low, high = np.quantile(sample, [(1 - level) / 2, (1 + level) / 2])
    return min(float(low), float(sample.mean()) - half_width), max(float(high), float(sample.mean()) + half_width)


def hit_probability(hits: int, runs: int, level: float) -> float:
    """Return the probability of at most `hits` hits in `runs` if intervals of `level` cover that share."""
    return float(stats.binom.cdf(hits, runs, level))
