"""The limits of the channel, and the error for a message that does not fit."""

from __future__ import annotations

from dataclasses import dataclass

from ..errors import CapacityError


class QueueFullError(CapacityError):
    """A message does not fit into the queues of `proxies`; close their connections, so that they reload all tables."""

    def __init__(self, proxies: list[int]) -> None:
        super().__init__(f"channel queue is full for {len(proxies)} proxies")
        self.proxies = proxies


@dataclass(frozen=True)
class ChannelLimits:
    """Rate and limits of the channel, in lines.

    message_overhead_lines: cost of each message in addition to its own lines. max_messages: maximum number of messages
    to one proxy within `message_window_ms`; 0 for no limit.
    """

    lines_per_second: float
    message_overhead_lines: float
    max_queued_lines: float
    max_messages: int = 0
    message_window_ms: float = 10_000.0
