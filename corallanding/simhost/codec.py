"""Lines of the wire to typed events and back. Times turn to milliseconds here."""

from __future__ import annotations

from collections.abc import Callable

from .. import interface as api


class Malformed(Exception):
    """A line that the wire does not allow."""


Fields = dict[str, str]
MOST_TIME_US = 71 * 60 * 1_000_000


def split(line: str) -> tuple[str, Fields]:
    name, *parts = line.split("\t")
    fields: Fields = {}
    for part in parts:
        key, mark, value = part.partition("=")
        if not mark or not key:
            raise Malformed(f"{part!r} is no name=value pair")
        fields[key] = value
    return name, fields


def whole(f: Fields, key: str) -> int:
    try:
        value = int(f[key])
    except KeyError:
        raise Malformed(f"{key} is missing") from None
    except ValueError:
        raise Malformed(f"{key}={f[key]!r} is no whole number") from None
    if value < 0:
        raise Malformed(f"{key}={value} is below 0")
    return value


def number(f: Fields, key: str, default: float) -> float:
    try:
        value = float(f[key]) if key in f else default
    except ValueError:
        raise Malformed(f"{key}={f[key]!r} is no number") from None
    if value != value or value in (float("inf"), float("-inf")):
        raise Malformed(f"{key}={f[key]!r} is no finite number")
    return value


def count(f: Fields, key: str, default: int = 0) -> int:
    return whole(f, key) if key in f else default


def ms(f: Fields, key: str, default: float = 0.0) -> float:
    return number(f, key, default * 1000.0) / 1000.0


def flag(f: Fields, key: str, default: bool = False) -> bool:
    value = f.get(key, "1" if default else "0")
    if value not in ("0", "1", "true", "false"):
        raise Malformed(f"{key}={value!r} is no bool")
    return value in ("1", "true")


def word(f: Fields, key: str, words: dict[str, object]) -> object:
    value = f.get(key)
    if value is None:
        raise Malformed(f"{key} is missing")
    if value not in words:
        raise Malformed(f"{key}={value!r} is not one of {', '.join(words)}")
    return words[value]


def load(f: Fields) -> dict[str, float]:
    out: dict[str, float] = {}
    for pair in f.get("stats", "").split(","):
        if pair:
            key, mark, value = pair.partition(":")
            if not mark:
                raise Malformed(f"stats holds {pair!r}")
            out[key] = number({key: value}, key, 0.0)
    return out


REPEATS = {
    "repeatable": api.Repeat.IDEMPOTENT,
    "by_key": api.Repeat.FINGERPRINTED,
    "once": api.Repeat.SIDE_EFFECTING,
}
FORMS: dict[str, object] = {
    "INCREMENTAL": api.ListForm.CHANGES, "FULL": api.ListForm.FULL,
    "SAVED": api.ListForm.SAVED, "FAILED": api.ListForm.FAILED,
}  # fmt: skip
PROBE_ENDS = {
    0: api.ProbeEnd.OK, 255: api.ProbeEnd.ERROR, 254: api.ProbeEnd.FULL, 253: api.ProbeEnd.TIMEOUT,
    252: api.ProbeEnd.UNREACHABLE, 251: api.ProbeEnd.RESET,
}  # fmt: skip
STATES = ("up", "draining", "removed")


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
                latency_objective=ms(f, at + "aim", 1000.0),
                integration_timeout=ms(f, at + "giveUp", 5000.0),
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
        channel_rate=number(f, fam + "channelRate", usual.channel_rate),
        message_head=number(f, fam + "perMessage", usual.message_head),
        queue_most=number(f, fam + "mostWaiting", usual.queue_most),
        messages_most=count(f, fam + "pushesAllowed"),
        messages_span=ms(f, fam + "messagesOver", usual.messages_span),
        transit=ms(f, fam + "propagation", usual.transit),
        transit_most=ms(f, fam + "worstTransit", usual.transit_most),
        report_every=ms(f, fam + "reportEvery", usual.report_every),
        reports_per_s=number(f, fam + "intakePerS", usual.reports_per_s),
        may_probe=flag(f, "limits.mayProbe"),
        warm_keys=flag(f, fam + "warmKeys"),
        probe_price=number(f, "prices.probe", 0.0),
        message_price=number(f, fam + "pushPrice", 0.0),
        move_price=number(f, fam + "reassignPrice", 0.0),
        load_in_probe=tuple(x for x in f.get("loadReport.fields", "").split(",") if x),
        period=ms(f, "period", usual.period),
    )


def entry(f: Fields) -> api.HostEntry:
    state = f.get("status")
    if state not in STATES:
        raise Malformed(f"status={state!r} is not one of {', '.join(STATES)}")
    return api.HostEntry(
        host=whole(f, "host"),
        zone=count(f, "zone"),
        kind=count(f, "classOfHost"),
        cell=count(f, "pod"),
        state=state,
        weight=number(f, "weight", 1.0),
        online_since=ms(f, "onlineSince"),
    )


def host_sums(f: Fields) -> api.HostSums:
    return api.HostSums(
        zone=count(f, "zone"), host=whole(f, "host"), tries=whole(f, "total"), errored=count(f, "unanswered"),
        latency=ms(f, "lag"), span=ms(f, "elapsed"), load=load(f),
    )  # fmt: skip


def slice_sums(f: Fields) -> api.SliceSums:
    return api.SliceSums(
        whole(f, "tbl"), count(f, "kind"), whole(f, "total"), count(f, "unanswered"), ms(f, "elapsed")
    )


def proxy_sums(f: Fields) -> api.ProxySums:
    return api.ProxySums(
        whole(f, "edge"), count(f, "kind"), whole(f, "total"), count(f, "unanswered"), ms(f, "elapsed")
    )


def probe_done(f: Fields) -> api.ProbeDone:
    end = PROBE_ENDS.get(whole(f, "stateCode"), api.ProbeEnd.OTHER)
    return api.ProbeDone(whole(f, "host"), end, ms(f, "lag"), load(f))


def peer_message(f: Fields) -> api.PeerMessage:
    text = f.get("payload", "-")
    try:
        return api.PeerMessage(whole(f, "by"), b"" if text == "-" else bytes.fromhex(text))
    except ValueError:
        raise Malformed(f"payload={text!r} is no hex") from None


EVENTS: dict[str, Callable[[Fields], api.Event]] = {
    "PROBE_DONE": probe_done,
    "STATS": host_sums,
    "HEAT": slice_sums,
    "OFFERED_LOAD": proxy_sums,
    "HEARD": peer_message,
    "ON_RECORD": lambda f: api.OnRecord(whole(f, "tbl"), whole(f, "host"), number(f, "weight", 1.0)),
    "TENURE": lambda f: api.SliceGiven(whole(f, "tbl"), flag(f, "on")),
    "ATTACHED": lambda f: api.ProxyJoined(
        whole(f, "edge"), count(f, "zone"), number(f, "weight", 0.0), flag(f, "on")
    ),
    "DETACHED": lambda f: api.ProxyLeft(whole(f, "edge")),
    "APPLIED": lambda f: api.Acked(whole(f, "edge"), whole(f, "number"), ms(f, "lag")),
    "TICK_DUE": lambda f: api.Due(whole(f, "handle")),
}


def membership(f: Fields, pools: dict[int, tuple[api.HostEntry, ...]]) -> api.Membership:
    form = word(f, "form", FORMS)
    assert isinstance(form, api.ListForm)
    if form is api.ListForm.FAILED:
        return api.Membership(form, count(f, "number"))
    at = whole(f, "setId")
    if at not in pools:
        raise Malformed(f"setId={at} names no POOL so far")
    return api.Membership(form, count(f, "number"), pools[at])


def us(time_ms: float) -> int:
    return min(max(0, round(time_ms * 1000.0)), MOST_TIME_US)


def text(line: str) -> str:
    return " ".join(line.split())


def encode(steward: int, a: api.Action) -> str:
    to = f"steward={steward}"
    match a:
        case api.SetLine():
            return f"SET_LINE\t{to}\ttbl={a.slice}\thost={a.host}\tweight={a.weight:g}"
        case api.Level():
            return (
                f"LEVEL\t{to}\ttbl={a.slice}\tclassBits={a.operations}\tamount={a.amount:g}"
                f"\tonFailure={int(a.retry)}"
            )
        case api.Cordon():
            return f"CORDON\t{to}\thost={a.host}\ton={int(a.on)}"
        case api.ResetTable():
            return f"RESET_TABLE\t{to}\ttbl={a.slice}"
        case api.Point():
            return f"POINT\t{to}\tedge={a.proxy}\ttbl={a.table}\tclassBits={a.operations}"
        case api.Mark():
            return f"NONCE\t{to}\tnumber={a.number}\ton={int(a.everyone)}"
        case api.Remind():
            return f"REMIND\t{to}\tfromNow={us(a.after)}\thandle={a.handle}"
        case api.Probe():
            return f"INSPECT\t{to}\thost={a.host}"
        case api.Follow():
            return f"TAIL\t{to}\ton={int(a.on)}"
        case api.FetchList():
            return f"FETCH\t{to}"
        case api.Tell():
            peer = "*" if a.peer is None else a.peer
            return f"TELL\t{to}\tdst={peer}\tpayload={a.payload.hex() or '-'}"
        case api.Note():
            return f"DEBUG\t{to}\tnoteText={text(a.text)}"
