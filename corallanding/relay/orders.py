"""Orders as the relay reads them: which are of one kind and place, in what turn they stand in a call, their words."""

from __future__ import annotations

from typing import Any

import msgspec

from .. import interface as api
from ..host_names import name

Key = tuple[str, int, int]
Order = api.SetWeight | api.ResetTable | api.Cordon | api.SetAdmission | api.PublishVersion

# In a call that had to be cut, what comes first is there first: nobody loses a host before the new one stands.
EMPTY, SHUT, ADD, TAKE, LET, LEVEL, MARK = range(7)


def key(o: Order) -> Key:
    match o:
        case api.SetWeight():
            return ("line", o.slice, o.host)
        case api.ResetTable():
            return ("empty", o.slice, 0)
        case api.Cordon():
            return ("cordon", o.host, 0)
        case api.SetAdmission():
            return ("level", o.slice, o.request_classes)
        case api.PublishVersion():
            return ("mark", 0, 0)


def rank(o: Order) -> int:
    match o:
        case api.ResetTable():
            return EMPTY
        case api.Cordon():
            return SHUT if o.is_cordoned else LET
        case api.SetWeight():
            return ADD if o.weight > 0 else TAKE
        case api.SetAdmission():
            return LEVEL
        case api.PublishVersion():
            return MARK


def encode(o: Order, operations: list[str]) -> bytes:
    said: dict[str, Any]
    match o:
        case api.SetWeight():
            said = {"op": "SET", "table": o.slice, "endpoint": name(o.host), "w": o.weight}
        case api.ResetTable():
            said = {"op": "DEL", "table": o.slice}
        case api.Cordon():
            said = {"op": "OUT" if o.is_cordoned else "IN", "endpoint": name(o.host)}
        case api.SetAdmission():
            chosen = [x for k, x in enumerate(operations) if o.request_classes >> k & 1]
            said = {
                "op": "LIMIT",
                "table": "*" if o.slice == api.ALL_TABLES else o.slice,
                "for": chosen or "*",
                "gate": o.amount,
                "again": int(o.retry),
            }
        case api.PublishVersion():
            said = {"op": "SYNC", "stamp": o.version, "set": int(o.to_all_proxies)}
    return msgspec.json.encode(said)
