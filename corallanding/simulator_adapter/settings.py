"""The settings of an instance: pairs of the wire, or of the platform's configuration, to what the module reads."""

from __future__ import annotations

from collections.abc import Callable

from .. import interface as api
from .fields import Fields, Malformed, count, flag, whole
from .fields import ms as any_ms
from .fields import number as any_number

REPEATS = {
    "repeatable": api.Repeat.IDEMPOTENT,
    "by_key": api.Repeat.FINGERPRINTED,
    "once": api.Repeat.SIDE_EFFECTING,
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
            api.Operation(
                name=f.get(at + "name", str(k)),
                repeat=REPEATS[repeat],
                group=f.get(at + "group", "all"),
                window=ms(f, at + "window"),
                billed_value=number(f, at + "worth", 1.0),
                late_value=number(f, at + "lateWorth", 0.0),
                latency_objective=above_0(ms, f, at + "aim", 1000.0),
                integration_timeout=above_0(ms, f, at + "giveUp", 5000.0),
                writes=writes[k : k + 1] == ["true"],
                zone_bound=bound[k : k + 1] == ["true"],
            )
        )
    usual = api.Settings(())
    fam = "familyInfo."
    return api.Settings(
        operations=tuple(operations),
        zone=count(f, "zone"),
        zones=len(f.get("zones", "-").split(",")),
        stewards=count(f, "balancers", 1),
        me=count(f, "me"),
        slices=count(f, fam + "keyRanges"),
        proxies=count(f, fam + "proxies", 1),
        list_on_request=f.get("discovery") == "on_request",
        ask_within=ms(f, "rules.askWithin"),
        listed_weights=f.get("weights", "off"),
        sole_owner=flag(f, fam + "soleOwner"),
        lease=ms(f, fam + "lease"),
        in_flight_most=ms(f, fam + "inFlightMax"),
        admission=f.get(fam + "admission", "off"),
        usual_retry=count(f, fam + "baseMode"),
        try_aims=number(f, fam + "tryAims", usual.try_aims),
        pick=f.get(fam + "lbMethod", usual.pick),
        ejects=count(f, fam + "ejects"),
        bare_most=ms(f, fam + "blackhole", usual.bare_most),
        drain_binds_alone=flag(f, "rules.drainBindsAlone"),
        drain_grace=ms(f, "rules.drainGrace", usual.drain_grace),
        cold=ms(f, "rules.cold", usual.cold),
        cold_from=number(f, "rules.coldFrom", usual.cold_from),
        fall=ms(f, "rules.fall", usual.fall),
        fall_multiple=number(f, "rules.fallMultiple", usual.fall_multiple),
        channel_rate=above_0(number, f, fam + "channelRate", usual.channel_rate),
        message_head=number(f, fam + "perMessage", usual.message_head),
        queue_most=above_0(number, f, fam + "mostWaiting", usual.queue_most),
        messages_most=count(f, fam + "pushesAllowed"),
        messages_span=ms(f, fam + "messagesOver", usual.messages_span),
        transit=ms(f, fam + "propagation", usual.transit),
        transit_most=ms(f, fam + "worstTransit", usual.transit_most),
        report_every=above_0(ms, f, fam + "reportEvery", usual.report_every),
        reports_per_s=above_0(number, f, fam + "intakePerS", usual.reports_per_s),
        may_probe=flag(f, "limits.mayProbe"),
        warm_keys=flag(f, fam + "warmKeys"),
        probe_price=number(f, "prices.probe", 0.0),
        message_price=number(f, fam + "pushPrice", 0.0),
        move_price=number(f, fam + "reassignPrice", 0.0),
        load_in_probe=tuple(x for x in f.get("loadReport.fields", "").split(",") if x),
        period=ms(f, "period", usual.period),
    )
