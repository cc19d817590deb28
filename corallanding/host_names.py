"""Hosts by name, where a platform names them: a number for the module and back. Pure, without a table.

The module scores numbers. This one is the name's bytes read as one number, a 1 before them: every steward has the same
after every start, two names never share one, and nothing is kept that would have to be forgotten.
"""

from __future__ import annotations

NAME_MOST = 64  # bytes


def number(name: str) -> int:
    """Raises ValueError on a name that is empty or too long."""
    raw = name.encode()
    if not 0 < len(raw) <= NAME_MOST:
        raise ValueError(f"a host's name of {len(raw)} bytes: 1 to {NAME_MOST} are allowed")
    return int.from_bytes(b"\x01" + raw, "big")


def name(number: int) -> str:
    """The name that `number` came from."""
    return number.to_bytes((number.bit_length() + 7) // 8, "big")[1:].decode()
