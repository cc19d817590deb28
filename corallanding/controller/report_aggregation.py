"""Sums from forwarders, added up and handed to the module a period at a time: oldest first, so many a second.

Pure. Bounded by hosts x zones and slices x operations: what does not fit the intake adds up where it is.
"""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass

from .. import interface as api
from ..wire.frames import Sums


@dataclass
class UsageTally:
    since: float  # when the period began that this tally covers
    total: int = 0
    failed: int = 0
    latency_sum_ms: float = 0.0  # latency times good answers


Key = tuple[str, int, int]  # "host", zone, host / "slice", slice, operation / "own", forwarder, operation


class UsageAggregator:
    def __init__(self, settings: api.Settings, keys_most: int = 100_000) -> None:
        self.settings, self.max_keys = settings, keys_most
        self.tallies: dict[Key, UsageTally] = {}  # in the order of their first word: the oldest first
        self.available_reports, self.replenished_at = 0.0, 0.0
        self.dropped_rows = 0  # rows beyond the bound, or of hosts, slices or operations that do not exist

    def add(
        self, now: float, forwarder: int, zone: int, sums: Sums, hosts: Container[int], slices: Container[int]
    ) -> None:
        """Take one forwarder's sums. Rows on unknown hosts, slices or operations are counted and dropped."""
        operations = len(self.settings.request_classes)
        for host, tries, errored, latency in sums.hosts:
            if host not in hosts or errored > tries or zone >= self.settings.zone_count:
                self.dropped_rows += 1
            elif tally := self.tally(now, ("host", zone, host), sums.span):
                good = tries - errored
                tally.total, tally.failed = tally.total + tries, tally.failed + errored
                tally.latency_sum_ms += latency * good
        for slice, operation, came, unanswered in sums.slices:
            if slice not in slices or operation >= operations or unanswered > came:
                self.dropped_rows += 1
            elif tally := self.tally(now, ("slice", slice, operation), sums.span):
                tally.total, tally.failed = tally.total + came, tally.failed + unanswered
        for operation, came, unanswered in sums.own:
            if operation >= operations or unanswered > came:
                self.dropped_rows += 1
            elif tally := self.tally(now, ("own", forwarder, operation), sums.span):
                tally.total, tally.failed = tally.total + came, tally.failed + unanswered

    def tally(self, now: float, key: Key, span: float) -> UsageTally | None:
        if key not in self.tallies:
            if len(self.tallies) >= self.max_keys:
                self.dropped_rows += 1
                return None
            self.tallies[key] = UsageTally(now - min(span, self.settings.report_interval_ms))
        return self.tallies[key]

    def take_due(self, now: float) -> list[api.Event]:
        """What the intake allows by now, oldest first; what remains goes on adding up."""
        rate = self.settings.reports_per_second
        gained = (
            (now - self.replenished_at) * rate / 1000.0
            if self.replenished_at
            else rate * self.settings.report_interval_ms / 1000.0
        )
        self.available_reports = min(
            self.available_reports + gained, rate * max(1.0, self.settings.report_interval_ms / 1000.0)
        )
        self.replenished_at = now
        out: list[api.Event] = []
        ready = [k for k, t in self.tallies.items() if now - t.since >= self.settings.report_interval_ms * 0.9]
        ready.sort(key=lambda k: (self.tallies[k].since, k))
        for key in ready[: int(self.available_reports)]:
            tally, (what, a, b) = self.tallies.pop(key), key
            span = max(now - tally.since, 1.0)
            if what == "host":
                good = tally.total - tally.failed
                mean = tally.latency_sum_ms / good if good else 0.0
                out.append(api.HostUsageReport(a, b, tally.total, tally.failed, mean, span))
            elif what == "slice":
                out.append(api.SliceUsageReport(a, b, tally.total, tally.failed, span))
            else:
                out.append(api.ProxyUsageReport(a, b, tally.total, tally.failed, span))
        self.available_reports -= len(out)
        return out
