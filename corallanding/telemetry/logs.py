"""Structured logs by structlog on standard error: JSON for machines, console format for people."""

from __future__ import annotations

import logging
import sys
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import structlog

WINDOW_MS = 1_000.0  # period over which the rate-limited logger counts lines
DEFAULT_MAX_PER_WINDOW = 20

log: Any = structlog.get_logger("corallanding")


class StandardError:
    """Writer to the current `sys.stderr` that never raises: a full disk or a closed pipe must not stop the service.

    Lines that cannot be written are counted, and the count is written before the next line that can be.
    """

    def __init__(self) -> None:
        self.lost_lines = 0

    def write(self, text: str) -> None:
        """Write and flush the text, or count it as lost."""
        try:
            if self.lost_lines:
                sys.stderr.write(f'{{"event": "log lines lost", "level": "error", "lost": {self.lost_lines}}}\n')
            sys.stderr.write(text)
            sys.stderr.flush()
            self.lost_lines = 0
        except (OSError, ValueError):
            self.lost_lines += 1

    def flush(self) -> None:
        """Do nothing: each write flushes."""


standard_error = StandardError()


def configure(form: str = "json", level: str = "info") -> None:
    """Set the form ("json" or "console") and the level ("debug" to "error"). May be called again at a reload."""
    renderer: Any = structlog.processors.JSONRenderer(sort_keys=True)
    if form == "console":
        renderer = structlog.dev.ConsoleRenderer(colors=False)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=lambda *_: structlog.WriteLogger(standard_error),  # type: ignore[arg-type]
        cache_logger_on_first_use=False,
    )


@dataclass
class Window:
    """Count of the lines of one event since `started_at` (ms), including those left out."""

    started_at: float
    line_count: int = 0


class RateLimitedLogger:
    """Writes at most `max_per_second` lines of one event per second, then the number of lines that it left out.

    Thus a peer that violates the protocol in a loop cannot fill the disk. Only the first lines show which peers were at
    fault; the metrics count all events. clock: returns ms.
    """

    def __init__(self, clock: Callable[[], float], max_per_second: int = DEFAULT_MAX_PER_WINDOW) -> None:
        self.clock = clock
        self.max_per_second = max_per_second
        self.windows: dict[str, Window] = {}  # key: event

    def warn(self, event: str, **fields: Any) -> None:
        """Write a warning, unless too many of this event occurred within the second."""
        now = self.clock()
        window = self.windows.setdefault(event, Window(now))
        if now - window.started_at >= WINDOW_MS:
            if window.line_count > self.max_per_second:
                log.warning(event, left_out=window.line_count - self.max_per_second)
            window.started_at = now
            window.line_count = 0
        window.line_count += 1
        if window.line_count <= self.max_per_second:
            log.warning(event, **fields)
