"""Words between stewards on budgets: msgpack arrays, each within one datagram."""

from __future__ import annotations

import msgspec

from ..lease.messages import ElectionMessage
from ..lease.messages import is_valid as is_valid_lease_message
from ..wire.peer_messages import ControllerMessage

# budget, subject, wanted, what a good grant holds, the most that may be in use, round of the grant that was taken up
RequestRow = tuple[int, int, int, int, int, int]
GrantRow = tuple[int, int, int]  # budget, subject, amount


class CapacityRequest(ControllerMessage, frozen=True, array_like=True, tag=14):
    """to, office: life and round of the last word by which that divider said that it holds the office. So it knows that
    what a row says was so in its own term, and that no former divider can have lent it to another since."""

    allocator: int = 0
    allocator_round: int = 0
    rows: list[RequestRow] = []


class CapacityGrant(ControllerMessage, frozen=True, array_like=True, tag=15):
    """The answer to the want of that life and round."""

    rows: list[GrantRow] = []


QuotaMessage = ElectionMessage | CapacityRequest | CapacityGrant
_decoder: msgspec.msgpack.Decoder[QuotaMessage] = msgspec.msgpack.Decoder(QuotaMessage)


def encode(word: QuotaMessage) -> bytes:
    return msgspec.msgpack.encode(word)


def decode(data: bytes) -> QuotaMessage | None:
    """None for what is no word of ours, or a newer one's that we do not know."""
    try:
        word = _decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None
    return word if sound(word) else None


def sound(word: QuotaMessage) -> bool:
    """Whether its fields can be meant."""
    if isinstance(word, CapacityRequest):
        return min(word.incarnation, word.round) >= 0 and all(min(row) >= 0 for row in word.rows)
    if isinstance(word, CapacityGrant):
        return min(word.incarnation, word.round) >= 0 and all(row[2] >= 0 for row in word.rows)
    return is_valid_lease_message(word)
