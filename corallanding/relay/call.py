"""One call to the relay: a batch of orders, encoded as one line of JSON-RPC. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from .orders import Order, SliceOrder, call_position, encode

MAX_CALL_BYTES = 60_000  # encoded orders in one call
CALL_HEAD = b'{"jsonrpc":"2.0","id":%d,"method":"relay.apply","params":{"ops":['
CALL_TAIL = b"]}}\n"


class CallAnswer(msgspec.Struct):
    """A JSON-RPC response. Its fields are not validated here and may have any type."""

    id: Any = None
    result: Any = None
    error: Any = None


@dataclass
class Call:
    """A call in flight.

    `line` is the encoded request and `orders` are its orders, in the same order. `revoked_slices` were taken from this
    controller after the call was built: their orders are ignored, whatever the outcome of the call.
    """

    id: int
    line: bytes
    orders: list[Order]
    revoked_slices: set[int] = field(default_factory=set)

    def valid_orders(self, orders: list[Order]) -> list[Order]:
        """Return `orders` without those on slices that were taken from this controller."""
        return [order for order in orders if not (isinstance(order, SliceOrder) and order.slice in self.revoked_slices)]


def build_call(call_id: int, waiting: Iterable[Order], request_classes: list[str], max_orders: int) -> Call:
    """Build a call from as many waiting orders as fit into `MAX_CALL_BYTES`, at most `max_orders`.

    Versions sort last, so a version is sent only with the last of several calls.
    """
    size_bytes = 0
    orders: list[Order] = []
    encoded: list[bytes] = []
    for order in sorted(waiting, key=call_position):  # the sort is stable within a kind
        operation = encode(order, request_classes)
        if orders and (len(orders) == max_orders or size_bytes + len(operation) + 1 > MAX_CALL_BYTES):
            break
        size_bytes += len(operation) + 1
        orders.append(order)
        encoded.append(operation)
    return Call(call_id, CALL_HEAD % call_id + b",".join(encoded) + CALL_TAIL, orders)
