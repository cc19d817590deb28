"""Reads a controller's recording as a scenario: requests of each slice, hosts, and their faults. Without side effects.

A recording holds only what the controller received. The rules below fill in the rest, and the result marks it:

1. A usage report covers its `span_ms`, up to the time at which it was passed to the assigner; its requests are spread
   evenly over that span. A span longer than 1.5 report periods is marked `late`: its total is true, its shape unknown.
2. Time that no usage report covers is a `gap`. Each slice and request class continues there at the mean of its rates
   in the report periods before and after.
3. Host list updates are late by `notice_ms`. A host that is listed as draining before it is removed shut down
   gracefully; any other removed host had failed `notice_ms` earlier. A new or restarted host begins cold.
4. A host whose latency of successful requests exceeded 1.5 times the fleet's median for two periods in a row was slow
   by that factor.
5. A recording lacks the work of a request, the proxy that received it and the client's timeout. These are taken from
   the scenario (`--like`).
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

LATE_PERIODS = 1.5  # spans longer than this many report periods are late
SLOW_RATIO = 1.5  # latency to the fleet's median, above which a host is slow
GAP_MARGIN_PERIODS = 3.0  # report periods on each side of a gap that give its rates


class UnusableRecordingError(Exception):
    """A recording or trace lacks data that a scenario needs."""


@dataclass(frozen=True)
class HostChange:
    """A change of one host."""

    at_ms: float  # since the beginning
    what: str  # "up", "draining", "gone" (shut down gracefully), "dead" (failed) or "slow"
    host: int
    zone: int = 0
    kind: int = 0
    slowness: float = 1.0  # factor of "slow"


@dataclass(frozen=True)
class RequestWindow:
    """Requests of one slice and request class in a span of time, in ms since the beginning."""

    begin_ms: float
    end_ms: float
    slice: int
    request_class: int
    count: float


@dataclass
class RecordedDay:
    """A recording as a scenario; times in ms since the beginning."""

    length_ms: float
    slice_count: int
    request_class_count: int
    windows: list[RequestWindow]
    late_spans: list[tuple[float, float]]
    gaps: list[tuple[float, float]]
    initial_hosts: list[api.HostEntry]
    host_changes: list[HostChange]
    proxies: dict[int, tuple[int, float]]  # zone and requests per second by proxy
    unanswered_share: float  # of all requests, as proxies reported
    filled_requests: float = 0.0  # requests that fill the gaps
    is_truncated: bool = False
    answered_shares: list[float] = field(default_factory=list)  # by second, as proxies reported
    exact_traffic: Traffic | None = None  # arrivals of a trace, in place of the windows


def merge_spans(spans: list[tuple[float, float]], slack_ms: float = 0.0) -> list[tuple[float, float]]:
    """Merge spans that overlap or lie at most `slack_ms` apart."""
    merged: list[tuple[float, float]] = []
    for begin, end in sorted(spans):
        if merged and begin <= merged[-1][1] + slack_ms:
            merged[-1] = (merged[-1][0], max(merged[-1][1], end))
        else:
            merged.append((begin, end))
    return merged


def day_from_recording(recording: Recording, notice_ms: float) -> RecordedDay:
    """Return the recording as a scenario; the host list is late by `notice_ms`. Raises `UnusableRecordingError`."""
    period_ms = recording.settings.report_interval_ms
    reports = [(now, e) for now, events, _ in recording.steps for e in events if isinstance(e, api.SliceUsageReport)]
    if not recording.settings.slice_count:
        raise UnusableRecordingError("the site has no slices, so requests cannot be attributed to hosts")
    if not reports:
        raise UnusableRecordingError("no usage reports of slices in the recording")
    begin_ms, end_ms = min(now - e.span_ms for now, e in reports), max(now for now, _ in reports)
    windows = [
        RequestWindow(now - e.span_ms - begin_ms, now - begin_ms, e.slice, e.request_class, e.requests)
        for now, e in reports
    ]
    covered_spans = merge_spans([(w.begin_ms, w.end_ms) for w in windows], period_ms * 0.5)
    gaps = [(a[1], b[0]) for a, b in itertools.pairwise(covered_spans)]
    late_windows = [w for w in windows if w.end_ms - w.begin_ms > LATE_PERIODS * period_ms]
    late_spans = merge_spans([(w.begin_ms, w.end_ms) for w in late_windows])
    total_requests = sum(w.count for w in windows)
    filled = [w for gap in gaps for w in fill_gap(windows, gap, GAP_MARGIN_PERIODS * period_ms)]
    initial_hosts, host_changes = read_host_changes(recording, begin_ms, end_ms, notice_ms)
    by_second = np.zeros((2, int((end_ms - begin_ms) / 1000.0) + 1))  # requests, unanswered requests
    for now, event in reports:
        second = int((now - event.span_ms / 2 - begin_ms) / 1000.0)
        by_second[0, second] += event.requests
        by_second[1, second] += event.unanswered
    proxies = {
        e.proxy: (e.zone, max(e.requests_per_second, 1e-6))
        for _, events, _ in recording.steps
        for e in events
        if isinstance(e, api.ProxyJoined)
    }
    if not proxies:
        raise UnusableRecordingError("no proxy joined in the recording")
    return RecordedDay(
        end_ms - begin_ms,
        recording.settings.slice_count,
        len(recording.settings.request_classes),
        windows + filled,
        late_spans,
        gaps,
        initial_hosts,
        sorted(host_changes + detect_slowness(recording, begin_ms), key=lambda change: (change.at_ms, change.host)),
        proxies,
        sum(e.unanswered for _, e in reports) / max(total_requests, 1.0),
        sum(w.count for w in filled),
        recording.is_truncated,
        [round(float(1.0 - unanswered / count), 4) if count else 1.0 for count, unanswered in by_second.T],
    )


def fill_gap(windows: list[RequestWindow], gap: tuple[float, float], margin_ms: float) -> list[RequestWindow]:
    """Return the windows that fill a gap (rule 2)."""
    rates: dict[tuple[int, int], float] = defaultdict(float)
    sides = ((gap[0] - margin_ms, gap[0]), (gap[1], gap[1] + margin_ms))
    for begin_ms, end_ms in sides:
        for w in windows:
            overlap_ms = min(w.end_ms, end_ms) - max(w.begin_ms, begin_ms)
            if overlap_ms > 0.0:
                share = w.count * overlap_ms / (w.end_ms - w.begin_ms) / (end_ms - begin_ms) / len(sides)
                rates[w.slice, w.request_class] += share
    return [RequestWindow(*gap, s, c, rate * (gap[1] - gap[0])) for (s, c), rate in sorted(rates.items())]


def read_host_changes(
    recording: Recording, begin_ms: float, end_ms: float, notice_ms: float
) -> tuple[list[api.HostEntry], list[HostChange]]:
    """Return the host list at the beginning of the first usage reports, and its changes from then on (rule 3)."""
    current: dict[int, api.HostEntry] = {}
    initial_hosts: list[api.HostEntry] | None = None
    changes: list[HostChange] = []
    for now, events, _ in recording.steps:
        if initial_hosts is None and now > begin_ms:
            initial_hosts = [entry for _, entry in sorted(current.items())]
        for event in events:
            if not isinstance(event, api.HostListUpdate) or event.kind is api.HostListKind.FAILED:
                continue
            entries = {entry.host: entry for entry in event.entries}
            if event.kind is not api.HostListKind.CHANGES:
                entries |= {h: api.HostEntry(h, state=api.HostState.REMOVED) for h in current if h not in entries}
            for host, entry in sorted(entries.items()):
                old = current.get(host)
                if entry.state == "removed":
                    current.pop(host, None)
                else:
                    current[host] = entry
                if initial_hosts is None or now > end_ms:
                    continue
                at_ms = max(0.0, now - begin_ms)
                noticed_ms = max(0.0, at_ms - notice_ms)
                if entry.state == "removed" and old:
                    what = "gone" if old.state == "draining" else "dead"
                    changed_ms = noticed_ms if what == "dead" else at_ms
                    changes.append(HostChange(changed_ms, what, host, old.zone, old.kind))
                elif entry.state == "draining" and (old is None or old.state != "draining"):
                    changes.append(HostChange(noticed_ms, "draining", host, entry.zone, entry.kind))
                elif entry.state == "up" and (old is None or old.online_since != entry.online_since):
                    if old:
                        changes.append(HostChange(noticed_ms, "dead", host, entry.zone, entry.kind))
                    changes.append(HostChange(max(0.0, at_ms - notice_ms / 2), "up", host, entry.zone, entry.kind))
    return initial_hosts if initial_hosts is not None else [entry for _, entry in sorted(current.items())], changes


def detect_slowness(recording: Recording, begin_ms: float) -> list[HostChange]:
    """Return when hosts became slow or recovered (rule 4)."""
    period_ms = recording.settings.report_interval_ms
    latencies: dict[int, dict[int, list[float]]] = defaultdict(lambda: defaultdict(list))  # ms, by period and host
    for now, events, _ in recording.steps:
        for event in events:
            if isinstance(event, api.HostUsageReport) and event.attempts - event.failed >= 3 and event.latency_ms > 0.0:
                latencies[int((now - begin_ms) // period_ms)][event.host].append(event.latency_ms)
    changes: list[HostChange] = []
    slow_periods: dict[int, int] = defaultdict(int)  # in a row, by host
    slow: dict[int, float] = {}
    for period, by_host in sorted(latencies.items()):
        means = {host: sum(values) / len(values) for host, values in by_host.items()}
        median = sorted(means.values())[len(means) // 2]
        for host, latency in sorted(means.items()):
            ratio = latency / median
            slow_periods[host] = slow_periods[host] + 1 if ratio > SLOW_RATIO else 0
            if slow_periods[host] >= 2 and host not in slow:
                slow[host] = ratio
                changes.append(HostChange(max(0.0, (period - 1) * period_ms), "slow", host, slowness=round(ratio, 2)))
            elif host in slow and ratio <= SLOW_RATIO:
                del slow[host]
                changes.append(HostChange(max(0.0, period * period_ms), "slow", host, slowness=1.0))
    return changes


def generate_arrivals(day: RecordedDay, seed: int, request_classes: list[OperationSpec]) -> Traffic:
    """Return the exact traffic of a trace, or random arrivals: times uniform within each window, proxies by the rates
    that they announced, work by the scenario. One seed gives the same arrivals under every setting.
    """
    if day.exact_traffic:
        return day.exact_traffic
    rng = np.random.default_rng([seed, 77])
    window_times, window_slices, window_classes = [], [], []
    for w in day.windows:
        count = int(w.count + rng.random())
        window_times.append(rng.uniform(w.begin_ms, w.end_ms, count))
        window_slices.append(np.full(count, w.slice))
        window_classes.append(np.full(count, w.request_class))
    times = np.concatenate(window_times)
    slices = np.concatenate(window_slices)
    classes = np.concatenate(window_classes)
    order = np.argsort(times, kind="stable")
    times, slices, classes = times[order], slices[order], classes[order]
    rates = np.array([day.proxies[proxy][1] for proxy in sorted(day.proxies)])
    mean = np.array([c.work for c in request_classes])[classes]
    sigma = np.sqrt(np.log1p(np.array([c.cv for c in request_classes])[classes] ** 2))
    work = mean * np.exp(sigma * rng.standard_normal(len(times)) - sigma**2 / 2)
    proxies = rng.choice(len(rates), len(times), p=rates / rates.sum())
    return Traffic(times, proxies, slices, classes, work)


def traffic_from_trace(records: list[Any]) -> Traffic:
    """Return the arrivals of a run from its trace, as the lab or the emulator wrote it.

    Times, work and proxies are exact, except for requests that never reached a host: these get the mean work of their
    request class, and the proxy of the request before. Raises `UnusableRecordingError`.
    """
    asked = [record for record in records if record[3] == "asked"]
    if not asked:
        raise UnusableRecordingError("no client request in the trace")
    begin_ms = float(min(record[2] for record in asked))
    proxy_of: dict[int, int] = {}
    work_of: dict[int, float] = {}
    for record in records:
        if record[3] in ("send", "none", "refused"):
            request = record[5] if record[3] == "none" else record[4]
            proxy_of.setdefault(request, int(record[0].split()[1]))
        elif record[3] == "take":
            work_of.setdefault(record[4], float(record[10]))
    asked.sort(key=lambda record: (record[2], record[4]))
    classes = np.array([record[5] for record in asked])
    work = np.array([work_of.get(record[4], np.nan) for record in asked])
    for request_class in set(classes.tolist()):
        class_work = work[classes == request_class]
        mean = float(np.nanmean(class_work)) if not np.isnan(class_work).all() else 1.0
        work[(classes == request_class) & np.isnan(work)] = mean
    proxies, last = [], 0
    for record in asked:
        last = proxy_of.get(record[4], last)
        proxies.append(last)
    times = np.array([float(record[2]) - begin_ms for record in asked])
    return Traffic(times, np.array(proxies), np.array([record[6] for record in asked]), classes, work)
