"""The platform's clock."""

from __future__ import annotations

import time


class Clock:
    """Unix time in milliseconds, anchored once: a wall clock that steps does not move it."""

    def __init__(self) -> None:
        self.base = time.time() * 1000.0 - time.monotonic() * 1000.0

    def __call__(self) -> float:
        return self.base + time.monotonic() * 1000.0
