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

    intake: str = msgspec.field(name="intake")
    process: int = msgspec.field(name="process")
    port: int = msgspec.field(name="port")
    held: bytes = msgspec.field(name="held")
    hosts: dict[int, HostLoad] = msgspec.field(name="hosts")
    ticks: list[tuple[bytes, float]] = msgspec.field(name="ticks")
    counts: Counts = msgspec.field(name="counts")
    turned_at: float = msgspec.field(name="turned_at")
    reported: dict[str, int] = msgspec.field(name="reported")  # the intake's own counts


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
