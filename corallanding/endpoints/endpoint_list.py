"""What a roster says, as the module's `HostListUpdate` events. Pure: rows and times in, events out.

A row names a host by its number: `{"host", "address", "zone", "kind", "cell", "state", "weight", "started"}`,
`started` in milliseconds of the wall clock, absent or 0 for "long ago". A row that does not parse is held at
its last good state and reported; the others count.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Annotated, Any

import msgspec

from .. import interface as api

STATES = ("up", "draining", "removed")


class InvalidRowError(Exception):
    """One entry of a list that cannot be used; it names the entry and the field."""


Versions = Annotated[list[Annotated[int, msgspec.Meta(ge=1, le=2**20)]], msgspec.Meta(max_length=16)]


class EndpointRow(msgspec.Struct, forbid_unknown_fields=False):
    host: Annotated[int, msgspec.Meta(ge=0, le=2**32 - 1)]
    address: str = ""
    zone: Annotated[int, msgspec.Meta(ge=0, le=65535)] = 0
    kind: Annotated[int, msgspec.Meta(ge=0, le=65535)] = 0
    cell: Annotated[int, msgspec.Meta(ge=0, le=65535)] = 0
    state: str = "up"
    weight: Annotated[float, msgspec.Meta(gt=0.0, le=1e9)] = 1.0
    started: Annotated[float, msgspec.Meta(ge=0.0, le=1e15)] = 0.0
    versions: Annotated[dict[str, Versions], msgspec.Meta(max_length=64)] = {}  # by operation: those that it serves


def parse_loopback_address(address: str) -> tuple[str, int]:
    """ "127.0.0.1:7000" or "[::1]:7000" as host and port. Raises ValueError on anything but loopback."""
    name, mark, port = address.rpartition(":")
    if not mark or not port.isdigit() or not 0 <= int(port) <= 65535:
        raise ValueError(f"{address!r} is no ADDRESS:PORT")
    try:
        ip = ipaddress.ip_address(name.strip("[]"))
    except ValueError:
        raise ValueError(f"{name!r} is no IP address (a loopback address is expected)") from None
    if not ip.is_loopback:
        raise ValueError(f"{name} is not a loopback address; only 127.0.0.0/8 and ::1 are allowed")
    return str(ip), int(port)


def parse_row(raw: Any) -> EndpointRow:
    try:
        row = msgspec.convert(raw, EndpointRow)
    except msgspec.ValidationError as fault:
        name = raw.get("host", "?") if isinstance(raw, dict) else raw
        raise InvalidRowError(f"entry of host {str(name)[:40]}: {fault}") from None
    if row.state not in STATES:
        raise InvalidRowError(f"entry of host {row.host}: state {row.state[:40]!r} is not one of {', '.join(STATES)}")
    if row.state != "removed":
        try:
            parse_loopback_address(row.address)
        except ValueError as fault:
            raise InvalidRowError(f"entry of host {row.host}: address: {fault}") from None
    return row


@dataclass
class EndpointList:
    """The list as last held. `hosts_most` bounds it: rows beyond are refused by name."""

    max_hosts: int = 10_000
    version: int = 0
    entries: dict[int, api.HostEntry] = field(default_factory=dict)
    addresses: dict[int, str] = field(default_factory=dict)
    process_starts_ms: dict[int, float] = field(default_factory=dict)
    first_seen_starts: dict[tuple[int, float], float] = field(default_factory=dict)
    rejected_rows: list[str] = field(default_factory=list)  # what the last call had to leave out, and why
    hosts_ever_listed: set[int] = field(default_factory=set)  # every host that was ever listed
    served_versions: dict[int, dict[str, list[int]]] = field(default_factory=dict)  # of hosts that say which they serve

    def online_since(self, now: float, wall: float, host: int, started: float) -> float:
        """A process start on the steward's clock: fixed when first heard, since clocks drift and step.

        Guards against a wall-clock step turning a standing process into a new one, and a roster whose clock
        runs ahead; would take a start that is restated by a second as a second start.
        """
        if started <= 0:
            return 0.0
        key = (host, started)
        if key not in self.first_seen_starts:
            for old in [k for k in self.first_seen_starts if k[0] == host]:
                del self.first_seen_starts[old]
            self.first_seen_starts[key] = max(0.0, min(now, now - (wall - started)))
        return self.first_seen_starts[key]

    def restore(
        self,
        now: float,
        wall: float,
        version: int,
        entries: Sequence[api.HostEntry],
        addresses: dict[int, str],
        starts: dict[int, float],
    ) -> api.HostListUpdate:
        """The saved list, as the first event of a life."""
        rows = []
        for e in entries:
            since = self.online_since(now, wall, e.host, starts.get(e.host, 0.0))
            rows.append(api.HostEntry(e.host, e.zone, e.kind, e.cell, e.state, e.weight, since))
        self.version, self.entries = version, {e.host: e for e in rows}
        self.addresses, self.process_starts_ms = dict(addresses), dict(starts)
        self.hosts_ever_listed |= set(self.entries)
        return api.HostListUpdate(api.HostListKind.SAVED, version, tuple(rows))

    def apply(self, now: float, wall: float, full: bool, version: int, rows: Sequence[Any]) -> api.HostListUpdate:
        """One list or one set of changes. A full list takes out whom it does not name."""
        self.rejected_rows, entries = [], {}
        held: set[int] = set()
        for raw in rows:
            try:
                row = parse_row(raw)
            except InvalidRowError as fault:
                self.rejected_rows.append(str(fault))
                host = raw.get("host") if isinstance(raw, dict) else None
                if isinstance(host, int):
                    held.add(host)
                continue
            if row.host not in self.hosts_ever_listed and len(self.hosts_ever_listed) >= self.max_hosts:
                self.rejected_rows.append(f"entry of host {row.host}: more than {self.max_hosts} hosts")
                continue
            since = self.online_since(now, wall, row.host, row.started)
            state = api.HostState(row.state)
            entries[row.host] = api.HostEntry(row.host, row.zone, row.kind, row.cell, state, row.weight, since)
            self.hosts_ever_listed.add(row.host)
            self.process_starts_ms[row.host] = row.started
            if row.address:
                self.addresses[row.host] = row.address
            if row.versions or row.host in self.served_versions:
                self.served_versions[row.host] = row.versions
        self.version = version
        if full:
            # A host whose entry is damaged is not gone: its last good state stands.
            for host in held:
                if host in self.entries:
                    entries.setdefault(host, self.entries[host])
            self.entries = {h: e for h, e in entries.items() if e.state != "removed"}
            return api.HostListUpdate(api.HostListKind.FULL, version, tuple(self.entries.values()))
        for host, entry in entries.items():
            if entry.state == "removed":
                self.entries.pop(host, None)
            else:
                self.entries[host] = entry
        return api.HostListUpdate(api.HostListKind.CHANGES, version, tuple(entries.values()))
