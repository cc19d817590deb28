"""Turns what happens around a controller into events of the assigner. Pure.

That is: proxies that join and leave, slices gained and lost, usage reports, and tables recalled from proxies.
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
    """Takes in events and keeps the state that they change: joined proxies, owned slices, unsaved tables.

    `owned_slices` are those that this controller decides on (none at sites without slices); `stored` is what the store
    held at the start.
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
        self.proxy_zones: dict[int, int] = {}  # joined proxies: zone
        for table, weights in stored.tables.items():
            if table in self.owned_slices or not settings.slice_count:
                self.published.tables[table] = dict(weights)
        self.usage = UsageAggregator(settings)
        self.recall_until = float("inf")
        self.recalled_seq = stored.message_number
        self.gained_slices: set[int] = set()  # since the last step: one message tells proxies of all
        self.lost_slices: set[int] = set()
        self.unsaved_tables: dict[int, dict[int, float]] = {}  # entries that the store has not taken yet
        self.unsaved_resets: set[int] = set()  # tables to empty in the store before

    @property
    def published(self) -> PublishedTables:
        """The tables as published so far."""
        return self.publisher.published

    def start(self, now: float, saved: api.HostListUpdate) -> None:
        """Add the first events after a start: the saved host list, the owned slices and their stored tables."""
        self.add_event(now, saved)
        for slice_number in sorted(self.owned_slices):
            self.add_slice_events(now, slice_number)

    def add_slice_events(self, now: float, slice_number: int) -> None:
        """Tell the assigner that it decides on a slice, and what its table holds."""
        self.add_event(now, api.SliceOwnershipChange(slice_number, True))
        for host, weight in sorted(self.published.tables.get(slice_number, {}).items()):
            self.add_event(now, api.StoredWeight(slice_number, host, weight))

    def on_slice_gained(self, now: float, slice_number: int, stored: dict[int, float]) -> None:
        """This controller owns a slice from now on; `stored` is its table, host to weight."""
        self.owned_slices.add(slice_number)
        self.published.tables[slice_number] = dict(stored)
        self.add_slice_events(now, slice_number)
        self.lost_slices.discard(slice_number)
        self.gained_slices.add(slice_number)
        self.publisher.drop_cached_frame()

    def on_slice_lost(self, now: float, slice_number: int) -> None:
        """This controller no longer owns a slice."""
        self.publisher.drop_cached_frame()
        if slice_number not in self.owned_slices:
            return
        self.owned_slices.discard(slice_number)
        self.published.tables.pop(slice_number, None)
        for key in [key for key in self.published.admissions if key[0] == slice_number]:
            del self.published.admissions[key]
        self.unsaved_tables.pop(slice_number, None)
        self.unsaved_resets.discard(slice_number)
        self.add_event(now, api.SliceOwnershipChange(slice_number, False))
        self.gained_slices.discard(slice_number)
        self.lost_slices.add(slice_number)

    def on_proxy_joined(self, now: float, hello: frames.Hello) -> bytes:
        """A proxy has joined. Returns the frame with all its tables, to be sent before everything else."""
        proxy = hello.proxy
        if proxy in self.proxy_zones:
            self.on_proxy_left(now, proxy)
        self.proxy_zones[proxy] = hello.zone
        self.add_event(now, api.ProxyJoined(proxy, hello.zone, hello.requests_per_second, hello.is_fresh))
        return self.publisher.tables_frame(proxy, self.owned_slices)

    def on_proxy_left(self, now: float, proxy: int) -> None:
        """A proxy has disconnected."""
        if self.proxy_zones.pop(proxy, None) is not None:
            self.published.assignments.pop(proxy, None)
            self.add_event(now, api.ProxyLeft(proxy))

    def on_usage_report(self, now: float, proxy: int, report: frames.UsageReport) -> None:
        """Add up what a joined proxy reports."""
        if proxy in self.proxy_zones:
            zone = self.proxy_zones[proxy]
            self.usage.add(now, proxy, zone, report, self.publisher.addresses, self.owned_slices)

    def needs_recall(self, now: float, hello: frames.Hello) -> bool:
        """Whether a proxy holds later tables from before this start than the store gave back.

        Guards against a store that stopped writing before the process died. May bring back entries of hosts that have
        left since; the assigner takes those out by its host list, as after any start.
        """
        is_former = hello.start_number == self.start_number - 1
        return now <= self.recall_until and is_former and hello.seq > self.recalled_seq

    def on_recalled_tables(self, now: float, recalled: frames.HeldTables) -> list[int]:
        """Take over the tables that a proxy holds from before this start. Returns the slices that changed."""
        is_former = recalled.start_number == self.start_number - 1
        if not is_former or recalled.seq <= self.recalled_seq or now > self.recall_until:
            return []
        self.recalled_seq = recalled.seq
        changed = []
        for table, rows in recalled.tables:
            weights = {host: weight for host, weight in rows if weight > 0 and host in self.publisher.addresses}
            if table in self.owned_slices and weights and weights != self.published.tables.get(table):
                self.published.tables[table] = weights
                self.unsaved_tables[table] = weights
                self.unsaved_resets.add(table)
                self.add_slice_events(now, table)
                changed.append(table)
        if changed:
            self.publisher.drop_cached_frame()
            self.gained_slices.update(changed)
        return changed
