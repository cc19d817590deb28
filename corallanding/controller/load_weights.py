"""Adjusts host weights by load reports: runs the feed of reports and passes weight factors to the assigner."""

from __future__ import annotations

import socket
from collections.abc import Callable
from importlib.util import find_spec
from pathlib import Path
from typing import Any

from .. import interface as api
from ..config.sources import LoadReportsBlock
from ..endpoints.endpoint_list import EndpointList
from ..load_reports.feed import LoadReportFeed
from ..load_reports.host_load import EstimatorPolicy
from ..load_reports.state import FeedState
from ..load_reports.weights import apply_factors, factor_changes
from ..telemetry import log
from .clock import ORIGIN_MS
from .context import Context
from .engine import Engine
from .event_inbox import DecisionStep
from .inherited_sockets import InheritedSockets

INTAKE_SETTINGS = (
    "listen",
    "sender_rate",
    "sender_burst",
    "processes_most",
    "reports_per_s",
    "tick_ms",
    "streams_most",
    "buffer_bytes",
)
NON_OUTCOME_COUNTS = ("senders", "waiting")  # counts of the feed that are no outcome of a report


def feed_policy(block: LoadReportsBlock) -> EstimatorPolicy:
    """Return the configured policy that turns reports into factors."""
    return EstimatorPolicy(
        block.half_life_ms,
        block.expiry_ms,
        block.window_ms,
        block.step,
        block.floor,
        block.busy_from,
        block.tolerance,
        block.gain,
        block.reporting_least,
        block.changes_most,
        block.stuck_after_ms,
        max_processes=block.processes_most,
    )


def intake_settings(block: LoadReportsBlock) -> dict[str, Any]:
    """Return the settings of the intake process. Raise OSError if the key cannot be read."""
    key = Path(block.key_file).read_bytes().strip().hex() if block.key_file else ""
    return {**{name: getattr(block, name) for name in INTAKE_SETTINGS}, "key": key}


class LoadWeights:
    """Multiplies weights of the host list by factors from load reports; does nothing if no reports are configured.

    factors: by host, those that differ from 1. has_host_list: whether a list newer than the saved one was received.
    request_step: requests a decision step.
    """

    def __init__(
        self,
        context: Context,
        engine: Engine,
        view: EndpointList,
        feed_type: type[LoadReportFeed],
        request_step: Callable[[], None],
    ) -> None:
        self._context = context
        self._engine = engine
        self._view = view
        self._feed_type = feed_type
        self._request_step = request_step
        self.feed: LoadReportFeed | None = None
        self.factors: dict[int, float] = {}
        self.has_host_list = False

    def start(self, state: FeedState | None, inherited: InheritedSockets) -> None:
        """Start the feed, with the state and the intake socket of the previous process if they were handed over.

        Raise OSError if the key cannot be read, or the libraries are not installed.
        """
        block = self._context.config.load_reports
        if not block:
            return
        if not find_spec("xds"):
            raise OSError("load_reports needs the extra: pip install 'corallanding[reports]'")
        context = self._context
        clock_offset_ms = ORIGIN_MS - context.clock.origin_reading_s * 1000.0
        self.feed = self._feed_type(
            intake_settings(block),
            feed_policy(block),
            context.clock,
            context.wall_ms,
            clock_offset_ms,
            self._on_factors_changed,
            log,
        )
        self.feed.start(state, inherited.take_intake())

    def restore(self, factors: dict[int, float]) -> None:
        """Restore the factors that the previous process passed to the assigner."""
        self.has_host_list = True
        self._set_factors(dict(factors))

    def on_host_list(self, event: api.HostListUpdate) -> api.HostListUpdate:
        """Process a new host list; return the event with its weights multiplied by the factors."""
        self.has_host_list = True
        if self.feed is None:
            return event
        self.feed.set_hosts(self._view.entries, self._view.process_starts_ms, self._context.settings.warm_up_ms)
        self.factors = self.feed.estimator.factors()
        return apply_factors(event, self.factors)

    def on_step(self, step: DecisionStep) -> None:
        """Pass usage reports of proxies to the feed, which compares them with the load reports of hosts."""
        if self.feed is None:
            return
        for event in step.events:
            if isinstance(event, api.HostUsageReport):
                self.feed.estimator.on_usage(event.host, event.attempts, event.failed, event.latency_ms)

    def publish_metrics(self) -> None:
        """Set the metrics of load reports."""
        if self.feed is None:
            return
        metrics = self._context.metrics
        for outcome, count in {**self.feed.intake_counts, **self.feed.estimator.counts.by_name()}.items():
            if outcome not in NON_OUTCOME_COUNTS:
                metrics.load_reports.labels(outcome).set(count)
        metrics.load_report_senders.set(self.feed.intake_counts.get("senders", 0))

    def capture(self) -> tuple[FeedState | None, socket.socket | None]:
        """Return the state of the feed and its end of the intake's socket, for a handover; None without a feed."""
        return self.feed.capture() if self.feed else (None, None)

    def pause(self) -> None:
        """Stop receiving reports until `resume`."""
        if self.feed:
            self.feed.pause()

    def resume(self, *, is_stale: bool) -> None:
        """Receive reports again. is_stale: another process may have read from the intake during the pause."""
        if self.feed:
            self.feed.resume(is_stale=is_stale)

    def stop(self) -> None:
        """Stop the feed and its intake."""
        if self.feed:
            self.feed.stop()

    def _on_factors_changed(self) -> None:
        """Pass changed weights to the assigner, as changes of the host list."""
        if self.feed is None or not self.has_host_list:
            return  # until the first list arrives, the assigner would treat this change as that list
        previous_factors = self.factors
        self._set_factors(self.feed.estimator.factors())
        event = factor_changes(self._view.entries, self._view.version, previous_factors, self.factors)
        if event:
            log.info("load factors", factors={str(host): round(factor, 3) for host, factor in self.factors.items()})
            self._engine.add_event(self._context.clock(), event)
            self._request_step()

    def _set_factors(self, factors: dict[int, float]) -> None:
        self.factors = factors
        self._context.metrics.lowered_weights.set(len(factors))
