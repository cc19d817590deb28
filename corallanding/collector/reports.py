"""Parsing of collectors' reports into events. Pure; every field is checked.

An invalid report is rejected without affecting others, and is counted by reason.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Container
from dataclasses import dataclass, field

from .. import interface as api
from ..errors import ProtocolError
from ..host_names import host_number

MAX_NUMBER_CHARACTERS = 32
MAX_METRICS = 16
INTEGER_LIMIT = 2**31
DEFAULT_TIMEOUT_MS = 5_000.0
MIN_INTERVAL_MS = 1_000.0  # lower bound of the report interval from which the maximum span is computed
MAX_LATENCY_TIMEOUTS = 2.0  # in request timeouts: no successful answer takes longer
MAX_SPAN_INTERVALS = 60.0  # in report intervals: no report covers more

UsageReport = api.HostUsageReport | api.SliceUsageReport
ReportFields = dict[str, str]
"""The fields of one report, by name."""


class RejectedReportError(ProtocolError):
    """A report is invalid. The text is the reason by which it is counted, one of a fixed set."""


@dataclass(frozen=True)
class NameTables:
    """Numbers of names: their indices in the lists of the settings."""

    zones: dict[str, int]
    request_classes: dict[str, int]


@dataclass
class ReportIntake:
    """Checks the reports of all collectors.

    `hosts` are the numbers of the hosts known from discovery, `slices` those that this controller owns. `rejected`
    counts by reason; `on_rejected` is called with a description of each rejected report, for traces.
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
        self.max_latency_ms = MAX_LATENCY_TIMEOUTS * max(timeouts_ms, default=DEFAULT_TIMEOUT_MS)
        self.max_span_ms = MAX_SPAN_INTERVALS * max(self.settings.report_interval_ms, MIN_INTERVAL_MS)

    def parse_report(self, strings: list[bytes]) -> UsageReport:
        """Parse one report: its kind, then field names and values. Raises RejectedReportError."""
        kind = strings[0]
        try:
            keys = [string.decode() for string in strings[1::2]]
            fields = dict(zip(keys, [string.decode() for string in strings[2::2]], strict=True))
        except UnicodeDecodeError:
            raise RejectedReportError("invalid UTF-8") from None
        except ValueError:
            raise RejectedReportError("field without a value") from None
        if kind == b"upstream_stats":
            return self._parse_host_usage(fields)
        if kind == b"range_stats":
            return self._parse_slice_usage(fields)
        raise RejectedReportError("unknown kind")

    def _parse_host_usage(self, fields: ReportFields) -> api.HostUsageReport:
        """Parse the attempts that proxies of a zone made at a host. Raises RejectedReportError."""
        zone = number_of_name(fields, "locality", self.names.zones)
        try:
            host = host_number(required_text(fields, "endpoint"))
        except ValueError:
            raise RejectedReportError("endpoint unknown") from None
        if host not in self.hosts:
            raise RejectedReportError("endpoint unknown")
        attempts = non_negative_integer(fields, "total")
        failed = non_negative_integer(fields, "errors")
        if failed > attempts:
            raise RejectedReportError("errors above total")
        latency_ms = non_negative_number(fields, "rtt")
        if latency_ms > self.max_latency_ms:
            raise RejectedReportError("rtt out of range")
        return api.HostUsageReport(
            zone, host, attempts, failed, latency_ms, self._span_ms(fields), host_metrics(fields)
        )

    def _parse_slice_usage(self, fields: ReportFields) -> api.SliceUsageReport:
        """Parse the requests received for a slice. Raises RejectedReportError.

        Unanswered requests may have been received in an earlier interval, so their number may exceed that of the
        requests. Such reports indicate faults and must not be rejected for it.
        """
        slice_id = non_negative_integer(fields, "shard")
        if self.settings.slice_count <= slice_id:
            raise RejectedReportError("shard unknown")
        request_class = number_of_name(fields, "route", self.names.request_classes)
        requests = non_negative_integer(fields, "total")
        unanswered = non_negative_integer(fields, "errors")
        span_ms = self._span_ms(fields)
        if slice_id not in self.slices:
            raise RejectedReportError("shard not owned")
        return api.SliceUsageReport(slice_id, request_class, requests, unanswered, span_ms)

    def _span_ms(self, fields: ReportFields) -> float:
        span_ms = non_negative_number(fields, "interval")
        if not 0.0 < span_ms <= self.max_span_ms:
            raise RejectedReportError("interval out of range")
        return span_ms


def required_text(fields: ReportFields, key: str) -> str:
    """Return a required field. Raises RejectedReportError."""
    if key not in fields:
        raise RejectedReportError(f"{key} missing")
    return fields[key]


def number_of_name(fields: ReportFields, key: str, numbers: dict[str, int]) -> int:
    """Return the number of a name in a field. Raises RejectedReportError."""
    if required_text(fields, key) not in numbers:
        raise RejectedReportError(f"{key} unknown")
    return numbers[fields[key]]


def non_negative_number(fields: ReportFields, key: str) -> float:
    """Return a field as a finite number of 0 or more. Raises RejectedReportError."""
    try:
        value = float(required_text(fields, key)[:MAX_NUMBER_CHARACTERS])
    except ValueError:
        raise RejectedReportError(f"{key} not a number") from None
    if not math.isfinite(value) or value < 0.0:
        raise RejectedReportError(f"{key} out of range")
    return value


def non_negative_integer(fields: ReportFields, key: str) -> int:
    """Return a field as an integer from 0 to below `INTEGER_LIMIT`. Raises RejectedReportError."""
    value = non_negative_number(fields, key)
    if value != int(value):
        raise RejectedReportError(f"{key} not an integer")
    if value >= INTEGER_LIMIT:
        raise RejectedReportError(f"{key} out of range")
    return int(value)


def host_metrics(fields: ReportFields) -> dict[str, float]:
    """Return the host's own metrics, from `name:value` pairs separated by commas. Raises RejectedReportError."""
    metrics: dict[str, float] = {}
    for pair in fields.get("metrics", "").split(",", MAX_METRICS)[:MAX_METRICS]:
        if pair:
            name, _, value = pair.partition(":")
            metrics[name] = non_negative_number({"metrics": value}, "metrics")
    return metrics
