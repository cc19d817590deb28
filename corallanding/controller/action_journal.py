"""A file in which a controller records its actions with their times, on the monotonic clock of the machine.

The audits of the lab read it. Each line is written in one call, before its action is executed.
"""

from __future__ import annotations

import json
import os
import time
from enum import StrEnum


class JournalEvent(StrEnum):
    """The kind of a line: its first item, in files with lines of several kinds."""

    ACT_BEGUN = "act"
    ACT_RECEIVED = "took"
    RUN_ANSWERED = "told"
    JOB_RELEASED = "go"
    JOB_RETURNED = "back"
    QUOTA_EXHAUSTED = "dry"
    QUOTA_RESTORED = "wet"


class ActionJournal:
    """Appends lines to the file `path`, or nothing without a path. Raises OSError if it cannot be opened."""

    def __init__(self, path: str | None) -> None:
        self.descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644) if path else None

    @staticmethod
    def now_ms() -> float:
        """Return the time of the machine's monotonic clock, ms."""
        return round(time.monotonic() * 1000.0, 3)

    def write(self, *row: object) -> None:
        """Append one line, a JSON array of the items of `row`."""
        if self.descriptor is not None:
            os.write(self.descriptor, json.dumps(row).encode() + b"\n")

    def close(self) -> None:
        """Close the file; later writes are ignored."""
        if self.descriptor is not None:
            os.close(self.descriptor)
            self.descriptor = None
