"""Turns changes around a controller into events for the assigner. Pure.

These are proxies that join and leave, slices gained and lost, usage reports, and tables recalled from proxies.
"""

from __future__ import annotations

from collections.abc import Iterable

from .. import interface as api
from ..store.api import StoreContents
from ..wire import frames
from .event_inbox import Decider, EventInbox
from .publisher import PublishedTables, Publisher
from .report_aggregation import UsageAggregator


class EventIntake(EventInbox):
    """Receives events and holds the state that they change: joined proxies, owned slices, unsaved tables.

    `owned_slices` are those that this controller owns (none at sites without slices); `stored` is the content of the
    store at the start.
    """

    def __init__(
        self,
        assigner: Decider,
        settings: api.Settings,
        stored: StoreContents,
        owned_slices: Iterable[int],
        publisher: Publisher,
    ) -> None:
        super().__init__(assigner)
        self.settings = settings
        self.publisher = publisher
        self.start_number = stored.start_number
        self.owned_slices = set(owned_slices)
        self.proxy_zones: dict[int, int] = {}  # zone by joined proxy
        for table, weights in stored.tables.items():
            if table in self.owned_slices or not settings.slice_count:
                self.published.tables[table] = dict(weights)
        self.usage = UsageAggregator(settings)
        self.recall_until_ms = float("inf")  # no tables are recalled after that
        self.recalled_seq = stored.message_number
        self.gained_slices: set[int] = set()  # since the last step; proxies receive all in one message
        self.lost_slices: set[int] = set()
        self.unsaved_tables: dict[int, dict[int, float]] = {}  # entries that are not stored yet
        self.unsaved_resets: set[int] = set()  # tables to empty in the store before their entries are written

    @property
    def published(self) -> PublishedTables:
        """The tables as last published."""
        return self.publisher.published

    def start(self, now_ms: float, saved: api.HostListUpdate) -> None:
        """Add the first events after a start: the saved host list, the owned slices and their stored tables."""
        self.add_event(now_ms, saved)
        for slice_number in sorted(self.owned_slices):
            self.add_slice_events(now_ms, slice_number)

    def add_slice_events(self, now_ms: float, slice_number: int) -> None:
        """Add events for a slice that the assigner now decides on: its ownership and its stored table."""
        self.add_event(now_ms, api.SliceOwnershipChange(slice_number, True))
        for host, weight in sorted(self.published.tables.get(slice_number, {}).items()):
            self.add_event(now_ms, api.StoredWeight(slice_number, host, weight))

    def on_slice_gained(self, now_ms: float, slice_number: int, stored: dict[int, float]) -> None:
        """Record that this controller now owns a slice; `stored` is its table, weight by host."""
        self.owned_slices.add(slice_number)
        self.published.tables[slice_number] = dict(stored)
        self.add_slice_events(now_ms, slice_number)
        self.lost_slices.discard(slice_number)
        self.gained_slices.add(slice_number)
        self.publisher.drop_cached_frame()

    def on_slice_lost(self, now_ms: float, slice_number: int) -> None:
        """Record that this controller no longer owns a slice."""
        self.publisher.drop_cached_frame()
        if slice_number not in self.owned_slices:
            return
        self.owned_slices.discard(slice_number)
        self.published.tables.pop(slice_number, None)
        for key in [key for key in self.published.admissions if key[0] == slice_number]:
            del self.published.admissions[key]
        self.unsaved_tables.pop(slice_number, None)
        self.unsaved_resets.discard(slice_number)
        self.add_event(now_ms, api.SliceOwnershipChange(slice_number, False))
        self.gained_slices.discard(slice_number)
        self.lost_slices.add(slice_number)

    def on_proxy_joined(self, now_ms: float, hello: frames.Hello) -> bytes:
        """Record that a proxy joined. Return the frame with all its tables, which must be sent first."""
        proxy = hello.proxy
        if proxy in self.proxy_zones:
            self.on_proxy_left(now_ms, proxy)
        self.proxy_zones[proxy] = hello.zone
        self.add_event(now_ms, api.ProxyJoined(proxy, hello.zone, hello.requests_per_second, hello.is_fresh))
        return self.publisher.tables_frame(proxy, self.owned_slices)

    def on_proxy_left(self, now_ms: float, proxy: int) -> None:
        """Record that a proxy disconnected."""
        if self.proxy_zones.pop(proxy, None) is not None:
            self.published.assignments.pop(proxy, None)
            self.add_event(now_ms, api.ProxyLeft(proxy))

    def on_usage_report(self, now_ms: float, proxy: int, report: frames.UsageReport) -> None:
        """Add the usage report of a joined proxy to the totals."""
        if proxy in self.proxy_zones:
            zone = self.proxy_zones[proxy]
            self.usage.add(now_ms, proxy, zone, report, self.publisher.addresses, self.owned_slices)

    def needs_recall(self, now_ms: float, hello: frames.Hello) -> bool:
        """Return whether a proxy holds newer tables of the previous process than the store does.

        Guards against a store that stopped writing before the process exited. May restore entries of hosts that have
        left since; the assigner removes those by its host list, as after any start.
        """
        is_from_previous_start = hello.start_number == self.start_number - 1
        return now_ms <= self.recall_until_ms and is_from_previous_start and hello.seq > self.recalled_seq

    def on_recalled_tables(self, now_ms: float, recalled: frames.HeldTables) -> list[int]:
        """Adopt the tables of the previous process that a proxy holds. Return the slices that changed."""
        is_from_previous_start = recalled.start_number == self.start_number - 1
        if not is_from_previous_start or recalled.seq <= self.recalled_seq or now_ms > self.recall_until_ms:
            return []
        self.recalled_seq = recalled.seq
        changed = []
        for table, rows in recalled.tables:
            weights = {host: weight for host, weight in rows if weight > 0 and host in self.publisher.addresses}
            if table in self.owned_slices and weights and weights != self.published.tables.get(table):
                self.published.tables[table] = weights
                self.unsaved_tables[table] = weights
                self.unsaved_resets.add(table)
                self.add_slice_events(now_ms, table)
                changed.append(table)
        if changed:
            self.publisher.drop_cached_frame()
            self.gained_slices.update(changed)
        return changed
