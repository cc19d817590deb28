"""Shared helpers for the tests of the channel: orders, and a model of a proxy that applies them."""

from __future__ import annotations

from typing import Any

from corallanding.channel import Channel
from corallanding.channel.merge import cost_lines
from corallanding.channel.proxy_queue import Message
from corallanding.wire.frames import Orders, encode


def make_orders(seq: int, version: int, *lines: tuple[int, int, float], **more: Any) -> Orders:
    """Return orders with the addresses of all hosts that the lines add."""
    addresses = {host: f"a{seq}" for _, host, weight in lines if weight > 0}
    return Orders(seq, version, lines=list(lines), addresses=addresses, **more)


def submit(channel: Channel, now: float, orders: Orders, to: tuple[int, ...], *, is_urgent: bool = False) -> None:
    """Submit orders as the controller does."""
    message = Message(encode(orders), cost_lines(orders), orders.version, now, orders)
    channel.submit(message, to, is_urgent=is_urgent)


class ProxyModel:
    """The state of a proxy after the orders that it has applied."""

    def __init__(self, tables: dict[int, dict[int, float]]) -> None:
        self.tables = {table: dict(row) for table, row in tables.items()}
        self.cordons: set[int] = set()
        self.addresses: dict[int, str] = {}
        self.levels: dict[tuple[int, int], float] = {}
        self.seq = 0
        self.version = -1

    def apply(self, orders: Orders) -> None:
        """Apply the orders, and check that sequence numbers and versions never decrease."""
        for table, host, weight in orders.lines:
            self.tables[table].pop(host, None)
            if weight > 0:
                self.tables[table][host] = weight
        self.levels.update({(table, bits): amount for table, bits, amount, _ in orders.levels})
        for host, is_cordoned in orders.cordons:
            (self.cordons.add if is_cordoned else self.cordons.discard)(host)
        self.addresses.update(orders.addresses)
        assert orders.seq >= self.seq
        self.seq = orders.seq
        if orders.version >= 0:
            assert self.version < 0 or (orders.version - self.version) % 65536 < 32768
            self.version = orders.version

    def tables_without_host(self) -> list[int]:
        """Return the tables without a host that is not cordoned."""
        return [table for table, row in self.tables.items() if not set(row) - self.cordons]
