"""Orders as the relay reads them: which are of one kind and place, in what turn they stand in a call, their words."""

from __future__ import annotations

from typing import Any

import msgspec

from .. import interface as api
from ..host_names import name

Key = tuple[str, int, int]
Order = api.SetLine | api.ResetTable | api.Cordon | api.Level | api.Mark

# In a call that had to be cut, what comes first is there first: nobody loses a host before the new one stands.
EMPTY, SHUT, ADD, TAKE, LET, LEVEL, MARK = range(7)


def key(o: Order) -> Key:
    match o:
        case api.SetLine():
            return ("line", o.slice, o.host)
        case api.ResetTable():
            return ("empty", o.slice, 0)
        case api.Cordon():
            return ("cordon", o.host, 0)
        case api.Level():
            return ("level", o.slice, o.operations)
        case api.Mark():
            return ("mark", 0, 0)


def rank(o: Order) -> int:
    match o:
        case api.ResetTable():
            return EMPTY
        case api.Cordon():
            return SHUT if o.on else LET
        case api.SetLine():
            return ADD if o.weight > 0 else TAKE
        case api.Level():
            return LEVEL
        case api.Mark():
            return MARK


def encode(o: Order, operations: list[str]) -> bytes:
    said: dict[str, Any]
    match o:
        case api.SetLine():
            said = {"op": "SET", "table": o.slice, "endpoint": name(o.host), "w": o.weight}
        case api.ResetTable():
            said = {"op": "DEL", "table": o.slice}
        case api.Cordon():
            said = {"op": "OUT" if o.on else "IN", "endpoint": name(o.host)}
        case api.Level():
            chosen = [x for k, x in enumerate(operations) if o.operations >> k & 1]
            said = {
                "op": "LIMIT",
                "table": "*" if o.slice == api.ALL_TABLES else o.slice,
                "for": chosen or "*",
                "gate": o.amount,
                "again": int(o.retry),
            }
        case api.Mark():
            said = {"op": "SYNC", "stamp": o.number, "set": int(o.everyone)}
    return msgspec.json.encode(said)
