"""The state that a running controller hands over to its successor, captured between two decision steps. Does no I/O.

It covers the assigner, messages queued in the channel, connections with a partly received frame, unacknowledged
versions, usage not reported yet, and waiting joins. Times are on the controller's clock, which the successor continues.
The stored names of the fields are frozen, as is the order of fields in structs that are encoded as arrays.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec

from .. import interface as api
from ..assignment import Assigner
from ..channel import Channel
from ..load_reports.state import FeedState
from ..snapshot.assigner_state import StoredHostEntry
from .channel_state import ChannelState, capture_channel, restore_channel
from .connection_state import ConnectionState
from .engine import Engine
from .join_admission import JoinAdmission, JoinHistory
from .recorder import from_stored_item, to_stored_item
from .recovery import ControllerState, StateMismatchError, restore
from .report_aggregation import UsageKind, UsageTally


class HandoverState(msgspec.Struct):
    """Everything that is handed over, except descriptors and rankings."""

    controller: ControllerState = msgspec.field(name="state")
    message_number: int = msgspec.field(name="seq")
    last_sequence: int = msgspec.field(name="counter")
    tables: list[tuple[int, list[tuple[int, float]]]] = msgspec.field(name="tables")
    unsaved_tables: list[tuple[int, list[tuple[int, float]]]] = msgspec.field(name="unsaved")
    unsaved_resets: list[int] = msgspec.field(name="unsaved_resets")
    pending_events: list[tuple[float, int, Any]] = msgspec.field(name="inbox")
    proxy_zones: list[tuple[int, int]] = msgspec.field(name="joined")
    leaving_hosts: list[int] = msgspec.field(name="going")
    usage_due_at: float = msgspec.field(name="gather_at")
    usage_tallies: list[tuple[str, int, int, float, int, int, float]] = msgspec.field(name="tallies")
    # Number of usage reports that the rate limit allows, and the time (ms) of its last refill.
    usage_pace: tuple[float, float] = msgspec.field(name="sums")
    channel: ChannelState = msgspec.field(name="channel")
    connections: list[ConnectionState] = msgspec.field(name="links")
    join_histories: list[tuple[int, float, float]] = msgspec.field(name="habits")
    # Proxy, earliest admission (ms), sequence number.
    waiting_joins: list[tuple[int, float, int]] = msgspec.field(name="waiting")
    # Tokens of the rate limit of joins, and the time (ms) of their last refill.
    join_pace: tuple[float, float] = msgspec.field(name="pace")
    host_list_version: int = msgspec.field(name="version")
    host_entries: list[StoredHostEntry] = msgspec.field(name="entries")
    host_addresses: dict[int, str] = msgspec.field(name="addresses")
    host_starts: dict[int, float] = msgspec.field(name="starts")
    known_hosts: list[int] = msgspec.field(name="known")
    load_factors: dict[int, float] = msgspec.field(name="factors")  # derived from load reports
    load_reports: FeedState | None = msgspec.field(name="feed")
    recording: tuple[str, int] | None = msgspec.field(name="recording")  # path and size in bytes


@dataclass(frozen=True)
class HostListState:
    """The host list of this process; `process_starts_ms` are wall-clock start times of the host processes."""

    version: int
    entries: list[api.HostEntry]
    addresses: dict[int, str]
    process_starts_ms: dict[int, float]
    hosts_ever_listed: list[int]


@dataclass(frozen=True)
class HandoverExtras:
    """State beside the engine, the channel and the connections. `recording`: its path and the bytes written."""

    host_list: HostListState
    load_factors: dict[int, float]
    load_reports: FeedState | None = None
    recording: tuple[str, int] | None = None


def capture_handover(
    engine: Engine,
    controller: ControllerState,
    channel: Channel,
    connections: list[ConnectionState],
    joins: JoinAdmission,
    extras: HandoverExtras,
) -> HandoverState:
    """Return the complete state; call it between two decision steps."""
    host_list = extras.host_list
    return HandoverState(
        controller=controller,
        message_number=engine.publisher.message_number,
        last_sequence=engine.last_sequence,
        tables=_stored_tables(engine.published.tables),
        unsaved_tables=_stored_tables(engine.unsaved_tables),
        unsaved_resets=sorted(engine.unsaved_resets),
        pending_events=[
            (time_ms, sequence, to_stored_item(event)) for time_ms, sequence, event in engine.pending_events
        ],
        proxy_zones=list(engine.proxy_zones.items()),
        leaving_hosts=sorted(engine.publisher.leaving_hosts),
        usage_due_at=engine.usage_due_at,
        usage_tallies=_stored_usage(engine),
        usage_pace=(engine.usage.available_reports, engine.usage.replenished_at),
        channel=capture_channel(channel),
        connections=connections,
        join_histories=[
            (proxy, joined.last_admitted_at, joined.interval_ms) for proxy, joined in joins.histories.items()
        ],
        waiting_joins=_stored_waiting_joins(joins),
        join_pace=(joins.tokens, joins.replenished_at),
        host_list_version=host_list.version,
        host_entries=[StoredHostEntry.of(entry) for entry in host_list.entries],
        host_addresses=host_list.addresses,
        host_starts=host_list.process_starts_ms,
        known_hosts=host_list.hosts_ever_listed,
        load_factors=extras.load_factors,
        load_reports=extras.load_reports,
        recording=extras.recording,
    )


def _stored_tables(tables: dict[int, dict[int, float]]) -> list[tuple[int, list[tuple[int, float]]]]:
    return [(table, list(weights.items())) for table, weights in tables.items()]


def _stored_usage(engine: Engine) -> list[tuple[str, int, int, float, int, int, float]]:
    return [
        (*key, tally.since, tally.total, tally.failed, tally.latency_sum_ms)
        for key, tally in engine.usage.tallies.items()
    ]


def _stored_waiting_joins(joins: JoinAdmission) -> list[tuple[int, float, int]]:
    """Return the waiting proxies, without those that have cancelled."""
    return [
        (proxy, admissible_at_ms, sequence)
        for admissible_at_ms, sequence, proxy in sorted(joins.queue)
        if joins.admissible_at.get(proxy) == admissible_at_ms
    ]


def restore_handover(
    engine: Engine,
    state: HandoverState,
    channel: Channel,
    joins: JoinAdmission,
    now_ms: float,
    assigner: Assigner | None = None,
) -> None:
    """Restore the engine, channel and joins of a new process from the state of the old one.

    now_ms: on the controller's clock. assigner: set if it was already loaded from the state. Raises
    `StateMismatchError`; nothing is changed then.
    """
    stored_tables = engine.published.tables
    engine.published.tables = {table: dict(weights) for table, weights in state.tables}  # including unsaved entries
    try:
        restore(engine, state.controller, [], now_ms, have_proxies_left=False, assigner=assigner)
    except StateMismatchError:
        engine.published.tables = stored_tables
        raise
    _restore_engine(engine, state, now_ms)
    _restore_usage(engine, state)
    restore_channel(channel, state.channel)
    _restore_joins(joins, state)


def _restore_engine(engine: Engine, state: HandoverState, now_ms: float) -> None:
    engine.publisher.message_number = state.message_number
    engine.publisher.leaving_hosts = set(state.leaving_hosts)
    engine.published.assignments = {proxy: dict(assigned) for proxy, assigned in state.controller.assignments}
    engine.last_sequence = state.last_sequence + len(engine.pending_events) + len(engine.timers)
    engine.unsaved_tables = {table: dict(weights) for table, weights in state.unsaved_tables}
    engine.unsaved_resets = set(state.unsaved_resets)
    handed_over = [(time_ms, sequence, from_stored_item(raw)) for time_ms, sequence, raw in state.pending_events]
    engine.pending_events = handed_over + engine.pending_events
    engine.proxy_zones = dict(state.proxy_zones)
    engine.recall_until_ms = now_ms - 1.0  # proxies have the same tables as this process: none are requested back


def _restore_usage(engine: Engine, state: HandoverState) -> None:
    engine.usage_due_at = state.usage_due_at
    for kind, first_id, second_id, since_ms, total, failed, latency_sum_ms in state.usage_tallies:
        key = (UsageKind(kind), first_id, second_id)
        engine.usage.tallies[key] = UsageTally(since_ms, total, failed, latency_sum_ms)
    engine.usage.available_reports, engine.usage.replenished_at = state.usage_pace


def _restore_joins(joins: JoinAdmission, state: HandoverState) -> None:
    joins.histories = {proxy: JoinHistory(last, interval_ms) for proxy, last, interval_ms in state.join_histories}
    joins.admissible_at = {proxy: admissible_at_ms for proxy, admissible_at_ms, _ in state.waiting_joins}
    joins.queue = sorted((at_ms, sequence, proxy) for proxy, at_ms, sequence in state.waiting_joins)
    joins.tokens, joins.replenished_at = state.join_pace
    joins.last_sequence = max((sequence for _, _, sequence in state.waiting_joins), default=0)
