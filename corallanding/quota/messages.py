"""Messages on quotas between controllers: msgpack arrays, each within one datagram."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from ..lease.messages import ElectionMessage
from ..lease.messages import is_valid as is_valid_lease_message
from ..wire.peer_messages import ControllerMessage, MessageCodec


class RequestRow(NamedTuple):
    """The request of a client for one budget, or for one host of a budget."""

    budget_id: int
    subject: int
    wanted: int
    granted: int  # units of a grant that has not expired
    in_use: int  # upper bound of the units in use beyond the floor
    grant_round: int  # round of the last grant that the client accepted


class GrantRow(NamedTuple):
    """The units granted to a client of one budget, or of one host of a budget."""

    budget_id: int
    subject: int
    amount: int


class CapacityRequest(ControllerMessage, frozen=True, array_like=True, tag=14):
    """A request for capacity, from a client to the allocator.

    allocator, allocator_round: incarnation and round of the last message in which that allocator claimed to lead. They
    prove to the allocator that each row was valid in its own term, so that no predecessor can have granted it since.
    """

    allocator: int = 0
    allocator_round: int = 0
    rows: list[RequestRow] = msgspec.field(default_factory=list)


class CapacityGrant(ControllerMessage, frozen=True, array_like=True, tag=15):
    """The answer to the capacity request with that incarnation and round."""

    rows: list[GrantRow] = msgspec.field(default_factory=list)


QuotaMessage = ElectionMessage | CapacityRequest | CapacityGrant


def is_valid(message: QuotaMessage) -> bool:
    """Return whether every field is within its bounds."""
    if isinstance(message, CapacityRequest):
        return min(message.incarnation, message.round) >= 0 and all(min(row) >= 0 for row in message.rows)
    if isinstance(message, CapacityGrant):
        return min(message.incarnation, message.round) >= 0 and all(row.amount >= 0 for row in message.rows)
    return is_valid_lease_message(message)


_codec: MessageCodec[QuotaMessage] = MessageCodec(QuotaMessage, is_valid)
encode = _codec.encode
decode = _codec.decode
