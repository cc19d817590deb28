"""Detects crash loops: starts after which the controller soon failed. Sets how long the next start must wait.

This prevents repeated crashes from sending all tables to a thousand proxies each time, and discards a snapshot that may
cause them. It also delays a controller that is restarted manually several times in quick succession; the delay is
logged.
"""

from __future__ import annotations

import contextlib
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import msgspec

from ..snapshot.file import replace_file

RELATED_WITHIN_MS = 60_000.0  # starts within this interval belong to one series
FREE_STARTS = 3  # starts of a series without a backoff
INITIAL_BACKOFF_MS = 1_000.0
MAX_BACKOFF_MS = 30_000.0
MAX_SNAPSHOT_FAILURES = 3  # after this many failed starts the snapshot is not used
STABLE_AFTER_MS = 10_000.0  # a process that runs this long ends the series
MAX_STORED_STARTS = 20


@dataclass(frozen=True)
class StartAdvice:
    """How to start: the number of recent failed starts, the backoff, and whether the snapshot may be used."""

    recent_failures: int
    wait_ms: float
    may_use_snapshot: bool


def advise_start(earlier_starts: Sequence[float], now_ms: float) -> StartAdvice:
    """Return advice for a start at `now_ms`; `earlier_starts` are those since the last stable run. Wall clock, ms."""
    failures = 0
    previous_start = now_ms
    for start in sorted((start for start in earlier_starts if start <= now_ms), reverse=True):
        if previous_start - start > RELATED_WITHIN_MS:
            break
        failures += 1
        previous_start = start
    wait_ms = 0.0
    if failures >= FREE_STARTS:
        wait_ms = min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2.0 ** (failures - FREE_STARTS))
    return StartAdvice(failures, wait_ms, failures < MAX_SNAPSHOT_FAILURES)


class StartHistory:
    """The file with the times of starts. A controller starts even if it cannot write the file."""

    def __init__(self, path: str) -> None:
        self.path = Path(path)

    def read(self) -> list[float]:
        """Return the last starts, wall-clock ms; empty if the file is missing or damaged."""
        try:
            return msgspec.json.decode(self.path.read_bytes(), type=list[float])[-MAX_STORED_STARTS:]
        except (OSError, msgspec.DecodeError):
            return []

    def write(self, starts: Sequence[float]) -> None:
        """Replace the file; errors are ignored."""
        with contextlib.suppress(OSError):
            replace_file(self.path, msgspec.json.encode(list(starts)))
