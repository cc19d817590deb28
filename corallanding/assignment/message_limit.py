"""The limit on messages to each proxy within a window, spent so that an urgent message never waits for long."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

WINDOW_MARGIN_MS = 1.0
"""Added to the window, as it is not known whether its end is inclusive."""

URGENT_DELAY_SHARE = 1.0 / 3.0
"""Longest delay of an urgent message, as a share of the drain grace; the rest is for the queue and the way to it."""


@dataclass(frozen=True)
class MessageLimit:
    """At most `max_messages` within `window_ms` (0: no limit). Times are in ms.

    A message may be sent only if after it one message could still follow every `max_delay_ms`, for ever, within the
    limit. So a burst may use the messages that this leaves over, and then one is sent every `max_delay_ms` at the
    least: whatever used up the limit, the next message waits no longer than that. If the limit does not allow so many,
    `max_delay_ms` is the window divided by the limit.
    """

    max_messages: int
    window_ms: float
    max_delay_ms: float

    @classmethod
    def for_drains(cls, max_messages: int, window_ms: float, drain_grace_ms: float) -> MessageLimit:
        """Return the limit under which an urgent message waits for a small part of the drain grace."""
        window_ms += WINDOW_MARGIN_MS
        evenly_spread_ms = window_ms / max_messages if max_messages > 0 else 0.0
        return cls(max_messages, window_ms, max(drain_grace_ms * URGENT_DELAY_SHARE, evenly_spread_ms))

    def earliest_send_ms(self, sent_at_ms: Sequence[float]) -> float:
        """Return the earliest time of the next message, given the times of those sent before, ascending."""
        if self.max_messages <= 0:
            return -math.inf
        # Once `later` further messages have followed, one every `max_delay_ms`, all within one window are counted.
        latest_ms = -math.inf
        surplus = len(sent_at_ms) - self.max_messages
        for later in range(max(0, -surplus), min(self.max_messages, math.ceil(self.window_ms / self.max_delay_ms))):
            leaves_window_ms = sent_at_ms[surplus + later] + self.window_ms
            latest_ms = max(latest_ms, leaves_window_ms - later * self.max_delay_ms)
        return latest_ms
