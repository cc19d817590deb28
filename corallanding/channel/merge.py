"""Merges urgent orders with the parts of queued orders that must be applied together with them. It does no I/O.

The orders for one proxy are incremental changes. Orders that overtake others must leave every table as if they had been
applied in sequence, and no table may be without a host in between. All changes of the tables that the urgent orders
touch are therefore moved from the queued orders to the urgent ones.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

import msgspec

from ..wire.frames import Orders

Line = tuple[int, int]
"""Table and host of a table entry."""


class MergedOrders(NamedTuple):
    """Result of `merge_overtaken`.

    urgent: the urgent orders with the changes taken from queued ones. remaining: the rest of each of the queued orders,
    oldest first; None if nothing remains.
    """

    urgent: Orders
    remaining: list[Orders | None]


def is_overtakable(orders: Orders | None) -> bool:
    """Return whether orders may overtake others or be overtaken.

    Lines, levels, cordons and addresses may. Orders that reset tables, withdraw slices or assign tables to proxies keep
    their position.
    """
    return orders is not None and not (orders.reset_tables or orders.assigned_tables or orders.withdrawn_slices)


def cost_lines(orders: Orders) -> int:
    """Return the cost of orders in the channel, in lines, with one line for a version to acknowledge."""
    emptied = len(orders.reset_tables) + len(orders.withdrawn_slices)
    changed = len(orders.lines) + len(orders.levels) + len(orders.cordons) + len(orders.assigned_tables)
    return emptied + changed + (orders.version >= 0)


def merge_overtaken(urgent: Orders, waiting: Sequence[Orders], base_seq: int) -> MergedOrders:
    """Move the changes that the urgent orders depend on from the queued (`waiting`) orders to the urgent ones.

    `waiting` has at least one element, oldest first. The last of the remaining orders carries the version of the urgent
    ones, so that its acknowledgement confirms that all are applied; if none remain, the urgent orders keep it. The
    sequence numbers that a proxy receives must never decrease. They start at `base_seq`, the highest of the sequence
    numbers that the proxies receive next, as a proxy that joined recently has only the newer orders queued.
    """
    cordons = {host: is_cordoned for orders in waiting for host, is_cordoned in orders.cordons}
    cordons.update(urgent.cordons)
    lines = _lines_to_take(urgent, waiting, includes_all_tables=any(cordons.values()))
    addresses = _addresses_to_take(urgent, waiting, {host for _, host in lines})
    lines.update({(table, host): weight for table, host, weight in urgent.lines})
    remaining = _remaining_orders(urgent, waiting, lines, addresses)
    last = _keep_newest(waiting[-1], remaining)
    base_seqs = [base_seq, *(max(base_seq, orders.seq) for orders in waiting[1:])]
    rows = [(table, host, weight) for (table, host), weight in lines.items()]
    rows.sort(key=lambda row: row[2] <= 0)  # add before removing, so that no table is empty in between
    merged = msgspec.structs.replace(
        urgent,
        seq=base_seqs[0] if last else urgent.seq,
        version=-1 if last else urgent.version,
        lines=rows,
        cordons=list(cordons.items()),
        addresses=addresses,
    )
    return MergedOrders(merged, _renumber(remaining, [*base_seqs[1:], urgent.seq], urgent, last))


def _lines_to_take(urgent: Orders, waiting: Sequence[Orders], *, includes_all_tables: bool) -> dict[Line, float]:
    """Return the lines of waiting orders in the tables that the urgent orders touch.

    All lines are taken if a host is cordoned: that excludes the host from every table at once, and any waiting line may
    add its replacement.
    """
    tables = {table for table, _, _ in urgent.lines}
    return {
        (table, host): weight
        for orders in waiting
        for table, host, weight in orders.lines
        if includes_all_tables or table in tables
    }


def _addresses_to_take(urgent: Orders, waiting: Sequence[Orders], hosts: set[int]) -> dict[int, str]:
    """Return the newest addresses of hosts whose lines are taken, and the addresses in the urgent orders.

    They are removed from all waiting orders: a proxy that joined after some of these must not receive an address older
    than the one it has.
    """
    addresses = {host: address for orders in waiting for host, address in orders.addresses.items() if host in hosts}
    addresses.update(urgent.addresses)
    return addresses


def _remaining_orders(
    urgent: Orders, waiting: Sequence[Orders], lines: dict[Line, float], addresses: dict[int, str]
) -> list[Orders | None]:
    """Return the waiting orders without `lines`, `addresses`, cordons and the levels that `urgent` sets."""
    levels = {(table, request_classes) for table, request_classes, _, _ in urgent.levels}
    remaining: list[Orders | None] = []
    for orders in waiting:
        rest = msgspec.structs.replace(
            orders,
            lines=[row for row in orders.lines if row[:2] not in lines],
            cordons=[],
            levels=[row for row in orders.levels if row[:2] not in levels],
            addresses={host: address for host, address in orders.addresses.items() if host not in addresses},
        )
        is_empty = not (rest.lines or rest.levels or rest.addresses)
        remaining.append(None if is_empty else rest)
    return remaining


def _keep_newest(newest: Orders, remaining: list[Orders | None]) -> Orders | None:
    """Keep the newest orders, even if empty, to carry the version if any remain: they are queued wherever others are.

    Return the orders that carry the version, or None.
    """
    if not any(remaining):
        return None
    carrier = remaining[-1] or msgspec.structs.replace(newest, lines=[], levels=[], cordons=[], addresses={})
    remaining[-1] = carrier
    return carrier


def _renumber(
    remaining: list[Orders | None], seqs: list[int], urgent: Orders, last: Orders | None
) -> list[Orders | None]:
    """Return the remaining orders with new sequence numbers, and with the version of `urgent` in `last`."""
    renumbered: list[Orders | None] = []
    for orders, seq in zip(remaining, seqs, strict=True):
        if orders is None:
            renumbered.append(None)
        elif orders is last:
            version = urgent.version if urgent.version >= 0 else orders.version
            renumbered.append(msgspec.structs.replace(orders, seq=urgent.seq, version=version))
        else:
            renumbered.append(msgspec.structs.replace(orders, seq=seq))
    return renumbered
