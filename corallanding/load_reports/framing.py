"""Framing of messages between the controller and its intake process: four bytes of length, then MessagePack."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import msgspec

LENGTH_BYTES = 4


def encode_message(message: Any) -> bytes:
    """Return the encoded message, preceded by its length."""
    body = msgspec.msgpack.encode(message)
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


def decode_messages(buffer: bytearray) -> Iterator[Any]:
    """Yield the complete messages in `buffer` and remove them; a partial message stays.

    Both processes are trusted: lengths are not bounded, and messages are not validated.
    """
    while len(buffer) >= LENGTH_BYTES:
        end = LENGTH_BYTES + int.from_bytes(buffer[:LENGTH_BYTES], "big")
        if len(buffer) < end:
            return
        body = bytes(buffer[LENGTH_BYTES:end])
        del buffer[:end]
        yield msgspec.msgpack.decode(body)
