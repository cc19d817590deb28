"""The audit of runs: from what hosts ran and clients were told, whether each run kept the versions it began with.
Imports nothing of what it judges.

A record is (witness, number, time, kind, fields...). Hosts write "ran" (inv, attempt, again, run, operation, version,
served): what they were asked for, and whether they serve it; clients "step" and "stepped".
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

Sets = Mapping[int, Sequence[int]]  # number: version of each operation


def judge(records: Iterable[Sequence[Any]], sets: Sets, carries: Mapping[int, Iterable[int]]) -> dict[str, Any]:
    """carries: set to those whose runs may go over to it.

    split_runs: runs whose invocations ran in versions that no one set has, going over to a compatible set left out.
    wrong_version: invocations that a host ran in a version that it does not serve, or in another than it was asked for.
    stranded: steps that ended for want of a host or of a pin.
    """
    ran: dict[str, set[tuple[int, int]]] = defaultdict(set)
    ends: Counter[str] = Counter()
    steps, runs, wrong, refused, behind = 0, set[str](), 0, 0, 0
    first: dict[str, set[int]] = defaultdict(set)
    retired: set[int] = set()
    for r in records:
        kind = r[3]
        if kind == "ran":
            _, _, _, run, operation, version, served = r[4:11]
            if run:
                ran[run].add((operation, version))
                wrong += version not in served
        elif kind == "other-version":
            refused += 1
        elif kind == "behind":
            behind += 1
        elif kind == "retired":
            retired.add(r[4])
        elif kind == "step":
            runs.add(r[4])
            steps += 1
        elif kind == "stepped":
            ends[r[7]] += 1
        elif kind == "pin" and r[5] == "pinned":
            first[r[4]].add(r[6])
    split, carried = [], 0
    for run, seen in ran.items():
        fits = [s for s, versions in sets.items() if all(versions[o] == v for o, v in seen)]
        if fits:
            continue
        over = any(all(v in (sets[s][o], sets[to][o]) for o, v in seen) for to, olds in carries.items() for s in olds)
        carried += over
        if not over:
            split.append(run)
    told = [run for run, found in first.items() if len(found) > 1]
    return {
        "runs": len(runs),
        "steps": steps,
        "split_runs": len({*split, *told}),
        "wrong_version": wrong,
        "refused_by_host": refused,
        "refused_by_fence": behind,
        "stranded": sum(n for end, n in ends.items() if end != "ok"),
        "ends": dict(sorted(ends.items())),
        "carried_over": carried,
        "retired": sorted(retired),
        "sets_used": sorted({s for run in first.values() for s in run}),
    }
