"""Encodes the decisions of the engine as frames for proxies. Pure.

The publisher holds the tables as last published, numbers the messages, and caches the frame with all tables, which
is sent to every proxy that joins between two changes.
"""

from __future__ import annotations

from collections.abc import Container, Sequence
from dataclasses import dataclass, field

from .. import interface as api
from ..channel.merge import cost_lines
from ..wire import frames
from .step_outputs import NO_VERSION, SendFrame

TableEntry = tuple[int, int, float]  # table, host, weight


@dataclass
class PublishedTables:
    """The tables as last published: the state that a joining proxy receives."""

    tables: dict[int, dict[int, float]] = field(default_factory=dict)  # weight by table and host
    # (amount, retry) by (table, bits of request classes)
    admissions: dict[tuple[int, int], tuple[float, int]] = field(default_factory=dict)
    cordoned_hosts: set[int] = field(default_factory=set)
    assignments: dict[int, dict[int, int]] = field(default_factory=dict)  # bits of request classes by proxy and table


@dataclass
class TableChanges:
    """The changes by the actions of one step, for the messages to proxies."""

    weights: dict[tuple[int, int], float] = field(default_factory=dict)  # weight by (table, host)
    resets: list[int] = field(default_factory=list)
    admissions: list[frames.LevelRow] = field(default_factory=list)
    cordons: list[tuple[int, bool]] = field(default_factory=list)
    assignments: dict[int, list[tuple[int, int]]] = field(default_factory=dict)  # (table, bits) by proxy
    version: int = NO_VERSION
    to_all_proxies: bool = False

    def entries(self) -> list[TableEntry]:
        """Return the changed table entries."""
        return [(table, host, weight) for (table, host), weight in self.weights.items()]

    def needs_message(self) -> bool:
        """Return whether any proxy must receive a message."""
        has_changes = self.weights or self.resets or self.admissions or self.cordons or self.assignments
        return bool(has_changes) or (self.version >= 0 and self.to_all_proxies)


@dataclass(frozen=True)
class ProxyChanges:
    """The part of a step's changes that concerns one proxy; equal parts share one frame."""

    entries: tuple[TableEntry, ...]
    resets: tuple[int, ...]
    admissions: tuple[frames.LevelRow, ...]
    assignments: tuple[tuple[int, int], ...]

    def is_empty(self) -> bool:
        """Return whether nothing concerns the proxy."""
        return not (self.entries or self.resets or self.admissions or self.assignments)


def is_urgent(
    entries: Sequence[TableEntry], cordons: Sequence[tuple[int, bool]], leaving_hosts: Container[int]
) -> bool:
    """Return whether a message removes a host from a table at once, because it failed, is draining or is cordoned.

    Such a host is draining or removed in the host list, or is replaced in a single step: an ordinary move keeps the
    previous owner in the table until proxies have acknowledged the new version.
    """
    if any(is_cordoned for _, is_cordoned in cordons):
        return True
    gaining = {table for table, _, weight in entries if weight > 0}
    return any(weight <= 0 and (host in leaving_hosts or table in gaining) for table, host, weight in entries)


class Publisher:
    """Builds frames from the published tables.

    `addresses` maps a host to "ip:port" and is shared with the host list.
    """

    def __init__(self, settings: api.Settings, addresses: dict[int, str]) -> None:
        self.settings = settings
        self.addresses = addresses
        self.published = PublishedTables()
        self.message_number = 0
        self.leaving_hosts: set[int] = set()  # hosts that are draining or removed in the host list
        self._tables_frame: tuple[int, bytes] | None = None  # message number, frame with all tables

    def on_host_list(self, update: api.HostListUpdate) -> None:
        """Record which hosts are draining or removed in the host list."""
        for entry in update.entries:
            if entry.state == api.HostState.UP:
                self.leaving_hosts.discard(entry.host)
            else:
                self.leaving_hosts.add(entry.host)

    def drop_cached_frame(self) -> None:
        """Drop the cached frame with all tables, because they have changed."""
        self._tables_frame = None

    def tables_frame(self, proxy: int, owned_slices: set[int]) -> bytes:
        """Return one frame with the full state for a joining proxy."""
        assignments = self.published.assignments.get(proxy, {})
        if not assignments and self._tables_frame and self._tables_frame[0] == self.message_number:
            return self._tables_frame[1]
        tables = self._tables_of(assignments, owned_slices)
        rows = [(table, sorted(weights.items())) for table, weights in sorted(tables.items())]
        frame = frames.encode(
            frames.Tables(
                self.message_number,
                rows,
                [(table, bits, amount, retry) for (table, bits), (amount, retry) in self.published.admissions.items()],
                sorted(self.published.cordoned_hosts),
                self._addresses_of(rows),
                list(assignments.items()),
            )
        )
        if not assignments:
            self._tables_frame = (self.message_number, frame)
        return frame

    def _tables_of(self, assignments: dict[int, int], owned_slices: set[int]) -> dict[int, dict[int, float]]:
        """Return the tables that a proxy with these assignments uses."""
        tables = self.published.tables
        if not self.settings.slice_count:
            return {table: tables.get(table, {}) for table in assignments}
        if any(slice_number not in tables for slice_number in owned_slices):
            return {slice_number: tables.get(slice_number, {}) for slice_number in sorted(owned_slices)}
        return tables

    def _addresses_of(self, rows: list[tuple[int, list[tuple[int, float]]]]) -> dict[int, str]:
        """Return the known addresses of all hosts in the rows of some tables."""
        hosts = {host for _, entries in rows for host, _ in entries}
        return {host: self.addresses[host] for host in sorted(hosts) if host in self.addresses}

    def gained_slices_message(self, slices: list[int], proxies: tuple[int, ...]) -> SendFrame:
        """Return a message that replaces the tables of some slices at proxies by the published ones."""
        self.message_number += 1
        tables = self.published.tables
        rows = [(slice_number, sorted(tables.get(slice_number, {}).items())) for slice_number in slices]
        frame = frames.Tables(self.message_number, rows, addresses=self._addresses_of(rows), only_slices=slices)
        cost_lines = sum(1 + len(entries) for _, entries in rows)
        return SendFrame(frames.encode(frame), cost_lines, NO_VERSION, proxies)

    def lost_slices_message(self, slices: list[int], proxies: tuple[int, ...]) -> SendFrame:
        """Return a message that this controller no longer owns some slices."""
        self.message_number += 1
        return self._orders_message(frames.Orders(self.message_number, withdrawn_slices=slices), proxies)

    def addresses_message(self, hosts: Sequence[int], proxies: tuple[int, ...]) -> SendFrame | None:
        """Return a message with new addresses of hosts; None if no table names them, or no proxy has joined."""
        named = {host for weights in self.published.tables.values() for host in weights}
        moved = {host: self.addresses[host] for host in hosts if host in named}
        if not moved or not proxies:
            return None
        self.message_number += 1
        frame = frames.encode(frames.Orders(self.message_number, addresses=moved))
        return SendFrame(frame, len(moved), NO_VERSION, proxies)

    def step_messages(self, changes: TableChanges, proxies: tuple[int, ...]) -> list[SendFrame]:
        """Return the messages of a step to the proxies that it concerns; proxies with equal changes share a frame."""
        if not changes.needs_message():
            return []
        self.message_number += 1
        if self.settings.slice_count:
            if not proxies:
                return []
            return [self._changes_message(changes, self._all_changes(changes), proxies)]
        groups: dict[ProxyChanges, list[int]] = {}
        for proxy in proxies:
            part = self._changes_for(proxy, changes)
            if not part.is_empty() or changes.cordons or changes.to_all_proxies:
                groups.setdefault(part, []).append(proxy)
        return [self._changes_message(changes, part, tuple(members)) for part, members in groups.items()]

    def _all_changes(self, changes: TableChanges) -> ProxyChanges:
        """Return the changes for every proxy of a site with slices."""
        return ProxyChanges(tuple(changes.entries()), tuple(changes.resets), tuple(changes.admissions), ())

    def _changes_for(self, proxy: int, changes: TableChanges) -> ProxyChanges:
        """Return the changes for one proxy of a site without slices; a newly assigned table is sent in full."""
        tables = self.published.assignments.get(proxy, {})
        assigned = tuple(changes.assignments.get(proxy, ()))
        full = {
            (table, host, weight)
            for table, _ in assigned
            for host, weight in self.published.tables.get(table, {}).items()
        }
        in_full = {entry[:2] for entry in full}
        changed = [entry for entry in changes.entries() if entry[0] in tables and entry[:2] not in in_full]
        return ProxyChanges(
            (*changed, *sorted(full)),
            tuple(table for table in changes.resets if table in tables),
            tuple(row for row in changes.admissions if row[0] == api.ALL_TABLES or row[0] in tables),
            assigned,
        )

    def _changes_message(self, changes: TableChanges, part: ProxyChanges, proxies: tuple[int, ...]) -> SendFrame:
        orders = frames.Orders(
            self.message_number,
            changes.version,
            list(part.resets),
            list(part.entries),
            list(part.admissions),
            list(changes.cordons),
            list(part.assignments),
            {host: self.addresses[host] for _, host, weight in part.entries if weight > 0 and host in self.addresses},
        )
        return self._orders_message(orders, proxies)

    def _orders_message(self, orders: frames.Orders, proxies: tuple[int, ...]) -> SendFrame:
        return SendFrame(
            frames.encode(orders),
            cost_lines(orders),
            orders.version,
            proxies,
            orders,
            is_urgent(orders.lines, orders.cordons, self.leaving_hosts),
        )
