"""Messages between controllers: services register the types that they handle, and send through one dispatcher."""

from __future__ import annotations

import functools
import operator
from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec

from .peer_transport import CLUSTER_PREFIX

Handler = Callable[[int, Any], None]


class Registration(NamedTuple):
    """The handler of a message type, and the check that a message must pass first."""

    handler: Handler
    is_valid: Callable[[Any], bool]


class PeerDispatcher:
    """Decodes datagrams of other controllers and passes each message to the service that registered its type.

    Messages are msgpack arrays whose first item is the tag of their type. Tags are unique; messages with unknown tags,
    from newer versions, are dropped. send_datagram: sends bytes to one controller. on_dropped: called for each dropped
    message.
    """

    def __init__(self, send_datagram: Callable[[int, bytes], None], on_dropped: Callable[[], None]) -> None:
        self.send_datagram = send_datagram
        self.on_dropped = on_dropped
        self.handlers: dict[type, Registration] = {}
        self.decoder: msgspec.msgpack.Decoder[Any] | None = None

    def register(self, message_types: tuple[type, ...], handler: Handler, is_valid: Callable[[Any], bool]) -> None:
        """Pass valid messages of these types to `handler`. Raises TypeError if a tag is already registered."""
        self.handlers.update(dict.fromkeys(message_types, Registration(handler, is_valid)))
        self.decoder = msgspec.msgpack.Decoder(functools.reduce(operator.or_, self.handlers))

    def on_datagram(self, sender: int, data: bytes) -> None:
        """Handle the bytes after `CLUSTER_PREFIX` in a datagram; the sender's address is known to match its number."""
        if self.decoder is None:
            return  # the other controller has services that are not configured here
        try:
            message = self.decoder.decode(data)
        except (msgspec.DecodeError, msgspec.ValidationError):
            self.on_dropped()
            return
        registration = self.handlers[type(message)]
        if registration.is_valid(message):
            registration.handler(sender, message)
        else:
            self.on_dropped()

    def send(self, to: int, message: msgspec.Struct) -> None:
        """Send a message to the controller `to`, without confirmation."""
        self.send_datagram(to, CLUSTER_PREFIX + msgspec.msgpack.encode(message))
