"""The dispatcher of messages between controllers: which service gets a message, and which messages are dropped."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from corallanding.controller.peer_dispatch import PeerDispatcher
from corallanding.controller.peer_transport import CLUSTER_PREFIX


class Greeting(msgspec.Struct, frozen=True, array_like=True, tag_field="t", tag=91):
    """A message of one service."""

    number: int


class Farewell(msgspec.Struct, frozen=True, array_like=True, tag_field="t", tag=92):
    """A message of another service."""

    number: int


class SameTag(msgspec.Struct, frozen=True, array_like=True, tag_field="t", tag=91):
    """A message with the tag of another type."""

    number: int


class RecordingServices:
    """A dispatcher, with the messages that it sent, dropped and delivered."""

    def __init__(self) -> None:
        self.sent: list[tuple[int, bytes]] = []
        self.received: list[tuple[int, Any]] = []
        self.dropped_count = 0
        self.dispatcher = PeerDispatcher(self.on_send, self.on_dropped)

    def on_send(self, to: int, data: bytes) -> None:
        self.sent.append((to, data))

    def on_dropped(self) -> None:
        self.dropped_count += 1

    def on_message(self, sender: int, message: Any) -> None:
        self.received.append((sender, message))


def is_small(message: Any) -> bool:
    return message.number < 10


def test_dispatcher_when_a_sent_datagram_is_received_then_the_message_is_delivered() -> None:
    services = RecordingServices()
    services.dispatcher.register((Greeting,), services.on_message, is_small)
    services.dispatcher.register((Farewell,), services.on_message, is_small)
    services.dispatcher.send(3, Farewell(7))
    ((to, data),) = services.sent
    assert (to, data[: len(CLUSTER_PREFIX)]) == (3, CLUSTER_PREFIX)
    services.dispatcher.on_datagram(1, data[len(CLUSTER_PREFIX) :])
    assert services.received == [(1, Farewell(7))]


def test_dispatcher_when_a_datagram_is_invalid_then_it_is_dropped() -> None:
    services = RecordingServices()
    services.dispatcher.register((Greeting,), services.on_message, is_small)
    for data in (msgspec.msgpack.encode(Greeting(10)), msgspec.msgpack.encode(Farewell(1)), b"", b"\xc1"):
        services.dispatcher.on_datagram(1, data)
    assert services.received == []
    assert services.dropped_count == 4


def test_dispatcher_when_no_service_is_registered_then_datagrams_are_ignored() -> None:
    services = RecordingServices()
    services.dispatcher.on_datagram(1, msgspec.msgpack.encode(Greeting(1)))
    assert services.dropped_count == 0


def test_dispatcher_when_two_types_have_the_same_tag_then_registering_fails() -> None:
    services = RecordingServices()
    services.dispatcher.register((Greeting,), services.on_message, is_small)
    with pytest.raises(TypeError):
        services.dispatcher.register((SameTag,), services.on_message, is_small)
