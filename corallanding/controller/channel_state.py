"""The channel to the proxies as values, to be handed to a successor process. Pure.

The names of the fields, and in arrays their order, are the form of the stored bytes.
"""

from __future__ import annotations

from collections import deque

import msgspec

from ..channel.core import Channel, Message, Port
from ..wire.frames import Orders


class MessageState(msgspec.Struct, array_like=True):
    """One message that waits in the channel."""

    frame: bytes
    cost_lines: int
    version: int
    submitted_at: float
    orders: Orders | None


class PortState(msgspec.Struct, array_like=True):
    """What waits in the channel for one proxy; messages are named by their place in `ChannelState.messages`."""

    proxy: int
    urgent_messages: list[int]
    ordinary_messages: list[int]
    turns: int
    sent_at: list[float]
    is_blocked: bool


class ChannelState(msgspec.Struct):
    """The channel to the proxies."""

    messages: list[MessageState] = msgspec.field(name="messages")
    ports: list[PortState] = msgspec.field(name="ports")
    turns: tuple[list[int], list[int]] = msgspec.field(name="turns")  # proxies in the order of their turns
    free_at: float = msgspec.field(name="free_at")
    max_waiting_lines: float = msgspec.field(name="most")


def capture_channel(channel: Channel) -> ChannelState:
    """The channel as values."""
    places: dict[Message, int] = {}
    ports = []
    for port in channel.ports.values():
        urgent = [places.setdefault(message, len(places)) for message in port.urgent]
        ordinary = [places.setdefault(message, len(places)) for message in port.plain]
        ports.append(PortState(port.forwarder, urgent, ordinary, port.turns, list(port.sent), port.blocked))
    urgent_turns, ordinary_turns = (
        [port.forwarder for port in turns if channel.ports.get(port.forwarder) is port] for turns in channel.turns
    )
    messages = [MessageState(m.frame, m.lines, m.mark, m.at, m.orders) for m in places]
    return ChannelState(messages, ports, (urgent_turns, ordinary_turns), channel.free_at, channel.most)


def restore_channel(channel: Channel, state: ChannelState) -> None:
    """Fill a new channel. Ports that waited for a socket or for the cap are looked at at once."""
    messages = [Message(m.frame, m.cost_lines, m.version, m.submitted_at, m.orders) for m in state.messages]
    channel.ports = {}
    channel.ready = deque()
    for row in state.ports:
        port = _restore_port(channel, row, messages)
        channel.ports[port.forwarder] = port
        if port.turns and not port.blocked:
            channel.ready.append(port)
    channel.waiting = sum(port.lines for port in channel.ports.values())
    urgent_turns, ordinary_turns = state.turns
    channel.turns = (
        deque(channel.ports[proxy] for proxy in urgent_turns),
        deque(channel.ports[proxy] for proxy in ordinary_turns),
    )
    channel.free_at = state.free_at
    channel.most = state.max_waiting_lines


def _restore_port(channel: Channel, state: PortState, messages: list[Message]) -> Port:
    port = Port(
        state.proxy,
        deque(messages[place] for place in state.urgent_messages),
        deque(messages[place] for place in state.ordinary_messages),
    )
    port.turns = state.turns
    port.sent = deque(state.sent_at)
    port.blocked = state.is_blocked
    for message in (*port.urgent, *port.plain):
        message.left += 1
        port.lines += channel.cost(message)
    return port
