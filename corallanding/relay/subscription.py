"""The state that the relay's watch reports: joined proxies, owned slices and their tables. No I/O.

A new connection first reports the complete current state, without an end marker; the owner of the connection decides
when it is complete (`replace_state`). Known items that the new connection does not report have been removed; items that
it reports unchanged cause no event.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from .. import interface as api
from .notifications import Notification, NotificationReader
from .orders import TableOrder

Table = dict[int, float]
"""Weights by host number."""


@dataclass
class InitialState:
    """The state that a new connection has reported so far.

    `confirmed_orders` were confirmed since the connection began; the reported tables may or may not include them.
    """

    proxies: dict[int, api.ProxyJoined] = field(default_factory=dict)
    tables: dict[int, Table] = field(default_factory=dict)
    acks: list[api.VersionAcked] = field(default_factory=list)
    confirmed_orders: list[TableOrder] = field(default_factory=list)


def apply_orders(table: Table, orders: Iterable[TableOrder]) -> Table:
    """Return a copy of the table with `orders` applied; orders that it already includes have no further effect."""
    changed = dict(table)
    for order in orders:
        if isinstance(order, api.ResetTable):
            changed.clear()
        elif order.weight > 0:
            changed[order.host] = order.weight
        else:
            changed.pop(order.host, None)
    return changed


def group_by_slice(orders: Iterable[TableOrder]) -> dict[int, list[TableOrder]]:
    """Return the orders by slice, in their original order."""
    groups: dict[int, list[TableOrder]] = {}
    for order in orders:
        groups.setdefault(order.slice, []).append(order)
    return groups


class RelayView:
    """The last known state of the relay. It is kept across connections.

    `tables` are the entries as the relay stores them; the owner updates them with the orders that the relay confirms
    (`on_order_confirmed`). `zones` maps zone names to numbers.
    """

    def __init__(self, settings: api.Settings, zones: dict[str, int]) -> None:
        self.reader = NotificationReader(settings, zones)
        self.proxies: dict[int, api.ProxyJoined] = {}
        self.tables: dict[int, Table] = {}
        self.incomplete_slices: dict[int, Table] = {}  # newly assigned slices whose entries are still arriving
        self.initial_state: InitialState | None = None  # set while a new connection reports its initial state

    # ---- a new connection ----------------------------------------------------------------------------------

    def begin_initial_state(self) -> InitialState:
        """Return an empty initial state for a new connection."""
        self.initial_state = InitialState()
        return self.initial_state

    def add_initial(self, state: InitialState, notification: Notification) -> None:
        """Add a notification to the initial state. Raises InvalidNotificationError."""
        params = notification.params
        match notification.method:
            case "attach":
                joined = self.reader.proxy_joined(params)
                state.proxies[joined.proxy] = joined
            case "detach":
                state.proxies.pop(self.reader.proxy(params), None)
            case "done":
                state.acks.append(self.reader.version_acked(params))
            case "owner":
                slice_id = self.reader.slice(params)
                if params.get("set"):
                    state.tables[slice_id] = {}
                else:
                    state.tables.pop(slice_id, None)
            case "entry":
                entry = self.reader.table_entry(params)
                if entry.slice in state.tables and entry.weight > 0:
                    state.tables[entry.slice][entry.host] = entry.weight

    def replace_state(self, state: InitialState, unconfirmed_orders: Iterable[TableOrder] = ()) -> list[api.Event]:
        """Replace the known state by a complete initial state, and return the difference as events.

        `unconfirmed_orders` are waiting or in flight, in the order in which they apply. A reported table may be as old
        as the connection, so orders confirmed or sent since are applied on top: otherwise the table from before such an
        order would be stored, and the assigner would never remove the entry that the order adds. This is wrong for a
        slice that another controller owned for a time while the watch was interrupted and orders were unconfirmed.
        """
        if state is self.initial_state:
            self.initial_state = None
        lost_slices = [slice_id for slice_id in self.tables if slice_id not in state.tables]
        events: list[api.Event] = [api.ProxyLeft(proxy) for proxy in self.proxies if proxy not in state.proxies]
        events += [joined for proxy, joined in state.proxies.items() if proxy not in self.proxies]
        events += [api.SliceOwnershipChange(slice_id, False) for slice_id in lost_slices]
        self.proxies = state.proxies
        self.incomplete_slices = self._changed_tables(state, unconfirmed_orders)
        for slice_id in lost_slices:
            del self.tables[slice_id]  # in place: the collector checks reports against this dict
        acks = [ack for ack in state.acks if ack.proxy in self.proxies]
        return [*events, *self.complete_slices(), *acks]

    def _changed_tables(self, state: InitialState, unconfirmed_orders: Iterable[TableOrder]) -> dict[int, Table]:
        """Return the tables that are new or differ from the known ones."""
        confirmed = group_by_slice(state.confirmed_orders)
        unconfirmed = group_by_slice(unconfirmed_orders)
        changed: dict[int, Table] = {}
        for slice_id, reported in state.tables.items():
            orders = unconfirmed.get(slice_id, ())
            table = apply_orders(apply_orders(reported, confirmed.get(slice_id, ())), orders)
            known = self.tables.get(slice_id)
            if known is None or apply_orders(known, orders) != table:
                changed[slice_id] = table
        return changed

    # ---- an established connection -------------------------------------------------------------------------

    def apply(self, notification: Notification) -> list[api.Event]:
        """Apply a notification after the initial state, and return its events. Raises InvalidNotificationError.

        A newly assigned slice causes no event until its entries have arrived: see `complete_slices`.
        """
        params = notification.params
        match notification.method:
            case "attach":
                joined = self.reader.proxy_joined(params)
                self.proxies[joined.proxy] = joined
                return [joined]
            case "detach":
                proxy = self.reader.proxy(params)
                return [api.ProxyLeft(proxy)] if self.proxies.pop(proxy, None) else []
            case "done":
                ack = self.reader.version_acked(params)
                return [ack] if ack.proxy in self.proxies else []
            case "owner":
                return self._on_ownership(self.reader.slice(params), bool(params.get("set")))
            case "entry":
                entry = self.reader.table_entry(params)
                return self._on_table_entry(entry.slice, entry.host, entry.weight)
        return []

    def _on_ownership(self, slice_id: int, is_owned: bool) -> list[api.Event]:
        if is_owned:
            self.incomplete_slices[slice_id] = {}
            return []
        self.incomplete_slices.pop(slice_id, None)
        was_owned = self.tables.pop(slice_id, None) is not None
        return [api.SliceOwnershipChange(slice_id, False)] if was_owned else []

    def _on_table_entry(self, slice_id: int, host: int, weight: float) -> list[api.Event]:
        incomplete = self.incomplete_slices.get(slice_id)
        if incomplete is not None:
            if weight > 0:
                incomplete[host] = weight
            return []
        # The slice was delivered before: the entry echoes an order of this controller, or arrived late.
        table = self.tables.get(slice_id)
        if table is None or weight <= 0 or host in table:
            return []
        table[host] = weight
        return [api.StoredWeight(slice_id, host, weight)]

    def complete_slices(self) -> list[api.Event]:
        """Return the events of newly assigned slices and their entries, which are now assumed complete."""
        events: list[api.Event] = []
        for slice_id, table in self.incomplete_slices.items():
            self.tables[slice_id] = table
            events.append(api.SliceOwnershipChange(slice_id, True))
            events += [api.StoredWeight(slice_id, host, weight) for host, weight in table.items()]
        self.incomplete_slices = {}
        return events

    def on_order_confirmed(self, order: TableOrder) -> None:
        """Apply a confirmed order to the known table of its slice."""
        if order.slice in self.tables:
            self.tables[order.slice] = apply_orders(self.tables[order.slice], [order])
            if self.initial_state:
                self.initial_state.confirmed_orders.append(order)
