"""Usage reports are summed, and forwarded oldest first at a bounded rate."""

from __future__ import annotations

from corallanding import interface as api
from corallanding.controller.report_aggregation import UsageAggregator
from corallanding.wire import frames

REQUEST_CLASSES = (api.RequestClass("quote", api.Idempotency.IDEMPOTENT, "all", 0, 1, 0, 1000, 3000),)


SETTINGS = api.Settings(
    REQUEST_CLASSES, slice_count=4, proxy_count=2, report_interval_ms=1000.0, reports_per_second=2.0
)


def test_reports_when_summed_then_forwarded_oldest_first_at_the_rate() -> None:
    aggregator = UsageAggregator(SETTINGS)
    for now_ms, host in ((0.0, 10), (100.0, 11), (200.0, 12)):
        aggregator.add(now_ms, 1, 0, frames.UsageReport(500.0, hosts=[(host, 4, 1, 20.0)]), {10, 11, 12}, set())
    invalid = frames.UsageReport(500.0, hosts=[(10, 2, 0, 50.0), (99, 1, 0, 1.0), (11, 1, 2, 1.0)])
    aggregator.add(300.0, 2, 0, invalid, {10, 11}, set())
    assert aggregator.dropped_rows == 2, "an unknown host, and more failures than attempts"
    assert aggregator.take_due(300.0) == []
    first = aggregator.take_due(1000.0)
    assert [(e.host, e.attempts, e.failed, e.latency_ms) for e in first if isinstance(e, api.HostUsageReport)] == [
        (10, 6, 1, 32.0),
        (11, 4, 1, 20.0),
    ]
    assert [e.host for e in aggregator.take_due(1500.0) if isinstance(e, api.HostUsageReport)] == [12]


def test_reports_when_there_are_too_many_keys_then_dropped_and_counted() -> None:
    aggregator = UsageAggregator(SETTINGS, max_keys=2)
    aggregator.add(0.0, 1, 0, frames.UsageReport(500.0, slices=[(s, 0, 1, 0) for s in range(4)]), set(), set(range(4)))
    assert len(aggregator.tallies) == 2
    assert aggregator.dropped_rows == 2
