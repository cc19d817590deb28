"""Reads the assigner's settings from the fields of the simulator's wire protocol, or of the platform's configuration.

Settings that are not given keep the defaults of `interface.Settings`. All functions raise MalformedLineError if a value
is invalid.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from .. import interface as api
from . import fields as wire
from .fields import Fields, MalformedLineError, boolean, count, required_count

IDEMPOTENCY = {
    "repeatable": api.Idempotency.IDEMPOTENT,
    "by_key": api.Idempotency.IDEMPOTENT_WITH_KEY,
    "once": api.Idempotency.SIDE_EFFECTING,
}
DEFAULT_LATENCY_OBJECTIVE_MS = 1000.0
DEFAULT_TIMEOUT_MS = 5000.0


def number(fields: Fields, key: str, default: float) -> float:
    """Read an optional non-negative number."""
    value = wire.number(fields, key, default)
    if value < 0.0:
        raise MalformedLineError(f"{key}={fields[key]!r} is below 0")
    return value


def milliseconds(fields: Fields, key: str, default_ms: float = 0.0) -> float:
    """Read an optional non-negative time and return it in ms."""
    number(fields, key, default_ms)
    return wire.milliseconds(fields, key, default_ms)


def positive(read: Callable[[Fields, str, float], float], fields: Fields, key: str, default: float) -> float:
    """Read a positive value with `read`. 0 is rejected, as it would be used as a divisor or a repeated delay."""
    value = read(fields, key, default)
    if value <= 0.0:
        raise MalformedLineError(f"{key}={fields[key]!r} is not above 0")
    return value


def read_settings(fields: Fields) -> api.Settings:
    """Return the settings of one controller."""
    settings = api.Settings(_request_classes(fields))
    settings = _with_site(settings, fields)
    settings = _with_proxies(settings, fields)
    settings = _with_rules(settings, fields)
    settings = _with_channel(settings, fields)
    return _with_reports(settings, fields)


def _request_classes(fields: Fields) -> tuple[api.RequestClass, ...]:
    is_write = fields.get("familyInfo.writeClasses", "").split(",")
    is_zone_bound = fields.get("familyInfo.zoneBound", "").split(",")
    return tuple(
        replace(
            _request_class(fields, index),
            is_write=is_write[index : index + 1] == ["true"],
            is_zone_bound=is_zone_bound[index : index + 1] == ["true"],
        )
        for index in range(required_count(fields, "classes.count"))
    )


def _request_class(fields: Fields, index: int) -> api.RequestClass:
    prefix = f"classes.{index}."
    idempotency = fields.get(prefix + "idempotency", "once")
    if idempotency not in IDEMPOTENCY:
        raise MalformedLineError(f"{prefix}idempotency={idempotency!r} is unknown")
    return api.RequestClass(
        name=fields.get(prefix + "name", str(index)),
        idempotency=IDEMPOTENCY[idempotency],
        deduplication_scope=fields.get(prefix + "group", "all"),
        deduplication_window_ms=milliseconds(fields, prefix + "window"),
        priority_weight=number(fields, prefix + "worth", 1.0),
        late_priority_weight=number(fields, prefix + "lateWorth", 0.0),
        latency_objective_ms=positive(milliseconds, fields, prefix + "aim", DEFAULT_LATENCY_OBJECTIVE_MS),
        timeout_ms=positive(milliseconds, fields, prefix + "giveUp", DEFAULT_TIMEOUT_MS),
    )


def _with_site(settings: api.Settings, fields: Fields) -> api.Settings:
    return replace(
        settings,
        zone=count(fields, "zone"),
        zone_count=len(fields.get("zones", "-").split(",")),
        controller_count=count(fields, "balancers", 1),
        controller_index=count(fields, "me"),
        slice_count=count(fields, "familyInfo.keyRanges"),
        proxy_count=count(fields, "familyInfo.proxies", 1),
        polls_host_list=fields.get("discovery") == "on_request",
        poll_interval_ms=milliseconds(fields, "rules.askWithin"),
        listed_weights=fields.get("weights", "off"),
        decision_interval_ms=milliseconds(fields, "period", settings.decision_interval_ms),
    )


def _with_proxies(settings: api.Settings, fields: Fields) -> api.Settings:
    return replace(
        settings,
        has_sole_owner=boolean(fields, "familyInfo.soleOwner"),
        lease_ms=milliseconds(fields, "familyInfo.lease"),
        max_in_flight_ms=milliseconds(fields, "familyInfo.inFlightMax"),
        admission=fields.get("familyInfo.admission", "off"),
        default_retry_mode=count(fields, "familyInfo.baseMode"),
        attempt_timeout_objectives=number(fields, "familyInfo.tryAims", settings.attempt_timeout_objectives),
        balancing_policy=fields.get("familyInfo.lbMethod", settings.balancing_policy),
        ejection_failures=count(fields, "familyInfo.ejects"),
    )


def _with_rules(settings: api.Settings, fields: Fields) -> api.Settings:
    return replace(
        settings,
        max_without_host_ms=milliseconds(fields, "familyInfo.blackhole", settings.max_without_host_ms),
        only_drains_bind=boolean(fields, "rules.drainBindsAlone"),
        drain_grace_ms=milliseconds(fields, "rules.drainGrace", settings.drain_grace_ms),
        warm_up_ms=milliseconds(fields, "rules.cold", settings.warm_up_ms),
        warm_up_initial_share=number(fields, "rules.coldFrom", settings.warm_up_initial_share),
        overload_window_ms=milliseconds(fields, "rules.fall", settings.overload_window_ms),
        overload_factor=number(fields, "rules.fallMultiple", settings.overload_factor),
    )


def _with_channel(settings: api.Settings, fields: Fields) -> api.Settings:
    return replace(
        settings,
        channel_lines_per_second=positive(number, fields, "familyInfo.channelRate", settings.channel_lines_per_second),
        message_overhead_lines=number(fields, "familyInfo.perMessage", settings.message_overhead_lines),
        max_queued_lines=positive(number, fields, "familyInfo.mostWaiting", settings.max_queued_lines),
        max_messages=count(fields, "familyInfo.pushesAllowed"),
        message_window_ms=milliseconds(fields, "familyInfo.messagesOver", settings.message_window_ms),
        propagation_ms=milliseconds(fields, "familyInfo.propagation", settings.propagation_ms),
        max_propagation_ms=milliseconds(fields, "familyInfo.worstTransit", settings.max_propagation_ms),
    )


def _with_reports(settings: api.Settings, fields: Fields) -> api.Settings:
    return replace(
        settings,
        report_interval_ms=positive(milliseconds, fields, "familyInfo.reportEvery", settings.report_interval_ms),
        reports_per_second=positive(number, fields, "familyInfo.intakePerS", settings.reports_per_second),
        may_check_health=boolean(fields, "limits.mayProbe"),
        caches_keys=boolean(fields, "familyInfo.warmKeys"),
        health_check_price=number(fields, "prices.probe", 0.0),
        message_price=number(fields, "familyInfo.pushPrice", 0.0),
        move_price=number(fields, "familyInfo.reassignPrice", 0.0),
        health_check_load_fields=tuple(name for name in fields.get("loadReport.fields", "").split(",") if name),
    )
