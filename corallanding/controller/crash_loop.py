"""Detects that the controller died soon after its last starts, and how long the next one has to wait.

Guards against a loop of crashes that sends all tables to a thousand proxies each time, and against a snapshot that
causes them. May harm a controller that is restarted by hand several times within moments: it logs how long it waits.
"""

from __future__ import annotations

import contextlib
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import msgspec

from ..snapshot.file import replace_file

RELATED_WITHIN_MS = 60_000.0  # starts that lie closer together belong to one series
FREE_STARTS = 3  # starts of a series that do not wait
INITIAL_BACKOFF_MS = 1_000.0
MAX_BACKOFF_MS = 30_000.0
MAX_SNAPSHOT_FAILURES = 3  # after so many failed starts the snapshot is not used
STABLE_AFTER_MS = 10_000.0  # a process that runs for so long ends the series
MAX_STORED_STARTS = 20


@dataclass(frozen=True)
class StartAdvice:
    """How to start: how many starts failed just before, the backoff, and whether the snapshot may be used."""

    recent_failures: int
    wait_ms: float
    may_use_snapshot: bool


def advise_start(earlier_starts: Sequence[float], now: float) -> StartAdvice:
    """Advice for a start at `now`; `earlier_starts` are those since the last stable run, wall-clock ms."""
    failures = 0
    last = now
    for at in sorted((at for at in earlier_starts if at <= now), reverse=True):
        if last - at > RELATED_WITHIN_MS:
            break
        failures += 1
        last = at
    wait_ms = 0.0
    if failures >= FREE_STARTS:
        wait_ms = min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2.0 ** (failures - FREE_STARTS))
    return StartAdvice(failures, wait_ms, failures < MAX_SNAPSHOT_FAILURES)


class StartHistory:
    """The file with the times of starts. A controller that cannot write it starts all the same."""

    def __init__(self, path: str) -> None:
        self.path = Path(path)

    def read(self) -> list[float]:
        """The last starts, wall-clock ms; empty if the file is missing or damaged."""
        try:
            return msgspec.json.decode(self.path.read_bytes(), type=list[float])[-MAX_STORED_STARTS:]
        except (OSError, msgspec.DecodeError):
            return []

    def write(self, starts: Sequence[float]) -> None:
        """Replace the file, if that can be done."""
        with contextlib.suppress(OSError):
            replace_file(self.path, msgspec.json.encode(list(starts)))
