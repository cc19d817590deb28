"""The audit of waiting work: from when jobs came and went, whether they went in the order that one scheduler seeing all
would give. Imports nothing of what it judges.

All times are ms of one clock. A job's standing is priority plus waited over patience, and far above all others once it
has waited for as long as it may; it has waited since it first came, wherever that was.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import numpy as np

Kind = tuple[float, float, float]  # priority, patience, most
Held = tuple[Any, int, float, float]  # job, steward, from, until: it could have gone there
Went = tuple[float, Any, int, Sequence[int]]  # at, job, steward, the others whose jobs it looked at
OVERDUE = 1e6


def judge(
    kinds: Sequence[Kind],
    came: Mapping[Any, tuple[float, int]],
    held: Iterable[Held],
    went: Iterable[Went],
    bound: float,
    twins: Iterable[Any] = (),
    dry: Iterable[tuple[int, float, float]] = (),
) -> dict[str, Any]:
    """bound: ms. A job may go before one that stands higher by up to that; what another steward has held for less than
    that need not be known. twins: jobs whose client was told that they went elsewhere.

    doubled: releases of a job that had gone before. lost: jobs that came, and neither went nor are held at the end.
    apart: releases that looked at not all stewards which held something; what these held is not counted. dry: stewards
    that had no right to let anything go for so long that they held nobody up, from when until when.
    """
    gone = sorted(went, key=lambda w: w[0])
    first_gone: dict[Any, float] = {}
    for t, job, _, _ in gone:
        first_gone.setdefault(job, t)
    # A job that was brought twice has gone with the first of the two.
    rows = [(job, n, a, min(b, first_gone.get(job, b))) for job, n, a, b in held]
    rows = [r for r in rows if r[2] < r[3]]
    kind = np.array([came[r[0]][1] for r in rows], dtype=int)
    since = np.array([came[r[0]][0] for r in rows])
    at, begin, until = (np.array([r[k] for r in rows], dtype=float) for k in (1, 2, 3))
    priority, patience, most = (np.array([k[n] for k in kinds]) for n in range(3))
    dries = list(dry)
    end = max([0.0, *[w[0] for w in gone], *[r[3] for r in rows if r[3] < float("inf")]])
    worst = over = apart = 0.0
    longest, late = 0.0, list[tuple[float, Any, int, float]]()
    times: Counter[Any] = Counter()
    for t, job, steward, counted in gone:
        times[job] += 1
        first, k = came[job]
        waited = t - first
        longest = max(longest, waited)
        own = priority[k] + waited / patience[k] + (OVERDUE if waited >= most[k] else 0.0)
        if not rows:
            continue
        there = (begin <= t - bound) & (until > t)
        looked = np.isin(at, [steward, *counted])
        apart += bool((there & ~looked).any())
        there &= looked
        for n, a, b in dries:
            if a <= t < b and n != steward:
                there &= at != n
        if not there.any():
            continue
        age = t - since[there]
        # One that is over its time by less than the bound may not yet be known to be.
        high = priority[kind[there]] + age / patience[kind[there]] + OVERDUE * (age >= most[kind[there]] + bound)
        ahead = float((high - own).max()) * patience[k]
        worst, over = max(worst, ahead), over + (ahead > bound)
        if ahead > bound:
            late.append((round(float(t), 1), job, steward, round(ahead, 1)))
    left = {r[0] for r in rows if r[3] > end}
    return {
        "released": len(gone),
        "doubled": sum(n - 1 for n in times.values()),
        "lost": len(set(came) - set(times) - left - set(twins)),
        "inversions_over_bound": int(over),
        "worst_inversion_ms": round(float(worst), 1),
        "bound_ms": bound,
        "longest_wait_ms": round(longest, 1),
        "apart": int(apart),
        "left": len(left - set(times)),
        "first_over": late[:5],
    }
