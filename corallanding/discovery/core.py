"""What the platform's discovery says, as the module's `HostListUpdate` events. Pure: bodies of answers in, events out.

An entry that cannot be used is held at its last good state and named in `bad`; the others count. Starts come in Unix
milliseconds, which is the clock of this front; 0 is long ago.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Annotated, Any

import msgspec

from .. import interface as api
from ..host_names import number
from ..json_errors import JSON_DECODE_ERRORS

STATES = {
    "in_service": api.HostState.UP,
    "terminating": api.HostState.DRAINING,
    "terminated": api.HostState.REMOVED,
}
GONE_MOST = 256  # hosts that left whose addresses are still known: a report or a probe may be under way


class BadAnswer(Exception):
    """An answer that is none. The list held stays in force."""


class Entry(msgspec.Struct):
    host: str
    health: str
    dial: str = ""
    site: str = ""
    kind: str = msgspec.field(default="", name="class")
    block: Annotated[int, msgspec.Meta(ge=0)] = 0
    share: Annotated[float, msgspec.Meta(gt=0.0, le=1e9)] = 1.0
    born_ms: Annotated[float, msgspec.Meta(ge=0.0, le=1e15)] = 0.0


class Answer(msgspec.Struct):
    seq: int
    whole: bool
    hosts: list[Any]


class View:
    """zones, kinds: names to places. hosts_most bounds the list. `dials`: the address of every host that is known."""

    def __init__(self, zones: dict[str, int], kinds: dict[str, int], hosts_most: int = 10_000) -> None:
        self.zones, self.kinds, self.hosts_most = zones, kinds, hosts_most
        self.version = 0
        self.entries: dict[int, api.HostEntry] = {}
        self.dials: dict[int, str] = {}
        self.gone: dict[int, None] = {}
        self.bad: list[str] = []

    def decode(self, body: bytes) -> Answer:
        """Raises BadAnswer."""
        try:
            return msgspec.json.decode(body, type=Answer)
        except JSON_DECODE_ERRORS as fault:
            raise BadAnswer(str(fault)) from None

    def entry(self, raw: Any) -> tuple[api.HostEntry, str]:
        try:
            e = msgspec.convert(raw, Entry)
            host = number(e.host)
        except (msgspec.ValidationError, ValueError) as fault:
            said = raw.get("host", "?") if isinstance(raw, dict) else raw
            raise BadAnswer(f"entry of host {str(said)[:40]}: {fault}") from None
        named = (("health", e.health, STATES), ("site", e.site, self.zones), ("class", e.kind, self.kinds))
        for key, value, known in named[:1] if e.health == "terminated" else named:
            if value not in known:
                raise BadAnswer(f"entry of host {e.host}: {key}={value[:40]!r} is unknown")
        zone, kind = self.zones.get(e.site, 0), self.kinds.get(e.kind, 0)
        return api.HostEntry(host, zone, kind, e.block, STATES[e.health], e.share, e.born_ms), e.dial

    def damaged(self, raw: Any) -> api.HostEntry | None:
        """The host of an entry that cannot be used, at its last good state; but where it says that the host leaves,
        this is readable, and counts: no drain waits for an entry to be mended. None for a host that is not known."""
        said = raw if isinstance(raw, dict) else {}
        try:
            entry = self.entries.get(number(said["host"])) if isinstance(said.get("host"), str) else None
        except ValueError:
            return None
        leaves = said.get("health") in ("terminating", "terminated")
        return replace(entry, state=STATES[said["health"]]) if entry and leaves else entry

    def take(self, answer: Answer, form: api.HostListKind | None = None) -> api.HostListUpdate | None:
        """form: if it is not for the answer to say. None where nothing has changed."""
        self.bad, entries, held = [], dict[int, api.HostEntry](), set[int]()
        for raw in answer.hosts:
            try:
                e, dial = self.entry(raw)
            except BadAnswer as fault:
                self.bad.append(str(fault))
                if known := self.damaged(raw):
                    held.add(known.host)
                    if known is not self.entries[known.host]:
                        entries[known.host] = known
                continue
            if e.host not in self.entries and len(self.entries) + len(entries) >= self.hosts_most:
                self.bad.append(f"more than {self.hosts_most} hosts")
                continue
            entries[e.host] = e
            if dial:
                self.dials[e.host] = dial
            self.dials.setdefault(e.host, "")
        self.version = answer.seq
        form = form or (api.HostListKind.FULL if answer.whole else api.HostListKind.CHANGES)
        before = set(self.entries)
        if form is api.HostListKind.CHANGES:
            if not entries:
                return None
            self.entries.update(entries)
        else:
            # A host whose entry is damaged is not gone: its last good state stands.
            self.entries = {**{h: self.entries[h] for h in held if h in self.entries}, **entries}
        self.entries = {h: e for h, e in self.entries.items() if e.state != "removed"}
        self.forget(before | set(entries))
        rows = entries if form is api.HostListKind.CHANGES else self.entries
        return api.HostListUpdate(form, answer.seq, tuple(rows.values()))

    def forget(self, seen: set[int]) -> None:
        """Addresses of hosts that left are kept for the last few only: new ids come for as long as the steward runs."""
        for host in self.entries:
            self.gone.pop(host, None)
        for host in sorted(seen - set(self.entries)):
            self.gone[host] = None
        while len(self.gone) > GONE_MOST:
            oldest = next(iter(self.gone))
            del self.gone[oldest]
            self.dials.pop(oldest, None)
