"""The settings of an instance: pairs of the wire, or of the platform's configuration, to what the module reads."""

from __future__ import annotations

from collections.abc import Callable

from .. import interface as api
from .fields import Fields, Malformed, count, flag, whole
from .fields import ms as any_ms
from .fields import number as any_number

REPEATS = {
    "repeatable": api.Idempotency.IDEMPOTENT,
    "by_key": api.Idempotency.IDEMPOTENT_WITH_KEY,
    "once": api.Idempotency.SIDE_EFFECTING,
}


def number(f: Fields, key: str, default: float) -> float:
    """Raises Malformed below 0, as do all that follow."""
    if (value := any_number(f, key, default)) < 0.0:
        raise Malformed(f"{key}={f[key]!r} is below 0")
    return value


def ms(f: Fields, key: str, default: float = 0.0) -> float:
    number(f, key, default)
    return any_ms(f, key, default)


def above_0(read: Callable[[Fields, str, float], float], f: Fields, key: str, default: float) -> float:
    """What is divided by, or waited for again and again. Raises Malformed at 0 too."""
    if (value := read(f, key, default)) <= 0.0:
        raise Malformed(f"{key}={f[key]!r} is not above 0")
    return value


def settings(f: Fields) -> api.Settings:
    writes = f.get("familyInfo.writeClasses", "").split(",")
    bound = f.get("familyInfo.zoneBound", "").split(",")
    operations = []
    for k in range(whole(f, "classes.count")):
        at = f"classes.{k}."
        repeat = f.get(at + "idempotency", "once")
        if repeat not in REPEATS:
            raise Malformed(f"{at}idempotency={repeat!r} is unknown")
        operations.append(
            api.RequestClass(
                name=f.get(at + "name", str(k)),
                idempotency=REPEATS[repeat],
                deduplication_scope=f.get(at + "group", "all"),
                deduplication_window_ms=ms(f, at + "window"),
                priority_weight=number(f, at + "worth", 1.0),
                late_priority_weight=number(f, at + "lateWorth", 0.0),
                latency_objective_ms=above_0(ms, f, at + "aim", 1000.0),
                timeout_ms=above_0(ms, f, at + "giveUp", 5000.0),
                is_write=writes[k : k + 1] == ["true"],
                is_zone_bound=bound[k : k + 1] == ["true"],
            )
        )
    usual = api.Settings(())
    fam = "familyInfo."
    return api.Settings(
        request_classes=tuple(operations),
        zone=count(f, "zone"),
        zone_count=len(f.get("zones", "-").split(",")),
        controller_count=count(f, "balancers", 1),
        controller_index=count(f, "me"),
        slice_count=count(f, fam + "keyRanges"),
        proxy_count=count(f, fam + "proxies", 1),
        polls_host_list=f.get("discovery") == "on_request",
        poll_interval_ms=ms(f, "rules.askWithin"),
        listed_weights=f.get("weights", "off"),
        has_sole_owner=flag(f, fam + "soleOwner"),
        lease_ms=ms(f, fam + "lease"),
        max_in_flight_ms=ms(f, fam + "inFlightMax"),
        admission=f.get(fam + "admission", "off"),
        default_retry_mode=count(f, fam + "baseMode"),
        attempt_timeout_objectives=number(f, fam + "tryAims", usual.attempt_timeout_objectives),
        balancing_policy=f.get(fam + "lbMethod", usual.balancing_policy),
        ejection_failures=count(f, fam + "ejects"),
        max_without_host_ms=ms(f, fam + "blackhole", usual.max_without_host_ms),
        only_drains_bind=flag(f, "rules.drainBindsAlone"),
        drain_grace_ms=ms(f, "rules.drainGrace", usual.drain_grace_ms),
        warm_up_ms=ms(f, "rules.cold", usual.warm_up_ms),
        warm_up_initial_share=number(f, "rules.coldFrom", usual.warm_up_initial_share),
        overload_window_ms=ms(f, "rules.fall", usual.overload_window_ms),
        overload_factor=number(f, "rules.fallMultiple", usual.overload_factor),
        channel_lines_per_second=above_0(number, f, fam + "channelRate", usual.channel_lines_per_second),
        message_overhead_lines=number(f, fam + "perMessage", usual.message_overhead_lines),
        max_queued_lines=above_0(number, f, fam + "mostWaiting", usual.max_queued_lines),
        max_messages=count(f, fam + "pushesAllowed"),
        message_window_ms=ms(f, fam + "messagesOver", usual.message_window_ms),
        propagation_ms=ms(f, fam + "propagation", usual.propagation_ms),
        max_propagation_ms=ms(f, fam + "worstTransit", usual.max_propagation_ms),
        report_interval_ms=above_0(ms, f, fam + "reportEvery", usual.report_interval_ms),
        reports_per_second=above_0(number, f, fam + "intakePerS", usual.reports_per_second),
        may_check_health=flag(f, "limits.mayProbe"),
        caches_keys=flag(f, fam + "warmKeys"),
        health_check_price=number(f, "prices.probe", 0.0),
        message_price=number(f, fam + "pushPrice", 0.0),
        move_price=number(f, fam + "reassignPrice", 0.0),
        health_check_load_fields=tuple(x for x in f.get("loadReport.fields", "").split(",") if x),
        decision_interval_ms=ms(f, "period", usual.decision_interval_ms),
    )
