"""An upper estimate of what the relay still has queued for the proxies. Pure."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass


def _no_proxies() -> int:
    return 0


@dataclass
class ChannelEstimate:
    """The most that the relay's channel may hold of what was sent, at its stated rate. Lines; times in ms.

    A call that is sent again may be carried out twice, while the assigner counts it once. So a wave of drains that
    fills more than half of the queue, and is sent again, waits until it fits; where the first call was lost, it waits
    for nothing.
    """

    max_lines: float = float("inf")
    lines_per_second: float = 1e9
    message_overhead_lines: float = 0.0
    proxy_count: Callable[[], int] = _no_proxies
    queued_lines: float = 0.0
    updated_at_ms: float = 0.0
    # Of the last call:
    lines_before_call: float = 0.0  # queued when it was sent
    call_sent_at_ms: float = 0.0
    call_lines: float = 0.0

    def cost(self, order_count: int) -> float:
        """Return the lines that a message with so many orders takes, over all proxies."""
        return (order_count + self.message_overhead_lines) * self.proxy_count()

    def queued_at(self, now_ms: float) -> float:
        """Return what is queued now; `now_ms` never goes back."""
        sent_lines = (now_ms - self.updated_at_ms) * self.lines_per_second / 1000.0
        self.queued_lines = max(0.0, self.queued_lines - sent_lines)
        self.updated_at_ms = now_ms
        return self.queued_lines

    def on_call_sent(self, now_ms: float, order_count: int) -> None:
        """A call was sent: its message may be queued from now on."""
        self.lines_before_call = self.queued_at(now_ms)
        self.call_sent_at_ms = now_ms
        self.call_lines = self.cost(order_count)
        self.queued_lines = self.lines_before_call + self.call_lines

    def on_call_ended(self, at_ms: float, was_carried_out: bool = True) -> None:
        """The call became a message by `at_ms`, or never did.

        Until then only what was queued before it has been sent for sure: a call may take longer on its way than the
        next one, and must not count as sent before it arrived.
        """
        sent_lines = (at_ms - self.call_sent_at_ms) * self.lines_per_second / 1000.0
        self.queued_lines = max(0.0, self.lines_before_call - sent_lines) + self.call_lines * was_carried_out
        self.updated_at_ms = at_ms

    def earliest_send_ms(self, now_ms: float, order_count: int) -> float:
        """Return when so many orders fit, or when all else has been sent."""
        queued = self.queued_at(now_ms)
        excess = min(queued, queued + self.cost(order_count) - self.max_lines)
        return now_ms + max(0.0, excess) * 1000.0 / self.lines_per_second
