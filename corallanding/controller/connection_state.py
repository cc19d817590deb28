"""One proxy's connection as values, to be handed to a successor process. Pure.

The order of the fields is the form of the stored bytes.
"""

from __future__ import annotations

from collections import deque

import msgspec

from ..wire.frames import Hello
from ..wire.link import Link


class ConnectionState(msgspec.Struct, array_like=True):
    """One proxy's connection. Its descriptor is sent apart, in the same order."""

    began_at: float
    hello: Hello | None
    is_joined: bool
    is_write_paused: bool
    last_received_at: float
    unacked_versions: list[tuple[int, float]]  # version, when it was sent
    is_recalled: bool
    frame_allowance: float
    byte_allowance: float  # as `frame_allowance` counts frames
    replenished_at: float
    partial_frame: bytes  # what has come of it
    heartbeat_sent_at: float


def capture_connection(
    link: Link, *, is_joined: bool, is_write_paused: bool, heartbeat_sent_at: float
) -> ConnectionState:
    """A connection as values."""
    return ConnectionState(
        began_at=link.now,
        hello=link.hello,
        is_joined=is_joined,
        is_write_paused=is_write_paused,
        last_received_at=link.heard,
        unacked_versions=list(link.marks),
        is_recalled=link.recalled,
        frame_allowance=link.allowance,
        byte_allowance=link.flow,
        replenished_at=link.counted,
        partial_frame=bytes(link.reader.held),
        heartbeat_sent_at=heartbeat_sent_at,
    )


def restore_connection(link: Link, state: ConnectionState) -> None:
    """Let a new link go on where the handed over one was."""
    link.now = state.began_at
    link.hello = state.hello
    link.heard = state.last_received_at
    link.marks = deque((version, at) for version, at in state.unacked_versions)
    link.recalled = state.is_recalled
    link.allowance = state.frame_allowance
    link.flow = state.byte_allowance
    link.counted = state.replenished_at
    link.reader.held = bytearray(state.partial_frame)
