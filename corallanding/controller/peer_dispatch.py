"""What peers say, at one door: subsystems register the words that they take, and say theirs through it."""

from __future__ import annotations

import functools
import operator
from collections.abc import Callable
from typing import Any

import msgspec

from .peer_transport import SHARED

Handler = Callable[[int, Any], None]


class PeerDispatcher:
    """say: a datagram to one peer. dropped: called for each word that nobody takes.

    Words are msgpack arrays whose first item names their kind; no two kinds share a tag, and unknown ones, of newer
    versions, are passed over.
    """

    def __init__(self, say: Callable[[int, bytes], None], dropped: Callable[[], None]) -> None:
        self.send_datagram, self.on_dropped = say, dropped
        self.handlers: dict[type, tuple[Handler, Callable[[Any], bool]]] = {}
        self.decoder: msgspec.msgpack.Decoder[Any] | None = None

    def register(self, kinds: tuple[type, ...], handler: Handler, sound: Callable[[Any], bool]) -> None:
        """sound: whether a word's fields can be meant. Raises TypeError if a tag is taken."""
        self.handlers.update(dict.fromkeys(kinds, (handler, sound)))
        self.decoder = msgspec.msgpack.Decoder(functools.reduce(operator.or_, self.handlers))

    def on_datagram(self, sender: int, data: bytes) -> None:
        """What came behind `SHARED` from a peer whose address was checked against its number."""
        if self.decoder is None:
            return  # a peer has parts that we have not
        try:
            word = self.decoder.decode(data)
        except (msgspec.DecodeError, msgspec.ValidationError):
            self.on_dropped()
            return
        handler, sound = self.handlers[type(word)]
        if sound(word):
            handler(sender, word)
        else:
            self.on_dropped()

    def send(self, to: int, word: msgspec.Struct) -> None:
        self.send_datagram(to, SHARED + msgspec.msgpack.encode(word))
