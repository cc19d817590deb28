"""All that a running steward hands to its successor, as values. Pure: between two steps, with nothing on its way.

The module, what the channel holds, links with half a frame, unacked marks, sums not yet told, joins that wait. Times
stand on the steward's clock, which goes on.
"""

from __future__ import annotations

from collections import deque
from typing import Any

import msgspec

from .. import interface as api
from ..assignment import Assigner
from ..channel.core import Channel, Message, Port
from ..load_reports.state import FeedState
from ..snapshot.assigner_state import StoredHostEntry
from ..wire.frames import Hello, Orders
from ..wire.link import Link
from .engine import Engine
from .join_admission import JoinAdmission, JoinHistory
from .recorder import pack, unpack
from .recovery import ControllerState, StateMismatchError, restore
from .report_aggregation import UsageKind, UsageTally


class ConnectionState(msgspec.Struct, array_like=True):
    """One connection; its descriptor comes beside, in the same order."""

    began: float
    hello: Hello | None
    is_joined: bool
    is_write_paused: bool
    heard: float
    marks: list[tuple[int, float]]
    recalled: bool
    allowance: float
    flow: float
    counted: float
    held: bytes  # the frame that has come in part
    heartbeat_sent_at: float


class MessageState(msgspec.Struct, array_like=True):
    frame: bytes
    lines: int
    mark: int
    at: float
    orders: Orders | None


class PortState(msgspec.Struct, array_like=True):
    forwarder: int
    urgent: list[int]  # messages by their place
    plain: list[int]
    turns: int
    sent: list[float]
    blocked: bool


class ChannelState(msgspec.Struct):
    messages: list[MessageState] = msgspec.field(name="messages")
    ports: list[PortState] = msgspec.field(name="ports")
    turns: tuple[list[int], list[int]] = msgspec.field(name="turns")  # forwarders
    free_at: float = msgspec.field(name="free_at")
    most: float = msgspec.field(name="most")


class HandoverState(msgspec.Struct):
    controller: ControllerState = msgspec.field(name="state")
    seq: int = msgspec.field(name="seq")
    last_sequence: int = msgspec.field(name="counter")
    tables: list[tuple[int, list[tuple[int, float]]]] = msgspec.field(name="tables")
    unsaved_tables: list[tuple[int, list[tuple[int, float]]]] = msgspec.field(name="unsaved")
    unsaved_resets: list[int] = msgspec.field(name="unsaved_resets")
    pending_events: list[tuple[float, int, Any]] = msgspec.field(name="inbox")
    proxy_zones: list[tuple[int, int]] = msgspec.field(name="joined")
    leaving_hosts: list[int] = msgspec.field(name="going")
    usage_due_at: float = msgspec.field(name="gather_at")
    usage_tallies: list[tuple[str, int, int, float, int, int, float]] = msgspec.field(name="tallies")
    usage_pace: tuple[float, float] = msgspec.field(name="sums")  # what the intake may still take, and since when
    channel: ChannelState = msgspec.field(name="channel")
    connections: list[ConnectionState] = msgspec.field(name="links")
    join_histories: list[tuple[int, float, float]] = msgspec.field(name="habits")
    waiting_joins: list[tuple[int, float, int]] = msgspec.field(
        name="waiting"
    )  # forwarder, not before, order of coming
    join_pace: tuple[float, float] = msgspec.field(name="pace")  # of joins: what may still go, and since when
    host_list_version: int = msgspec.field(name="version")
    host_entries: list[StoredHostEntry] = msgspec.field(name="entries")
    host_addresses: dict[int, str] = msgspec.field(name="addresses")
    host_starts: dict[int, float] = msgspec.field(name="starts")
    known_hosts: list[int] = msgspec.field(name="known")
    load_factors: dict[int, float] = msgspec.field(name="factors")  # of load reports, as the module was told them
    load_reports: FeedState | None = msgspec.field(name="feed")
    recording: tuple[str, int] | None = msgspec.field(name="recording")  # its file, and the bytes in it


def capture_channel(c: Channel) -> ChannelState:
    messages: dict[Message, int] = {}
    ports = []
    for p in c.ports.values():
        rows = [[messages.setdefault(m, len(messages)) for m in row] for row in (p.urgent, p.plain)]
        ports.append(PortState(p.forwarder, rows[0], rows[1], p.turns, list(p.sent), p.blocked))
    turns = tuple([p.forwarder for p in row if c.ports.get(p.forwarder) is p] for row in c.turns)
    return ChannelState(
        [MessageState(m.frame, m.lines, m.mark, m.at, m.orders) for m in messages],
        ports,
        (turns[0], turns[1]),
        c.free_at,
        c.most,
    )


def restore_channel(c: Channel, s: ChannelState) -> None:
    """Into a channel that is new. What had its turn and waited for a socket or the cap is looked at at once."""
    messages = [Message(m.frame, m.lines, m.mark, m.at, m.orders) for m in s.messages]
    c.ports, c.ready = {}, deque()
    for row in s.ports:
        p = Port(row.forwarder, deque(messages[n] for n in row.urgent), deque(messages[n] for n in row.plain))
        p.turns, p.sent, p.blocked = row.turns, deque(row.sent), row.blocked
        for m in (*p.urgent, *p.plain):
            m.left += 1
            p.lines += c.cost(m)
        c.ports[p.forwarder] = p
        if p.turns and not p.blocked:
            c.ready.append(p)
    c.waiting = sum(p.lines for p in c.ports.values())
    c.turns = (deque(c.ports[f] for f in s.turns[0]), deque(c.ports[f] for f in s.turns[1]))
    c.free_at, c.most = s.free_at, s.most


def capture_connection(k: Link, joined: bool, paused: bool, beat_at: float) -> ConnectionState:
    return ConnectionState(
        k.now,
        k.hello,
        joined,
        paused,
        k.heard,
        list(k.marks),
        k.recalled,
        k.allowance,
        k.flow,
        k.counted,
        bytes(k.reader.held),
        beat_at,
    )


def restore_connection(k: Link, s: ConnectionState) -> None:
    k.now, k.hello, k.heard, k.marks = s.began, s.hello, s.heard, deque((m, at) for m, at in s.marks)
    k.recalled, k.allowance, k.flow, k.counted = s.recalled, s.allowance, s.flow, s.counted
    k.reader.held = bytearray(s.held)


def capture_handover(
    e: Engine,
    state: ControllerState,
    channel: Channel,
    links: list[ConnectionState],
    joins: JoinAdmission,
    roster: tuple[int, list[api.HostEntry], dict[int, str], dict[int, float], list[int]],
    factors: dict[int, float],
    feed: FeedState | None,
    recording: tuple[str, int] | None = None,
) -> HandoverState:
    g = e.usage
    version, entries, addresses, starts, known = roster
    return HandoverState(
        state,
        e.publisher.message_number,
        e.last_sequence,
        [(t, list(row.items())) for t, row in e.published.tables.items()],
        [(t, list(row.items())) for t, row in e.unsaved_tables.items()],
        sorted(e.unsaved_resets),
        [(at, n, pack(x)) for at, n, x in e.pending_events],
        list(e.proxy_zones.items()),
        sorted(e.publisher.leaving_hosts),
        e.usage_due_at,
        [(*key, t.since, t.total, t.failed, t.latency_sum_ms) for key, t in g.tallies.items()],
        (g.available_reports, g.replenished_at),
        capture_channel(channel),
        links,
        [(f, h.last_admitted_at, h.interval_ms) for f, h in joins.histories.items()],
        [(f, at, n) for at, n, f in sorted(joins.queue) if joins.admissible_at.get(f) == at],
        (joins.tokens, joins.replenished_at),
        version,
        [StoredHostEntry.of(entry) for entry in entries],
        addresses,
        starts,
        known,
        factors,
        feed,
        recording,
    )


def restore_handover(
    e: Engine, h: HandoverState, channel: Channel, joins: JoinAdmission, now: float, module: Assigner | None = None
) -> None:
    """Puts a new process's engine, channel and joins where the old one's were. Raises `Unfit`, nothing touched."""
    stored = e.published.tables
    e.published.tables = {t: dict(row) for t, row in h.tables}  # what is not kept yet, too
    try:
        restore(e, h.controller, [], now, False, module)
    except StateMismatchError:
        e.published.tables = stored
        raise
    e.publisher.message_number, e.last_sequence = h.seq, h.last_sequence + len(e.pending_events) + len(e.timers)
    e.published.assignments = {f: dict(rows) for f, rows in h.controller.assignments}
    e.unsaved_tables, e.unsaved_resets = {t: dict(row) for t, row in h.unsaved_tables}, set(h.unsaved_resets)
    e.pending_events = [(at, n, unpack(x)) for at, n, x in h.pending_events] + e.pending_events
    e.proxy_zones, e.publisher.leaving_hosts, e.usage_due_at = dict(h.proxy_zones), set(h.leaving_hosts), h.usage_due_at
    e.recall_until = now - 1.0  # established links hold what this process has
    for kind, first, second, since, total, failed, latency_sum_ms in h.usage_tallies:
        key = (UsageKind(kind), first, second)
        e.usage.tallies[key] = UsageTally(since, total, failed, latency_sum_ms)
    e.usage.available_reports, e.usage.replenished_at = h.usage_pace
    restore_channel(channel, h.channel)
    joins.histories = {f: JoinHistory(last, wait) for f, last, wait in h.join_histories}
    joins.admissible_at = {f: at for f, at, _ in h.waiting_joins}
    joins.queue = sorted((at, n, f) for f, at, n in h.waiting_joins)
    joins.tokens, joins.replenished_at = h.join_pace
    joins.last_sequence = max((n for _, _, n in h.waiting_joins), default=0)
