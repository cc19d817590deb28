"""What the relay tells: proxies joined and left, marks applied, slices in charge and their lines. Pure.

A connection with news says first what stands, without an end mark; the owner says when it holds that for whole
(`settled`). What stood before and is not said again is gone; what is said again unchanged is no event.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from .. import interface as api
from ..host_names import number
from ..json_errors import JSON_DECODE_ERRORS

TableOrder = api.SetWeight | api.ResetTable


class Notice(msgspec.Struct):
    method: str = ""
    params: dict[str, Any] = {}
    result: Any = None
    id: Any = None
    error: Any = None


class BadNews(Exception):
    """A line of news that cannot be used; the text names it."""


decoder = msgspec.json.Decoder(Notice)


@dataclass
class Standing:
    """What a connection said so far of what stands. since: orders confirmed while it did, which what it said of their
    slices may or may not hold already."""

    proxies: dict[int, api.ProxyJoined] = field(default_factory=dict)
    tables: dict[int, dict[int, float]] = field(default_factory=dict)
    acks: list[api.VersionAcked] = field(default_factory=list)
    since: list[TableOrder] = field(default_factory=list)


def carried(rows: dict[int, float], orders: Iterable[TableOrder]) -> dict[int, float]:
    """A table's lines after these orders of it. Each sets a state: it is the same whether some had been carried out."""
    rows = dict(rows)
    for o in orders:
        if isinstance(o, api.ResetTable):
            rows.clear()
        elif o.weight > 0:
            rows[o.host] = o.weight
        else:
            rows.pop(o.host, None)
    return rows


def count(params: dict[str, Any], key: str, most: int) -> int:
    value = params.get(key)
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value < most:
        raise BadNews(f"{key}={value!r}")
    return value


def figure(params: dict[str, Any], key: str) -> float:
    value = params.get(key, 0.0)
    if not isinstance(value, int | float) or isinstance(value, bool) or not 0.0 <= value < 1e12:
        raise BadNews(f"{key}={value!r}")
    return float(value)


class News:
    """zones: names to places. The view outlives connections: `tables` are the lines as the store has them, kept true by
    the owner with what the relay confirms (`stands`)."""

    def __init__(self, settings: api.Settings, zones: dict[str, int]) -> None:
        self.set, self.zones = settings, zones
        self.proxies: dict[int, api.ProxyJoined] = {}
        self.tables: dict[int, dict[int, float]] = {}
        self.giving: dict[int, dict[int, float]] = {}  # slices given just now, whose lines still come
        self.opened: Standing | None = None  # of the connection that says what stands just now

    # ---- a line ------------------------------------------------------------------------------------------

    def read(self, line: bytes) -> Notice:
        """Raises BadNews."""
        try:
            return decoder.decode(line)
        except JSON_DECODE_ERRORS as fault:
            raise BadNews(f"{line[:80]!r}: {fault}") from None

    def begun(self, s: Standing, n: Notice) -> None:
        """A line of what stands on a new connection."""
        p = n.params
        match n.method:
            case "attach":
                joined = self.joined(p)
                s.proxies[joined.proxy] = joined
            case "detach":
                s.proxies.pop(self.proxy(p), None)
            case "done":
                s.acks.append(self.acked(p))
            case "owner":
                slice = self.slice(p)
                if p.get("set"):
                    s.tables[slice] = {}
                else:
                    s.tables.pop(slice, None)
            case "entry":
                slice, host, weight = self.entry(p)
                if slice in s.tables and weight > 0:
                    s.tables[slice][host] = weight

    def news(self, n: Notice) -> list[api.Event]:
        """A line once what stands is known. A slice that is given waits for its lines: see `given`."""
        p = n.params
        match n.method:
            case "attach":
                joined = self.joined(p)
                self.proxies[joined.proxy] = joined
                return [joined]
            case "detach":
                proxy = self.proxy(p)
                return [api.ProxyLeft(proxy)] if self.proxies.pop(proxy, None) else []
            case "done":
                ack = self.acked(p)
                return [ack] if ack.proxy in self.proxies else []
            case "owner":
                slice = self.slice(p)
                if p.get("set"):
                    self.giving[slice] = {}
                    return []
                self.giving.pop(slice, None)
                return [api.SliceOwnershipChange(slice, False)] if self.tables.pop(slice, None) is not None else []
            case "entry":
                slice, host, weight = self.entry(p)
                rows = self.giving.get(slice)
                if rows is None:
                    return self.later(slice, host, weight)
                if weight > 0:
                    rows[host] = weight
        return []

    def later(self, slice: int, host: int, weight: float) -> list[api.Event]:
        """A line of a slice that was given some time ago: an echo of an order, or its lines came late."""
        rows = self.tables.get(slice)
        if rows is None or weight <= 0 or host in rows:
            return []
        rows[host] = weight
        return [api.StoredWeight(slice, host, weight)]

    def given(self) -> list[api.Event]:
        """Slices given whose lines are whole by now, as the owner judges: the slice and its lines, in one step."""
        out: list[api.Event] = []
        for slice, rows in self.giving.items():
            self.tables[slice] = rows
            out.append(api.SliceOwnershipChange(slice, True))
            out += [api.StoredWeight(slice, host, weight) for host, weight in rows.items()]
        self.giving = {}
        return out

    def opening(self) -> Standing:
        """A connection begins to say what stands."""
        self.opened = Standing()
        return self.opened

    def settled(self, s: Standing, under_way: Iterable[TableOrder] = ()) -> list[api.Event]:
        """What stands is whole: the difference to what was known. under_way: orders not yet confirmed, in turn.

        What was said of a slice is as old as the connection: orders confirmed or sent since are laid over it. Guards
        against a table remembered from before such an order, whose new line the module would never take back. Wrong
        for a slice that went to another steward and came back while the news was silent, with orders out.
        """
        if s is self.opened:
            self.opened = None
        out: list[api.Event] = [api.ProxyLeft(p) for p in self.proxies if p not in s.proxies]
        out += [j for p, j in s.proxies.items() if p not in self.proxies]
        self.proxies = s.proxies
        out += [api.SliceOwnershipChange(slice, False) for slice in self.tables if slice not in s.tables]
        self.giving = {}
        since: dict[int, list[TableOrder]] = {}
        waiting: dict[int, list[TableOrder]] = {}
        for orders, of in ((s.since, since), (under_way, waiting)):
            for o in orders:
                of.setdefault(o.slice, []).append(o)
        for slice, rows in s.tables.items():
            coming = waiting.get(slice, ())
            rows = carried(carried(rows, since.get(slice, ())), coming)
            known = self.tables.get(slice)
            if known is None or carried(known, coming) != rows:
                self.giving[slice] = rows
        for slice in [slice for slice in self.tables if slice not in s.tables]:
            del self.tables[slice]  # in place: reports are checked against this very table
        return [*out, *self.given(), *(a for a in s.acks if a.proxy in self.proxies)]

    def lost(self, mark: int) -> list[api.Event]:
        """Acks up to `mark` that fell into a gap of the news never come: they count as given.

        Guards against a module that waits for them for good, with its queue full by its own count: it may then not even
        send the mark whose acks would clear it. Could free a queue that is not empty yet if asked too early.
        """
        return [api.VersionAcked(proxy, mark) for proxy in self.proxies]

    def stands(self, o: TableOrder) -> None:
        """The relay confirmed this order."""
        if o.slice in self.tables:
            self.tables[o.slice] = carried(self.tables[o.slice], [o])
            if self.opened:
                self.opened.since.append(o)

    # ---- fields ------------------------------------------------------------------------------------------

    def proxy(self, p: dict[str, Any]) -> int:
        return count(p, "node", self.set.proxy_count)

    def slice(self, p: dict[str, Any]) -> int:
        return count(p, "shard", max(1, self.set.slice_count))

    def joined(self, p: dict[str, Any]) -> api.ProxyJoined:
        zone = self.zones.get(str(p.get("locality")))
        if zone is None:
            raise BadNews(f"locality={p.get('locality')!r}")
        return api.ProxyJoined(self.proxy(p), zone, figure(p, "w"), bool(p.get("cold")))

    def acked(self, p: dict[str, Any]) -> api.VersionAcked:
        return api.VersionAcked(self.proxy(p), count(p, "nonce", 65_536), figure(p, "latency"))

    def entry(self, p: dict[str, Any]) -> tuple[int, int, float]:
        try:
            host = number(str(p.get("endpoint")))
        except ValueError:
            raise BadNews(f"endpoint={p.get('endpoint')!r}") from None
        return self.slice(p), host, figure(p, "w")
