"""What a steward knows by load reports, as values: it goes to the steward's next process beside the intake's socket.

Pure. Times stand on the steward's clock, which goes on.
"""

from __future__ import annotations

import hashlib
import json
from typing import Any

import msgspec

from .load_estimator import Counts, HostLoad, Worth


class FeedState(msgspec.Struct):
    """intake: digest of the settings that its process was started with. held: a message that has come in part."""

    intake: str
    process: int
    port: int
    held: bytes
    hosts: dict[int, HostLoad]
    ticks: list[tuple[bytes, float]]
    counts: Counts
    turned_at: float
    reported: dict[str, int]  # the intake's own counts


def digest(conf: dict[str, Any]) -> str:
    """Of an intake's settings, its key among them, which itself goes nowhere."""
    return hashlib.sha256(json.dumps(conf, sort_keys=True).encode()).hexdigest()


def hand(worth: Worth, intake: str, process: int, port: int, held: bytes, reported: dict[str, int]) -> FeedState:
    return FeedState(
        intake, process, port, held, worth.hosts, list(worth.ticks.items()), worth.counts, worth.turned_at, reported
    )


def take(worth: Worth, s: FeedState) -> None:
    worth.hosts, worth.ticks = dict(s.hosts), dict(s.ticks)
    worth.counts, worth.turned_at = s.counts, s.turned_at
