"""The demand for each slice: requests per second, smoothed over usage reports."""

from __future__ import annotations

from .. import interface as api
from .state import Slice

RETRY_SHARE_OF_UNANSWERED = 0.5
"""Share of the unanswered requests of a slice that are assumed to be retries by clients."""

BURST_FACTOR = 2.0
BURST_MIN_REQUESTS = 10
"""A report of more requests than the minimum, at more than this factor times the smoothed rate, is not smoothed."""

RATE_HALF_LIFE_MS = 2_000.0
"""Half-life of a slice's smoothed request rate."""


class SliceDemand:
    """Maintains the request rates of slices. `recent_requests` is the decaying count of requests for all slices."""

    def __init__(self, slices: dict[int, Slice]) -> None:
        self.slices = slices
        self.recent_requests = 0.0

    def on_slice_usage_report(self, event: api.SliceUsageReport) -> None:
        """Update the smoothed request rate of a slice for one request class.

        A rate that has more than doubled is not smoothed: a warming owner would be overloaded before the smoothed rate
        catches up. Bursts of only a few requests are treated as noise.
        """
        self.recent_requests += event.requests
        slice_ = self.slices.get(event.slice)
        if slice_ is None or event.span_ms <= 0:
            return
        retries = min(event.unanswered, event.requests) * RETRY_SHARE_OF_UNANSWERED
        rate = (event.requests - retries) * 1000.0 / event.span_ms
        smoothed = slice_.rate_by_class.get(event.request_class, rate)
        is_burst = rate > BURST_FACTOR * smoothed and event.requests > BURST_MIN_REQUESTS
        weight_of_past = 0.0 if is_burst else 0.5 ** (event.span_ms / RATE_HALF_LIFE_MS)
        slice_.rate_by_class[event.request_class] = rate + (smoothed - rate) * weight_of_past
        slice_.requests_per_second = sum(slice_.rate_by_class.values())
