"""Orders to the relay: which orders replace one another, their position in a call, their encoding. No I/O."""

from __future__ import annotations

from enum import IntEnum, StrEnum
from typing import Any, NamedTuple

import msgspec

from .. import interface as api
from ..host_names import host_name

Order = api.SetWeight | api.ResetTable | api.Cordon | api.SetAdmission | api.PublishVersion
"""An action of the assigner that the relay carries out."""

SliceOrder = api.SetWeight | api.ResetTable | api.SetAdmission
"""An order on one slice."""

TableOrder = api.SetWeight | api.ResetTable
"""An order that changes a table."""


class OrderKind(StrEnum):
    """The kind of state that an order sets."""

    TABLE_ENTRY = "entry"
    TABLE_RESET = "reset"
    CORDON = "cordon"
    ADMISSION = "admission"
    VERSION = "version"


class OrderKey(NamedTuple):
    """Identifies the state that an order sets: of two orders with the same key, the later one replaces the earlier.

    `target` is a slice or a host; `detail` is the host of a table entry or the request classes of an admission.
    """

    kind: OrderKind
    target: int = 0
    detail: int = 0


class CallPosition(IntEnum):
    """Sort position within a call: if a call has to be split, proxies receive new hosts before old ones are removed."""

    RESET_TABLE = 0
    CORDON = 1
    ADD_ENTRY = 2
    REMOVE_ENTRY = 3
    UNCORDON = 4
    ADMISSION = 5
    VERSION = 6


def key(order: Order) -> OrderKey:
    """Return the key of the state that the order sets."""
    match order:
        case api.SetWeight():
            return OrderKey(OrderKind.TABLE_ENTRY, order.slice, order.host)
        case api.ResetTable():
            return OrderKey(OrderKind.TABLE_RESET, order.slice)
        case api.Cordon():
            return OrderKey(OrderKind.CORDON, order.host)
        case api.SetAdmission():
            return OrderKey(OrderKind.ADMISSION, order.slice, order.request_classes)
        case api.PublishVersion():
            return OrderKey(OrderKind.VERSION)


def call_position(order: Order) -> CallPosition:
    """Return the sort position of the order within a call."""
    match order:
        case api.ResetTable():
            return CallPosition.RESET_TABLE
        case api.Cordon():
            return CallPosition.CORDON if order.is_cordoned else CallPosition.UNCORDON
        case api.SetWeight():
            return CallPosition.ADD_ENTRY if order.weight > 0 else CallPosition.REMOVE_ENTRY
        case api.SetAdmission():
            return CallPosition.ADMISSION
        case api.PublishVersion():
            return CallPosition.VERSION


def encode(order: Order, request_classes: list[str]) -> bytes:
    """Return the order as JSON. `request_classes` are the names of the request classes, indexed by their number."""
    return msgspec.json.encode(_operation(order, request_classes))


def _operation(order: Order, request_classes: list[str]) -> dict[str, Any]:
    match order:
        case api.SetWeight():
            return {"op": "SET", "table": order.slice, "endpoint": host_name(order.host), "w": order.weight}
        case api.ResetTable():
            return {"op": "DEL", "table": order.slice}
        case api.Cordon():
            return {"op": "OUT" if order.is_cordoned else "IN", "endpoint": host_name(order.host)}
        case api.SetAdmission():
            return _admission(order, request_classes)
        case api.PublishVersion():
            return {"op": "SYNC", "stamp": order.version, "set": int(order.to_all_proxies)}


def _admission(order: api.SetAdmission, request_classes: list[str]) -> dict[str, Any]:
    class_names = [class_name for bit, class_name in enumerate(request_classes) if order.request_classes >> bit & 1]
    return {
        "op": "LIMIT",
        "table": "*" if order.slice == api.ALL_TABLES else order.slice,
        "for": class_names or "*",
        "gate": order.amount,
        "again": int(order.retry),
    }
