"""The settings of the assigner, from a controller's configuration."""

from __future__ import annotations

from .. import interface as api
from .models import ControllerConfig


def assigner_settings(c: ControllerConfig) -> api.Settings:
    """The assigner's settings as the configuration `c` states them."""
    operations = tuple(
        api.RequestClass(
            name,
            api.Idempotency(o.repeat),
            o.group,
            o.window_ms,
            o.billed_value,
            o.late_value,
            o.latency_objective_ms,
            o.integration_timeout_ms,
            o.writes,
            o.zone_bound,
        )
        for name, o in c.operation.items()
    )
    return api.Settings(
        request_classes=operations,
        zone=c.zones.index(c.steward.zone) if c.steward.zone else 0,
        zone_count=len(c.zones),
        controller_count=c.steward.stewards,
        controller_index=c.steward.number,
        slice_count=c.slices.count,
        proxy_count=c.forwarders.count,
        polls_host_list=c.roster.mode == "on_request",
        poll_interval_ms=c.roster.ask_within_ms,
        listed_weights=c.roster.weights,
        has_sole_owner=c.slices.sole_owner,
        lease_ms=c.slices.lease_ms,
        max_in_flight_ms=c.slices.in_flight_most_ms,
        admission=c.forwarders.admission,
        default_retry_mode=c.forwarders.usual_retry,
        attempt_timeout_objectives=c.forwarders.try_aims,
        balancing_policy=c.forwarders.pick,
        ejection_failures=c.forwarders.ejects,
        max_without_host_ms=c.rules.bare_most_ms,
        drain_grace_ms=c.rules.drain_grace_ms,
        only_drains_bind=c.rules.drain_binds_alone,
        warm_up_ms=c.rules.cold_ms,
        warm_up_initial_share=c.rules.cold_from,
        overload_window_ms=c.rules.fall_ms,
        overload_factor=c.rules.fall_multiple,
        channel_lines_per_second=c.channel.rate_lines_per_s,
        message_overhead_lines=c.channel.head_lines,
        max_queued_lines=c.channel.queue_most_lines,
        max_messages=c.channel.messages_most,
        message_window_ms=c.channel.messages_span_ms,
        propagation_ms=c.channel.transit_ms,
        max_propagation_ms=c.channel.transit_most_ms,
        report_interval_ms=c.reports.every_ms,
        reports_per_second=c.reports.lines_per_s,
        may_check_health=c.probe.allowed,
        caches_keys=c.slices.warm_keys,
        health_check_price=c.prices.probe,
        message_price=c.prices.message,
        move_price=c.prices.move,
        health_check_load_fields=tuple(c.reports.load_in_probe),
        decision_interval_ms=c.steward.turn_ms,
    )
