"""Conversion between host names and numbers, for platforms that name their hosts. Pure, without a table.

The assigner identifies hosts by number. The number of a name is its bytes read as one big-endian integer, after a
leading byte of value 1. Every controller computes the same number after every start, no two names share one, and
nothing is stored.
"""

from __future__ import annotations

MAX_NAME_BYTES = 64


def host_number(name: str) -> int:
    """Return the number of a host name. Raises ValueError if the name is empty or longer than `MAX_NAME_BYTES`."""
    raw = name.encode()
    if not 0 < len(raw) <= MAX_NAME_BYTES:
        raise ValueError(f"host name has {len(raw)} bytes: 1 to {MAX_NAME_BYTES} are allowed")
    return int.from_bytes(b"\x01" + raw, "big")


def host_name(number: int) -> str:
    """Return the name from which `number` was computed."""
    return number.to_bytes((number.bit_length() + 7) // 8, "big")[1:].decode()
