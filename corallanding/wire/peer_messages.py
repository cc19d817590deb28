"""The envelope of messages between controllers: their base class, their header, and how a package encodes its own.

A message is a msgpack array that fits one datagram. Its first item is the tag that its class names; the next ones are
the fields in the order of their declaration. Tags and order are the wire and frozen; names of classes and fields are
not. No two classes share a tag. Each package declares its messages as subclasses of `ControllerMessage`, a function
that tells whether the values of a message are possible, and a `MessageCodec`.
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

    `incarnation` is a random number that each process draws at its start. `round` is that process's own count of
    messages and never falls. An answer repeats both from the request that it answers.
    """

    incarnation: int
    round: int


@dataclass(frozen=True)
class OutgoingMessage:
    """A message that is to be sent to the controller with the number `to`."""

    to: int
    message: Any


def has_valid_header(message: ControllerMessage) -> bool:
    """Whether the fields that all messages have are within their bounds."""
    return 0 <= message.incarnation < MAX_INCARNATION and 0 <= message.round < MAX_ROUND


MessageT = TypeVar("MessageT", bound=msgspec.Struct)


class MessageCodec(Generic[MessageT]):
    """Encodes and decodes the messages of one package.

    `message_types` is the union of its classes. `is_valid` tells whether the values of a message are possible.
    """

    def __init__(self, message_types: Any, is_valid: Callable[[MessageT], bool]) -> None:
        self._decoder: msgspec.msgpack.Decoder[MessageT] = msgspec.msgpack.Decoder(message_types)
        self._is_valid = is_valid

    def encode(self, message: MessageT) -> bytes:
        """The message as bytes of one datagram."""
        return msgspec.msgpack.encode(message)

    def decode(self, data: bytes) -> MessageT | None:
        """The message in `data`; None if it is malformed, invalid, or of a class that this version does not know."""
        try:
            message = self._decoder.decode(data)
        except (msgspec.DecodeError, msgspec.ValidationError):
            return None
        return message if self._is_valid(message) else None
