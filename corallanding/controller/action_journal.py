"""A file to which a steward writes what it did and when, by the clock that all processes of a machine share: for the
lab's audits. Each line goes out whole, before what it tells of is done."""

from __future__ import annotations

import json
import os
import time


class ActionJournal:
    """path: None writes nothing. Raises OSError if it cannot be written."""

    def __init__(self, path: str | None) -> None:
        self.fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644) if path else None

    @staticmethod
    def now() -> float:
        return round(time.monotonic() * 1000.0, 3)

    def write(self, *row: object) -> None:
        if self.fd is not None:
            os.write(self.fd, json.dumps(row).encode() + b"\n")

    def close(self) -> None:
        if self.fd is not None:
            os.close(self.fd)
            self.fd = None
