"""Encodes actions of the assigner as lines of the simulator's wire protocol. It does no I/O."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from .. import interface as api

MAX_TIMER_US = 71 * 60 * 1_000_000  # longest delay that the wire protocol allows


def microseconds(time_ms: float) -> int:
    """Return a delay in whole microseconds, limited to the range of the wire protocol."""
    return min(max(0, round(time_ms * 1000.0)), MAX_TIMER_US)


def one_line(text: str) -> str:
    """Return a text with each run of whitespace, such as line breaks and tabs, replaced by one space."""
    return " ".join(text.split())


def _set_weight(action: api.SetWeight, to: str) -> str:
    return f"SET_LINE\t{to}\ttbl={action.slice}\thost={action.host}\tweight={action.weight:g}"


def _set_admission(action: api.SetAdmission, to: str) -> str:
    retry = int(action.retry)
    return (
        f"LEVEL\t{to}\ttbl={action.slice}\tclassBits={action.request_classes}\tamount={action.amount:g}"
        f"\tonFailure={retry}"
    )


def _cordon(action: api.Cordon, to: str) -> str:
    return f"CORDON\t{to}\thost={action.host}\ton={int(action.is_cordoned)}"


def _reset_table(action: api.ResetTable, to: str) -> str:
    return f"RESET_TABLE\t{to}\ttbl={action.slice}"


def _assign_table(action: api.AssignTable, to: str) -> str:
    return f"POINT\t{to}\tedge={action.proxy}\ttbl={action.table}\tclassBits={action.request_classes}"


def _publish_version(action: api.PublishVersion, to: str) -> str:
    return f"NONCE\t{to}\tnumber={action.version}\ton={int(action.to_all_proxies)}"


def _start_timer(action: api.StartTimer, to: str) -> str:
    return f"REMIND\t{to}\tfromNow={microseconds(action.delay_ms)}\thandle={action.timer}"


def _check_health(action: api.CheckHealth, to: str) -> str:
    return f"INSPECT\t{to}\thost={action.host}"


def _watch_host_list(action: api.WatchHostList, to: str) -> str:
    return f"TAIL\t{to}\ton={int(action.is_watching)}"


def _fetch_host_list(_: api.FetchHostList, to: str) -> str:
    return f"FETCH\t{to}"


def _send_to_peer(action: api.SendToPeer, to: str) -> str:
    peer = "*" if action.peer is None else action.peer
    return f"TELL\t{to}\tdst={peer}\tpayload={action.payload.hex() or '-'}"


def _log_note(action: api.LogNote, to: str) -> str:
    return f"DEBUG\t{to}\tnoteText={one_line(action.text)}"


_ACTION_ENCODERS: dict[type, Callable[[Any, str], str]] = {
    api.SetWeight: _set_weight,
    api.SetAdmission: _set_admission,
    api.Cordon: _cordon,
    api.ResetTable: _reset_table,
    api.AssignTable: _assign_table,
    api.PublishVersion: _publish_version,
    api.StartTimer: _start_timer,
    api.CheckHealth: _check_health,
    api.WatchHostList: _watch_host_list,
    api.FetchHostList: _fetch_host_list,
    api.SendToPeer: _send_to_peer,
    api.LogNote: _log_note,
}


def encode_action(instance: int, action: api.Action) -> str:
    """Return an action of one instance as a line of the wire protocol."""
    return _ACTION_ENCODERS[type(action)](action, f"steward={instance}")
