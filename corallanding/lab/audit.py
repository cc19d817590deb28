"""The five rules, judged from what hosts, forwarders and roster saw on their sockets. Shares no code with the steward.

Records are `[witness, number, time, kind, ...]`. A witness whose record has a gap or no end is truncated: then
nothing is judged. Each rule gives its worst figure beside its limit.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

import numpy as np


@dataclass(frozen=True)
class Limits:
    """The rules' figures. Times in ms; messages_most 0: no cap."""

    bare: float
    drain_grace: float
    drain_binds_alone: bool
    fall: float
    fall_multiple: float
    queue_most: float
    head: float
    messages_most: int
    messages_span: float
    slices: int
    side_effecting: tuple[int, ...]


@dataclass(frozen=True)
class Verdict:
    rule: str
    kept: bool | None  # None: not judged
    worst: float
    limit: float
    note: str = ""


RULES = ("no proxy without a host", "no effect twice", "drains kept", "no cold host pushed over", "short queue")


def truncated(records: Sequence[Any]) -> str:
    """Why this record cannot be judged; empty if it is whole."""
    last: dict[str, int] = {}
    ended: dict[str, bool] = {}
    for r in records:
        name, number, kind = r[0], r[1], r[3]
        if number != last.get(name, 0) + 1:
            return f"the record of {name} has a gap at {number}"
        last[name] = number
        ended[name] = kind == "end" and r[4] == number
    for need in ("forwarder", "host", "roster"):
        if not any(name.startswith(need) for name in last):
            return f"no record of any {need}"
    open_ends = [name for name, done in ended.items() if not done]
    return f"the record of {open_ends[0]} has no end" if open_ends else ""


@dataclass
class Listed:
    """What the roster said of one host, when: (time, state, started)."""

    said: list[tuple[float, str, float]] = field(default_factory=list)


def roster_history(records: Sequence[Any]) -> dict[int, Listed]:
    hosts: dict[int, Listed] = defaultdict(Listed)
    current: dict[int, str] = {}
    for r in records:
        if r[0] == "roster" and r[3] == "told":
            t, form, rows = r[2], r[4], r[6]
            named = {row[0] for row in rows}
            if form == "full":
                for h in [h for h, state in current.items() if state != "removed" and h not in named]:
                    hosts[h].said.append((t, "removed", 0.0))
                    current[h] = "removed"
            for host, state, started in rows:
                hosts[host].said.append((t, state, started))
                current[host] = state
    return hosts


@dataclass
class ForwarderView:
    """One forwarder's joined spans and its tables in time, from its frames."""

    name: str
    joined: dict[int, list[tuple[float, float]]] = field(default_factory=lambda: defaultdict(list))  # by steward
    frames: list[float] = field(default_factory=list)  # receipt of each message
    by_steward: dict[int, list[float]] = field(default_factory=lambda: defaultdict(list))
    given: dict[tuple[int, int], list[float]] = field(default_factory=lambda: defaultdict(list))  # steward, slice
    bare: list[tuple[float, float, int]] = field(default_factory=list)  # from, to, slice
    stalls: list[tuple[float, float]] = field(default_factory=list)


def replay_tables(name: str, records: Sequence[Any], slices: int, end: float) -> ForwarderView:
    """Tables as the forwarder's frames make them; a frame counts from when it was applied."""
    view = ForwarderView(name)
    tables: dict[int, dict[int, float]] = {}
    cordons: dict[int, set[int]] = defaultdict(set)
    owner: dict[int, int] = {}
    waiting: dict[int, list[list[Any]]] = defaultdict(list)
    joined_at: dict[int, float] = {}
    bare_since: dict[int, float] = {}
    stalled_at: float | None = None

    def look(t: float, which: Any) -> None:
        for s in which:
            shut = cordons[owner.get(s, 0)]
            empty = all(h in shut for h in tables.get(s, {}))
            if empty and joined_at and s not in bare_since:
                bare_since[s] = t
            elif (not empty or not joined_at) and s in bare_since:
                view.bare.append((bare_since.pop(s), t, s))

    for r in records:
        t, kind = r[2], r[3]
        if kind == "frame":
            frame, k = r[4], r[5]
            waiting[k].append(frame)
            if frame[0] == "orders":
                view.frames.append(t)
                view.by_steward[k].append(t)
        elif kind == "applied" and waiting[r[5]]:
            k = r[5]
            frame = waiting[k].pop(0)
            touched: Any = range(slices)
            if frame[0] == "tables":
                rows = {row[0]: dict(row[1]) for row in frame[2]}
                if not frame[7]:
                    for s in [s for s, at in owner.items() if at == k and s not in rows]:
                        del owner[s]
                    cordons[k] = set(frame[4])
                for s in frame[7]:
                    view.given[k, s].append(t)
                tables.update(rows)
                owner.update(dict.fromkeys(rows, k))
            else:
                _, _, _, resets, lines, _, shut, _, _, withdrawn, *_ = frame
                for s in resets:
                    tables[s] = {}
                for s in withdrawn:
                    if owner.get(s) == k:
                        del owner[s]
                for s, h, w in lines:
                    owner[s] = k
                    if w > 0:
                        tables.setdefault(s, {})[h] = w
                    else:
                        tables.get(s, {}).pop(h, None)
                for h, on in shut:
                    (cordons[k].add if on else cordons[k].discard)(h)
                touched = range(slices) if shut else {*resets, *(row[0] for row in lines)}
            look(t, touched)
        elif kind == "joined":
            joined_at[r[5]] = t
            look(t, range(slices))
        elif kind == "left":
            if r[4] in joined_at:
                view.joined[r[4]].append((joined_at.pop(r[4]), t))
            waiting[r[4]].clear()
            look(t, range(slices))
        elif kind == "stall":
            if r[4]:
                stalled_at = t
            elif stalled_at is not None:
                view.stalls.append((stalled_at, t))
                stalled_at = None
    for k, since in joined_at.items():
        view.joined[k].append((since, end))
    view.bare += [(since, end, s) for s, since in bare_since.items()]
    return view


def rule_bare(views: list[ForwarderView], warm: list[tuple[float, float]], limit: float) -> Verdict:
    """Longest stretch without a line to pick, within one span in which a warm host was listed as up."""
    worst, where = 0.0, ""
    for view in views:
        for a, b, s in view.bare:
            for x, y in warm:
                stretch = min(b, y) - max(a, x)
                if stretch > worst:
                    worst, where = stretch, f"{view.name}, slice {s}"
    return Verdict(RULES[0], worst <= limit, worst, limit, where)


def warm_spans(listed: dict[int, Listed], starts: dict[int, list[tuple[float, float]]], end: float) -> Any:
    """Spans in which at least one host that is warm was listed as up, merged."""
    spans = []
    for host, history in listed.items():
        for k, (t, state, _) in enumerate(history.said):
            until = history.said[k + 1][0] if k + 1 < len(history.said) else end
            warm_from = max((at + cold for at, cold in starts.get(host, []) if at <= until), default=t)
            if state == "up" and max(t, warm_from) < until and host in starts:
                spans.append((max(t, warm_from), until))
    spans.sort()
    merged: list[tuple[float, float]] = []
    for a, b in spans:
        if merged and a <= merged[-1][1]:
            merged[-1] = (merged[-1][0], max(merged[-1][1], b))
        else:
            merged.append((a, b))
    return merged


def rule_twice(records: Sequence[Any], side_effecting: tuple[int, ...]) -> tuple[Verdict, int]:
    """Side-effecting invocations that ran twice by a forwarder's own repeats; and by whatever cause."""
    runs: dict[int, set[tuple[int, int, str]]] = defaultdict(set)
    for r in records:
        if r[3] == "run" and r[8] in side_effecting:
            runs[r[4]].add((r[5], r[6], r[0]))
    ordered = doubled = 0
    for done in runs.values():
        doubled += len(done) > 1
        by_attempt: dict[int, int] = defaultdict(int)
        for attempt, _, _ in done:
            by_attempt[attempt] += 1
        ordered += any(n > 1 for n in by_attempt.values())
    return Verdict(RULES[1], ordered == 0, float(ordered), 0.0, f"{doubled} by any cause"), doubled


def rule_drain(
    records: Sequence[Any], views: list[ForwarderView], listed: dict[int, Listed], limits: Limits
) -> Verdict:
    """The latest send to a host after the roster said that it drains or is gone; joining starts the time anew."""
    bad = ("draining",) if limits.drain_binds_alone else ("draining", "removed")
    spans: dict[int, list[tuple[float, float]]] = defaultdict(list)
    for host, history in listed.items():
        since: float | None = None
        for t, state, _ in history.said:
            if state in bad and since is None:
                since = t
            elif state == "up" and since is not None:
                spans[host].append((since, t))
                since = None
        if since is not None:
            spans[host].append((since, float("inf")))
    by_name = {v.name: v for v in views}
    worst, where = 0.0, ""
    for r in records:
        if r[3] != "send":
            continue
        name, t, slice, host, steward = r[0], r[2], r[8], r[9], r[10]
        for a, b in spans.get(host, ()):
            if not a < t < b:
                continue
            view = by_name[name]
            # Only the steward in charge is bound, from its joining or the slice's giving, if that is later.
            given = max((g for g in view.given.get((steward, slice), ()) if g <= t), default=0.0)
            for j, k in view.joined.get(steward, ()):
                if j <= t <= k and t - max(a, j, given) > worst:
                    worst, where = t - max(a, j, given), f"{name} to host {host}"
    return Verdict(RULES[2], worst <= limits.drain_grace, worst, limits.drain_grace, where)


def rule_cold(records: Sequence[Any], views: list[ForwarderView], listed: dict[int, Listed], limits: Limits) -> Verdict:
    """Work sent to a cold host within any window, over its present capacity; only what came knowingly counts."""
    cold: dict[str, tuple[float, float, float, float]] = {}  # host: start, capacity, from, cold time
    takes: dict[str, list[tuple[float, float, str]]] = defaultdict(list)
    worst, where = 0.0, ""
    last_frame = {v.name: v.frames for v in views}

    def judge(host: str) -> None:
        nonlocal worst, where
        start, capacity, low, span = cold[host]
        history = listed.get(int(host.split()[1]))
        told = min((t for t, s, _ in history.said if s == "up" and t >= start), default=np.inf) if history else np.inf
        rows = takes.pop(host, [])
        first = 0
        pushed = knowing = 0.0
        knows = []
        for t, work, name in rows:
            frames = last_frame.get(name, [])
            k = bisect_right(frames, t)
            known = (k > 0 and frames[k - 1] >= told) or t >= told + limits.drain_grace
            knows.append(work if known else 0.0)
        for k, (t, work, _) in enumerate(rows):
            pushed, knowing = pushed + work, knowing + knows[k]
            while rows[first][0] < t - limits.fall:
                pushed, knowing, first = pushed - rows[first][1], knowing - knows[first], first + 1
            if t - start > span:
                break
            now = capacity * (low + (1.0 - low) * min(1.0, (t - start) / span)) * limits.fall
            if knowing * 3.0 >= pushed * 2.0 and pushed / now > worst:
                worst, where = pushed / now, host

    for r in records:
        name, t, kind = r[0], r[2], r[3]
        if not name.startswith("host"):
            continue
        if kind == "start" and r[4]:
            cold[name] = (t, r[5], r[6], r[7])
            takes.pop(name, None)
        elif kind == "take" and name in cold:
            takes[name].append((t, r[10], f"forwarder {r[7]}"))
        elif kind in ("stop", "end") and name in cold:
            judge(name)
            del cold[name]
    return Verdict(RULES[3], worst <= limits.fall_multiple, worst, limits.fall_multiple, where)


def rule_queue(records: Sequence[Any], views: list[ForwarderView], limits: Limits) -> Verdict:
    """Lines that must have waited: of messages that one forwarder had and others, joined all the while, had not.

    Also the most messages that one forwarder got within the span, where they are capped; spans in which it
    stood still are left out, since what came then was read at once.
    """
    seen: dict[tuple[int, int, int], list[tuple[float, str]]] = defaultdict(list)
    cost: dict[tuple[int, int, int], float] = {}
    lives: dict[tuple[str, int], int] = defaultdict(int)
    for r in records:
        if r[3] == "joined":
            lives[r[0], r[5]] = r[4]
        elif r[3] == "frame" and r[4][0] == "orders":
            f = r[4]
            key = (r[5], lives[r[0], r[5]], f[1])
            seen[key].append((r[2], r[0]))
            cost[key] = limits.head + len(f[3]) + len(f[4]) + len(f[5]) + len(f[6]) + len(f[7])
    changes: list[tuple[float, float, int]] = []
    stalled = {v.name: v.stalls for v in views}
    for key, receipts in seen.items():
        begin = min(t for t, _ in receipts)
        for t, name in receipts:
            if any(a < t + 1000 and b > begin for a, b in stalled.get(name, ())):
                continue
            changes += [(begin, cost[key], key[0]), (t, -cost[key], key[0])]
    changes.sort()
    waiting: dict[int, float] = defaultdict(float)  # each steward has a channel of its own
    worst = 0.0
    for _, change, steward in changes:
        waiting[steward] += change
        worst = max(worst, waiting[steward])
    note, kept = "", worst <= limits.queue_most
    if limits.messages_most:
        most = 0
        for view in views:
            for steward, frames in view.by_steward.items():
                first = 0
                for k, t in enumerate(frames):
                    since = max((a for a, b in view.joined[steward] if a <= t), default=0.0)  # from its joining
                    while frames[first] < max(since, t - (limits.messages_span - 50.0)):
                        first += 1
                    if not any(a < t and b > frames[first] for a, b in view.stalls):
                        most = max(most, k - first + 1)
        note = f"{most} messages of {limits.messages_most} in {limits.messages_span:g} ms"
        kept = kept and most <= limits.messages_most
    return Verdict(RULES[4], kept, worst, limits.queue_most, note)


def judge(records: Sequence[Any], limits: Limits) -> tuple[list[Verdict], int]:
    """The five verdicts, and how many side-effecting invocations ran twice by any cause."""
    if why := truncated(records):
        return [Verdict(rule, None, 0.0, 0.0, f"not judged: {why}") for rule in RULES], 0
    end = max(r[2] for r in records)
    by: dict[str, list[Any]] = defaultdict(list)
    for r in records:
        by[r[0]].append(r)
    names = sorted(n for n in by if n.startswith("forwarder"))
    views = [replay_tables(n, by[n], limits.slices, end) for n in names]
    listed = roster_history(by["roster"])
    starts: dict[int, list[tuple[float, float]]] = defaultdict(list)
    for r in records:
        if r[3] == "start":
            starts[int(r[0].split()[1])].append((r[2], r[7] if r[4] else 0.0))
    twice, doubled = rule_twice(records, limits.side_effecting)
    return [
        rule_bare(views, warm_spans(listed, starts, end), limits.bare),
        twice,
        rule_drain(records, views, listed, limits),
        rule_cold(records, views, listed, limits),
        rule_queue(records, views, limits),
    ], doubled
