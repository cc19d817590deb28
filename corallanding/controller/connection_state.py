"""The state of a proxy's connection, for the handover to a new process. Pure.

The field order defines the stored format.
"""

from __future__ import annotations

from collections import deque

import msgspec

from ..wire.frames import Hello
from ..wire.link_state import LinkState


class ConnectionState(msgspec.Struct, array_like=True):
    """The state of one proxy's connection. File descriptors are sent separately, in the same order as these states."""

    opened_at_ms: float
    hello: Hello | None
    is_joined: bool
    is_write_paused: bool
    last_received_at: float
    unacked_versions: list[tuple[int, float]]  # (version, when it was sent in ms)
    is_recalled: bool
    frame_allowance: float
    byte_allowance: float  # bytes that may be received now, as `frame_allowance` is frames
    replenished_at: float
    partial_frame: bytes  # received bytes of an incomplete frame
    heartbeat_sent_at: float


def capture_connection(
    link: LinkState, *, is_joined: bool, is_write_paused: bool, heartbeat_sent_at: float
) -> ConnectionState:
    """Return the state of a connection."""
    return ConnectionState(
        opened_at_ms=link.opened_at_ms,
        hello=link.hello,
        is_joined=is_joined,
        is_write_paused=is_write_paused,
        last_received_at=link.last_received_at_ms,
        unacked_versions=list(link.unacked_versions),
        is_recalled=link.is_recalled,
        frame_allowance=link.frame_allowance,
        byte_allowance=link.byte_allowance,
        replenished_at=link.replenished_at_ms,
        partial_frame=bytes(link.reader.buffer),
        heartbeat_sent_at=heartbeat_sent_at,
    )


def restore_connection(link: LinkState, state: ConnectionState) -> None:
    """Restore the state of a connection into a new link."""
    link.opened_at_ms = state.opened_at_ms
    if state.hello:
        link.identify(state.hello)
    link.last_received_at_ms = state.last_received_at
    link.unacked_versions = deque((version, sent_at_ms) for version, sent_at_ms in state.unacked_versions)
    link.is_recalled = state.is_recalled
    link.frame_allowance = state.frame_allowance
    link.byte_allowance = state.byte_allowance
    link.replenished_at_ms = state.replenished_at
    link.reader.buffer = bytearray(state.partial_frame)
