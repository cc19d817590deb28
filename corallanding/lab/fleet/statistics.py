"""What runs of two settings say: differences with intervals, when to stop, and whether there are two outcomes. Pure.

Runs are paired by seed: the same arrivals, work and faults under both. What is compared is the mean of the paired
differences, by the bootstrap (BCa) and by Student's t, whichever interval is wider: with few runs each is too narrow
somewhere. Looks in between are paid for: each of K looks takes a K-th of the error (Bonferroni), so that the chance
of a wrong word over all of them stays under `error`.
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
    mean: float
    low: float
    high: float
    level: float  # confidence, e.g. 0.95
    runs: int


def interval(values: Sequence[float], level: float = 0.95, seed: int = 0) -> Interval:
    """Of the mean. With fewer than three values nothing is known: from minus to plus infinity."""
    x = np.asarray(values, dtype=float)
    if not len(x):
        raise ValueError("no values")
    mean = float(x.mean())
    if len(x) < 3:
        return Interval(mean, -math.inf, math.inf, level, len(x))
    if np.ptp(x) == 0.0:
        return Interval(mean, mean, mean, level, len(x))
    low, high = stats.t.interval(level, len(x) - 1, mean, float(x.std(ddof=1)) / math.sqrt(len(x)))
    with warnings.catch_warnings():
        warnings.simplefilter("ignore")  # a degenerate resampling says so by NaN
        drawn = stats.bootstrap(
            (x,), np.mean, confidence_level=level, n_resamples=RESAMPLES, method="BCa", rng=np.random.default_rng(seed)
        ).confidence_interval
    if math.isfinite(drawn.low) and math.isfinite(drawn.high):
        low, high = min(low, drawn.low), max(high, drawn.high)
    return Interval(mean, float(low), float(high), level, len(x))


def look_counts(least: int, most: int) -> list[int]:
    """After how many pairs to look: from `least` on, half as many again each time, up to `most`."""
    out, n = [], least
    while n < most:
        out.append(n)
        n = math.ceil(n * 1.5)
    return [*out, most]


BETTER, WORSE, SAME, UNDECIDED, NO_DIFFERENCE_SEEN = (
    "better",
    "worse",
    "same within the margin",
    "open",
    "no difference seen",
)


@dataclass(frozen=True)
class Judgement:
    """What the pairs so far say of B against A."""

    verdict: str
    difference: Interval


def judge(a: Sequence[float], b: Sequence[float], margin: float, error: float, count: int, last: bool) -> Judgement:
    """One of `count` looks at pairs `a[i], b[i]`; higher is better. `margin`: a difference that does not matter."""
    if len(a) != len(b):
        raise ValueError(f"{len(a)} runs of A and {len(b)} of B are no pairs")
    found = interval(np.subtract(b, a).tolist(), 1.0 - error / count)
    if found.low > 0.0:
        return Judgement(BETTER, found)
    if found.high < 0.0:
        return Judgement(WORSE, found)
    if -margin < found.low and found.high < margin:
        return Judgement(SAME, found)
    return Judgement(NO_DIFFERENCE_SEEN if last else UNDECIDED, found)


@dataclass(frozen=True)
class Outcome:
    mean: float
    low: float
    high: float
    share: float  # of the runs


def find_outcomes(values: Sequence[float], gap: float = 0.02, apart: float = 5.0) -> list[Outcome]:
    """One outcome, or two where runs tip: a mean between them would be a day that never comes.

    Two if the best split into a lower and an upper part leaves at least two runs and a tenth of them in each, `gap`
    or more between the parts, and Ashman's D over `apart` (the halves of a normal sample have 2.7, of an even one 3.5).
    """
    x = np.sort(np.asarray(values, dtype=float))
    n, least = len(x), max(2, math.ceil(len(x) / 10))
    best: tuple[float, int] | None = None
    for k in range(least, n - least + 1):
        spread = x[:k].var() * k + x[k:].var() * (n - k)
        if best is None or spread < best[0]:
            best = (float(spread), k)
    parts = [x]
    if best and x[best[1]] - x[best[1] - 1] >= gap:
        low, high = x[: best[1]], x[best[1] :]
        within = math.sqrt(float(low.var(ddof=1)) + float(high.var(ddof=1)))
        if math.sqrt(2.0) * (high.mean() - low.mean()) > apart * within:
            parts = [low, high]
    return [Outcome(float(p.mean()), float(p.min()), float(p.max()), len(p) / n) for p in parts]


def prediction_interval(values: Sequence[float], level: float) -> tuple[float, float]:
    """Where one further run is expected, with `level` of all cases: Student's interval for a single value, widened to
    the runs' own range of that share, for they need not be normal."""
    x = np.asarray(values, dtype=float)
    if len(x) < 5:
        raise ValueError(f"{len(x)} runs are too few to say where another will be")
    half = float(stats.t.ppf((1 + level) / 2, len(x) - 1) * x.std(ddof=1) * math.sqrt(1 + 1 / len(x)))
    low, high = np.quantile(x, [(1 - level) / 2, (1 + level) / 2])
    return min(float(low), float(x.mean()) - half), max(float(high), float(x.mean()) + half)


def hit_probability(hits: int, runs: int, level: float) -> float:
    """How likely so few hits would be if intervals of `level` held what they say."""
    return float(stats.binom.cdf(hits, runs, level))
