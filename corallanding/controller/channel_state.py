"""The state of the channel to the proxies, for the handover to a new process. Pure.

The field names, and in arrays the field order, define the stored format.
"""

from __future__ import annotations

from collections import deque

import msgspec

from ..channel import Channel
from ..channel.proxy_queue import Message, ProxyQueue
from ..wire.frames import Orders


class MessageState(msgspec.Struct, array_like=True):
    """One queued message."""

    frame: bytes
    cost_lines: int
    version: int
    submitted_at_ms: float
    orders: Orders | None


class ProxyQueueState(msgspec.Struct, array_like=True):
    """The queue of one proxy; messages are given by their index in `ChannelState.messages`."""

    proxy: int
    urgent_messages: list[int]
    ordinary_messages: list[int]
    released: int
    sent_at_ms: list[float]
    is_blocked: bool


class ChannelState(msgspec.Struct):
    """The state of the channel to the proxies."""

    messages: list[MessageState] = msgspec.field(name="messages")
    queues: list[ProxyQueueState] = msgspec.field(name="ports")
    schedules: tuple[list[int], list[int]] = msgspec.field(name="turns")  # proxies in the order in which they send
    free_at_ms: float = msgspec.field(name="free_at")
    max_waiting_lines: float = msgspec.field(name="most")


def capture_channel(channel: Channel) -> ChannelState:
    """Return the state of a channel."""
    indexes: dict[Message, int] = {}
    rows = []
    for queue in channel.queues.values():
        urgent = [indexes.setdefault(message, len(indexes)) for message in queue.urgent]
        ordinary = [indexes.setdefault(message, len(indexes)) for message in queue.ordinary]
        sent_at_ms = list(queue.sent_at_ms)
        rows.append(ProxyQueueState(queue.proxy, urgent, ordinary, queue.released, sent_at_ms, queue.is_blocked))
    urgent_schedule, ordinary_schedule = (
        [queue.proxy for queue in schedule if channel.queues.get(queue.proxy) is queue]
        for schedule in channel.schedules
    )
    messages = [MessageState(m.frame, m.cost_lines, m.version, m.submitted_at_ms, m.orders) for m in indexes]
    schedules = (urgent_schedule, ordinary_schedule)
    return ChannelState(messages, rows, schedules, channel.free_at_ms, channel.max_queued_lines)


def restore_channel(channel: Channel, state: ChannelState) -> None:
    """Restore the state into a new channel. Queues that waited for a socket or a message limit are checked at once."""
    messages = [Message(m.frame, m.cost_lines, m.version, m.submitted_at_ms, m.orders) for m in state.messages]
    channel.queues = {}
    channel.writable_queues = deque()
    for row in state.queues:
        queue = _restore_queue(channel, row, messages)
        channel.queues[queue.proxy] = queue
        if queue.released and not queue.is_blocked:
            channel.writable_queues.append(queue)
    channel.queued_lines = sum(queue.queued_lines for queue in channel.queues.values())
    urgent_schedule, ordinary_schedule = state.schedules
    channel.schedules = (
        deque(channel.queues[proxy] for proxy in urgent_schedule),
        deque(channel.queues[proxy] for proxy in ordinary_schedule),
    )
    channel.free_at_ms = state.free_at_ms
    channel.max_queued_lines = state.max_waiting_lines


def _restore_queue(channel: Channel, state: ProxyQueueState, messages: list[Message]) -> ProxyQueue:
    queue = ProxyQueue(
        state.proxy,
        deque(messages[index] for index in state.urgent_messages),
        deque(messages[index] for index in state.ordinary_messages),
    )
    queue.released = state.released
    queue.sent_at_ms = deque(state.sent_at_ms)
    queue.is_blocked = state.is_blocked
    for message in (*queue.urgent, *queue.ordinary):
        message.queue_count += 1
        queue.queued_lines += channel.cost(message)
    return queue
