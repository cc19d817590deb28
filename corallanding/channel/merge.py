"""Merges an urgent order with what it must take along when it overtakes orders that still wait. Pure.

The orders for one proxy are changes that build on one another. One that is applied early must leave every table as if
it had been applied in its turn, and no table may be without a host in between. It therefore takes along what the
waiting orders say of the tables that it touches, and they lose it.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

import msgspec

from ..wire.frames import Orders

Line = tuple[int, int]
"""Table and host of a line."""


class Merged(NamedTuple):
    """Result of `merge_ahead`.

    ahead: the urgent order with what it takes along. remaining: what is left of each waiting order, oldest first; None
    where nothing is.
    """

    ahead: Orders
    remaining: list[Orders | None]


def is_overtakable(orders: Orders | None) -> bool:
    """Whether an order may overtake others or be overtaken.

    That holds for lines, levels, cordons and addresses. Orders that reset tables, withdraw slices or assign tables to
    proxies keep their place.
    """
    return orders is not None and not (orders.reset_tables or orders.assigned_tables or orders.withdrawn_slices)


def cost_lines(orders: Orders) -> int:
    """What an order costs in the channel: its lines, with one for the version to acknowledge."""
    emptied = len(orders.reset_tables) + len(orders.withdrawn_slices)
    changed = len(orders.lines) + len(orders.levels) + len(orders.cordons) + len(orders.assigned_tables)
    return emptied + changed + (orders.version >= 0)


def merge_ahead(urgent: Orders, waiting: Sequence[Orders], base_seq: int) -> Merged:
    """Take along with the urgent order what it needs of the waiting ones.

    waiting: at least one, oldest first. The last of those that remain carries the version of the urgent one, so that
    its acknowledgement says that all are applied; if none remains, the urgent one keeps it. The sequence numbers that a
    proxy receives never decrease: they start at `base_seq`, the highest number that comes next at one of the proxies
    (one that joined lately waits for the newer orders only).
    """
    cordons = {host: is_cordoned for orders in waiting for host, is_cordoned in orders.cordons}
    cordons.update(urgent.cordons)
    lines = _lines_to_take(urgent, waiting, takes_all_tables=any(cordons.values()))
    addresses = _addresses_to_take(urgent, waiting, {host for _, host in lines})
    lines.update({(table, host): weight for table, host, weight in urgent.lines})
    remaining = _remaining(urgent, waiting, lines, addresses)
    last = _keep_newest(waiting[-1], remaining)
    base_seqs = [base_seq, *(max(base_seq, orders.seq) for orders in waiting[1:])]
    rows = [(table, host, weight) for (table, host), weight in lines.items()]
    rows.sort(key=lambda row: row[2] <= 0)  # new lines first, so that no table is empty in between
    ahead = msgspec.structs.replace(
        urgent,
        seq=base_seqs[0] if last else urgent.seq,
        version=-1 if last else urgent.version,
        lines=rows,
        cordons=list(cordons.items()),
        addresses=addresses,
    )
    return Merged(ahead, _renumbered(remaining, [*base_seqs[1:], urgent.seq], urgent, last))


def _lines_to_take(urgent: Orders, waiting: Sequence[Orders], *, takes_all_tables: bool) -> dict[Line, float]:
    """Lines of waiting orders in the tables that the urgent one touches.

    A cordon shuts a host out of every table at once, and any waiting line may hold the next host of a table: with a
    cordon all lines are taken.
    """
    tables = {table for table, _, _ in urgent.lines}
    return {
        (table, host): weight
        for orders in waiting
        for table, host, weight in orders.lines
        if takes_all_tables or table in tables
    }


def _addresses_to_take(urgent: Orders, waiting: Sequence[Orders], hosts: set[int]) -> dict[int, str]:
    """The newest addresses of hosts whose lines are taken, and those of the urgent order.

    They leave every waiting order: a proxy that joined after some of these must not get an address older than its own.
    """
    addresses = {host: address for orders in waiting for host, address in orders.addresses.items() if host in hosts}
    addresses.update(urgent.addresses)
    return addresses


def _remaining(
    urgent: Orders, waiting: Sequence[Orders], lines: dict[Line, float], addresses: dict[int, str]
) -> list[Orders | None]:
    """What is left of each waiting order without `lines`, `addresses`, cordons and the levels that `urgent` sets."""
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
    """Keep the newest order if any remains, even empty, to carry the version: it waits wherever one of them does."""
    if not any(remaining):
        return None
    carrier = remaining[-1] or msgspec.structs.replace(newest, lines=[], levels=[], cordons=[], addresses={})
    remaining[-1] = carrier
    return carrier


def _renumbered(
    remaining: list[Orders | None], seqs: list[int], urgent: Orders, last: Orders | None
) -> list[Orders | None]:
    """The remaining orders with new sequence numbers; the last one with the version of the urgent order."""
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
