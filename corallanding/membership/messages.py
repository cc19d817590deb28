"""Messages of the membership protocol between controllers. Their tags and the order of fields are frozen."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from ..wire.peer_messages import MessageCodec

MAX_UPDATES = 12  # in one message: of at most 13 bytes each, beside a header of at most 40


class MemberUpdate(NamedTuple):
    """A claim on a member's state (`MemberState`; a number that is none is ignored by who receives it)."""

    member: int
    state: int
    incarnation: int


class MembershipMessage(msgspec.Struct, frozen=True, array_like=True, tag_field="t"):
    """Base of the messages.

    `sequence` numbers the probes of the prober. `process_incarnation` is the random number that other messages between
    controllers call incarnation: by it two processes under one number are told apart. `incarnation` is SWIM's: a member
    raises its own to refute a suspicion.
    """

    sequence: int
    process_incarnation: int
    incarnation: int
    updates: list[MemberUpdate]


class Ping(MembershipMessage, frozen=True, array_like=True, tag=1):
    """A probe of the member `target` as the prober knows it: one that reaches another number is rejected."""

    target: int = -1


class Ack(MembershipMessage, frozen=True, array_like=True, tag=2):
    """The answer to a ping. `target` is the member that answered, where a third passes the answer on."""

    target: int = -1


class PingRequest(MembershipMessage, frozen=True, array_like=True, tag=3):
    """Asks a third member to probe `target` (SWIM's ping-req)."""

    target: int = -1


AnyMessage = Ping | Ack | PingRequest


def is_valid(message: MembershipMessage) -> bool:
    """Whether the values of a message are possible."""
    return len(message.updates) <= MAX_UPDATES


_codec = MessageCodec[AnyMessage](AnyMessage, is_valid)
encode = _codec.encode
decode = _codec.decode
