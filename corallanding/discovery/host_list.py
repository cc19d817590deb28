"""Answers of the platform's discovery service as `HostListUpdate` events. Pure: bodies of answers in, events out.

An entry that cannot be used is kept at its last good state and reported; the others count. Process starts come in Unix
milliseconds, which is the clock of the platform controller; 0 means long ago.
"""

from __future__ import annotations

from collections.abc import Container
from dataclasses import replace
from typing import Annotated, Any, NamedTuple

import msgspec

from .. import interface as api
from ..errors import ProtocolError
from ..host_names import number
from ..json_errors import JSON_DECODE_ERRORS

HOST_STATES = {
    "in_service": api.HostState.UP,
    "terminating": api.HostState.DRAINING,
    "terminated": api.HostState.REMOVED,
}
MAX_HOSTS = 10_000
MAX_DEPARTED_HOSTS = 256  # whose addresses are still kept: a report or a health check may be under way
MAX_QUOTED = 40  # characters of a rejected value in an error


class InvalidAnswerError(ProtocolError):
    """An answer, or an entry of one, that cannot be used. The list in force stays."""


class ListEntry(msgspec.Struct):
    """One host in an answer; the field names on the wire stand in quotes."""

    host: str
    health: str
    address: str = msgspec.field(default="", name="dial")
    zone: str = msgspec.field(default="", name="site")
    kind: str = msgspec.field(default="", name="class")
    cell: Annotated[int, msgspec.Meta(ge=0)] = msgspec.field(default=0, name="block")
    weight: Annotated[float, msgspec.Meta(gt=0.0, le=1e9)] = msgspec.field(default=1.0, name="share")
    started_at_ms: Annotated[float, msgspec.Meta(ge=0.0, le=1e15)] = msgspec.field(default=0.0, name="born_ms")


class ListAnswer(msgspec.Struct):
    """A list, or changes of it; the field names on the wire stand in quotes."""

    version: int = msgspec.field(name="seq")
    is_complete: bool = msgspec.field(name="whole")
    hosts: list[Any]


class ListedHost(NamedTuple):
    """A parsed entry: the host and its address."""

    entry: api.HostEntry
    address: str


class HostListView:
    """The host list as last received.

    `zones` and `kinds` map names to numbers; `max_hosts` bounds the list. `addresses` has the address of every known
    host, also of the last `MAX_DEPARTED_HOSTS` that left. `rejected_entries` says which entries of the last answer were
    left out, and why.
    """

    def __init__(self, zones: dict[str, int], kinds: dict[str, int], max_hosts: int = MAX_HOSTS) -> None:
        self.zones = zones
        self.kinds = kinds
        self.max_hosts = max_hosts
        self.version = 0
        self.entries: dict[int, api.HostEntry] = {}
        self.addresses: dict[int, str] = {}
        self.departed: dict[int, None] = {}  # the oldest first
        self.rejected_entries: list[str] = []

    def decode(self, body: bytes) -> ListAnswer:
        """Parse the body of an answer. Raises InvalidAnswerError."""
        try:
            return msgspec.json.decode(body, type=ListAnswer)
        except JSON_DECODE_ERRORS as error:
            raise InvalidAnswerError(str(error)) from None

    def parse_entry(self, raw: Any) -> ListedHost:
        """Parse one entry. Raises InvalidAnswerError, which names the host and the field."""
        try:
            entry = msgspec.convert(raw, ListEntry)
            host = number(entry.host)
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
        """Raise InvalidAnswerError on an unknown name; zone and kind of a host that is gone do not matter."""
        known_names: list[tuple[str, str, Container[str]]] = [("health", entry.health, HOST_STATES)]
        if entry.health != "terminated":
            known_names += [("site", entry.zone, self.zones), ("class", entry.kind, self.kinds)]
        for field, value, known in known_names:
            if value not in known:
                raise InvalidAnswerError(f"entry of host {entry.host}: {field}={value[:MAX_QUOTED]!r} is unknown")

    def last_good_entry(self, raw: Any) -> api.HostEntry | None:
        """Return the host of an entry that cannot be used, at its last good state; None for one that is not known.

        If the damaged entry says that the host leaves, that is believed: no drain waits for an entry to be corrected.
        """
        fields = raw if isinstance(raw, dict) else {}
        name = fields.get("host")
        if not isinstance(name, str):
            return None
        try:
            entry = self.entries.get(number(name))
        except ValueError:
            return None
        health = fields.get("health")
        if entry and health in ("terminating", "terminated"):
            return replace(entry, state=HOST_STATES[health])
        return entry

    def apply(self, answer: ListAnswer, kind: api.HostListKind | None = None) -> api.HostListUpdate | None:
        """Take an answer and return the event; None if nothing has changed.

        `kind` is given where the answer does not say it: for the list that was saved before the start.
        """
        if kind is None:
            kind = api.HostListKind.FULL if answer.is_complete else api.HostListKind.CHANGES
        kept_hosts: set[int] = set()  # of entries that cannot be used
        entries = self._usable_entries(answer.hosts, kept_hosts)
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
        self.forget_departed(hosts_before | set(entries))
        listed = entries if kind is api.HostListKind.CHANGES else self.entries
        return api.HostListUpdate(kind, answer.version, tuple(listed.values()))

    def _usable_entries(self, rows: list[Any], kept_hosts: set[int]) -> dict[int, api.HostEntry]:
        """Parse the rows of an answer; adds to `kept_hosts` the known hosts whose rows cannot be used."""
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

    def forget_departed(self, hosts: set[int]) -> None:
        """Keep the addresses of the last few of `hosts` that left: new ids come for as long as the controller runs."""
        for host in self.entries:
            self.departed.pop(host, None)
        for host in sorted(hosts - set(self.entries)):
            self.departed[host] = None
        while len(self.departed) > MAX_DEPARTED_HOSTS:
            oldest = next(iter(self.departed))
            del self.departed[oldest]
            self.addresses.pop(oldest, None)
