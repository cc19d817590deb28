"""Lines of the wire to typed events and back. Times turn to milliseconds here."""

from __future__ import annotations

from collections.abc import Callable

from .. import interface as api
from .fields import Fields, Malformed, count, flag, load, ms, number, whole, word

MOST_TIME_US = 71 * 60 * 1_000_000
FORMS: dict[str, object] = {
    "INCREMENTAL": api.ListForm.CHANGES,
    "FULL": api.ListForm.FULL,
    "SAVED": api.ListForm.SAVED,
    "FAILED": api.ListForm.FAILED,
}
PROBE_ENDS = {
    0: api.ProbeEnd.OK,
    255: api.ProbeEnd.ERROR,
    254: api.ProbeEnd.FULL,
    253: api.ProbeEnd.TIMEOUT,
    252: api.ProbeEnd.UNREACHABLE,
    251: api.ProbeEnd.RESET,
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
        state=state,
        weight=number(f, "weight", 1.0),
        online_since=ms(f, "onlineSince"),
    )


def host_sums(f: Fields) -> api.HostSums:
    return api.HostSums(
        zone=count(f, "zone"),
        host=whole(f, "host"),
        tries=whole(f, "total"),
        errored=count(f, "unanswered"),
        latency=ms(f, "lag"),
        span=ms(f, "elapsed"),
        load=load(f),
    )


def slice_sums(f: Fields) -> api.SliceSums:
    return api.SliceSums(whole(f, "tbl"), count(f, "kind"), whole(f, "total"), count(f, "unanswered"), ms(f, "elapsed"))


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
    "ATTACHED": lambda f: api.ProxyJoined(whole(f, "edge"), count(f, "zone"), number(f, "weight", 0.0), flag(f, "on")),
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
                f"LEVEL\t{to}\ttbl={a.slice}\tclassBits={a.operations}\tamount={a.amount:g}\tonFailure={int(a.retry)}"
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
