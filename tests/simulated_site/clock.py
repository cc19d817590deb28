"""The clock of a simulated day: actions run in the order of their times."""

from __future__ import annotations

import heapq
from collections.abc import Callable

START_MS = 10_000_000.0
"""Time at which a day begins: later than a controller's assumptions about wall clocks matter."""


class SimulatedClock:
    """Runs actions at their times, in ms; those of the same time run in the order in which they were scheduled."""

    def __init__(self) -> None:
        self.now_ms = START_MS
        self.scheduled: list[tuple[float, int, Callable[[], None]]] = []
        self.count = 0

    @property
    def elapsed_ms(self) -> float:
        """Time since the day began."""
        return self.now_ms - START_MS

    def at(self, time_ms: float, action: Callable[[], None]) -> None:
        """Schedule an action; one whose time has passed runs next."""
        self.count += 1
        heapq.heappush(self.scheduled, (max(time_ms, self.now_ms), self.count, action))

    def after(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        self.at(self.now_ms + delay_ms, action)

    def every(self, period_ms: float, action: Callable[[], None]) -> None:
        """Run an action once a period, for the first time after one."""

        def run() -> None:
            action()
            self.after(period_ms, run)

        self.after(period_ms, run)

    def run_until(self, time_ms: float) -> None:
        """Run all actions up to a time, and set the clock to it."""
        while self.scheduled and self.scheduled[0][0] <= time_ms:
            self.now_ms, _, action = heapq.heappop(self.scheduled)
            action()
        self.now_ms = time_ms
