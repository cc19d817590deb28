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
    admissions: dict[tuple[int, int], tuple[float, int]] = field(default_factory=dict)  # (table, bits): amount, retry
    cordoned_hosts: set[int] = field(default_factory=set)
    assignments: dict[int, dict[int, int]] = field(default_factory=dict)  # forwarder: {table: bits}


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
        self.settings = settings
        self.deferrable_timer: int | None = getattr(self.assigner, "deferrable_timer", None)
        self.overload = OverloadDetector(overload or OverloadLimits())
        self.addresses = addresses
        self.start_number = life.start_number
        self.seq = 0
        self.owned_slices = set(charge)
        self.proxy_zones: dict[int, int] = {}  # forwarder: its zone
        self.published = Published()
        for table, lines in life.tables.items():
            if table in self.owned_slices or not settings.slice_count:
                self.published.tables[table] = dict(lines)
        self.usage = UsageAggregator(settings)
        self.usage_due_at = 0.0
        self.recall_until, self.recalled_seq = float("inf"), life.message_number
        self.discarded_actions = 0  # orders for slices outside the charge
        self.encoded_tables: tuple[int, bytes] | None = None
        self.outputs: list[Output] = []
        self.gained_slices: set[int] = set()  # slices given since the last step: one message tells of all
        self.lost_slices: set[int] = set()  # and those taken away
        self.unsaved_tables: dict[int, dict[int, float]] = {}  # tables whose last writes the store did not take
        self.unsaved_resets: set[int] = set()
        self.leaving_hosts: set[int] = set()  # hosts that the list calls draining or removed

    # ---- what happened ---------------------------------------------------------------------------------

    def start(self, now: float, saved: api.HostListUpdate) -> None:
        """The first events of a life: the saved list, the charge, the tables on record."""
        self.add_event(now, saved)
        for slice in sorted(self.owned_slices):
            self.add_slice_events(now, slice)

    def add_slice_events(self, now: float, slice: int) -> None:
        self.add_event(now, api.SliceOwnershipChange(slice, True))
        for host, weight in sorted(self.published.tables.get(slice, {}).items()):
            self.add_event(now, api.StoredWeight(slice, host, weight))

    def on_slice_gained(self, now: float, slice: int, stored: dict[int, float]) -> None:
        """The store gives a slice into this controller's charge, with its table as stored."""
        self.owned_slices.add(slice)
        self.published.tables[slice] = dict(stored)
        self.add_slice_events(now, slice)
        self.lost_slices.discard(slice)
        self.gained_slices.add(slice)
        self.encoded_tables = None

    def on_slice_lost(self, now: float, slice: int) -> None:
        """The store takes a slice away."""
        if slice in self.owned_slices:
            self.owned_slices.discard(slice)
            self.published.tables.pop(slice, None)
            for key in [k for k in self.published.admissions if k[0] == slice]:
                del self.published.admissions[key]
            self.unsaved_tables.pop(slice, None)
            self.unsaved_resets.discard(slice)
            self.add_event(now, api.SliceOwnershipChange(slice, False))
            self.gained_slices.discard(slice)
            self.lost_slices.add(slice)
        self.encoded_tables = None

    def on_proxy_joined(self, now: float, hello: frames.Hello) -> bytes:
        """A forwarder is joined; the answer is the frame with the tables as they stand, sent before all else."""
        f = hello.forwarder
        if f in self.proxy_zones:
            self.on_proxy_left(now, f)
        self.proxy_zones[f] = hello.zone
        self.add_event(now, api.ProxyJoined(f, hello.zone, hello.rate, hello.fresh))
        return self.encode_tables(f)

    def needs_recall(self, now: float, hello: frames.Hello) -> bool:
        """Whether this forwarder holds later tables of the former life than the store gave back.

        Guards against a store that stopped writing before the steward died; could bring back lines of hosts
        that have left since, which the module takes out by its list as at any start.
        """
        return now <= self.recall_until and hello.life == self.start_number - 1 and hello.seq > self.recalled_seq

    def on_recalled_tables(self, now: float, held: frames.Held) -> list[int]:
        """Takes what a forwarder held of the former life. Returns the slices that were given anew."""
        if held.life != self.start_number - 1 or held.seq <= self.recalled_seq or now > self.recall_until:
            return []
        self.recalled_seq = held.seq
        changed = []
        for table, rows in held.tables:
            lines = {host: weight for host, weight in rows if weight > 0 and host in self.addresses}
            if table in self.owned_slices and lines and lines != self.published.tables.get(table):
                self.published.tables[table] = lines
                self.unsaved_tables[table] = lines
                self.unsaved_resets.add(table)
                self.add_slice_events(now, table)
                changed.append(table)
        if changed:
            self.encoded_tables = None
            self.gained_slices.update(changed)
        return changed

    def on_proxy_left(self, now: float, forwarder: int) -> None:
        if self.proxy_zones.pop(forwarder, None) is not None:
            self.published.assignments.pop(forwarder, None)
            self.add_event(now, api.ProxyLeft(forwarder))

    def on_usage_report(self, now: float, forwarder: int, sums: frames.Sums) -> None:
        if forwarder in self.proxy_zones:
            self.usage.add(now, forwarder, self.proxy_zones[forwarder], sums, self.addresses, self.owned_slices)

    # ---- a step ----------------------------------------------------------------------------------------

    def next_at(self, now: float) -> float | None:
        """When the next step is due, if nothing happens before."""
        at = [self.timers[0][0]] if self.timers else []
        if self.pending_events or self.outputs or self.unsaved_due():
            at.append(now)
        if self.usage.tallies:
            at.append(self.usage_due_at)
        return min(at, default=None)

    def unsaved_due(self) -> bool:
        return bool(self.unsaved_tables or self.unsaved_resets) and not self.is_store_backing_off

    is_store_backing_off = False  # set by the owner while it holds off from a store that fails

    def decide(self, now: float) -> StoreWrites:
        """Run the module on all that came until `now`; returns what is to be kept first."""
        now = self.now = max(now, self.now)  # a clock that steps back stands still for the module
        self.fire_due_timers(now)
        if now >= self.usage_due_at:
            for e in self.usage.take_due(now):
                self.add_event(now, e)
            self.usage_due_at = now + self.settings.report_interval_ms / 8
        events = self.take_events()
        for e in events:
            if isinstance(e, api.HostListUpdate):
                for entry in e.entries:
                    (self.leaving_hosts.discard if entry.state == "up" else self.leaving_hosts.add)(entry.host)
        return self.carry_out(now, self.run_step(now, events))

    def timer_delay(self, now: float, handle: int) -> float | None:
        wait = handle == self.deferrable_timer and self.overload.should_delay(now, handle)
        return self.settings.report_interval_ms / 8 if wait else None

    def carry_out(self, now: float, actions: list[api.Action]) -> StoreWrites:
        lines: dict[tuple[int, int], float] = {}
        resets: list[int] = []
        levels: list[frames.LevelRow] = []
        cordons: list[tuple[int, bool]] = []
        points: dict[int, list[tuple[int, int]]] = {}
        mark, everyone = -1, False
        out = self.outputs
        # A steward that takes over hundreds of slices must not send each forwarder as many messages.
        if self.lost_slices and self.proxy_zones:
            self.seq += 1
            out.append(self.order(to=tuple(self.proxy_zones), withdrawn=sorted(self.lost_slices)))
        if self.gained_slices and self.proxy_zones:
            out.append(self.reread(sorted(self.gained_slices)))
        self.gained_slices, self.lost_slices = set(), set()
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
                        self.published.tables[a.slice] = {}
                case api.SetAdmission():
                    if a.slice == api.ALL_TABLES or self.mine(a.slice):
                        levels.append((a.slice, a.request_classes, a.amount, int(a.retry)))
                        self.published.admissions[a.slice, a.request_classes] = (a.amount, int(a.retry))
                case api.Cordon():
                    cordons.append((a.host, a.is_cordoned))
                    (self.published.cordoned_hosts.add if a.is_cordoned else self.published.cordoned_hosts.discard)(
                        a.host
                    )
                case api.AssignTable():
                    if a.proxy in self.proxy_zones:
                        points.setdefault(a.proxy, []).append((a.table, a.request_classes))
                        self.published.assignments.setdefault(a.proxy, {})[a.table] = a.request_classes
                case api.PublishVersion():
                    mark, everyone = a.version, a.to_all_proxies
                case api.StartTimer():
                    self.start_timer(now + a.delay_ms, a.timer)
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
            self.encoded_tables = None
        for table in resets:
            self.unsaved_resets.add(table)
            self.unsaved_tables[table] = {}
        for table, host, weight in rows:
            self.unsaved_tables.setdefault(table, {})[host] = weight
        kept = tuple((t, h, w) for t, row in self.unsaved_tables.items() for h, w in row.items())
        return StoreWrites(self.seq, kept, tuple(self.unsaved_resets))

    def mine(self, table: int) -> bool:
        if self.settings.slice_count and table not in self.owned_slices:
            self.discarded_actions += 1
            return False
        return True

    def line(self, table: int, host: int, weight: float) -> None:
        lines = self.published.tables.setdefault(table, {})
        if weight <= 0:
            lines.pop(host, None)
            return
        if self.settings.has_sole_owner:
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
        if self.settings.slice_count:
            to = tuple(self.proxy_zones)
            return [self.order(to, mark, resets, lines, levels, cordons)] if to else []
        groups: dict[tuple[Any, ...], list[int]] = {}
        for f in self.proxy_zones:
            tables = self.published.assignments.get(f, {})
            mine = tuple(row for row in lines if row[0] in tables)
            emptied = tuple(t for t in resets if t in tables)
            level = tuple(row for row in levels if row[0] == api.ALL_TABLES or row[0] in tables)
            put = tuple(points.get(f, ()))
            # A table that a forwarder is put on comes whole.
            whole = {(t, h, w) for t, _ in put for h, w in self.published.tables.get(t, {}).items()}
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
        return SendFrame(frames.encode(frame), cost(frame), mark, to, frame, urgent(lines, cordons, self.leaving_hosts))

    def reconcile(self, now: float, life: StoreContents) -> None:
        """Another process wrote the store meanwhile: what it kept is the truth, and numbers go on above its own."""
        self.seq = max(self.seq, life.message_number) + 1_000
        self.unsaved_tables, self.unsaved_resets, self.encoded_tables = {}, set(), None
        for slice in sorted(self.owned_slices):
            kept = life.tables.get(slice, {})
            if kept != self.published.tables.get(slice, {}):
                self.published.tables[slice] = dict(kept)
                self.add_slice_events(now, slice)

    def on_addresses_changed(self, hosts: Sequence[int]) -> None:
        """Hosts answer elsewhere now: one line for each that a table names."""
        named = {h for lines in self.published.tables.values() for h in lines}
        moved = {h: self.addresses[h] for h in hosts if h in named}
        if moved and self.proxy_zones:
            self.seq += 1
            frame = frames.encode(frames.Orders(self.seq, addresses=moved))
            self.outputs.append(SendFrame(frame, len(moved), -1, tuple(self.proxy_zones)))
        self.encoded_tables = None

    def encode_tables(self, forwarder: int) -> bytes:
        """All that a joining forwarder holds from now on. Shared by all that join between two changes."""
        points = self.published.assignments.get(forwarder, {})
        if not points and self.encoded_tables and self.encoded_tables[0] == self.seq:
            return self.encoded_tables[1]
        tables = self.published.tables
        if not self.settings.slice_count:
            tables = {t: tables.get(t, {}) for t in points}
        elif any(s not in tables for s in self.owned_slices):
            tables = {s: tables.get(s, {}) for s in sorted(self.owned_slices)}
        rows = [(t, sorted(lines.items())) for t, lines in sorted(tables.items())]
        named = {h for _, lines in rows for h, _ in lines}
        frame = frames.encode(
            frames.Tables(
                self.seq,
                rows,
                [(t, bits, a, r) for (t, bits), (a, r) in self.published.admissions.items()],
                sorted(self.published.cordoned_hosts),
                {h: self.addresses[h] for h in sorted(named) if h in self.addresses},
                list(points.items()),
            )
        )
        if not points:
            self.encoded_tables = (self.seq, frame)
        return frame

    def reread(self, slices: list[int]) -> SendFrame:
        """Slices given anew: every joined forwarder reads them from the store."""
        self.seq += 1
        rows = [(s, sorted(self.published.tables.get(s, {}).items())) for s in slices]
        named = {h for _, lines in rows for h, _ in lines}
        frame = frames.Tables(
            self.seq,
            rows,
            addresses={h: self.addresses[h] for h in sorted(named) if h in self.addresses},
            given=slices,
        )
        return SendFrame(frames.encode(frame), sum(1 + len(lines) for _, lines in rows), -1, tuple(self.proxy_zones))

    def on_writes_fenced(self, now: float) -> None:
        """The step's writes were refused for a slice that is not ours any more: nothing of the step's messages may
        go out. Forwarders get the tables that are still ours anew instead; the module's mark goes unanswered, and
        its hold ends by time."""
        self.outputs = [o for o in self.outputs if not isinstance(o, SendFrame)]
        if touched := sorted(t for t in self.unsaved_tables if t in self.owned_slices):
            self.outputs.append(self.reread(touched))

    def publish(self, stored: bool) -> list[Output]:
        """The rest of the step, after the store wrote (`stored`) or could not.

        While it cannot, what the module decides goes out all the same: a drain must not wait for a disk. What
        is not kept is written with the next step that finds the store well; forwarders, who hold it, give it
        back if the steward dies first (`wants_recall`).
        """
        if stored:
            self.unsaved_tables, self.unsaved_resets = {}, set()
        out, self.outputs = self.outputs, []
        return out
