"""The steward's core: what happened goes in, the module decides, what is to be done comes out. No I/O, no clock.

A step has two halves, so that nothing is sent before it is kept: `decide` hands out what the store must write,
`publish` (told whether the store did) the messages and the rest. The decisions are the module's alone.
"""

from __future__ import annotations

from collections.abc import Callable, Container, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any

from .. import interface as api
from ..channel.merge import cost
from ..store.api import StoreContents
from ..wire import frames
from .event_inbox import Decider, EventInbox
from .overload import OverloadDetector
from .overload import OverloadLimits as OverloadLimits
from .report_aggregation import UsageAggregator


@dataclass(frozen=True)
class StoreWrites:
    """To be kept before anything of the step is sent: emptied tables, then lines (table, host, weight)."""

    seq: int
    lines: tuple[tuple[int, int, float], ...] = ()
    resets: tuple[int, ...] = ()


@dataclass(frozen=True)
class SendFrame:
    """One frame for some forwarders, by the channel. `lines` is what it costs beside the head."""

    frame: bytes
    lines: int
    mark: int
    to: tuple[int, ...]
    orders: frames.Orders | None = None
    urgent: bool = False  # a host must go: it may overtake what waits


@dataclass(frozen=True)
class CheckHost:
    host: int
    address: str


@dataclass(frozen=True)
class WatchHostList:
    on: bool


@dataclass(frozen=True)
class FetchHostList:
    pass


@dataclass(frozen=True)
class SendToPeer:
    peer: int | None
    payload: bytes


@dataclass(frozen=True)
class LogNote:
    text: str


Output = SendFrame | CheckHost | WatchHostList | FetchHostList | SendToPeer | LogNote


@dataclass
class Published:
    """The tables as ordered so far: what a forwarder that joins now is given."""

    tables: dict[int, dict[int, float]] = field(default_factory=dict)
    levels: dict[tuple[int, int], tuple[float, int]] = field(default_factory=dict)  # (table, bits): amount, retry
    cordons: set[int] = field(default_factory=set)
    points: dict[int, dict[int, int]] = field(default_factory=dict)  # forwarder: {table: bits}


def urgent(lines: Sequence[tuple[int, int, float]], cordons: Sequence[tuple[int, bool]], going: Container[int]) -> bool:
    """Whether an order takes a host out that is dead, draining or shut out, as its lines show.

    A host that the list calls draining or removed, or one that is replaced in a single step, without the hold of an
    ordinary move.
    """
    if any(on for _, on in cordons):
        return True
    new = {t for t, _, w in lines if w > 0}
    return any(w <= 0 and (h in going or t in new) for t, h, w in lines)


class Engine(EventInbox):
    """settings, seed: the module's. charge: the slices that this steward holds (none at sites without).

    `addresses` is shared with the roster's view: host to "ip:port".
    """

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        life: StoreContents,
        charge: Iterable[int],
        addresses: dict[int, str],
        decider: Callable[[api.Settings, int], Decider],
        overload: OverloadLimits | None = None,
    ) -> None:
        super().__init__(decider(settings, seed))
        self.set = settings
        self.can_wait: int | None = getattr(self.module, "deferrable_timer", None)
        self.overload = OverloadDetector(overload or OverloadLimits())
        self.addresses = addresses
        self.life, self.seq = life, 0
        self.charge = set(charge)
        self.joined: dict[int, int] = {}  # forwarder: its zone
        self.state = Published()
        for table, lines in life.tables.items():
            if table in self.charge or not settings.slice_count:
                self.state.tables[table] = dict(lines)
        self.gather = UsageAggregator(settings)
        self.gather_at = 0.0
        self.recall_until, self.recalled_seq = float("inf"), life.message_number
        self.discarded = 0  # orders for slices outside the charge
        self.snapshot: tuple[int, bytes] | None = None
        self.pending: list[Output] = []
        self.anew: set[int] = set()  # slices given since the last step: one message tells of all
        self.gone: set[int] = set()  # and those taken away
        self.unsaved: dict[int, dict[int, float]] = {}  # tables whose last writes the store did not take
        self.unsaved_resets: set[int] = set()
        self.going: set[int] = set()  # hosts that the list calls draining or removed

    # ---- what happened ---------------------------------------------------------------------------------

    def begin(self, now: float, saved: api.HostListUpdate) -> None:
        """The first events of a life: the saved list, the charge, the tables on record."""
        self.event(now, saved)
        for slice in sorted(self.charge):
            self.given(now, slice)

    def given(self, now: float, slice: int) -> None:
        self.event(now, api.SliceOwnershipChange(slice, True))
        for host, weight in sorted(self.state.tables.get(slice, {}).items()):
            self.event(now, api.StoredWeight(slice, host, weight))

    def charged(self, now: float, slice: int, on: bool, lines: dict[int, float] | None = None) -> None:
        """The store gives a slice into this steward's charge, or takes it away."""
        if on:
            self.charge.add(slice)
            self.state.tables[slice] = dict(lines or {})
            self.given(now, slice)
            self.gone.discard(slice)
            self.anew.add(slice)
        elif slice in self.charge:
            self.charge.discard(slice)
            self.state.tables.pop(slice, None)
            for key in [k for k in self.state.levels if k[0] == slice]:
                del self.state.levels[key]
            self.unsaved.pop(slice, None)
            self.unsaved_resets.discard(slice)
            self.event(now, api.SliceOwnershipChange(slice, False))
            self.anew.discard(slice)
            self.gone.add(slice)
        self.snapshot = None

    def join(self, now: float, hello: frames.Hello) -> bytes:
        """A forwarder is joined; the answer is the frame with the tables as they stand, sent before all else."""
        f = hello.forwarder
        if f in self.joined:
            self.leave(now, f)
        self.joined[f] = hello.zone
        self.event(now, api.ProxyJoined(f, hello.zone, hello.rate, hello.fresh))
        return self.tables(f)

    def wants_recall(self, now: float, hello: frames.Hello) -> bool:
        """Whether this forwarder holds later tables of the former life than the store gave back.

        Guards against a store that stopped writing before the steward died; could bring back lines of hosts
        that have left since, which the module takes out by its list as at any start.
        """
        return now <= self.recall_until and hello.life == self.life.start_number - 1 and hello.seq > self.recalled_seq

    def held(self, now: float, held: frames.Held) -> list[int]:
        """Takes what a forwarder held of the former life. Returns the slices that were given anew."""
        if held.life != self.life.start_number - 1 or held.seq <= self.recalled_seq or now > self.recall_until:
            return []
        self.recalled_seq = held.seq
        changed = []
        for table, rows in held.tables:
            lines = {host: weight for host, weight in rows if weight > 0 and host in self.addresses}
            if table in self.charge and lines and lines != self.state.tables.get(table):
                self.state.tables[table] = lines
                self.unsaved[table] = lines
                self.unsaved_resets.add(table)
                self.given(now, table)
                changed.append(table)
        if changed:
            self.snapshot = None
            self.anew.update(changed)
        return changed

    def leave(self, now: float, forwarder: int) -> None:
        if self.joined.pop(forwarder, None) is not None:
            self.state.points.pop(forwarder, None)
            self.event(now, api.ProxyLeft(forwarder))

    def sums(self, now: float, forwarder: int, sums: frames.Sums) -> None:
        if forwarder in self.joined:
            self.gather.add(now, forwarder, self.joined[forwarder], sums, self.addresses, self.charge)

    # ---- a step ----------------------------------------------------------------------------------------

    def next_at(self, now: float) -> float | None:
        """When the next step is due, if nothing happens before."""
        at = [self.timers[0][0]] if self.timers else []
        if self.inbox or self.pending or self.unsaved_due():
            at.append(now)
        if self.gather.tallies:
            at.append(self.gather_at)
        return min(at, default=None)

    def unsaved_due(self) -> bool:
        return bool(self.unsaved or self.unsaved_resets) and not self.store_waits

    store_waits = False  # set by the owner while it holds off from a store that fails

    def decide(self, now: float) -> StoreWrites:
        """Run the module on all that came until `now`; returns what is to be kept first."""
        now = self.now = max(now, self.now)  # a clock that steps back stands still for the module
        self.fall_due(now)
        if now >= self.gather_at:
            for e in self.gather.due(now):
                self.event(now, e)
            self.gather_at = now + self.set.report_interval_ms / 8
        events = self.collect()
        for e in events:
            if isinstance(e, api.HostListUpdate):
                for entry in e.entries:
                    (self.going.discard if entry.state == "up" else self.going.add)(entry.host)
        return self.carry_out(now, self.deliver(now, events))

    def put_off(self, now: float, handle: int) -> float | None:
        wait = handle == self.can_wait and self.overload.waits(now, handle)
        return self.set.report_interval_ms / 8 if wait else None

    def carry_out(self, now: float, actions: list[api.Action]) -> StoreWrites:
        lines: dict[tuple[int, int], float] = {}
        resets: list[int] = []
        levels: list[frames.LevelRow] = []
        cordons: list[tuple[int, bool]] = []
        points: dict[int, list[tuple[int, int]]] = {}
        mark, everyone = -1, False
        out = self.pending
        # A steward that takes over hundreds of slices must not send each forwarder as many messages.
        if self.gone and self.joined:
            self.seq += 1
            out.append(self.order(to=tuple(self.joined), withdrawn=sorted(self.gone)))
        if self.anew and self.joined:
            out.append(self.reread(sorted(self.anew)))
        self.anew, self.gone = set(), set()
        for a in actions:
            match a:
                case api.SetWeight():
                    if self.mine(a.slice):
                        lines[a.slice, a.host] = a.weight
                        self.line(a.slice, a.host, a.weight)
                case api.ResetTable():
                    if self.mine(a.slice):
                        resets.append(a.slice)
                        lines = {k: w for k, w in lines.items() if k[0] != a.slice}
                        self.state.tables[a.slice] = {}
                case api.SetAdmission():
                    if a.slice == api.ALL_TABLES or self.mine(a.slice):
                        levels.append((a.slice, a.request_classes, a.amount, int(a.retry)))
                        self.state.levels[a.slice, a.request_classes] = (a.amount, int(a.retry))
                case api.Cordon():
                    cordons.append((a.host, a.is_cordoned))
                    (self.state.cordons.add if a.is_cordoned else self.state.cordons.discard)(a.host)
                case api.AssignTable():
                    if a.proxy in self.joined:
                        points.setdefault(a.proxy, []).append((a.table, a.request_classes))
                        self.state.points.setdefault(a.proxy, {})[a.table] = a.request_classes
                case api.PublishVersion():
                    mark, everyone = a.version, a.to_all_proxies
                case api.StartTimer():
                    self.remind(now + a.delay_ms, a.timer)
                case api.CheckHealth():
                    out.append(CheckHost(a.host, self.addresses.get(a.host, "")))
                case api.WatchHostList():
                    out.append(WatchHostList(a.is_watching))
                case api.FetchHostList():
                    out.append(FetchHostList())
                case api.SendToPeer():
                    out.append(SendToPeer(a.peer, a.payload[:256]))
                case api.LogNote():
                    out.append(LogNote(a.text))
        rows = [(t, h, w) for (t, h), w in lines.items()]
        out += self.messages(rows, resets, levels, cordons, points, mark, everyone)
        if rows or resets or cordons or levels:
            self.snapshot = None
        for table in resets:
            self.unsaved_resets.add(table)
            self.unsaved[table] = {}
        for table, host, weight in rows:
            self.unsaved.setdefault(table, {})[host] = weight
        kept = tuple((t, h, w) for t, row in self.unsaved.items() for h, w in row.items())
        return StoreWrites(self.seq, kept, tuple(self.unsaved_resets))

    def mine(self, table: int) -> bool:
        if self.set.slice_count and table not in self.charge:
            self.discarded += 1
            return False
        return True

    def line(self, table: int, host: int, weight: float) -> None:
        lines = self.state.tables.setdefault(table, {})
        if weight <= 0:
            lines.pop(host, None)
            return
        if self.set.has_sole_owner:
            lines.clear()
        lines[host] = weight

    def messages(
        self,
        lines: list[tuple[int, int, float]],
        resets: list[int],
        levels: list[frames.LevelRow],
        cordons: list[tuple[int, bool]],
        points: dict[int, list[tuple[int, int]]],
        mark: int,
        everyone: bool,
    ) -> list[Output]:
        """One message a forwarder concerned; forwarders with the same tables share one frame."""
        if not (lines or resets or levels or cordons or points or (mark >= 0 and everyone)):
            return []
        self.seq += 1
        if self.set.slice_count:
            to = tuple(self.joined)
            return [self.order(to, mark, resets, lines, levels, cordons)] if to else []
        groups: dict[tuple[Any, ...], list[int]] = {}
        for f in self.joined:
            tables = self.state.points.get(f, {})
            mine = tuple(row for row in lines if row[0] in tables)
            emptied = tuple(t for t in resets if t in tables)
            level = tuple(row for row in levels if row[0] == api.ALL_TABLES or row[0] in tables)
            put = tuple(points.get(f, ()))
            # A table that a forwarder is put on comes whole.
            whole = {(t, h, w) for t, _ in put for h, w in self.state.tables.get(t, {}).items()}
            mine = (*[row for row in mine if row[:2] not in {w[:2] for w in whole}], *sorted(whole))
            if mine or emptied or level or put or cordons or everyone:
                groups.setdefault((mine, emptied, level, put), []).append(f)
        return [
            self.order(tuple(to), mark, list(emptied), list(mine), list(level), cordons, list(put))
            for (mine, emptied, level, put), to in groups.items()
        ]

    def order(
        self,
        to: tuple[int, ...],
        mark: int = -1,
        resets: Sequence[int] = (),
        lines: Sequence[tuple[int, int, float]] = (),
        levels: Sequence[frames.LevelRow] = (),
        cordons: Sequence[tuple[int, bool]] = (),
        points: Sequence[tuple[int, int]] = (),
        withdrawn: Sequence[int] = (),
    ) -> SendFrame:
        frame = frames.Orders(
            self.seq,
            mark,
            list(resets),
            list(lines),
            list(levels),
            list(cordons),
            list(points),
            {h: self.addresses[h] for _, h, w in lines if w > 0 and h in self.addresses},
            list(withdrawn),
        )
        return SendFrame(frames.encode(frame), cost(frame), mark, to, frame, urgent(lines, cordons, self.going))

    def reconcile(self, now: float, life: StoreContents) -> None:
        """Another process wrote the store meanwhile: what it kept is the truth, and numbers go on above its own."""
        self.seq = max(self.seq, life.message_number) + 1_000
        self.unsaved, self.unsaved_resets, self.snapshot = {}, set(), None
        for slice in sorted(self.charge):
            kept = life.tables.get(slice, {})
            if kept != self.state.tables.get(slice, {}):
                self.state.tables[slice] = dict(kept)
                self.given(now, slice)

    def readdress(self, hosts: Sequence[int]) -> None:
        """Hosts answer elsewhere now: one line for each that a table names."""
        named = {h for lines in self.state.tables.values() for h in lines}
        moved = {h: self.addresses[h] for h in hosts if h in named}
        if moved and self.joined:
            self.seq += 1
            frame = frames.encode(frames.Orders(self.seq, addresses=moved))
            self.pending.append(SendFrame(frame, len(moved), -1, tuple(self.joined)))
        self.snapshot = None

    def tables(self, forwarder: int) -> bytes:
        """All that a joining forwarder holds from now on. Shared by all that join between two changes."""
        points = self.state.points.get(forwarder, {})
        if not points and self.snapshot and self.snapshot[0] == self.seq:
            return self.snapshot[1]
        tables = self.state.tables
        if not self.set.slice_count:
            tables = {t: tables.get(t, {}) for t in points}
        elif any(s not in tables for s in self.charge):
            tables = {s: tables.get(s, {}) for s in sorted(self.charge)}
        rows = [(t, sorted(lines.items())) for t, lines in sorted(tables.items())]
        named = {h for _, lines in rows for h, _ in lines}
        frame = frames.encode(
            frames.Tables(
                self.seq,
                rows,
                [(t, bits, a, r) for (t, bits), (a, r) in self.state.levels.items()],
                sorted(self.state.cordons),
                {h: self.addresses[h] for h in sorted(named) if h in self.addresses},
                list(points.items()),
            )
        )
        if not points:
            self.snapshot = (self.seq, frame)
        return frame

    def reread(self, slices: list[int]) -> SendFrame:
        """Slices given anew: every joined forwarder reads them from the store."""
        self.seq += 1
        rows = [(s, sorted(self.state.tables.get(s, {}).items())) for s in slices]
        named = {h for _, lines in rows for h, _ in lines}
        frame = frames.Tables(
            self.seq,
            rows,
            addresses={h: self.addresses[h] for h in sorted(named) if h in self.addresses},
            given=slices,
        )
        return SendFrame(frames.encode(frame), sum(1 + len(lines) for _, lines in rows), -1, tuple(self.joined))

    def fenced(self, now: float) -> None:
        """The step's writes were refused for a slice that is not ours any more: nothing of the step's messages may
        go out. Forwarders get the tables that are still ours anew instead; the module's mark goes unanswered, and
        its hold ends by time."""
        self.pending = [o for o in self.pending if not isinstance(o, SendFrame)]
        if touched := sorted(t for t in self.unsaved if t in self.charge):
            self.pending.append(self.reread(touched))

    def publish(self, stored: bool) -> list[Output]:
        """The rest of the step, after the store wrote (`stored`) or could not.

        While it cannot, what the module decides goes out all the same: a drain must not wait for a disk. What
        is not kept is written with the next step that finds the store well; forwarders, who hold it, give it
        back if the steward dies first (`wants_recall`).
        """
        if stored:
            self.unsaved, self.unsaved_resets = {}, set()
        out, self.pending = self.pending, []
        return out
