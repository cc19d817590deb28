"""The trace of a run: events as each participant observed them, numbered per observer.

The last record of an observer holds the number of its records, so that the audit detects gaps and truncation.
"""

from __future__ import annotations

import gzip
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

_clock_s: Callable[[], float] = time.monotonic
_wall_s: Callable[[], float] = time.time


def use(clock: Callable[[], float] = time.monotonic, wall: Callable[[], float] = time.time) -> None:
    """Replace the clocks of all stand-ins of this process, in seconds. The emulator passes its simulated time."""
    global _clock_s, _wall_s
    _clock_s = clock
    _wall_s = wall


def clock() -> float:
    """Return the monotonic time in ms; all observers of a run share this clock."""
    return _clock_s() * 1000.0


def wall() -> float:
    """Return the wall clock time in ms since the epoch."""
    return _wall_s() * 1000.0


class Observer:
    """One participant that records events, named like "host 3", "forwarder 0", "roster" or "clients".

    A record is (name, number, time in ms, kind, fields...).
    """

    def __init__(self, trace: Trace, name: str) -> None:
        self.trace = trace
        self.name = name
        self.count = 0

    def record(self, kind: str, *fields: Any) -> None:
        """Append one event to the trace."""
        self.count += 1
        self.trace.records.append((self.name, self.count, clock(), kind, *fields))


class Trace:
    """The records of all observers of a run, in the order of their arrival."""

    def __init__(self) -> None:
        self.records: list[tuple[Any, ...]] = []
        self.observers: dict[str, Observer] = {}

    def observer(self, name: str) -> Observer:
        """Return the observer of that name; create it at the first call."""
        return self.observers.setdefault(name, Observer(self, name))

    def end(self) -> None:
        """Write the end record of each observer, which holds the number of its records, the end record included."""
        for observer in self.observers.values():
            observer.record("end", observer.count + 1)

    def save(self, path: Path) -> None:
        """Write the records as gzipped JSON lines."""
        with gzip.open(path, "wb", compresslevel=3) as file:
            for record in self.records:
                file.write(msgspec.json.encode(record) + b"\n")


def read(path: Path) -> list[list[Any]]:
    """Read the records of a saved trace."""
    with gzip.open(path) as file:
        return [msgspec.json.decode(line) for line in file]
