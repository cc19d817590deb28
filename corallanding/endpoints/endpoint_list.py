"""The list of hosts, built from the rows of a source, as `HostListUpdate` events. No I/O: rows in, events out.

A row has the fields `{"host", "address", "zone", "kind", "cell", "state", "weight", "started"}`: `host` is a number,
`started` is in milliseconds of the wall clock, absent or 0 for "long ago". A host whose row is invalid keeps its last
valid entry, and the row is reported; the other rows are applied.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Annotated, Any

import msgspec

from .. import interface as api
from ..errors import ProtocolError

MAX_NAME_CHARACTERS = 40  # longest part of a received value in an error message
MAX_PORT = 65535
HOST_STATES = tuple(state.value for state in api.HostState)


class InvalidRowError(ProtocolError):
    """One row of a list is invalid; the message names the host and the field."""


ReleaseVersions = Annotated[list[Annotated[int, msgspec.Meta(ge=1, le=2**20)]], msgspec.Meta(max_length=16)]
"""The release versions of one request class that a host serves."""


class EndpointRow(msgspec.Struct, forbid_unknown_fields=False):
    """One row as received; field names are those on the wire. versions: release versions served, by request class."""

    host: Annotated[int, msgspec.Meta(ge=0, le=2**32 - 1)]
    address: str = ""
    zone: Annotated[int, msgspec.Meta(ge=0, le=65535)] = 0
    kind: Annotated[int, msgspec.Meta(ge=0, le=65535)] = 0
    cell: Annotated[int, msgspec.Meta(ge=0, le=65535)] = 0
    state: str = "up"
    weight: Annotated[float, msgspec.Meta(gt=0.0, le=1e9)] = 1.0
    started: Annotated[float, msgspec.Meta(ge=0.0, le=1e15)] = 0.0
    versions: Annotated[dict[str, ReleaseVersions], msgspec.Meta(max_length=64)] = {}


def parse_loopback_address(address: str) -> tuple[str, int]:
    """Return host and port of "127.0.0.1:7000" or "[::1]:7000". Raises ValueError on any but a loopback address."""
    name, colon, port = address.rpartition(":")
    if not colon or not port.isdigit() or not 0 <= int(port) <= MAX_PORT:
        raise ValueError(f"{address!r} is no ADDRESS:PORT")
    try:
        ip = ipaddress.ip_address(name.strip("[]"))
    except ValueError:
        raise ValueError(f"{name!r} is no IP address (a loopback address is expected)") from None
    if not ip.is_loopback:
        raise ValueError(f"{name} is not a loopback address; only 127.0.0.0/8 and ::1 are allowed")
    return str(ip), int(port)


def parse_row(raw: Any) -> EndpointRow:
    """Return one decoded row, validated. Raises `InvalidRowError`."""
    try:
        row = msgspec.convert(raw, EndpointRow)
    except msgspec.ValidationError as error:
        name = raw.get("host", "?") if isinstance(raw, dict) else raw
        raise InvalidRowError(f"entry of host {str(name)[:MAX_NAME_CHARACTERS]}: {error}") from None
    if row.state not in HOST_STATES:
        state = row.state[:MAX_NAME_CHARACTERS]
        raise InvalidRowError(f"entry of host {row.host}: state {state!r} is not one of {', '.join(HOST_STATES)}")
    if row.state != api.HostState.REMOVED:
        try:
            parse_loopback_address(row.address)
        except ValueError as error:
            raise InvalidRowError(f"entry of host {row.host}: address: {error}") from None
    return row


@dataclass
class EndpointList:
    """The list as last received; rows of new hosts beyond `max_hosts` are rejected.

    process_starts_ms: process start by host, in ms on the wall clock of the source. first_seen_starts: process start on
    this controller's clock, by host and start on the source's clock. rejected_rows: descriptions of the rows that the
    last call rejected. served_versions: release versions by request class, for hosts that report them.
    """

    max_hosts: int = 10_000
    version: int = 0
    entries: dict[int, api.HostEntry] = field(default_factory=dict)
    addresses: dict[int, str] = field(default_factory=dict)
    process_starts_ms: dict[int, float] = field(default_factory=dict)
    first_seen_starts: dict[tuple[int, float], float] = field(default_factory=dict)
    rejected_rows: list[str] = field(default_factory=list)
    hosts_ever_listed: set[int] = field(default_factory=set)
    served_versions: dict[int, dict[str, list[int]]] = field(default_factory=dict)

    def online_since(self, now: float, wall_ms: float, host: int, started_ms: float) -> float:
        """Return a process start on the controller's clock, fixed when first received, since clocks drift and step.

        Prevents a step of a wall clock from making a running process look like a new one, and limits the start to `now`
        if the clock of the source runs ahead. A start that the source corrects by a second counts as a new start.
        """
        if started_ms <= 0:
            return 0.0
        key = (host, started_ms)
        if key not in self.first_seen_starts:
            for old in [seen for seen in self.first_seen_starts if seen[0] == host]:
                del self.first_seen_starts[old]
            self.first_seen_starts[key] = max(0.0, min(now, now - (wall_ms - started_ms)))
        return self.first_seen_starts[key]

    def restore(
        self,
        now: float,
        wall_ms: float,
        version: int,
        entries: Sequence[api.HostEntry],
        addresses: dict[int, str],
        process_starts_ms: dict[int, float],
    ) -> api.HostListUpdate:
        """Load the saved list; return the first event after a start of the controller."""
        restored = []
        for saved in entries:
            since = self.online_since(now, wall_ms, saved.host, process_starts_ms.get(saved.host, 0.0))
            restored.append(
                api.HostEntry(saved.host, saved.zone, saved.kind, saved.cell, saved.state, saved.weight, since)
            )
        self.version = version
        self.entries = {entry.host: entry for entry in restored}
        self.addresses = dict(addresses)
        self.process_starts_ms = dict(process_starts_ms)
        self.hosts_ever_listed |= set(self.entries)
        return api.HostListUpdate(api.HostListKind.SAVED, version, tuple(restored))

    def apply(self, now: float, wall_ms: float, full: bool, version: int, rows: Sequence[Any]) -> api.HostListUpdate:
        """Apply a full list or a set of changes. A full list removes the hosts that it does not name."""
        self.rejected_rows = []
        self.version = version
        entries: dict[int, api.HostEntry] = {}
        invalid_hosts: set[int] = set()
        for raw in rows:
            try:
                entry = self._take_row(now, wall_ms, parse_row(raw))
            except InvalidRowError as error:
                self.rejected_rows.append(str(error))
                host = raw.get("host") if isinstance(raw, dict) else None
                if isinstance(host, int):
                    invalid_hosts.add(host)
            else:
                if entry:
                    entries[entry.host] = entry
        return self._replace(entries, invalid_hosts) if full else self._update(entries)

    def _take_row(self, now: float, wall_ms: float, row: EndpointRow) -> api.HostEntry | None:
        """Store the data of a row, and return its entry; None if there are too many hosts."""
        if row.host not in self.hosts_ever_listed and len(self.hosts_ever_listed) >= self.max_hosts:
            self.rejected_rows.append(f"entry of host {row.host}: more than {self.max_hosts} hosts")
            return None
        since = self.online_since(now, wall_ms, row.host, row.started)
        self.hosts_ever_listed.add(row.host)
        self.process_starts_ms[row.host] = row.started
        if row.address:
            self.addresses[row.host] = row.address
        if row.versions or row.host in self.served_versions:
            self.served_versions[row.host] = row.versions
        state = api.HostState(row.state)
        return api.HostEntry(row.host, row.zone, row.kind, row.cell, state, row.weight, since)

    def _replace(self, entries: dict[int, api.HostEntry], invalid_hosts: set[int]) -> api.HostListUpdate:
        """Apply a full list. A host whose row is invalid keeps its last valid entry and is not removed."""
        for host in invalid_hosts:
            if host in self.entries:
                entries.setdefault(host, self.entries[host])
        self.entries = {host: entry for host, entry in entries.items() if entry.state != api.HostState.REMOVED}
        return api.HostListUpdate(api.HostListKind.FULL, self.version, tuple(self.entries.values()))

    def _update(self, entries: dict[int, api.HostEntry]) -> api.HostListUpdate:
        """Apply a set of changes."""
        for host, entry in entries.items():
            if entry.state == api.HostState.REMOVED:
                self.entries.pop(host, None)
            else:
                self.entries[host] = entry
        return api.HostListUpdate(api.HostListKind.CHANGES, self.version, tuple(entries.values()))
