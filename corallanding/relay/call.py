"""One call to the relay: the orders that it holds, as a line of JSON-RPC. Pure."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from .orders import Order, SliceOrder, call_position, encode

MAX_CALL_BYTES = 60_000  # of orders in one call
CALL_HEAD = b'{"jsonrpc":"2.0","id":%d,"method":"relay.apply","params":{"ops":['
CALL_TAIL = b"]}}\n"


class CallAnswer(msgspec.Struct):
    """A JSON-RPC answer; any of its fields may be of any type."""

    id: Any = None
    result: Any = None
    error: Any = None


@dataclass
class Call:
    """A call in flight.

    `line` is what is sent, `orders` what it holds, in its order. `void_slices` were taken from this controller since:
    orders on them no longer count, whatever becomes of the call.
    """

    id: int
    line: bytes
    orders: list[Order]
    void_slices: set[int] = field(default_factory=set)

    def valid_orders(self, orders: list[Order]) -> list[Order]:
        """Return those of `orders` that still count."""
        return [order for order in orders if not (isinstance(order, SliceOrder) and order.slice in self.void_slices)]


def build_call(call_id: int, waiting: Iterable[Order], request_classes: list[str]) -> Call:
    """Put as many waiting orders as fit into one call; a version, last of all, goes with the last part only."""
    size_bytes = 0
    orders: list[Order] = []
    encoded: list[bytes] = []
    for order in sorted(waiting, key=call_position):  # stable within a kind
        operation = encode(order, request_classes)
        if orders and size_bytes + len(operation) + 1 > MAX_CALL_BYTES:
            break
        size_bytes += len(operation) + 1
        orders.append(order)
        encoded.append(operation)
    return Call(call_id, CALL_HEAD % call_id + b",".join(encoded) + CALL_TAIL, orders)
