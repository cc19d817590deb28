"""Logging of the platform controller to standard error, without blocking the event loop and with limited rates.

It uses the standard library's logging, since memory is limited. Standard error is a pipe whose reader may stall: a line
that the pipe does not accept at once is dropped and counted.
"""

from __future__ import annotations

import logging
import os
import select
import time
from collections import Counter
from collections.abc import Callable

MAX_LINE_BYTES = 4_000  # a pipe accepts a write of this size completely or not at all
MAX_KINDS = 64  # kinds of rate-limited warnings; all further ones share one
MAX_REASONS = 8  # reasons in one line of counts

log = logging.getLogger("corallanding.platform")


class NonBlockingHandler(logging.Handler):
    """Writes each record as one line to a file descriptor, or drops it if that would block."""

    def __init__(self, descriptor: int = 2) -> None:
        super().__init__()
        self.descriptor = descriptor
        self.lost_lines = 0
        self.poll = select.poll()
        self.poll.register(descriptor, select.POLLOUT)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, with the number of lines lost before it."""
        try:
            is_writable = any(flags & select.POLLOUT for _, flags in self.poll.poll(0))
            if not is_writable:
                self.lost_lines += 1
                return
            lost = f" (lost before: {self.lost_lines})" if self.lost_lines else ""
            text = (self.format(record).replace("\n", " | ") + lost).encode("utf-8", "replace")
            os.write(self.descriptor, text[:MAX_LINE_BYTES] + b"\n")
            self.lost_lines = 0
        except OSError:
            self.lost_lines += 1


def configure(level: int = logging.INFO) -> None:
    """Send the log to standard error."""
    handler = NonBlockingHandler()
    handler.setFormatter(logging.Formatter("%(asctime)s.%(msecs)03d %(levelname)s %(message)s", "%H:%M:%S"))
    log.handlers[:] = [handler]
    log.propagate = False
    log.setLevel(level)


class RateLimitedLogger:
    """Logs a warning of one kind at most once in `interval_seconds`, with the number of those omitted before it."""

    def __init__(self, interval_seconds: float = 2.0, clock: Callable[[], float] = time.monotonic) -> None:
        self.interval_seconds = interval_seconds
        self.clock = clock  # in seconds
        self.kinds: dict[str, tuple[float, int]] = {}  # time of the last line in seconds, and lines omitted since

    def warn(self, kind: str, text: str) -> None:
        """Log a warning, unless one of its kind was logged within `interval_seconds`."""
        now = self.clock()
        if kind not in self.kinds and len(self.kinds) >= MAX_KINDS:
            kind = "other"
        logged_at, omitted = self.kinds.get(kind, (-self.interval_seconds, 0))
        if now - logged_at < self.interval_seconds:
            self.kinds[kind] = (logged_at, omitted + 1)
            return
        self.kinds[kind] = (now, 0)
        log.warning("%s%s", text, f" (and {omitted} similar)" if omitted else "")


class CountLogger:
    """Logs increases of counts by reason since the last line, the most frequent reason first."""

    def __init__(self, title: str) -> None:
        self.title = title
        self.logged: Counter[str] = Counter()

    def log(self, counts: Counter[str]) -> None:
        """Log the increase of `counts` since the last call, if any."""
        added = counts - self.logged
        if added:
            reasons = ", ".join(f"{count} {reason}" for reason, count in added.most_common(MAX_REASONS))
            log.info("%s: %s", self.title, reasons)
        self.logged.update(added)
