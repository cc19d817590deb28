"""A steward's recording as a day: what came for each slice, which hosts there were, what ailed them. Pure.

A recording tells what the steward was told, no more. Rules, so that nothing is made up in silence:

1. A sum covers the span that it names, up to the time at which it was given to the module; its invocations are spread
   evenly over it. A span over one and a half report periods came `late`: its total is true, its shape is not known.
2. Time that no sum covers is a `gap`. Each slice and operation goes on there at the mean of its rates in the report
   periods before and after.
3. The list's words are late by `notice`. A host that is listed as draining and then goes was ended in order; one that
   goes without was dead from `notice` before. A new host, or a new start of one, begins cold.
4. A host whose good answers took over 1.5 times the fleet's middle for two periods running was slow by that much.
5. Not in a recording: how much work an invocation is, which forwarder it came to, how long a client waits. They are
   the scenario's (`--like`).
"""

from __future__ import annotations

import itertools
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

import numpy as np

from ... import interface as api
from ...controller.recorder import Recording
from ..clients import OperationSpec, Traffic

LATE, SLOW, AROUND = 1.5, 1.5, 3.0  # spans in report periods; slowness; report periods around a gap


class NoDay(Exception):
    """What a recording lacks to be a day."""


@dataclass(frozen=True)
class Seen:
    """A change of one host, ms from the beginning. what: "up", "draining", "gone", "dead", "slow"; size: of "slow"."""

    at: float
    what: str
    host: int
    zone: int = 0
    kind: int = 0
    size: float = 1.0


@dataclass(frozen=True)
class Window:
    begin: float
    end: float
    slice: int
    operation: int
    count: float


@dataclass
class Day:
    length: float  # ms
    slices: int
    operations: int
    windows: list[Window]
    late: list[tuple[float, float]]
    gaps: list[tuple[float, float]]
    first: list[api.HostEntry]
    seen: list[Seen]
    forwarders: dict[int, tuple[int, float]]  # zone, rate
    unanswered: float  # share of what came, as forwarders told
    filled: float = 0.0  # invocations that the gaps were given
    torn: bool = False
    by_second: list[float] = field(default_factory=list)  # share answered, as told
    exact: Traffic | None = None  # arrivals of a trace, in place of the windows


def joined(spans: list[tuple[float, float]], slack: float = 0.0) -> list[tuple[float, float]]:
    out: list[tuple[float, float]] = []
    for a, b in sorted(spans):
        if out and a <= out[-1][1] + slack:
            out[-1] = (out[-1][0], max(out[-1][1], b))
        else:
            out.append((a, b))
    return out


def day_of(rec: Recording, notice: float) -> Day:
    """notice: ms that the list is late. Raises `NoDay`."""
    every = rec.settings.report_interval_ms
    sums = [(now, e) for now, events, _ in rec.steps for e in events if isinstance(e, api.SliceUsageReport)]
    if not rec.settings.slice_count:
        raise NoDay("a site without slices: nothing tells what came for whom")
    if not sums:
        raise NoDay("no sums of slices: no forwarder reported in it")
    begin, end = min(now - e.span_ms for now, e in sums), max(now for now, _ in sums)
    windows = [Window(now - e.span_ms - begin, now - begin, e.slice, e.request_class, e.requests) for now, e in sums]
    covered = joined([(w.begin, w.end) for w in windows], every * 0.5)
    gaps = [(a[1], b[0]) for a, b in itertools.pairwise(covered)]
    late = joined([(w.begin, w.end) for w in windows if w.end - w.begin > LATE * every])
    came = sum(w.count for w in windows)
    more = [w for g in gaps for w in fill(windows, g, AROUND * every)]
    first, seen = hosts_of(rec, begin, end, notice)
    told = np.zeros((2, int((end - begin) / 1000.0) + 1))
    for now, e in sums:
        at = int((now - e.span_ms / 2 - begin) / 1000.0)
        told[0, at] += e.requests
        told[1, at] += e.unanswered
    proxies = {
        e.proxy: (e.zone, max(e.requests_per_second, 1e-6))
        for _, events, _ in rec.steps
        for e in events
        if isinstance(e, api.ProxyJoined)
    }
    if not proxies:
        raise NoDay("no forwarder joined in it")
    return Day(
        end - begin,
        rec.settings.slice_count,
        len(rec.settings.request_classes),
        windows + more,
        late,
        gaps,
        first,
        sorted(seen + slow_of(rec, begin), key=lambda x: (x.at, x.host)),
        proxies,
        sum(e.unanswered for _, e in sums) / max(came, 1.0),
        sum(w.count for w in more),
        rec.is_truncated,
        [round(float(1.0 - u / c), 4) if c else 1.0 for c, u in told.T],
    )


def fill(windows: list[Window], gap: tuple[float, float], around: float) -> list[Window]:
    """Rule 2."""
    rates: dict[tuple[int, int], float] = defaultdict(float)
    sides = ((gap[0] - around, gap[0]), (gap[1], gap[1] + around))
    for a, b in sides:
        for w in windows:
            overlap = min(w.end, b) - max(w.begin, a)
            if overlap > 0.0:
                rates[w.slice, w.operation] += w.count * overlap / (w.end - w.begin) / (b - a) / len(sides)
    return [Window(*gap, s, o, rate * (gap[1] - gap[0])) for (s, o), rate in sorted(rates.items())]


def hosts_of(rec: Recording, begin: float, end: float, notice: float) -> tuple[list[api.HostEntry], list[Seen]]:
    """Rule 3. The list as it stood when the first sums began, and its changes from there."""
    now_is: dict[int, api.HostEntry] = {}
    first: list[api.HostEntry] | None = None
    seen: list[Seen] = []
    for now, events, _ in rec.steps:
        if first is None and now > begin:
            first = [e for _, e in sorted(now_is.items())]
        for e in events:
            if not isinstance(e, api.HostListUpdate) or e.kind is api.HostListKind.FAILED:
                continue
            rows = {x.host: x for x in e.entries}
            if e.kind is not api.HostListKind.CHANGES:
                rows |= {h: api.HostEntry(h, state=api.HostState.REMOVED) for h in now_is if h not in rows}
            for host, x in sorted(rows.items()):
                old = now_is.get(host)
                if x.state == "removed":
                    now_is.pop(host, None)
                else:
                    now_is[host] = x
                if first is None or now > end:
                    continue
                at = max(0.0, now - begin)
                if x.state == "removed" and old:
                    what = "gone" if old.state == "draining" else "dead"
                    seen.append(Seen(max(0.0, at - notice * (what == "dead")), what, host, old.zone, old.kind))
                elif x.state == "draining" and (old is None or old.state != "draining"):
                    seen.append(Seen(max(0.0, at - notice), "draining", host, x.zone, x.kind))
                elif x.state == "up" and (old is None or old.online_since != x.online_since):
                    if old:
                        seen.append(Seen(max(0.0, at - notice), "dead", host, x.zone, x.kind))
                    seen.append(Seen(max(0.0, at - notice / 2), "up", host, x.zone, x.kind))
    return first if first is not None else [e for _, e in sorted(now_is.items())], seen


def slow_of(rec: Recording, begin: float) -> list[Seen]:
    """Rule 4."""
    every = rec.settings.report_interval_ms
    rows: dict[int, dict[int, list[float]]] = defaultdict(lambda: defaultdict(list))
    for now, events, _ in rec.steps:
        for e in events:
            if isinstance(e, api.HostUsageReport) and e.attempts - e.failed >= 3 and e.latency_ms > 0.0:
                rows[int((now - begin) // every)][e.host].append(e.latency_ms)
    out: list[Seen] = []
    runs: dict[int, int] = defaultdict(int)
    slow: dict[int, float] = {}
    for period, met in sorted(rows.items()):
        means = {h: sum(x) / len(x) for h, x in met.items()}
        middle = sorted(means.values())[len(means) // 2]
        for h, latency in sorted(means.items()):
            ratio = latency / middle
            runs[h] = runs[h] + 1 if ratio > SLOW else 0
            if runs[h] >= 2 and h not in slow:
                slow[h] = ratio
                out.append(Seen(max(0.0, (period - 1) * every), "slow", h, size=round(ratio, 2)))
            elif h in slow and ratio <= SLOW:
                del slow[h]
                out.append(Seen(max(0.0, period * every), "slow", h, size=1.0))
    return out


def arrivals(d: Day, seed: int, operations: list[OperationSpec]) -> Traffic:
    """Times within each window, forwarders by the rates they told, work by the scenario. The same for all settings."""
    if d.exact:
        return d.exact
    chance = np.random.default_rng([seed, 77])
    at, slice, which = [], [], []
    for w in d.windows:
        n = int(w.count + chance.random())
        at.append(chance.uniform(w.begin, w.end, n))
        slice.append(np.full(n, w.slice))
        which.append(np.full(n, w.operation))
    times, slices, kinds = np.concatenate(at), np.concatenate(slice), np.concatenate(which)
    order = np.argsort(times, kind="stable")
    times, slices, kinds = times[order], slices[order], kinds[order]
    rates = np.array([d.forwarders[f][1] for f in sorted(d.forwarders)])
    mean = np.array([o.work for o in operations])[kinds]
    sigma = np.sqrt(np.log1p(np.array([o.cv for o in operations])[kinds] ** 2))
    work = mean * np.exp(sigma * chance.standard_normal(len(times)) - sigma**2 / 2)
    forwarder = chance.choice(len(rates), len(times), p=rates / rates.sum())
    return Traffic(times, forwarder, slices, kinds, work)


def of_trace(records: list[Any]) -> Traffic:
    """The arrivals of a run that the lab or the emulator kept a trace of: exact, work and forwarders included, but for
    invocations that never reached a host; those get their operation's mean work, and the forwarder of the one before.
    Raises `NoDay`."""
    asked = [r for r in records if r[3] == "asked"]
    if not asked:
        raise NoDay("no client asked anything in that trace")
    begin = float(min(r[2] for r in asked))
    forwarder: dict[int, int] = {}
    work: dict[int, float] = {}
    for r in records:
        if r[3] in ("send", "none", "refused"):
            inv = r[5] if r[3] == "none" else r[4]
            forwarder.setdefault(inv, int(r[0].split()[1]))
        elif r[3] == "take":
            work.setdefault(r[4], float(r[10]))
    asked.sort(key=lambda r: (r[2], r[4]))
    operation = np.array([r[5] for r in asked])
    known = np.array([work.get(r[4], np.nan) for r in asked])
    for o in set(operation.tolist()):
        mine = known[operation == o]
        mean = float(np.nanmean(mine)) if not np.isnan(mine).all() else 1.0
        known[(operation == o) & np.isnan(known)] = mean
    by, last = [], 0
    for r in asked:
        last = forwarder.get(r[4], last)
        by.append(last)
    at = np.array([float(r[2]) - begin for r in asked])
    return Traffic(at, np.array(by), np.array([r[6] for r in asked]), operation, known)
