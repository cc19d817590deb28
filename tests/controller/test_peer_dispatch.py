"""The dispatcher of messages between controllers: who is handed which message, and what is dropped."""

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
    """A message whose tag is taken."""

    number: int


class Scene:
    """A dispatcher, and what it sent, dropped and handed on."""

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


def test_dispatcher_when_a_message_is_sent_then_it_comes_back_from_its_datagram() -> None:
    scene = Scene()
    scene.dispatcher.register((Greeting,), scene.on_message, is_small)
    scene.dispatcher.register((Farewell,), scene.on_message, is_small)
    scene.dispatcher.send(3, Farewell(7))
    ((to, data),) = scene.sent
    assert (to, data[: len(CLUSTER_PREFIX)]) == (3, CLUSTER_PREFIX)
    scene.dispatcher.on_datagram(1, data[len(CLUSTER_PREFIX) :])
    assert scene.received == [(1, Farewell(7))]


def test_dispatcher_when_fields_are_invalid_or_bytes_are_no_message_then_it_drops_them() -> None:
    scene = Scene()
    scene.dispatcher.register((Greeting,), scene.on_message, is_small)
    for data in (msgspec.msgpack.encode(Greeting(10)), msgspec.msgpack.encode(Farewell(1)), b"", b"\xc1"):
        scene.dispatcher.on_datagram(1, data)
    assert scene.received == []
    assert scene.dropped_count == 4


def test_dispatcher_when_no_service_is_registered_then_datagrams_are_ignored() -> None:
    scene = Scene()
    scene.dispatcher.on_datagram(1, msgspec.msgpack.encode(Greeting(1)))
    assert scene.dropped_count == 0


def test_dispatcher_when_two_types_have_one_tag_then_registering_fails() -> None:
    scene = Scene()
    scene.dispatcher.register((Greeting,), scene.on_message, is_small)
    with pytest.raises(TypeError):
        scene.dispatcher.register((SameTag,), scene.on_message, is_small)
