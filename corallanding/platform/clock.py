"""The platform controller's clock."""

from __future__ import annotations

import time


class Clock:
    """Unix time in milliseconds, anchored once: it does not move when the wall clock is set."""

    def __init__(self) -> None:
        self.unix_offset_ms = time.time() * 1000.0 - time.monotonic() * 1000.0

    def __call__(self) -> float:
        """Return the time now, in ms; it never goes back."""
        return self.unix_offset_ms + time.monotonic() * 1000.0
