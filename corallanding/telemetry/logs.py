"""Structured logs by structlog: JSON for machines, console for people, to standard error."""

from __future__ import annotations

import logging
import sys
from collections.abc import Callable
from typing import Any

import structlog

log: Any = structlog.get_logger("corallanding")


class Stderr:
    """Standard error, whichever it is now, that never raises: what logs must not die of its log's disk.

    Guards against a full disk or a closed pipe under the log; hides lines then, and says how many once one is taken.
    """

    def __init__(self) -> None:
        self.lost = 0

    def write(self, text: str) -> None:
        try:
            if self.lost:
                sys.stderr.write(f'{{"event": "log lines lost", "level": "error", "lost": {self.lost}}}\n')
            sys.stderr.write(text)
            sys.stderr.flush()
            self.lost = 0
        except (OSError, ValueError):
            self.lost += 1

    def flush(self) -> None:
        """Each write has done it."""


def configure(form: str = "json", level: str = "info") -> None:
    """form: "json" or "console"; level: "debug" to "error". May be called again at a reload."""
    last: Any = structlog.processors.JSONRenderer(sort_keys=True)
    if form == "console":
        last = structlog.dev.ConsoleRenderer(colors=False)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            last,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=lambda *_: structlog.WriteLogger(stderr),  # type: ignore[arg-type]
        cache_logger_on_first_use=False,
    )


stderr = Stderr()


class RateLimitedLogger:
    """At most `most` lines of one kind in a second; says how many it left out.

    Guards against a peer that fills the disk by breaking the protocol in a loop; hides which of many peers
    did it, beyond the first few (the metrics count all).
    """

    def __init__(self, clock: Callable[[], float], most: int = 20) -> None:
        self.clock, self.max_per_second = clock, most
        self.windows: dict[str, tuple[float, int]] = {}

    def warn(self, kind: str, **fields: Any) -> None:
        now = self.clock()
        since, count = self.windows.get(kind, (now, 0))
        if now - since >= 1000.0:
            if count > self.max_per_second:
                log.warning(kind, left_out=count - self.max_per_second)
            since, count = now, 0
        self.windows[kind] = (since, count + 1)
        if count < self.max_per_second:
            log.warning(kind, **fields)
