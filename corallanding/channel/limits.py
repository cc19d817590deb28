"""The limits of the channel, and the error for a message that does not fit."""

from __future__ import annotations

from dataclasses import dataclass

from ..errors import CapacityError


class QueueFullError(CapacityError):
    """A message does not fit for the proxies named: their links must be closed, and they read the tables again."""

    def __init__(self, proxies: list[int]) -> None:
        super().__init__(f"no room in the channel for {len(proxies)} proxies")
        self.proxies = proxies


@dataclass(frozen=True)
class ChannelLimits:
    """Rate and bounds of the channel, counted in lines.

    message_overhead_lines: what each message costs besides its own lines. max_messages: to one proxy within
    `message_window_ms`; 0 is no bound.
    """

    lines_per_second: float
    message_overhead_lines: float
    max_queued_lines: float
    max_messages: int = 0
    message_window_ms: float = 10_000.0
