"""The audit of job scheduling: whether jobs were dispatched in the order of a single scheduler that sees all jobs.

Imports nothing of what it judges. All times are ms of one clock. A job's effective priority is its priority plus its
waiting time divided by `patience`, and far above all others once its longest waiting time has passed. The waiting time
counts from the first submission, wherever that was made.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import numpy as np

Kind = tuple[float, float, float]  # priority, ms of waiting per unit of priority, longest wait in ms
Held = tuple[Any, int, float, float]  # job, controller, from, until: span in which that controller could dispatch it
Went = tuple[float, Any, int, Sequence[int]]  # time, job, controller, the other controllers whose jobs it considered
OVERDUE = 1e6  # priority added to overdue jobs


def judge(
    kinds: Sequence[Kind],
    came: Mapping[Any, tuple[float, int]],
    held: Iterable[Held],
    went: Iterable[Went],
    bound: float,
    twins: Iterable[Any] = (),
    dry: Iterable[tuple[int, float, float]] = (),
) -> dict[str, Any]:
    """Count violations.

    bound: ms by which a job may overtake one of higher effective priority; a controller need not know of jobs that
    another one has held for less. twins: jobs whose client was notified that they were dispatched elsewhere. dry: spans
    (controller, from, until) in which a controller without dispatch quota did not hold back the others.

    doubled: dispatches of a job that had been dispatched before. lost: jobs that were submitted and are neither
    dispatched nor held at the end. apart: dispatches that did not consider all controllers with jobs; the jobs of those
    left out are not compared.
    """
    dispatches = sorted(went, key=lambda w: w[0])
    first_dispatch: dict[Any, float] = {}
    for t, job, _, _ in dispatches:
        first_dispatch.setdefault(job, t)
    # A job that was submitted twice is done with the first dispatch.
    rows = [(job, n, a, min(b, first_dispatch.get(job, b))) for job, n, a, b in held]
    rows = [r for r in rows if r[2] < r[3]]
    kind = np.array([came[r[0]][1] for r in rows], dtype=int)
    since = np.array([came[r[0]][0] for r in rows])
    at, begin, until = (np.array([r[k] for r in rows], dtype=float) for k in (1, 2, 3))
    priority, patience, max_wait = (np.array([k[n] for k in kinds]) for n in range(3))
    dry_spans = list(dry)
    end = max([0.0, *[w[0] for w in dispatches], *[r[3] for r in rows if r[3] < float("inf")]])
    worst = over = apart = 0.0
    longest, inversions = 0.0, list[tuple[float, Any, int, float]]()
    dispatch_counts: Counter[Any] = Counter()
    for t, job, controller, considered in dispatches:
        dispatch_counts[job] += 1
        first, k = came[job]
        waited = t - first
        longest = max(longest, waited)
        own = priority[k] + waited / patience[k] + (OVERDUE if waited >= max_wait[k] else 0.0)
        if not rows:
            continue
        eligible = (begin <= t - bound) & (until > t)
        is_considered = np.isin(at, [controller, *considered])
        apart += bool((eligible & ~is_considered).any())
        eligible &= is_considered
        for n, a, b in dry_spans:
            if a <= t < b and n != controller:
                eligible &= at != n
        if not eligible.any():
            continue
        age = t - since[eligible]
        # A controller may not know yet that a job is overdue by less than the bound.
        is_overdue = age >= max_wait[kind[eligible]] + bound
        others = priority[kind[eligible]] + age / patience[kind[eligible]] + OVERDUE * is_overdue
        inversion_ms = float((others - own).max()) * patience[k]
        worst, over = max(worst, inversion_ms), over + (inversion_ms > bound)
        if inversion_ms > bound:
            inversions.append((round(float(t), 1), job, controller, round(inversion_ms, 1)))
    left = {r[0] for r in rows if r[3] > end}
    return {
        "released": len(dispatches),
        "doubled": sum(n - 1 for n in dispatch_counts.values()),
        "lost": len(set(came) - set(dispatch_counts) - left - set(twins)),
        "inversions_over_bound": int(over),
        "worst_inversion_ms": round(float(worst), 1),
        "bound_ms": bound,
        "longest_wait_ms": round(longest, 1),
        "apart": int(apart),
        "left": len(left - set(dispatch_counts)),
        "first_over": inversions[:5],
    }
