"""Decodes lines of the simulator's wire protocol into typed events, with times in milliseconds. It does no I/O."""

from __future__ import annotations

from collections.abc import Callable

from .. import interface as api
from .fields import (
    Fields,
    MalformedLineError,
    boolean,
    choice,
    count,
    load_values,
    milliseconds,
    number,
    required_count,
)

HOST_LIST_KINDS = {
    "INCREMENTAL": api.HostListKind.CHANGES,
    "FULL": api.HostListKind.FULL,
    "SAVED": api.HostListKind.SAVED,
    "FAILED": api.HostListKind.FAILED,
}
HEALTH_CHECK_OUTCOMES = {
    0: api.HealthCheckOutcome.OK,
    255: api.HealthCheckOutcome.ERROR,
    254: api.HealthCheckOutcome.FULL,
    253: api.HealthCheckOutcome.TIMEOUT,
    252: api.HealthCheckOutcome.UNREACHABLE,
    251: api.HealthCheckOutcome.RESET,
}
HOST_STATES = {state.value: state for state in api.HostState}


def decode_host_entry(fields: Fields) -> api.HostEntry:
    """Decode one entry of a host list. All decoders in this module raise MalformedLineError."""
    state = fields.get("status")
    if state not in HOST_STATES:
        raise MalformedLineError(f"status={state!r} is not one of {', '.join(HOST_STATES)}")
    return api.HostEntry(
        host=required_count(fields, "host"),
        zone=count(fields, "zone"),
        kind=count(fields, "classOfHost"),
        cell=count(fields, "pod"),
        state=HOST_STATES[state],
        weight=number(fields, "weight", 1.0),
        online_since=milliseconds(fields, "onlineSince"),
    )


def decode_host_list(fields: Fields, host_lists: dict[int, tuple[api.HostEntry, ...]]) -> api.HostListUpdate:
    """Decode a host list update that refers to one of `host_lists`, the numbered lists received so far."""
    kind = choice(fields, "form", HOST_LIST_KINDS)
    if kind is api.HostListKind.FAILED:
        return api.HostListUpdate(kind, count(fields, "number"))
    list_number = required_count(fields, "setId")
    if list_number not in host_lists:
        raise MalformedLineError(f"setId={list_number} does not refer to a preceding POOL")
    return api.HostListUpdate(kind, count(fields, "number"), host_lists[list_number])


def _host_usage(fields: Fields) -> api.HostUsageReport:
    return api.HostUsageReport(
        zone=count(fields, "zone"),
        host=required_count(fields, "host"),
        attempts=required_count(fields, "total"),
        failed=count(fields, "unanswered"),
        latency_ms=milliseconds(fields, "lag"),
        span_ms=milliseconds(fields, "elapsed"),
        load=load_values(fields),
    )


def _slice_usage(fields: Fields) -> api.SliceUsageReport:
    return api.SliceUsageReport(
        slice=required_count(fields, "tbl"),
        request_class=count(fields, "kind"),
        requests=required_count(fields, "total"),
        unanswered=count(fields, "unanswered"),
        span_ms=milliseconds(fields, "elapsed"),
    )


def _proxy_usage(fields: Fields) -> api.ProxyUsageReport:
    return api.ProxyUsageReport(
        proxy=required_count(fields, "edge"),
        request_class=count(fields, "kind"),
        requests=required_count(fields, "total"),
        unanswered=count(fields, "unanswered"),
        span_ms=milliseconds(fields, "elapsed"),
    )


def _health_check_result(fields: Fields) -> api.HealthCheckResult:
    status = required_count(fields, "stateCode")
    return api.HealthCheckResult(
        host=required_count(fields, "host"),
        outcome=HEALTH_CHECK_OUTCOMES.get(status, api.HealthCheckOutcome.OTHER),
        latency_ms=milliseconds(fields, "lag"),
        load=load_values(fields),
    )


def _peer_message(fields: Fields) -> api.PeerMessage:
    payload = fields.get("payload", "-")
    try:
        data = b"" if payload == "-" else bytes.fromhex(payload)
    except ValueError:
        raise MalformedLineError(f"payload={payload!r} is not hexadecimal") from None
    return api.PeerMessage(required_count(fields, "by"), data)


def _stored_weight(fields: Fields) -> api.StoredWeight:
    return api.StoredWeight(
        slice=required_count(fields, "tbl"),
        host=required_count(fields, "host"),
        weight=number(fields, "weight", 1.0),
    )


def _slice_ownership(fields: Fields) -> api.SliceOwnershipChange:
    return api.SliceOwnershipChange(required_count(fields, "tbl"), boolean(fields, "on"))


def _proxy_joined(fields: Fields) -> api.ProxyJoined:
    return api.ProxyJoined(
        proxy=required_count(fields, "edge"),
        zone=count(fields, "zone"),
        requests_per_second=number(fields, "weight", 0.0),
        has_no_tables=boolean(fields, "on"),
    )


def _proxy_left(fields: Fields) -> api.ProxyLeft:
    return api.ProxyLeft(required_count(fields, "edge"))


def _version_acked(fields: Fields) -> api.VersionAcked:
    return api.VersionAcked(
        proxy=required_count(fields, "edge"),
        version=required_count(fields, "number"),
        latency_ms=milliseconds(fields, "lag"),
    )


def _timer_fired(fields: Fields) -> api.TimerFired:
    return api.TimerFired(required_count(fields, "handle"))


EVENT_DECODERS: dict[str, Callable[[Fields], api.Event]] = {
    "PROBE_DONE": _health_check_result,
    "STATS": _host_usage,
    "HEAT": _slice_usage,
    "OFFERED_LOAD": _proxy_usage,
    "HEARD": _peer_message,
    "ON_RECORD": _stored_weight,
    "TENURE": _slice_ownership,
    "ATTACHED": _proxy_joined,
    "DETACHED": _proxy_left,
    "APPLIED": _version_acked,
    "TICK_DUE": _timer_fired,
}
"""Decoders of the lines for one instance, by name, except for host lists (see `decode_host_list`)."""
