"""Answers of the platform's discovery service as `HostListUpdate` events. No I/O: answer bodies in, events out.

A host whose entry is invalid keeps its last valid entry, and the invalid one is reported; the other entries are
applied. Process start times are Unix milliseconds, the clock of the platform controller; 0 means long ago.
"""

from __future__ import annotations

from collections.abc import Container
from dataclasses import replace
from typing import Annotated, Any, NamedTuple

import msgspec

from .. import interface as api
from ..errors import ProtocolError
from ..host_names import host_number
from ..json_errors import JSON_DECODE_ERRORS

HOST_STATES = {
    "in_service": api.HostState.UP,
    "terminating": api.HostState.DRAINING,
    "terminated": api.HostState.REMOVED,
}
MAX_HOSTS = 10_000
MAX_ENTRIES = 4 * MAX_HOSTS  # in one answer, removed hosts and invalid entries included
MAX_REMOVED_HOSTS = 256  # addresses kept, for reports and health checks still in progress
MAX_QUOTED = 40  # characters of a rejected value in an error


class InvalidAnswerError(ProtocolError):
    """An answer, or an entry of one, is invalid. The current list stays in use."""


class ListEntry(msgspec.Struct):
    """One host in an answer. `name` is the field name on the wire where it differs."""

    host: str
    health: str
    address: str = msgspec.field(default="", name="dial")
    zone: str = msgspec.field(default="", name="site")
    kind: str = msgspec.field(default="", name="class")
    cell: Annotated[int, msgspec.Meta(ge=0)] = msgspec.field(default=0, name="block")
    weight: Annotated[float, msgspec.Meta(gt=0.0, le=1e9)] = msgspec.field(default=1.0, name="share")
    started_at_ms: Annotated[float, msgspec.Meta(ge=0.0, le=1e15)] = msgspec.field(default=0.0, name="born_ms")


class ListAnswer(msgspec.Struct):
    """A complete list, or changes to it. `name` is the field name on the wire where it differs."""

    version: int = msgspec.field(name="seq")
    is_complete: bool = msgspec.field(name="whole")
    hosts: list[Any]


class ListedHost(NamedTuple):
    """A parsed entry: the host and its address."""

    entry: api.HostEntry
    address: str


class HostListView:
    """The host list as last received.

    `zones` and `kinds` map names to numbers; `max_hosts` limits the list. `addresses` has the address of every known
    host, and of the last `MAX_REMOVED_HOSTS` removed ones. `rejected_entries` describes the entries of the last answer
    that were rejected, with the reason.
    """

    def __init__(self, zones: dict[str, int], kinds: dict[str, int], max_hosts: int = MAX_HOSTS) -> None:
        self.zones = zones
        self.kinds = kinds
        self.max_hosts = max_hosts
        self.version = 0
        self.entries: dict[int, api.HostEntry] = {}
        self.addresses: dict[int, str] = {}
        self.removed_hosts: dict[int, None] = {}  # hosts whose addresses are kept, oldest first
        self.rejected_entries: list[str] = []

    def decode(self, body: bytes) -> ListAnswer:
        """Parse the body of an answer. Raises InvalidAnswerError."""
        try:
            answer = msgspec.json.decode(body, type=ListAnswer)
        except JSON_DECODE_ERRORS as error:
            raise InvalidAnswerError(str(error)) from None
        if len(answer.hosts) > MAX_ENTRIES:
            raise InvalidAnswerError(f"hosts: {len(answer.hosts)} entries, at most {MAX_ENTRIES} are allowed")
        return answer

    def parse_entry(self, raw: Any) -> ListedHost:
        """Parse one entry. Raises InvalidAnswerError, whose message names the host and the field."""
        try:
            entry = msgspec.convert(raw, ListEntry)
            host = host_number(entry.host)
        except (msgspec.ValidationError, ValueError) as error:
            name = raw.get("host", "?") if isinstance(raw, dict) else raw
            raise InvalidAnswerError(f"entry of host {str(name)[:MAX_QUOTED]}: {error}") from None
        self._check_names(entry)
        return ListedHost(
            api.HostEntry(
                host=host,
                zone=self.zones.get(entry.zone, 0),
                kind=self.kinds.get(entry.kind, 0),
                cell=entry.cell,
                state=HOST_STATES[entry.health],
                weight=entry.weight,
                online_since=entry.started_at_ms,
            ),
            entry.address,
        )

    def _check_names(self, entry: ListEntry) -> None:
        """Raise InvalidAnswerError on an unknown name; zone and kind of a removed host are not checked."""
        known_names: list[tuple[str, str, Container[str]]] = [("health", entry.health, HOST_STATES)]
        if entry.health != "terminated":
            known_names += [("site", entry.zone, self.zones), ("class", entry.kind, self.kinds)]
        for field, value, known in known_names:
            if value not in known:
                raise InvalidAnswerError(f"entry of host {entry.host}: {field}={value[:MAX_QUOTED]!r} is unknown")

    def last_good_entry(self, raw: Any) -> api.HostEntry | None:
        """Return the last valid entry of the host that an invalid entry names; None if the host is unknown.

        A draining or removed state in the invalid entry is applied, so that no drain is delayed until the entry is
        corrected.
        """
        fields = raw if isinstance(raw, dict) else {}
        name = fields.get("host")
        if not isinstance(name, str):
            return None
        try:
            entry = self.entries.get(host_number(name))
        except ValueError:
            return None
        health = fields.get("health")
        if entry and health in ("terminating", "terminated"):
            return replace(entry, state=HOST_STATES[health])
        return entry

    def apply(self, answer: ListAnswer, kind: api.HostListKind | None = None) -> api.HostListUpdate | None:
        """Apply an answer and return the event; None if nothing has changed.

        `kind` replaces the kind stated in the answer, for the list that was saved before the start.
        """
        if kind is None:
            kind = api.HostListKind.FULL if answer.is_complete else api.HostListKind.CHANGES
        kept_hosts: set[int] = set()  # known hosts whose entries are invalid
        entries = self._valid_entries(answer.hosts, kept_hosts)
        self.version = answer.version
        hosts_before = set(self.entries)
        if kind is api.HostListKind.CHANGES:
            if not entries:
                return None
            self.entries.update(entries)
        else:
            kept = {host: self.entries[host] for host in kept_hosts if host in self.entries}
            self.entries = {**kept, **entries}
        self.entries = {host: entry for host, entry in self.entries.items() if entry.state != api.HostState.REMOVED}
        self.limit_removed_hosts(hosts_before | set(entries))
        listed = entries if kind is api.HostListKind.CHANGES else self.entries
        return api.HostListUpdate(kind, answer.version, tuple(listed.values()))

    def _valid_entries(self, rows: list[Any], kept_hosts: set[int]) -> dict[int, api.HostEntry]:
        """Return the valid entries of an answer by host; add known hosts with invalid rows to `kept_hosts`."""
        self.rejected_entries = []
        entries: dict[int, api.HostEntry] = {}
        for raw in rows:
            try:
                entry, address = self.parse_entry(raw)
            except InvalidAnswerError as error:
                self.rejected_entries.append(str(error))
                if last_good := self.last_good_entry(raw):
                    kept_hosts.add(last_good.host)
                    if last_good is not self.entries[last_good.host]:
                        entries[last_good.host] = last_good
                continue
            if entry.host not in self.entries and len(self.entries) + len(entries) >= self.max_hosts:
                self.rejected_entries.append(f"more than {self.max_hosts} hosts")
                continue
            entries[entry.host] = entry
            if address:
                self.addresses[entry.host] = address
            self.addresses.setdefault(entry.host, "")
        return entries

    def limit_removed_hosts(self, hosts: set[int]) -> None:
        """Limit the kept addresses of removed `hosts`, since new host ids appear as long as the controller runs."""
        for host in self.entries:
            self.removed_hosts.pop(host, None)
        for host in sorted(hosts - set(self.entries)):
            self.removed_hosts[host] = None
        while len(self.removed_hosts) > MAX_REMOVED_HOSTS:
            oldest = next(iter(self.removed_hosts))
            del self.removed_hosts[oldest]
            self.addresses.pop(oldest, None)
