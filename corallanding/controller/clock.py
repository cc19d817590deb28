"""The controller's clock: monotonic milliseconds that go on from one process to the next."""

from __future__ import annotations

import time
from collections.abc import Callable

# Where the clock begins, in ms: a start "long ago" (0) lies further back than any setting.
ORIGIN_MS = 1e9


class Clock:
    """Milliseconds since `ORIGIN_MS`; never goes back, whatever it is read from.

    source: monotonic seconds. zero: the reading of the source that is `ORIGIN_MS` here; a restored state sets it.
    """

    def __init__(self, source: Callable[[], float] = time.monotonic) -> None:
        self.source = source
        self.zero = source()
        self.last = ORIGIN_MS

    def __call__(self) -> float:
        """The present time in ms."""
        self.last = max(self.last, ORIGIN_MS + (self.source() - self.zero) * 1000.0)
        return self.last
