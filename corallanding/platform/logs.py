"""The log of the platform's steward: lines to standard error that never hold up the loop, few of a kind at a time.

The standard library's logging, as memory binds. The log goes to a pipe whose reader may stand still: a line that the
pipe does not take at once is lost and counted.
"""

from __future__ import annotations

import logging
import os
import select
import time
from collections import Counter
from collections.abc import Callable

MAX_LINE_BYTES = 4_000  # bytes: what a pipe takes whole or not at all
KINDS_MOST = 64

log = logging.getLogger("corallanding.platform")


class Pipe(logging.Handler):
    def __init__(self, fd: int = 2) -> None:
        super().__init__()
        self.fd, self.lost = fd, 0
        self.poll = select.poll()
        self.poll.register(fd, select.POLLOUT)

    def emit(self, record: logging.LogRecord) -> None:
        try:
            if any(flag & select.POLLOUT for _, flag in self.poll.poll(0)):
                lost = f" (lost before: {self.lost})" if self.lost else ""
                text = (self.format(record).replace("\n", " | ") + lost).encode("utf-8", "replace")
                os.write(self.fd, text[:MAX_LINE_BYTES] + b"\n")
                self.lost = 0
            else:
                self.lost += 1
        except OSError:
            self.lost += 1


def configure(level: int = logging.INFO) -> None:
    handler = Pipe()
    handler.setFormatter(logging.Formatter("%(asctime)s.%(msecs)03d %(levelname)s %(message)s", "%H:%M:%S"))
    log.handlers[:] = [handler]
    log.propagate = False
    log.setLevel(level)


class Seldom:
    """Says a line of a kind at most every `every` s, with how many were kept back."""

    def __init__(self, every: float = 2.0, clock: Callable[[], float] = time.monotonic) -> None:
        self.every, self.clock = every, clock
        self.kinds: dict[str, tuple[float, int]] = {}

    def warn(self, kind: str, text: str) -> None:
        now = self.clock()
        if kind not in self.kinds and len(self.kinds) >= KINDS_MOST:
            kind = "other"
        at, kept = self.kinds.get(kind, (-self.every, 0))
        if now - at < self.every:
            self.kinds[kind] = (at, kept + 1)
            return
        self.kinds[kind] = (now, 0)
        log.warning("%s%s", text, f" (and {kept} more like it)" if kept else "")


class Tally:
    """Counts by reason: what came since the last line, the most frequent first."""

    def __init__(self, what: str) -> None:
        self.what, self.before = what, Counter[str]()

    def say(self, now: Counter[str]) -> None:
        if more := now - self.before:
            log.info("%s: %s", self.what, ", ".join(f"{n} {why}" for why, n in more.most_common(8)))
        self.before.update(more)
