"""The platform controller's clock."""

from __future__ import annotations

import time


class Clock:
    """Monotonic Unix time in milliseconds: the offset is read once, so that setting the wall clock has no effect."""

    def __init__(self) -> None:
        self.unix_offset_ms = time.time() * 1000.0 - time.monotonic() * 1000.0

    def __call__(self) -> float:
        """Return the current time in ms; it never decreases."""
        return self.unix_offset_ms + time.monotonic() * 1000.0
