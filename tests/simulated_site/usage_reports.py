"""The usage reports of a simulated site: sums that arrive late, and at a limited rate."""

from __future__ import annotations

import itertools
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from corallanding import interface as api

if TYPE_CHECKING:
    from .day import Day

TICK_MS = 50.0
DELAY_MS = (260.0, 1_000.0)


class Attempt(NamedTuple):
    """An attempt at a host by a proxy of a zone; without a latency it was not answered."""

    host: int
    zone: int
    latency_ms: float | None


class SliceKey(NamedTuple):
    """What a report on the requests of a slice is about."""

    slice: int
    request_class: int


class HostKey(NamedTuple):
    """What a report on the attempts at a host is about."""

    host: int
    zone: int
    is_of_host: bool = True  # tells it from a `SliceKey` of the same numbers


@dataclass
class Report:
    """The sums of a report that waits until it is due."""

    due_at_ms: float
    attempts: int = 0
    failed: int = 0
    latency_ms: float = 0.0  # the sum over answered attempts


class UsageReports:
    """Sums up requests and attempts by controller, and delivers the sums that are due, the oldest first."""

    def __init__(self, day: Day) -> None:
        self.day = day
        self.site = day.site
        self.clock = day.clock
        self.waiting: list[dict[SliceKey | HostKey, Report]] = [{} for _ in range(day.site.controllers)]

    def start(self) -> None:
        """Begin to deliver reports."""
        self.clock.every(TICK_MS, self._deliver)

    def count_refused(self, slice_id: int, request_class: int) -> None:
        """Count a request for which the proxy had no host."""
        self._report(slice_id, SliceKey(slice_id, request_class)).attempts += 1

    def count_attempt(self, slice_id: int, request_class: int, attempt: Attempt) -> None:
        """Count a request and its attempt at a host."""
        for key in (SliceKey(slice_id, request_class), HostKey(attempt.host, attempt.zone)):
            report = self._report(slice_id, key)
            report.attempts += 1
            report.failed += attempt.latency_ms is None
            report.latency_ms += attempt.latency_ms or 0.0

    def _report(self, slice_id: int, key: SliceKey | HostKey) -> Report:
        """Return the sums that wait, or new ones, which are due after the end of their interval and a delay."""
        waiting = self.waiting[self.day.owners[slice_id]]
        rng = self.day.rng
        due_at_ms = self.clock.now_ms + rng.uniform(0.0, self.site.report_interval_ms) + rng.uniform(*DELAY_MS)
        return waiting.setdefault(key, Report(due_at_ms))

    def _deliver(self) -> None:
        limit = int(self.site.reports_per_second * TICK_MS / 1_000.0)
        for controller in self.day.controllers:
            waiting = self.waiting[controller.number]
            oldest = itertools.islice(waiting.items(), 4 * limit)
            due = [key for key, report in oldest if report.due_at_ms <= self.clock.now_ms]
            controller.add(*(self._event(key, waiting.pop(key)) for key in due[:limit]))

    def _event(self, key: SliceKey | HostKey, report: Report) -> api.Event:
        interval_ms = self.site.report_interval_ms
        late_ms = self.clock.now_ms - report.due_at_ms
        span_ms = (1.0 + late_ms // interval_ms) * interval_ms
        if isinstance(key, SliceKey):
            return api.SliceUsageReport(key.slice, key.request_class, report.attempts, report.failed, span_ms)
        mean_ms = report.latency_ms / max(1, report.attempts - report.failed)
        return api.HostUsageReport(key.zone, key.host, report.attempts, report.failed, mean_ms, span_ms)
