"""The audit of the five rules, from what hosts, proxies and the host list observed on their sockets.

Shares no code with the controller. Records are `[observer, number, time in ms, kind, ...]`. If the records of one
observer have a gap or no end record, no rule is judged. Each rule reports its worst value beside its limit.
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
    """The limits of the rules. max_messages: 0 for no limit."""

    max_without_host_ms: float
    drain_grace_ms: float
    drain_binds_alone: bool
    overload_window_ms: float
    max_overload_ratio: float
    max_queued_lines: float
    message_overhead_lines: float
    max_messages: int
    message_window_ms: float
    slices: int
    side_effecting: tuple[int, ...]


@dataclass(frozen=True)
class Verdict:
    """The result of one rule, as `result.json` holds it."""

    rule: str
    kept: bool | None  # None: not judged
    worst: float
    limit: float
    note: str = ""


RULES = ("no proxy without a host", "no effect twice", "drains kept", "no cold host pushed over", "short queue")


def truncation_reason(records: Sequence[Any]) -> str:
    """Return why these records cannot be judged; empty if they are complete."""
    last: dict[str, int] = {}
    ended: dict[str, bool] = {}
    for r in records:
        name, number, kind = r[0], r[1], r[3]
        if number != last.get(name, 0) + 1:
            return f"the record of {name} has a gap at {number}"
        last[name] = number
        ended[name] = kind == "end" and r[4] == number
    for role in ("forwarder", "host", "roster"):
        if not any(name.startswith(role) for name in last):
            return f"no record of any {role}"
    unfinished = [name for name, done in ended.items() if not done]
    return f"the record of {unfinished[0]} has no end" if unfinished else ""


@dataclass
class HostListing:
    """What the host list sent about one host: (time of sending, state, start of the host's process)."""

    states: list[tuple[float, str, float]] = field(default_factory=list)


def host_list_history(records: Sequence[Any]) -> dict[int, HostListing]:
    """Return what the host list sent about each host. A host missing in a full list counts as removed."""
    hosts: dict[int, HostListing] = defaultdict(HostListing)
    current: dict[int, str] = {}
    for r in records:
        if r[0] == "roster" and r[3] == "told":
            t, form, rows = r[2], r[4], r[6]
            named = {row[0] for row in rows}
            if form == "full":
                for h in [h for h, state in current.items() if state != "removed" and h not in named]:
                    hosts[h].states.append((t, "removed", 0.0))
                    current[h] = "removed"
            for host, state, started in rows:
                hosts[host].states.append((t, state, started))
                current[host] = state
    return hosts


@dataclass
class ProxyView:
    """Spans in which one proxy was connected, stalled or without a host for a slice, from its received frames."""

    name: str
    joined: dict[int, list[tuple[float, float]]] = field(default_factory=lambda: defaultdict(list))  # by controller
    frames: list[float] = field(default_factory=list)  # time of receipt of each message
    frames_by_controller: dict[int, list[float]] = field(default_factory=lambda: defaultdict(list))
    granted_at: dict[tuple[int, int], list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )  # controller, slice
    without_host: list[tuple[float, float, int]] = field(
        default_factory=list
    )  # begin, end and slice of each span without a host
    stalls: list[tuple[float, float]] = field(default_factory=list)


def replay_tables(name: str, records: Sequence[Any], slices: int, end: float) -> ProxyView:
    """Replay the tables of a proxy from its frames; a frame takes effect when the proxy has applied it."""
    view = ProxyView(name)
    tables: dict[int, dict[int, float]] = {}
    cordons: dict[int, set[int]] = defaultdict(set)
    owner: dict[int, int] = {}
    unapplied: dict[int, list[list[Any]]] = defaultdict(list)
    joined_at: dict[int, float] = {}
    empty_since: dict[int, float] = {}
    stalled_at: float | None = None

    def update_empty_slices(t: float, slices_to_check: Any) -> None:
        for s in slices_to_check:
            cordoned = cordons[owner.get(s, 0)]
            empty = all(h in cordoned for h in tables.get(s, {}))
            if empty and joined_at and s not in empty_since:
                empty_since[s] = t
            elif (not empty or not joined_at) and s in empty_since:
                view.without_host.append((empty_since.pop(s), t, s))

    for r in records:
        t, kind = r[2], r[3]
        if kind == "frame":
            frame, k = r[4], r[5]
            unapplied[k].append(frame)
            if frame[0] == "orders":
                view.frames.append(t)
                view.frames_by_controller[k].append(t)
        elif kind == "applied" and unapplied[r[5]]:
            k = r[5]
            frame = unapplied[k].pop(0)
            touched: Any = range(slices)
            if frame[0] == "tables":
                rows = {row[0]: dict(row[1]) for row in frame[2]}
                if not frame[7]:
                    for s in [s for s, at in owner.items() if at == k and s not in rows]:
                        del owner[s]
                    cordons[k] = set(frame[4])
                for s in frame[7]:
                    view.granted_at[k, s].append(t)
                tables.update(rows)
                owner.update(dict.fromkeys(rows, k))
            else:
                _, _, _, resets, lines, _, cordoned, _, _, withdrawn, *_ = frame
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
                for h, on in cordoned:
                    (cordons[k].add if on else cordons[k].discard)(h)
                touched = range(slices) if cordoned else {*resets, *(row[0] for row in lines)}
            update_empty_slices(t, touched)
        elif kind == "joined":
            joined_at[r[5]] = t
            update_empty_slices(t, range(slices))
        elif kind == "left":
            if r[4] in joined_at:
                view.joined[r[4]].append((joined_at.pop(r[4]), t))
            unapplied[r[4]].clear()
            update_empty_slices(t, range(slices))
        elif kind == "stall":
            if r[4]:
                stalled_at = t
            elif stalled_at is not None:
                view.stalls.append((stalled_at, t))
                stalled_at = None
    for k, since in joined_at.items():
        view.joined[k].append((since, end))
    view.without_host += [(since, end, s) for s, since in empty_since.items()]
    return view


def rule_without_host(views: list[ProxyView], warm: list[tuple[float, float]], limit: float) -> Verdict:
    """Judge the longest time that a proxy had no host for a slice while a warm host was listed as up."""
    worst, where = 0.0, ""
    for view in views:
        for begin, end, s in view.without_host:
            for warm_begin, warm_end in warm:
                duration = min(end, warm_end) - max(begin, warm_begin)
                if duration > worst:
                    worst, where = duration, f"{view.name}, slice {s}"
    return Verdict(RULES[0], worst <= limit, worst, limit, where)


def warm_spans(listed: dict[int, HostListing], starts: dict[int, list[tuple[float, float]]], end: float) -> Any:
    """Return the merged spans in which at least one warm host was listed as up. starts: (time, warm-up ms) by host."""
    spans = []
    for host, history in listed.items():
        for k, (t, state, _) in enumerate(history.states):
            until = history.states[k + 1][0] if k + 1 < len(history.states) else end
            warm_from = max((at + warmup for at, warmup in starts.get(host, []) if at <= until), default=t)
            if state == "up" and max(t, warm_from) < until and host in starts:
                spans.append((max(t, warm_from), until))
    spans.sort()
    merged: list[tuple[float, float]] = []
    for begin, finish in spans:
        if merged and begin <= merged[-1][1]:
            merged[-1] = (merged[-1][0], max(merged[-1][1], finish))
        else:
            merged.append((begin, finish))
    return merged


def rule_duplicates(records: Sequence[Any], side_effecting: tuple[int, ...]) -> tuple[Verdict, int]:
    """Judge side-effecting requests that ran twice by a proxy's own retries; also return how many ran twice at all."""
    runs: dict[int, set[tuple[int, int, str]]] = defaultdict(set)
    for r in records:
        if r[3] == "run" and r[8] in side_effecting:
            runs[r[4]].add((r[5], r[6], r[0]))
    retried_by_proxy = duplicated = 0
    for executions in runs.values():
        duplicated += len(executions) > 1
        by_attempt: dict[int, int] = defaultdict(int)
        for attempt, _, _ in executions:
            by_attempt[attempt] += 1
        retried_by_proxy += any(n > 1 for n in by_attempt.values())
    note = f"{duplicated} by any cause"
    return Verdict(RULES[1], retried_by_proxy == 0, float(retried_by_proxy), 0.0, note), duplicated


def rule_drain(
    records: Sequence[Any], views: list[ProxyView], listed: dict[int, HostListing], limits: Limits
) -> Verdict:
    """Judge the latest request to a host after the host list reported it as draining or removed.

    The time starts again when the proxy connects to the controller or the slice is granted to it.
    """
    unusable = ("draining",) if limits.drain_binds_alone else ("draining", "removed")
    spans: dict[int, list[tuple[float, float]]] = defaultdict(list)
    for host, history in listed.items():
        since: float | None = None
        for t, state, _ in history.states:
            if state in unusable and since is None:
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
        name, t, slice, host, controller = r[0], r[2], r[8], r[9], r[10]
        for begin, end in spans.get(host, ()):
            if not begin < t < end:
                continue
            view = by_name[name]
            # The rule binds only the controller that owns the slice, from the connection or the grant, if later.
            granted = max((g for g in view.granted_at.get((controller, slice), ()) if g <= t), default=0.0)
            for connected, disconnected in view.joined.get(controller, ()):
                if connected <= t <= disconnected and t - max(begin, connected, granted) > worst:
                    worst, where = t - max(begin, connected, granted), f"{name} to host {host}"
    return Verdict(RULES[2], worst <= limits.drain_grace_ms, worst, limits.drain_grace_ms, where)


def rule_cold_hosts(
    records: Sequence[Any], views: list[ProxyView], listed: dict[int, HostListing], limits: Limits
) -> Verdict:
    """Judge the work that a cold host received within any window, relative to its capacity at that time.

    A window counts if two thirds of its work came from proxies that knew of the host's start: those that had received a
    message since the host was listed as up, and all proxies once the grace period has passed.
    """
    # By host: start, full capacity, initial share of it, warm-up ms.
    cold: dict[str, tuple[float, float, float, float]] = {}
    requests_by_host: dict[str, list[tuple[float, float, str]]] = defaultdict(list)
    worst, where = 0.0, ""
    last_frame = {v.name: v.frames for v in views}

    def judge_host(host: str) -> None:
        nonlocal worst, where
        start, capacity, low, span = cold[host]
        history = listed.get(int(host.split()[1]))
        states = history.states if history else ()
        listed_up_at = min((t for t, s, _ in states if s == "up" and t >= start), default=np.inf)
        rows = requests_by_host.pop(host, [])
        first = 0
        total = informed_total = 0.0
        informed_work = []
        for t, work, name in rows:
            frames = last_frame.get(name, [])
            k = bisect_right(frames, t)
            is_informed = (k > 0 and frames[k - 1] >= listed_up_at) or t >= listed_up_at + limits.drain_grace_ms
            informed_work.append(work if is_informed else 0.0)
        for k, (t, work, _) in enumerate(rows):
            total, informed_total = total + work, informed_total + informed_work[k]
            while rows[first][0] < t - limits.overload_window_ms:
                total, informed_total, first = total - rows[first][1], informed_total - informed_work[first], first + 1
            if t - start > span:
                break
            window_capacity = capacity * (low + (1.0 - low) * min(1.0, (t - start) / span)) * limits.overload_window_ms
            if informed_total * 3.0 >= total * 2.0 and total / window_capacity > worst:
                worst, where = total / window_capacity, host

    for r in records:
        name, t, kind = r[0], r[2], r[3]
        if not name.startswith("host"):
            continue
        if kind == "start" and r[4]:
            cold[name] = (t, r[5], r[6], r[7])
            requests_by_host.pop(name, None)
        elif kind == "take" and name in cold:
            requests_by_host[name].append((t, r[10], f"forwarder {r[7]}"))
        elif kind in ("stop", "end") and name in cold:
            judge_host(name)
            del cold[name]
    return Verdict(RULES[3], worst <= limits.max_overload_ratio, worst, limits.max_overload_ratio, where)


def rule_queue(records: Sequence[Any], views: list[ProxyView], limits: Limits) -> Verdict:
    """Judge the queued lines: those of messages that one proxy had received and other connected ones had not.

    Where messages are limited, also judge how many a proxy received within the window. Spans in which the proxy was
    stalled are left out, because it then reads all that arrived at once.
    """
    receipts_by_message: dict[tuple[int, int, int], list[tuple[float, str]]] = defaultdict(list)
    queued_lines: dict[tuple[int, int, int], float] = {}
    incarnations: dict[tuple[str, int], int] = defaultdict(int)
    for r in records:
        if r[3] == "joined":
            incarnations[r[0], r[5]] = r[4]
        elif r[3] == "frame" and r[4][0] == "orders":
            f = r[4]
            key = (r[5], incarnations[r[0], r[5]], f[1])
            receipts_by_message[key].append((r[2], r[0]))
            queued_lines[key] = (
                limits.message_overhead_lines + len(f[3]) + len(f[4]) + len(f[5]) + len(f[6]) + len(f[7])
            )
    changes: list[tuple[float, float, int]] = []
    stalled = {v.name: v.stalls for v in views}
    for key, receipts in receipts_by_message.items():
        begin = min(t for t, _ in receipts)
        for t, name in receipts:
            if any(start < t + 1000 and end > begin for start, end in stalled.get(name, ())):
                continue
            changes += [(begin, queued_lines[key], key[0]), (t, -queued_lines[key], key[0])]
    changes.sort()
    waiting: dict[int, float] = defaultdict(float)  # by controller: each has its own channel
    worst = 0.0
    for _, change, controller in changes:
        waiting[controller] += change
        worst = max(worst, waiting[controller])
    note, kept = "", worst <= limits.max_queued_lines
    if limits.max_messages:
        max_received = 0
        for view in views:
            for controller, frames in view.frames_by_controller.items():
                first = 0
                for k, t in enumerate(frames):
                    # The window does not begin before the connection.
                    since = max((begin for begin, _ in view.joined[controller] if begin <= t), default=0.0)
                    while frames[first] < max(since, t - (limits.message_window_ms - 50.0)):
                        first += 1
                    if not any(begin < t and end > frames[first] for begin, end in view.stalls):
                        max_received = max(max_received, k - first + 1)
        note = f"{max_received} messages of {limits.max_messages} in {limits.message_window_ms:g} ms"
        kept = kept and max_received <= limits.max_messages
    return Verdict(RULES[4], kept, worst, limits.max_queued_lines, note)


def judge(records: Sequence[Any], limits: Limits) -> tuple[list[Verdict], int]:
    """Return the five verdicts and how many side-effecting requests ran twice for any reason."""
    if reason := truncation_reason(records):
        return [Verdict(rule, None, 0.0, 0.0, f"not judged: {reason}") for rule in RULES], 0
    end = max(r[2] for r in records)
    records_by_name: dict[str, list[Any]] = defaultdict(list)
    for r in records:
        records_by_name[r[0]].append(r)
    names = sorted(n for n in records_by_name if n.startswith("forwarder"))
    views = [replay_tables(n, records_by_name[n], limits.slices, end) for n in names]
    listed = host_list_history(records_by_name["roster"])
    starts: dict[int, list[tuple[float, float]]] = defaultdict(list)
    for r in records:
        if r[3] == "start":
            starts[int(r[0].split()[1])].append((r[2], r[7] if r[4] else 0.0))
    duplicates, duplicated = rule_duplicates(records, limits.side_effecting)
    return [
        rule_without_host(views, warm_spans(listed, starts, end), limits.max_without_host_ms),
        duplicates,
        rule_drain(records, views, listed, limits),
        rule_cold_hosts(records, views, listed, limits),
        rule_queue(records, views, limits),
    ], duplicated
