"""Sums usage reports of proxies and forwards the totals to the assigner, oldest first, at a bounded rate. Pure.

Memory is bounded by hosts x zones and slices x request classes. Totals beyond the rate keep accumulating.
"""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass
from enum import StrEnum

from .. import interface as api
from ..wire.frames import UsageReport

MAX_KEYS = 100_000
MIN_PERIOD_SHARE = 0.9  # share of the report interval that a total must cover before it is forwarded


class UsageKind(StrEnum):
    """The subject of a total. The values are stored in handovers, and order totals that began at the same time."""

    HOST = "host"
    SLICE = "slice"
    PROXY = "own"


# Identifies one total: kind, then (zone, host), (slice, request class) or (proxy, request class). A plain tuple for
# speed, because every row of every report creates one.
UsageKey = tuple[UsageKind, int, int]


@dataclass
class UsageTally:
    """A total of requests since `since`, in ms; `latency_sum_ms` is over those that succeeded."""

    since: float
    total: int = 0
    failed: int = 0
    latency_sum_ms: float = 0.0

    def mean_latency_ms(self) -> float:
        """Return the mean latency of requests that succeeded; 0 if none did."""
        succeeded = self.total - self.failed
        return self.latency_sum_ms / succeeded if succeeded else 0.0


class UsageAggregator:
    """Holds totals of usage until they are forwarded."""

    def __init__(self, settings: api.Settings, max_keys: int = MAX_KEYS) -> None:
        self.settings = settings
        self.max_keys = max_keys
        self.tallies: dict[UsageKey, UsageTally] = {}  # in order of their first report
        self.available_reports = 0.0  # number of reports that may be forwarded now
        self.replenished_at = 0.0
        self.dropped_rows = 0  # rows beyond `max_keys`, or of unknown hosts, slices or request classes

    def add(
        self, now_ms: float, proxy: int, zone: int, report: UsageReport, hosts: Container[int], slices: Container[int]
    ) -> None:
        """Add one proxy's report. Rows on unknown hosts, slices or request classes are counted and dropped."""
        self._add_hosts(now_ms, zone, report, hosts)
        slice_kind = UsageKind.SLICE
        proxy_kind = UsageKind.PROXY
        request_classes = len(self.settings.request_classes)
        for slice_number, request_class, requests, unanswered in report.slices:
            if slice_number not in slices or request_class >= request_classes or unanswered > requests:
                self.dropped_rows += 1
            elif tally := self._tally(now_ms, (slice_kind, slice_number, request_class), report.span_ms):
                tally.total += requests
                tally.failed += unanswered
        for request_class, requests, unanswered in report.request_classes:
            if request_class >= request_classes or unanswered > requests:
                self.dropped_rows += 1
            elif tally := self._tally(now_ms, (proxy_kind, proxy, request_class), report.span_ms):
                tally.total += requests
                tally.failed += unanswered

    def _add_hosts(self, now_ms: float, zone: int, report: UsageReport, hosts: Container[int]) -> None:
        kind = UsageKind.HOST
        zone_count = self.settings.zone_count
        for host, attempts, failed, latency_ms in report.hosts:
            if host not in hosts or failed > attempts or zone >= zone_count:
                self.dropped_rows += 1
            elif tally := self._tally(now_ms, (kind, zone, host), report.span_ms):
                tally.total += attempts
                tally.failed += failed
                tally.latency_sum_ms += latency_ms * (attempts - failed)

    def _tally(self, now_ms: float, key: UsageKey, span_ms: float) -> UsageTally | None:
        """Return the total of a key, created if missing; None, and a dropped row counted, if there are too many."""
        tally = self.tallies.get(key)
        if tally is not None:
            return tally
        if len(self.tallies) >= self.max_keys:
            self.dropped_rows += 1
            return None
        tally = UsageTally(now_ms - min(span_ms, self.settings.report_interval_ms))
        self.tallies[key] = tally
        return tally

    def take_due(self, now_ms: float) -> list[api.Event]:
        """Remove and return the totals that may be forwarded now, oldest first; the others keep accumulating."""
        self._replenish(now_ms)
        min_period_ms = self.settings.report_interval_ms * MIN_PERIOD_SHARE
        ready = [key for key, tally in self.tallies.items() if now_ms - tally.since >= min_period_ms]
        ready.sort(key=lambda key: (self.tallies[key].since, key))
        reports = [self._report(now_ms, key) for key in ready[: int(self.available_reports)]]
        self.available_reports -= len(reports)
        return reports

    def _replenish(self, now_ms: float) -> None:
        """Add the reports that the rate allows since the last call."""
        rate = self.settings.reports_per_second
        interval_s = self.settings.report_interval_ms / 1000.0
        gained = (now_ms - self.replenished_at) * rate / 1000.0 if self.replenished_at else rate * interval_s
        self.available_reports = min(self.available_reports + gained, rate * max(1.0, interval_s))
        self.replenished_at = now_ms

    def _report(self, now_ms: float, key: UsageKey) -> api.Event:
        """Remove one total and return it as a report."""
        tally = self.tallies.pop(key)
        kind, first, second = key
        span_ms = max(now_ms - tally.since, 1.0)
        match kind:
            case UsageKind.HOST:
                latency_ms = tally.mean_latency_ms()
                return api.HostUsageReport(first, second, tally.total, tally.failed, latency_ms, span_ms)
            case UsageKind.SLICE:
                return api.SliceUsageReport(first, second, tally.total, tally.failed, span_ms)
            case UsageKind.PROXY:
                return api.ProxyUsageReport(first, second, tally.total, tally.failed, span_ms)
