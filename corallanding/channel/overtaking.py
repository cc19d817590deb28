"""Decides whether an urgent message may overtake queued ones, and merges it with the changes that it depends on."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

from ..wire.codec import encode
from .merge import cost_lines, merge_overtaken
from .proxy_queue import Message, ProxyQueue


def overtake(message: Message, queues: Sequence[ProxyQueue]) -> Message | None:
    """Return the message to send first to the proxies of `queues`, all of which have ordinary messages queued.

    The queued messages are reduced in place, and removed from the queues if nothing remains of them. `queued_lines` of
    the queues is not updated. Returns None, without any change, if the message must keep its position.
    """
    waiting = _waiting_messages(queues)
    if message.orders is None or not waiting or not _may_overtake(waiting, queues):
        return None
    oldest_of_queues = (queue.ordinary[0].orders for queue in queues)
    base_seq = max((orders.seq for orders in oldest_of_queues if orders), default=0)
    orders_waiting = [queued.orders for queued in waiting if queued.orders]
    merged, remaining = merge_overtaken(message.orders, orders_waiting, base_seq)
    emptied = set()
    for queued, rest in zip(waiting, remaining, strict=True):
        if rest:
            queued.replace_orders(rest)
        else:
            emptied.add(queued)
    for queue in queues:
        queue.ordinary = deque(queued for queued in queue.ordinary if queued not in emptied)
    return Message(encode(merged), cost_lines(merged), merged.version, message.submitted_at_ms, merged)


def _waiting_messages(queues: Sequence[ProxyQueue]) -> dict[Message, int]:
    """Return the ordinary messages in `queues`, oldest first, with the number of these queues that contain each."""
    counts: dict[Message, int] = {}
    for queue in queues:
        for message in queue.ordinary:
            counts[message] = counts.get(message, 0) + 1
    ordered = sorted(counts, key=lambda message: message.orders.seq if message.orders else -1)
    return {message: counts[message] for message in ordered}


def _may_overtake(waiting: dict[Message, int], queues: Sequence[ProxyQueue]) -> bool:
    """Return whether an urgent message for `queues` may overtake the waiting messages.

    It may not if one of them must keep its position or is also in another queue, or if the newest one is not the last
    message of every queue.
    """
    if any(message.orders is None or message.queue_count != count for message, count in waiting.items()):
        return False
    newest = next(reversed(waiting))
    return all(queue.ordinary[-1] is newest for queue in queues)
