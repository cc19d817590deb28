"""Lines of the wire to typed events and back. Times turn to milliseconds here."""

from __future__ import annotations

from collections.abc import Callable

from .. import interface as api
from .fields import Fields, Malformed, count, flag, load, ms, number, whole, word

MOST_TIME_US = 71 * 60 * 1_000_000
FORMS: dict[str, object] = {
    "INCREMENTAL": api.HostListKind.CHANGES,
    "FULL": api.HostListKind.FULL,
    "SAVED": api.HostListKind.SAVED,
    "FAILED": api.HostListKind.FAILED,
}
PROBE_ENDS = {
    0: api.HealthCheckOutcome.OK,
    255: api.HealthCheckOutcome.ERROR,
    254: api.HealthCheckOutcome.FULL,
    253: api.HealthCheckOutcome.TIMEOUT,
    252: api.HealthCheckOutcome.UNREACHABLE,
    251: api.HealthCheckOutcome.RESET,
}
STATES = ("up", "draining", "removed")


def entry(f: Fields) -> api.HostEntry:
    state = f.get("status")
    if state not in STATES:
        raise Malformed(f"status={state!r} is not one of {', '.join(STATES)}")
    return api.HostEntry(
        host=whole(f, "host"),
        zone=count(f, "zone"),
        kind=count(f, "classOfHost"),
        cell=count(f, "pod"),
        state=api.HostState(state),
        weight=number(f, "weight", 1.0),
        online_since=ms(f, "onlineSince"),
    )


def host_sums(f: Fields) -> api.HostUsageReport:
    return api.HostUsageReport(
        zone=count(f, "zone"),
        host=whole(f, "host"),
        attempts=whole(f, "total"),
        failed=count(f, "unanswered"),
        latency_ms=ms(f, "lag"),
        span_ms=ms(f, "elapsed"),
        load=load(f),
    )


def slice_sums(f: Fields) -> api.SliceUsageReport:
    return api.SliceUsageReport(
        whole(f, "tbl"), count(f, "kind"), whole(f, "total"), count(f, "unanswered"), ms(f, "elapsed")
    )


def proxy_sums(f: Fields) -> api.ProxyUsageReport:
    return api.ProxyUsageReport(
        whole(f, "edge"), count(f, "kind"), whole(f, "total"), count(f, "unanswered"), ms(f, "elapsed")
    )


def probe_done(f: Fields) -> api.HealthCheckResult:
    end = PROBE_ENDS.get(whole(f, "stateCode"), api.HealthCheckOutcome.OTHER)
    return api.HealthCheckResult(whole(f, "host"), end, ms(f, "lag"), load(f))


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
    "ON_RECORD": lambda f: api.StoredWeight(whole(f, "tbl"), whole(f, "host"), number(f, "weight", 1.0)),
    "TENURE": lambda f: api.SliceOwnershipChange(whole(f, "tbl"), flag(f, "on")),
    "ATTACHED": lambda f: api.ProxyJoined(whole(f, "edge"), count(f, "zone"), number(f, "weight", 0.0), flag(f, "on")),
    "DETACHED": lambda f: api.ProxyLeft(whole(f, "edge")),
    "APPLIED": lambda f: api.VersionAcked(whole(f, "edge"), whole(f, "number"), ms(f, "lag")),
    "TICK_DUE": lambda f: api.TimerFired(whole(f, "handle")),
}


def membership(f: Fields, pools: dict[int, tuple[api.HostEntry, ...]]) -> api.HostListUpdate:
    form = word(f, "form", FORMS)
    assert isinstance(form, api.HostListKind)
    if form is api.HostListKind.FAILED:
        return api.HostListUpdate(form, count(f, "number"))
    at = whole(f, "setId")
    if at not in pools:
        raise Malformed(f"setId={at} names no POOL so far")
    return api.HostListUpdate(form, count(f, "number"), pools[at])


def us(time_ms: float) -> int:
    return min(max(0, round(time_ms * 1000.0)), MOST_TIME_US)


def text(line: str) -> str:
    return " ".join(line.split())


def encode(steward: int, a: api.Action) -> str:
    to = f"steward={steward}"
    match a:
        case api.SetWeight():
            return f"SET_LINE\t{to}\ttbl={a.slice}\thost={a.host}\tweight={a.weight:g}"
        case api.SetAdmission():
            values = f"classBits={a.request_classes}\tamount={a.amount:g}\tonFailure={int(a.retry)}"
            return f"LEVEL\t{to}\ttbl={a.slice}\t{values}"
        case api.Cordon():
            return f"CORDON\t{to}\thost={a.host}\ton={int(a.is_cordoned)}"
        case api.ResetTable():
            return f"RESET_TABLE\t{to}\ttbl={a.slice}"
        case api.AssignTable():
            return f"POINT\t{to}\tedge={a.proxy}\ttbl={a.table}\tclassBits={a.request_classes}"
        case api.PublishVersion():
            return f"NONCE\t{to}\tnumber={a.version}\ton={int(a.to_all_proxies)}"
        case api.StartTimer():
            return f"REMIND\t{to}\tfromNow={us(a.delay_ms)}\thandle={a.timer}"
        case api.CheckHealth():
            return f"INSPECT\t{to}\thost={a.host}"
        case api.WatchHostList():
            return f"TAIL\t{to}\ton={int(a.is_watching)}"
        case api.FetchHostList():
            return f"FETCH\t{to}"
        case api.SendToPeer():
            peer = "*" if a.peer is None else a.peer
            return f"TELL\t{to}\tdst={peer}\tpayload={a.payload.hex() or '-'}"
        case api.LogNote():
            return f"DEBUG\t{to}\tnoteText={text(a.text)}"
