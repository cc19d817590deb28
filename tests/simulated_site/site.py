"""The figures of a simulated site, and the settings of its controllers."""

from __future__ import annotations

from dataclasses import dataclass

from corallanding import interface as api

ZONES = 4
QUOTE = api.RequestClass("quote", api.Idempotency.IDEMPOTENT, "all", 5000, 3, 0.1, 1200, 3000)
CLAIM = api.RequestClass("claim", api.Idempotency.SIDE_EFFECTING, "all", 5000, 2, 0.2, 1500, 5000, is_write=True)
QUOTE_SHARE = 0.64
"""Share of the requests that are of the first class."""


@dataclass(frozen=True)
class Site:
    """The size, the limits and the rules of a site. The channel's figures are those of each controller."""

    hosts: int = 78
    proxies: int = 128
    slices: int = 351
    controllers: int = 1
    requests_per_second: float = 400.0
    lines_per_second: float = 9_700.0
    max_queued_lines: float = 1.5 * 9_700.0
    message_overhead_lines: float = 8.0
    max_messages: int = 20
    message_window_ms: float = 10_000.0
    propagation_ms: float = 150.0
    max_propagation_ms: float = 400.0
    max_without_host_ms: float = 5_400.0
    drain_grace_ms: float = 3_000.0
    warm_up_ms: float = 12_000.0
    warm_up_initial_share: float = 0.25
    overload_window_ms: float = 3_000.0
    overload_factor: float = 4.0
    report_interval_ms: float = 500.0
    reports_per_second: float = 200.0
    decision_interval_ms: float = 2.0

    def settings(self, controller: int) -> api.Settings:
        """Return the settings of a controller."""
        return api.Settings(
            (QUOTE, CLAIM),
            zone=controller % ZONES,
            zone_count=ZONES,
            controller_count=self.controllers,
            controller_index=controller,
            slice_count=self.slices,
            proxy_count=self.proxies,
            listed_weights="nominal",
            lease_ms=800.0,
            max_in_flight_ms=5_020.0,
            admission="fraction",
            default_retry_mode=1,
            attempt_timeout_objectives=1.2,
            max_without_host_ms=self.max_without_host_ms,
            drain_grace_ms=self.drain_grace_ms,
            warm_up_ms=self.warm_up_ms,
            warm_up_initial_share=self.warm_up_initial_share,
            overload_window_ms=self.overload_window_ms,
            overload_factor=self.overload_factor,
            channel_lines_per_second=self.lines_per_second,
            message_overhead_lines=self.message_overhead_lines,
            max_queued_lines=self.max_queued_lines,
            max_messages=self.max_messages,
            message_window_ms=self.message_window_ms,
            propagation_ms=self.propagation_ms,
            max_propagation_ms=self.max_propagation_ms,
            report_interval_ms=self.report_interval_ms,
            reports_per_second=self.reports_per_second,
            may_check_health=True,
            caches_keys=True,
            decision_interval_ms=self.decision_interval_ms,
        )
