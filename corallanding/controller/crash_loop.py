"""Starts that came soon after one another: a steward that dies again and again waits before the next try. Pure but for
`Starts`, which keeps their times in a file beside the store.

Guards against a loop of deaths that reads all tables to a thousand forwarders at each turn, and against a snapshot that
is the cause of them. Could harm a steward that is restarted by hand several times within moments: it says how long it
waits.
"""

from __future__ import annotations

import contextlib
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import msgspec

from ..snapshot.file import replace_file

SOON = 60_000.0  # ms: deaths within this time of one another belong together
FREE = 3  # starts that wait for nothing
FIRST, MOST = 1_000.0, 30_000.0  # ms
DOUBT = 3  # deaths after which the snapshot is not used
STABLE_AFTER_MS = 10_000.0  # ms of life after which all is forgotten


@dataclass(frozen=True)
class StartAdvice:
    recent_failures: int  # starts before this one, each of which ended without a calm time
    wait_ms: float  # ms
    may_use_snapshot: bool  # whether the snapshot may be used


def advise_start(before: Sequence[float], now: float) -> StartAdvice:
    """before: wall-clock times of starts that were not followed by a calm time, ms."""
    recent, last = 0, now
    for at in sorted((t for t in before if t <= now), reverse=True):
        if last - at > SOON:
            break
        recent, last = recent + 1, at
    wait = 0.0 if recent < FREE else min(MOST, FIRST * 2.0 ** (recent - FREE))
    return StartAdvice(recent, wait, recent < DOUBT)


class StartHistory:
    """The file; a steward that cannot write it starts all the same."""

    def __init__(self, path: str) -> None:
        self.path = Path(path)

    def read(self) -> list[float]:
        try:
            return msgspec.json.decode(self.path.read_bytes(), type=list[float])[-20:]
        except (OSError, msgspec.DecodeError):
            return []

    def write(self, times: Sequence[float]) -> None:
        with contextlib.suppress(OSError):
            replace_file(self.path, msgspec.json.encode(list(times)))
