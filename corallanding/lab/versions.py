"""The audit of version pinning: whether each workflow run kept the versions with which it began.

Imports nothing of what it judges. A record is (observer, number, time, kind, fields...). Hosts write "ran" (inv,
attempt, again, run, operation, version, served): the requested version and those that the host serves; clients write
"step" and "stepped".
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

Sets = Mapping[int, Sequence[int]]  # version of each request class, by number of the release


def judge(records: Iterable[Sequence[Any]], sets: Sets, carries: Mapping[int, Iterable[int]]) -> dict[str, Any]:
    """Count violations. carries: for each release those whose runs may migrate to it.

    split_runs: runs with two pins, or whose requests ran in versions that no single release has, except for migrations
    to a compatible release. wrong_version: requests that a host ran in a version that it does not serve. stranded:
    failed steps, for instance because no host served the version or the run got no pin.
    """
    ran: dict[str, set[tuple[int, int]]] = defaultdict(set)
    outcomes: Counter[str] = Counter()
    steps, runs, wrong, refused, fenced = 0, set[str](), 0, 0, 0
    pinned_sets: dict[str, set[int]] = defaultdict(set)
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
            fenced += 1
        elif kind == "retired":
            retired.add(r[4])
        elif kind == "step":
            runs.add(r[4])
            steps += 1
        elif kind == "stepped":
            outcomes[r[7]] += 1
        elif kind == "pin" and r[5] == "pinned":
            pinned_sets[r[4]].add(r[6])
    split, migrated = [], 0
    for run, seen in ran.items():
        matching = [s for s, versions in sets.items() if all(versions[o] == v for o, v in seen)]
        if matching:
            continue
        is_migrated = any(
            all(v in (sets[old][o], sets[new][o]) for o, v in seen) for new, olds in carries.items() for old in olds
        )
        migrated += is_migrated
        if not is_migrated:
            split.append(run)
    with_two_pins = [run for run, numbers in pinned_sets.items() if len(numbers) > 1]
    return {
        "runs": len(runs),
        "steps": steps,
        "split_runs": len({*split, *with_two_pins}),
        "wrong_version": wrong,
        "refused_by_host": refused,
        "refused_by_fence": fenced,
        "stranded": sum(n for end, n in outcomes.items() if end != "ok"),
        "ends": dict(sorted(outcomes.items())),
        "carried_over": migrated,
        "retired": sorted(retired),
        "sets_used": sorted({s for numbers in pinned_sets.values() for s in numbers}),
    }
