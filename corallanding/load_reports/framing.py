"""Messages between the steward and its intake process: four bytes of length, then MessagePack. Pure."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import msgspec


def pack(item: Any) -> bytes:
    body = msgspec.msgpack.encode(item)
    return len(body).to_bytes(4, "big") + body


def unpack(held: bytearray) -> Iterator[Any]:
    """The whole messages in `held`, which keeps the rest. Both ends are ours: nothing is bounded or checked here."""
    while len(held) >= 4 and len(held) >= 4 + (size := int.from_bytes(held[:4], "big")):
        body = bytes(held[4 : 4 + size])
        del held[: 4 + size]
        yield msgspec.msgpack.decode(body)
