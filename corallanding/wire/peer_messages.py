"""Messages between controllers: their base class, their common header and their codec.

A message is a MessagePack array that fits one datagram. Its first item is the tag of its class, followed by the fields
in the order of their declaration. Tags and order are the wire format and never change; names of classes and fields are
not part of it. No two classes share a tag. Each package declares its messages as subclasses of `ControllerMessage`, a
function that validates the values of a message, and a `MessageCodec`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

import msgspec

MAX_INCARNATION = 1 << 63  # exclusive
MAX_ROUND = 1 << 53  # exclusive


class ControllerMessage(msgspec.Struct, frozen=True, array_like=True, tag_field="t"):
    """Base of messages between controllers.

    `incarnation` is a random number that each process draws at its start. `round` counts the messages of that process
    and never decreases. A response repeats both from its request.
    """

    incarnation: int
    round: int


@dataclass(frozen=True)
class OutgoingMessage:
    """A message to send to the controller with the number `to`."""

    to: int
    message: Any


def has_valid_header(message: ControllerMessage) -> bool:
    """Return whether the header fields of a message are within their bounds."""
    return 0 <= message.incarnation < MAX_INCARNATION and 0 <= message.round < MAX_ROUND


MessageT = TypeVar("MessageT", bound=msgspec.Struct)


class MessageCodec(Generic[MessageT]):
    """Encodes and decodes the messages of one package.

    `message_types` is the union of its classes. `is_valid` returns whether the values of a message are allowed.
    """

    def __init__(self, message_types: Any, is_valid: Callable[[MessageT], bool]) -> None:
        self._decoder: msgspec.msgpack.Decoder[MessageT] = msgspec.msgpack.Decoder(message_types)
        self._is_valid = is_valid

    def encode(self, message: MessageT) -> bytes:
        """Return the message as the bytes of one datagram."""
        return msgspec.msgpack.encode(message)

    def decode(self, data: bytes) -> MessageT | None:
        """Return the message in `data`; None if it is malformed, invalid, or of a class unknown to this version."""
        try:
            message = self._decoder.decode(data)
        except (msgspec.DecodeError, msgspec.ValidationError):
            return None
        return message if self._is_valid(message) else None
