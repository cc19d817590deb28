"""Reports of collectors as events. Pure: strings in, events out, every field checked.

A report that cannot be used costs that report alone, and is counted by reason.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Container
from dataclasses import dataclass, field

from .. import interface as api
from ..errors import ProtocolError
from ..host_names import number

MAX_NUMBER_CHARACTERS = 32
MAX_METRICS = 16
INTEGER_LIMIT = 2**31
DEFAULT_TIMEOUT_MS = 5_000.0
MIN_INTERVAL_MS = 1_000.0  # from which the longest span of a report is derived
LATENCY_TIMEOUTS = 2.0  # no good answer comes later than so many timeouts
SPAN_INTERVALS = 60.0  # no report covers more than so many report intervals

UsageReport = api.HostUsageReport | api.SliceUsageReport
Values = dict[str, str]
"""The fields of one report, by name."""


class RejectedReportError(ProtocolError):
    """A report that cannot be used; the text is its reason, one of a few."""


@dataclass(frozen=True)
class NameTables:
    """Names to their numbers, which are their places in the lists of the settings."""

    zones: dict[str, int]
    request_classes: dict[str, int]


@dataclass
class ReportIntake:
    """Checks the reports of all collectors.

    `hosts` are the numbers that discovery has named, `slices` those that this controller owns. `rejected` counts by
    reason; `on_rejected` is called with a description of each rejected report, for traces.
    """

    settings: api.Settings
    names: NameTables
    hosts: Container[int]
    slices: Container[int]
    rejected: Counter[str] = field(default_factory=Counter)
    accepted: int = 0
    on_rejected: Callable[[str], None] | None = None

    def __post_init__(self) -> None:
        timeouts_ms = [request_class.timeout_ms for request_class in self.settings.request_classes]
        self.max_latency_ms = LATENCY_TIMEOUTS * max(timeouts_ms, default=DEFAULT_TIMEOUT_MS)
        self.max_span_ms = SPAN_INTERVALS * max(self.settings.report_interval_ms, MIN_INTERVAL_MS)

    def parse_report(self, strings: list[bytes]) -> UsageReport:
        """Parse one report: its kind, then names and values. Raises RejectedReportError."""
        kind = strings[0]
        try:
            names = [string.decode() for string in strings[1::2]]
            values = dict(zip(names, [string.decode() for string in strings[2::2]], strict=True))
        except UnicodeDecodeError:
            raise RejectedReportError("no text") from None
        except ValueError:
            raise RejectedReportError("a name without a value") from None
        if kind == b"upstream_stats":
            return self.host_usage(values)
        if kind == b"range_stats":
            return self.slice_usage(values)
        raise RejectedReportError("unknown kind")

    def host_usage(self, values: Values) -> api.HostUsageReport:
        """Parse what proxies of a zone observed at a host. Raises RejectedReportError."""
        zone = named(values, "locality", self.names.zones)
        try:
            host = number(text(values, "endpoint"))
        except ValueError:
            raise RejectedReportError("endpoint unknown") from None
        if host not in self.hosts:
            raise RejectedReportError("endpoint unknown")
        attempts = integer(values, "total")
        failed = integer(values, "errors")
        if failed > attempts:
            raise RejectedReportError("errors above total")
        latency_ms = non_negative(values, "rtt")
        if latency_ms > self.max_latency_ms:
            raise RejectedReportError("rtt out of range")
        return api.HostUsageReport(zone, host, attempts, failed, latency_ms, self._span_ms(values), metrics(values))

    def slice_usage(self, values: Values) -> api.SliceUsageReport:
        """Parse requests that came for a slice. Raises RejectedReportError.

        Unanswered requests may have come in an earlier interval, so there may be more of them than requests; that
        stands in just those reports that tell of trouble, and is no reason to reject them.
        """
        slice_id = integer(values, "shard")
        if self.settings.slice_count <= slice_id:
            raise RejectedReportError("shard unknown")
        request_class = named(values, "route", self.names.request_classes)
        requests = integer(values, "total")
        unanswered = integer(values, "errors")
        span_ms = self._span_ms(values)
        if slice_id not in self.slices:
            raise RejectedReportError("shard not in charge")
        return api.SliceUsageReport(slice_id, request_class, requests, unanswered, span_ms)

    def _span_ms(self, values: Values) -> float:
        span_ms = non_negative(values, "interval")
        if not 0.0 < span_ms <= self.max_span_ms:
            raise RejectedReportError("interval out of range")
        return span_ms


def text(values: Values, key: str) -> str:
    """Return a field that has to be there. Raises RejectedReportError, as do all that follow."""
    if key not in values:
        raise RejectedReportError(f"{key} missing")
    return values[key]


def named(values: Values, key: str, numbers: dict[str, int]) -> int:
    """Return the number of a name."""
    if text(values, key) not in numbers:
        raise RejectedReportError(f"{key} unknown")
    return numbers[values[key]]


def non_negative(values: Values, key: str) -> float:
    """Return a finite number of 0 or more."""
    try:
        value = float(text(values, key)[:MAX_NUMBER_CHARACTERS])
    except ValueError:
        raise RejectedReportError(f"{key} no number") from None
    if not math.isfinite(value) or value < 0.0:
        raise RejectedReportError(f"{key} out of range")
    return value


def integer(values: Values, key: str) -> int:
    """Return a whole number from 0 to below `INTEGER_LIMIT`."""
    value = non_negative(values, key)
    if value != int(value):
        raise RejectedReportError(f"{key} no whole number")
    if value >= INTEGER_LIMIT:
        raise RejectedReportError(f"{key} out of range")
    return int(value)


def metrics(values: Values) -> dict[str, float]:
    """Return the host's own metrics: `name:value` pairs, separated by commas."""
    found: dict[str, float] = {}
    for pair in values.get("metrics", "").split(",")[:MAX_METRICS]:
        if pair:
            name, _, value = pair.partition(":")
            found[name] = non_negative({"metrics": value}, "metrics")
    return found
