"""Messages of the membership protocol between controllers. Their tags and the order of fields are frozen."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from ..wire.peer_messages import MessageCodec

MAX_UPDATES = 12  # per message: at most 13 bytes each, after a header of at most 40


class MemberUpdate(NamedTuple):
    """A claim on a member's state (`MemberState`; receivers ignore unknown values)."""

    member: int
    state: int
    incarnation: int


class MembershipMessage(msgspec.Struct, frozen=True, array_like=True, tag_field="t"):
    """Base of the messages.

    `sequence` numbers the probes of the prober. `process_incarnation` is the random number that other messages between
    controllers call incarnation: it distinguishes two processes with the same controller number. `incarnation` is
    SWIM's: a member raises its own to refute a suspicion.
    """

    sequence: int
    process_incarnation: int
    incarnation: int
    updates: list[MemberUpdate]


class Ping(MembershipMessage, frozen=True, array_like=True, tag=1):
    """A probe of the member `target`. A controller with another number rejects it; -1 addresses any."""

    target: int = -1


class Ack(MembershipMessage, frozen=True, array_like=True, tag=2):
    """Reply to a ping. `target` is the member that replied if another member forwards the reply, else -1."""

    target: int = -1


class PingRequest(MembershipMessage, frozen=True, array_like=True, tag=3):
    """Request to a third member to probe `target` (SWIM's ping-req)."""

    target: int = -1


AnyMessage = Ping | Ack | PingRequest


def is_valid(message: MembershipMessage) -> bool:
    """Return whether the message is valid: it has at most `MAX_UPDATES` updates."""
    return len(message.updates) <= MAX_UPDATES


_codec = MessageCodec[AnyMessage](AnyMessage, is_valid)
encode = _codec.encode
decode = _codec.decode
