"""Decides whether an urgent message may overtake those that wait, and takes from these what goes along with it."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

from ..wire.codec import encode
from .merge import cost_lines, merge_ahead
from .proxy_queue import Message, ProxyQueue


def overtake(message: Message, queues: Sequence[ProxyQueue]) -> Message | None:
    """Return the message to send first to the proxies of `queues`, which all have ordinary messages waiting.

    The waiting messages are reduced in place, and taken from the queues if nothing is left of them; the queues'
    `queued_lines` are not adjusted. Returns None, with nothing changed, if the message must keep its place.
    """
    waiting = _waiting_messages(queues)
    if message.orders is None or not waiting or not _may_overtake(waiting, queues):
        return None
    oldest_of_queues = (queue.ordinary[0].orders for queue in queues)
    base_seq = max((orders.seq for orders in oldest_of_queues if orders), default=0)
    orders_waiting = [waiter.orders for waiter in waiting if waiter.orders]
    ahead, remaining = merge_ahead(message.orders, orders_waiting, base_seq)
    emptied = set()
    for waiter, rest in zip(waiting, remaining, strict=True):
        if rest:
            waiter.replace_orders(rest)
        else:
            emptied.add(waiter)
    for queue in queues:
        queue.ordinary = deque(waiter for waiter in queue.ordinary if waiter not in emptied)
    return Message(encode(ahead), cost_lines(ahead), ahead.version, message.submitted_at_ms, ahead)


def _waiting_messages(queues: Sequence[ProxyQueue]) -> dict[Message, int]:
    """The ordinary messages in `queues`, oldest first, with the number of these queues that hold each."""
    counts: dict[Message, int] = {}
    for queue in queues:
        for message in queue.ordinary:
            counts[message] = counts.get(message, 0) + 1
    ordered = sorted(counts, key=lambda message: message.orders.seq if message.orders else -1)
    return {message: counts[message] for message in ordered}


def _may_overtake(waiting: dict[Message, int], queues: Sequence[ProxyQueue]) -> bool:
    """False if a message waits that must not be overtaken, or that also waits where the urgent one does not go."""
    if any(message.orders is None or message.queue_count != count for message, count in waiting.items()):
        return False
    newest = next(reversed(waiting))
    return all(queue.ordinary[-1] is newest for queue in queues)
