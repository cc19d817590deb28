"""Acks that fell into a gap of the news."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from .. import interface as api
from ..relay.subscription import RelayView


class Gaps:
    """Acks of what has left the channel by the time the news goes on were lost in the gap. tell: takes events."""

    def __init__(
        self,
        settings: api.Settings,
        news: RelayView,
        clock: Callable[[], float],
        tell: Callable[[list[api.Event]], None],
    ) -> None:
        self.set, self.news, self.clock, self.tell = settings, news, clock, tell
        self.marked, self.marked_at = -1, 0.0  # the last mark ordered, and when

    def ordered(self, mark: int, now: float) -> None:
        self.marked, self.marked_at = mark, now

    def bridged(self) -> None:
        """News goes on after a gap."""
        over = (
            self.marked_at
            + self.set.max_queued_lines * 1000.0 / self.set.channel_lines_per_second
            + self.set.max_propagation_ms
        )
        loop = asyncio.get_running_loop()
        loop.call_later(max(0.0, over - self.clock()) / 1000.0, self.lost, self.marked)

    def lost(self, mark: int) -> None:
        if mark >= 0:
            self.tell(self.news.assume_acked(mark))
