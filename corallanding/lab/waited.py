"""Input of the audit of job scheduling for one run: what proxies observed of jobs and what controllers dispatched.

Imports nothing of what it judges.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any

from .order import Kind, judge
from .uses import for_each_row

QUOTA_NOTICE_MS = 300.0  # until all controllers know that one can dispatch again


def judge_run(
    records: Iterable[Sequence[Any]], paths: dict[int, Path], kinds: dict[int, Kind], bound: float
) -> dict[str, Any]:
    """Judge one run. records: the trace. paths: each controller's file. kinds: request classes that wait, by number.

    The order is judged among jobs that belong to no workflow run (those also wait for hosts), by their first tickets: a
    second ticket with the same idempotency key gets the age of the first only once its record has been read. `kind` is
    "not judged" if a controller's file is damaged.
    """
    order = {operation: n for n, operation in enumerate(sorted(kinds))}
    submitted: dict[int, tuple[float, int]] = {}
    pinned, twins, refused, still_queued = set[int](), set[int](), set[int](), set[int]()
    outcomes: dict[str, int] = {}
    held_since: dict[tuple[str, int, int], float] = {}
    held: list[tuple[int, int, float, float]] = []
    set_aside: dict[tuple[str, int, int], list[tuple[float, float]]] = {}
    went: list[tuple[float, int, int, list[int]]] = []
    dispatched_at: dict[tuple[str, int, int], float] = {}
    dry_since: dict[int, float] = {}
    dry_spans: list[tuple[int, float, float]] = []
    first_holder: dict[int, str] = {}
    are_intact = True
    for controller, path in paths.items():

        def take(what: str, *row: Any, controller: int = controller) -> None:
            at, _, forwarder, ticket = row[:4]
            key = (f"forwarder {forwarder}", int(ticket), controller)
            if what == "go":
                dispatched_at[key] = float(at)
                went.append((float(at), int(ticket), controller, [int(n) for n in row[5]]))
            elif what == "dry":
                dry_since[controller] = float(at)
            elif what == "wet" and controller in dry_since:
                dry_spans.append((controller, dry_since.pop(controller), float(at) + QUOTA_NOTICE_MS))
            elif what == "back":
                set_aside.setdefault(key, []).append((float(at), float(row[4])))

        are_intact = for_each_row(path, take) and are_intact
        if controller in dry_since:
            dry_spans.append((controller, dry_since.pop(controller), float("inf")))
    for r in records:
        name, at, kind = r[0], r[2], r[3]
        if kind == "job":
            submitted[r[4]] = (at, order[r[5]])
            if r[6]:
                pinned.add(r[4])
        elif kind == "held":
            if first_holder.setdefault(r[4], name) == name:
                held_since[name, r[4], r[5]] = at
        elif kind in ("unheld", "went", "twin"):
            begin = held_since.pop((name, r[4], r[5]), None)
            if kind == "twin":
                twins.add(r[4])
            if begin is not None and r[4] not in pinned:
                until = min(at, dispatched_at.get((name, r[4], r[5]), at))
                for set_aside_at, eligible_at in sorted(set_aside.get((name, r[4], r[5]), [])):
                    held.append((r[4], r[5], begin, min(set_aside_at, until)))
                    begin = max(begin, eligible_at)
                held.append((r[4], r[5], begin, until))
        elif kind == "not-taken":
            refused.add(r[4])
        elif kind == "still":
            still_queued.add(r[4])
        elif kind == "ended":
            outcomes[r[6]] = outcomes.get(r[6], 0) + 1
    held += [(job, k, begin, float("inf")) for (_, job, k), begin in held_since.items() if job not in pinned]
    rows = [kinds[operation] for operation in sorted(kinds)]
    unpinned = {job: row for job, row in submitted.items() if job not in pinned}
    found = judge(
        rows, unpinned, held, [w for w in went if w[1] not in pinned], bound, twins | refused | still_queued, dry_spans
    )
    # If a controller dies while its dispatch message is under way, the next one dispatches the ticket again to the same
    # proxy, which has sent nothing yet. So only jobs that hosts ran twice count as doubled.
    ran: dict[int, set[tuple[int, int, int]]] = {}
    for r in records:
        if r[3] == "run" and r[4] in submitted:
            ran.setdefault(r[4], set()).add((r[4], r[5], r[6]))
    found["doubled"] = sum(len({a for _, a, _ in attempts}) - 1 for attempts in ran.values())
    found["ends"], found["kind"] = dict(sorted(outcomes.items())), "witnessed" if are_intact else "not judged"
    found["of_runs"], found["still"] = len(pinned), len(still_queued)
    return found
