"""An upper estimate of the lines that the relay still has queued for the proxies. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

MAX_MESSAGE_LINES = 1e6  # if the queue has no limit
LEVEL_LINES = 1  # the admission level for all tables travels with every message


def _no_proxies() -> int:
    return 0


@dataclass
class ChannelEstimate:
    """An upper bound of the lines queued in the relay's channel, which drains at `lines_per_second`. Times are in ms.

    A call that is sent again may be carried out twice, while the assigner counts it once. So a batch of drains that
    fills more than half of the queue and has to be sent again is delayed until a second copy fits; if the first call
    was in fact lost, that delay was unnecessary.
    """

    max_lines: float = float("inf")
    lines_per_second: float = 1e9
    message_overhead_lines: float = 0.0
    proxy_count: Callable[[], int] = _no_proxies
    queued_lines: float = 0.0
    updated_at_ms: float = 0.0
    # State of the last call:
    lines_before_call: float = 0.0  # lines queued when the call was sent
    call_sent_at_ms: float = 0.0
    call_orders: int = 0
    call_lines: float = 0.0  # lines that the call adds to the queue

    def cost(self, order_count: int) -> float:
        """Return the lines that a message with `order_count` orders takes, summed over all proxies."""
        return (order_count + LEVEL_LINES + self.message_overhead_lines) * self.proxy_count()

    def max_orders(self) -> int:
        """Return the number of orders in the largest message that fits into the empty queue, at least 1."""
        lines_per_proxy = min(self.max_lines / max(1, self.proxy_count()), MAX_MESSAGE_LINES)
        return max(1, int(lines_per_proxy - LEVEL_LINES - self.message_overhead_lines))

    def queued_at(self, now_ms: float) -> float:
        """Return the lines queued at `now_ms`, which must not decrease between calls."""
        sent_lines = (now_ms - self.updated_at_ms) * self.lines_per_second / 1000.0
        self.queued_lines = max(0.0, self.queued_lines - sent_lines)
        self.updated_at_ms = now_ms
        return self.queued_lines

    def on_call_sent(self, now_ms: float, order_count: int) -> None:
        """Record that a call was sent; its message may be in the queue from `now_ms` on."""
        self.lines_before_call = self.queued_at(now_ms)
        self.call_sent_at_ms = now_ms
        self.call_orders = order_count
        self.call_lines = self.cost(order_count)
        self.queued_lines = self.lines_before_call + self.call_lines

    def on_call_ended(self, at_ms: float, was_carried_out: bool = True) -> None:
        """Record that the call was queued as a message by `at_ms`, or was not carried out at all.

        Up to `at_ms` only the lines queued before the call are certain to drain: a call may take longer to arrive than
        the next one, and its lines must not count as drained before it arrived. It reaches the proxies that have joined
        by then.
        """
        self.call_lines = max(self.call_lines, self.cost(self.call_orders))
        sent_lines = (at_ms - self.call_sent_at_ms) * self.lines_per_second / 1000.0
        self.queued_lines = max(0.0, self.lines_before_call - sent_lines) + self.call_lines * was_carried_out
        self.updated_at_ms = at_ms

    def earliest_send_ms(self, now_ms: float, order_count: int) -> float:
        """Return the time at which `order_count` orders fit, or the largest message if they are more than that."""
        queued = self.queued_at(now_ms)
        excess = min(queued, queued + self.cost(min(order_count, self.max_orders())) - self.max_lines)
        return now_ms + max(0.0, excess) * 1000.0 / self.lines_per_second
