"""What the module is given of a configuration."""

from __future__ import annotations

from .. import interface as api
from .models import StewardConfig


def settings(c: StewardConfig) -> api.Settings:
    """What the module is given of it."""
    operations = tuple(
        api.Operation(
            name,
            api.Repeat(o.repeat),
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
        operations=operations,
        zone=c.zones.index(c.steward.zone) if c.steward.zone else 0,
        zones=len(c.zones),
        stewards=c.steward.stewards,
        me=c.steward.number,
        slices=c.slices.count,
        proxies=c.forwarders.count,
        list_on_request=c.roster.mode == "on_request",
        ask_within=c.roster.ask_within_ms,
        listed_weights=c.roster.weights,
        sole_owner=c.slices.sole_owner,
        lease=c.slices.lease_ms,
        in_flight_most=c.slices.in_flight_most_ms,
        admission=c.forwarders.admission,
        usual_retry=c.forwarders.usual_retry,
        try_aims=c.forwarders.try_aims,
        pick=c.forwarders.pick,
        ejects=c.forwarders.ejects,
        bare_most=c.rules.bare_most_ms,
        drain_grace=c.rules.drain_grace_ms,
        drain_binds_alone=c.rules.drain_binds_alone,
        cold=c.rules.cold_ms,
        cold_from=c.rules.cold_from,
        fall=c.rules.fall_ms,
        fall_multiple=c.rules.fall_multiple,
        channel_rate=c.channel.rate_lines_per_s,
        message_head=c.channel.head_lines,
        queue_most=c.channel.queue_most_lines,
        messages_most=c.channel.messages_most,
        messages_span=c.channel.messages_span_ms,
        transit=c.channel.transit_ms,
        transit_most=c.channel.transit_most_ms,
        report_every=c.reports.every_ms,
        reports_per_s=c.reports.lines_per_s,
        may_probe=c.probe.allowed,
        warm_keys=c.slices.warm_keys,
        probe_price=c.prices.probe,
        message_price=c.prices.message,
        move_price=c.prices.move,
        load_in_probe=tuple(c.reports.load_in_probe),
        period=c.steward.turn_ms,
    )
