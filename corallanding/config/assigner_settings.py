"""The settings of the assigner, from a controller's configuration."""

from __future__ import annotations

from .. import interface as api
from .models import ControllerConfig


def request_classes(config: ControllerConfig) -> tuple[api.RequestClass, ...]:
    """Return the request classes in the order of the configuration."""
    return tuple(
        api.RequestClass(
            name,
            api.Idempotency(block.repeat),
            block.group,
            block.window_ms,
            block.billed_value,
            block.late_value,
            block.latency_objective_ms,
            block.integration_timeout_ms,
            block.writes,
            block.zone_bound,
        )
        for name, block in config.operation.items()
    )


def assigner_settings(config: ControllerConfig) -> api.Settings:
    """Return the settings of the assigner."""
    return api.Settings(
        request_classes=request_classes(config),
        zone=config.zones.index(config.steward.zone) if config.steward.zone else 0,
        zone_count=len(config.zones),
        controller_count=config.steward.stewards,
        controller_index=config.steward.number,
        slice_count=config.slices.count,
        proxy_count=config.forwarders.count,
        polls_host_list=config.roster.mode == "on_request",
        poll_interval_ms=config.roster.ask_within_ms,
        listed_weights=config.roster.weights,
        has_sole_owner=config.slices.sole_owner,
        lease_ms=config.slices.lease_ms,
        max_in_flight_ms=config.slices.in_flight_most_ms,
        admission=config.forwarders.admission,
        default_retry_mode=config.forwarders.usual_retry,
        attempt_timeout_objectives=config.forwarders.try_aims,
        balancing_policy=config.forwarders.pick,
        ejection_failures=config.forwarders.ejects,
        max_without_host_ms=config.rules.bare_most_ms,
        drain_grace_ms=config.rules.drain_grace_ms,
        only_drains_bind=config.rules.drain_binds_alone,
        warm_up_ms=config.rules.cold_ms,
        warm_up_initial_share=config.rules.cold_from,
        overload_window_ms=config.rules.fall_ms,
        overload_factor=config.rules.fall_multiple,
        channel_lines_per_second=config.channel.rate_lines_per_s,
        message_overhead_lines=config.channel.head_lines,
        max_queued_lines=config.channel.queue_most_lines,
        max_messages=config.channel.messages_most,
        message_window_ms=config.channel.messages_span_ms,
        propagation_ms=config.channel.transit_ms,
        max_propagation_ms=config.channel.transit_most_ms,
        report_interval_ms=config.reports.every_ms,
        reports_per_second=config.reports.lines_per_s,
        may_check_health=config.probe.allowed,
        caches_keys=config.slices.warm_keys,
        health_check_price=config.prices.probe,
        message_price=config.prices.message,
        move_price=config.prices.move,
        health_check_load_fields=tuple(config.reports.load_in_probe),
        decision_interval_ms=config.steward.turn_ms,
    )
