"""Adds up usage reports of proxies and hands the totals to the assigner, oldest first, at a bounded rate. Pure.

Memory is bounded by hosts x zones and slices x request classes. What does not fit the rate goes on adding up.
"""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass
from enum import StrEnum

from .. import interface as api
from ..wire.frames import UsageReport

MAX_KEYS = 100_000
MIN_PERIOD_SHARE = 0.9  # of the report interval that a total must cover before it is handed on


class UsageKind(StrEnum):
    """What a total is about. The values are stored in handovers, and order totals that began at one time."""

    HOST = "host"
    SLICE = "slice"
    PROXY = "own"


# Names one total: kind, then (zone, host), (slice, request class) or (proxy, request class). A plain tuple, since every
# row of every report makes one.
UsageKey = tuple[UsageKind, int, int]


@dataclass
class UsageTally:
    """A total of requests since `since`; `latency_sum_ms` is over those that succeeded."""

    since: float
    total: int = 0
    failed: int = 0
    latency_sum_ms: float = 0.0

    def mean_latency_ms(self) -> float:
        """The mean latency of requests that succeeded; 0 if none did."""
        succeeded = self.total - self.failed
        return self.latency_sum_ms / succeeded if succeeded else 0.0


class UsageAggregator:
    """Totals of usage until they are handed on."""

    def __init__(self, settings: api.Settings, max_keys: int = MAX_KEYS) -> None:
        self.settings = settings
        self.max_keys = max_keys
        self.tallies: dict[UsageKey, UsageTally] = {}  # in the order of their first report
        self.available_reports = 0.0  # how many may be handed on now
        self.replenished_at = 0.0
        self.dropped_rows = 0  # beyond `max_keys`, or of hosts, slices or request classes that do not exist

    def add(
        self, now: float, proxy: int, zone: int, report: UsageReport, hosts: Container[int], slices: Container[int]
    ) -> None:
        """Add one proxy's report. Rows on unknown hosts, slices or request classes are counted and dropped."""
        self._add_hosts(now, zone, report, hosts)
        slice_kind = UsageKind.SLICE
        proxy_kind = UsageKind.PROXY
        request_classes = len(self.settings.request_classes)
        for slice_number, request_class, requests, unanswered in report.slices:
            if slice_number not in slices or request_class >= request_classes or unanswered > requests:
                self.dropped_rows += 1
            elif tally := self._tally(now, (slice_kind, slice_number, request_class), report.span_ms):
                tally.total += requests
                tally.failed += unanswered
        for request_class, requests, unanswered in report.request_classes:
            if request_class >= request_classes or unanswered > requests:
                self.dropped_rows += 1
            elif tally := self._tally(now, (proxy_kind, proxy, request_class), report.span_ms):
                tally.total += requests
                tally.failed += unanswered

    def _add_hosts(self, now: float, zone: int, report: UsageReport, hosts: Container[int]) -> None:
        kind = UsageKind.HOST
        zone_count = self.settings.zone_count
        for host, attempts, failed, latency_ms in report.hosts:
            if host not in hosts or failed > attempts or zone >= zone_count:
                self.dropped_rows += 1
            elif tally := self._tally(now, (kind, zone, host), report.span_ms):
                tally.total += attempts
                tally.failed += failed
                tally.latency_sum_ms += latency_ms * (attempts - failed)

    def _tally(self, now: float, key: UsageKey, span_ms: float) -> UsageTally | None:
        """The total of a key, begun if need be; None, and counted, if there are too many."""
        tally = self.tallies.get(key)
        if tally is not None:
            return tally
        if len(self.tallies) >= self.max_keys:
            self.dropped_rows += 1
            return None
        tally = UsageTally(now - min(span_ms, self.settings.report_interval_ms))
        self.tallies[key] = tally
        return tally

    def take_due(self, now: float) -> list[api.Event]:
        """The totals that may be handed on by now, oldest first; the others go on adding up."""
        self._replenish(now)
        min_period_ms = self.settings.report_interval_ms * MIN_PERIOD_SHARE
        ready = [key for key, tally in self.tallies.items() if now - tally.since >= min_period_ms]
        ready.sort(key=lambda key: (self.tallies[key].since, key))
        reports = [self._report(now, key) for key in ready[: int(self.available_reports)]]
        self.available_reports -= len(reports)
        return reports

    def _replenish(self, now: float) -> None:
        """Allow for the reports that may be handed on since the last time."""
        rate = self.settings.reports_per_second
        interval_s = self.settings.report_interval_ms / 1000.0
        gained = (now - self.replenished_at) * rate / 1000.0 if self.replenished_at else rate * interval_s
        self.available_reports = min(self.available_reports + gained, rate * max(1.0, interval_s))
        self.replenished_at = now

    def _report(self, now: float, key: UsageKey) -> api.Event:
        """Take out one total as the report that it makes."""
        tally = self.tallies.pop(key)
        kind, first, second = key
        span_ms = max(now - tally.since, 1.0)
        match kind:
            case UsageKind.HOST:
                latency_ms = tally.mean_latency_ms()
                return api.HostUsageReport(first, second, tally.total, tally.failed, latency_ms, span_ms)
            case UsageKind.SLICE:
                return api.SliceUsageReport(first, second, tally.total, tally.failed, span_ms)
            case UsageKind.PROXY:
                return api.ProxyUsageReport(first, second, tally.total, tally.failed, span_ms)
