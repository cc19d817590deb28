"""The controller's clock: monotonic milliseconds that continue across a restart or handover."""

from __future__ import annotations

import time
from collections.abc import Callable

# Initial clock value: large enough that 0 is further in the past than any configured duration.
ORIGIN_MS = 1e9


class Clock:
    """A clock in ms that starts at `ORIGIN_MS` and never decreases, even if its source does.

    source: returns monotonic seconds. origin_reading_s: the source's reading at `ORIGIN_MS`; restoring a saved state
    sets it.
    """

    def __init__(self, source: Callable[[], float] = time.monotonic) -> None:
        self.source = source
        self.origin_reading_s = source()
        self.last = ORIGIN_MS

    def __call__(self) -> float:
        """Return the current time in ms."""
        self.last = max(self.last, ORIGIN_MS + (self.source() - self.origin_reading_s) * 1000.0)
        return self.last
