"""What the relay's watch says is in force: joined proxies, owned slices and their tables. Pure.

A new connection first says everything that is in force, without a mark at its end; the owner of the connection decides
when that is complete (`replace_state`). What was known before and is not said again is gone; what is said again
unchanged is no event.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from .. import interface as api
from .notifications import Notification, NotificationReader
from .orders import TableOrder

Table = dict[int, float]
"""Weights by host."""


@dataclass
class InitialState:
    """What a new connection has said so far.

    `confirmed_orders` were confirmed in the meantime: what the connection said of their slices may hold them or not.
    """

    proxies: dict[int, api.ProxyJoined] = field(default_factory=dict)
    tables: dict[int, Table] = field(default_factory=dict)
    acks: list[api.VersionAcked] = field(default_factory=list)
    confirmed_orders: list[TableOrder] = field(default_factory=list)


def apply_orders(table: Table, orders: Iterable[TableOrder]) -> Table:
    """Return the table after orders on it. Each sets a state, so it does not matter if some had been applied."""
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
    """Return the orders of each slice, in their order."""
    groups: dict[int, list[TableOrder]] = {}
    for order in orders:
        groups.setdefault(order.slice, []).append(order)
    return groups


class RelayView:
    """What is known to be in force. It outlives connections.

    `tables` are the entries as the relay stores them; the owner keeps them true with the orders that the relay confirms
    (`on_order_confirmed`). `zones` maps names to numbers.
    """

    def __init__(self, settings: api.Settings, zones: dict[str, int]) -> None:
        self.reader = NotificationReader(settings, zones)
        self.proxies: dict[int, api.ProxyJoined] = {}
        self.tables: dict[int, Table] = {}
        self.arriving_slices: dict[int, Table] = {}  # given just now, while their entries still come
        self.initial_state: InitialState | None = None  # of the connection that is new

    # ---- a new connection ----------------------------------------------------------------------------------

    def begin_initial_state(self) -> InitialState:
        """A connection begins to say what is in force."""
        self.initial_state = InitialState()
        return self.initial_state

    def add_initial(self, state: InitialState, notification: Notification) -> None:
        """Take a line of what is in force. Raises InvalidNotificationError."""
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
        """What is in force is complete: return the difference to what was known.

        `unconfirmed_orders` are out, in the order in which they apply. What was said of a slice is as old as the
        connection, so orders that were confirmed or sent since are applied on top: otherwise a table from before such
        an order would be remembered, whose new entry the assigner would never take back. This is wrong for a slice that
        went to another controller and came back while the watch was interrupted, with orders out.
        """
        if state is self.initial_state:
            self.initial_state = None
        lost_slices = [slice_id for slice_id in self.tables if slice_id not in state.tables]
        events: list[api.Event] = [api.ProxyLeft(proxy) for proxy in self.proxies if proxy not in state.proxies]
        events += [joined for proxy, joined in state.proxies.items() if proxy not in self.proxies]
        events += [api.SliceOwnershipChange(slice_id, False) for slice_id in lost_slices]
        self.proxies = state.proxies
        self.arriving_slices = self._changed_tables(state, unconfirmed_orders)
        for slice_id in lost_slices:
            del self.tables[slice_id]  # in place: reports are checked against this very table
        acks = [ack for ack in state.acks if ack.proxy in self.proxies]
        return [*events, *self.complete_slices(), *acks]

    def _changed_tables(self, state: InitialState, unconfirmed_orders: Iterable[TableOrder]) -> dict[int, Table]:
        """Return the tables that are new, or differ from what was known."""
        confirmed = group_by_slice(state.confirmed_orders)
        unconfirmed = group_by_slice(unconfirmed_orders)
        changed: dict[int, Table] = {}
        for slice_id, said in state.tables.items():
            orders = unconfirmed.get(slice_id, ())
            table = apply_orders(apply_orders(said, confirmed.get(slice_id, ())), orders)
            known = self.tables.get(slice_id)
            if known is None or apply_orders(known, orders) != table:
                changed[slice_id] = table
        return changed

    # ---- an established connection -------------------------------------------------------------------------

    def apply(self, notification: Notification) -> list[api.Event]:
        """Take a line after the initial state. Raises InvalidNotificationError.

        A slice that is given waits for its entries: see `complete_slices`.
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
            self.arriving_slices[slice_id] = {}
            return []
        self.arriving_slices.pop(slice_id, None)
        was_owned = self.tables.pop(slice_id, None) is not None
        return [api.SliceOwnershipChange(slice_id, False)] if was_owned else []

    def _on_table_entry(self, slice_id: int, host: int, weight: float) -> list[api.Event]:
        arriving = self.arriving_slices.get(slice_id)
        if arriving is not None:
            if weight > 0:
                arriving[host] = weight
            return []
        # Of a slice that was given some time ago: an echo of an order, or an entry that came late.
        table = self.tables.get(slice_id)
        if table is None or weight <= 0 or host in table:
            return []
        table[host] = weight
        return [api.StoredWeight(slice_id, host, weight)]

    def complete_slices(self) -> list[api.Event]:
        """The entries of slices that were given are complete: return each slice with its entries, for one step."""
        events: list[api.Event] = []
        for slice_id, table in self.arriving_slices.items():
            self.tables[slice_id] = table
            events.append(api.SliceOwnershipChange(slice_id, True))
            events += [api.StoredWeight(slice_id, host, weight) for host, weight in table.items()]
        self.arriving_slices = {}
        return events

    def assume_acked(self, version: int) -> list[api.Event]:
        """Return acks up to `version` in place of those that were lost while the watch was interrupted.

        The assigner would wait for them for good, with its queue full by its own count, and might not even send the
        version whose acks would clear it. If this is asked too early, it frees a queue that is not empty yet.
        """
        return [api.VersionAcked(proxy, version) for proxy in self.proxies]

    def on_order_confirmed(self, order: TableOrder) -> None:
        """The relay confirmed an order."""
        if order.slice in self.tables:
            self.tables[order.slice] = apply_orders(self.tables[order.slice], [order])
            if self.initial_state:
                self.initial_state.confirmed_orders.append(order)
