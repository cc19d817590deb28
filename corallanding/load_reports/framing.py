"""Messages between the controller and its intake process: four bytes of length, then MessagePack. Pure."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import msgspec

LENGTH_BYTES = 4


def encode_message(message: Any) -> bytes:
    """Return the message with its length before it."""
    body = msgspec.msgpack.encode(message)
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


def decode_messages(buffer: bytearray) -> Iterator[Any]:
    """Take the complete messages out of `buffer`, which keeps the rest.

    Both ends are this project's: nothing is bounded or checked here.
    """
    while len(buffer) >= LENGTH_BYTES:
        end = LENGTH_BYTES + int.from_bytes(buffer[:LENGTH_BYTES], "big")
        if len(buffer) < end:
            return
        body = bytes(buffer[LENGTH_BYTES:end])
        del buffer[:end]
        yield msgspec.msgpack.decode(body)
