"""What each witness saw, in its own order. A witness that ends says how much it saw: a gap shows."""

from __future__ import annotations

import gzip
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

_clock: Callable[[], float] = time.monotonic
_wall: Callable[[], float] = time.time


def use(clock: Callable[[], float] = time.monotonic, wall: Callable[[], float] = time.time) -> None:
    """Other clocks than the machine's, in seconds, for all stand-ins of this process: the emulator's."""
    global _clock, _wall
    _clock, _wall = clock, wall


def clock() -> float:
    """Milliseconds on the monotonic clock: one clock for all witnesses of a run."""
    return _clock() * 1000.0


def wall() -> float:
    return _wall() * 1000.0


class Witness:
    """name: "host 3", "forwarder 0", "roster", "clients". Records are (number, time, kind, fields...)."""

    def __init__(self, trace: Trace, name: str) -> None:
        self.trace, self.name, self.count = trace, name, 0

    def saw(self, kind: str, *fields: Any) -> None:
        self.count += 1
        self.trace.records.append((self.name, self.count, clock(), kind, *fields))


class Trace:
    def __init__(self) -> None:
        self.records: list[tuple[Any, ...]] = []
        self.witnesses: dict[str, Witness] = {}

    def witness(self, name: str) -> Witness:
        return self.witnesses.setdefault(name, Witness(self, name))

    def end(self) -> None:
        for witness in self.witnesses.values():
            witness.saw("end", witness.count + 1)

    def save(self, path: Path) -> None:
        with gzip.open(path, "wb", compresslevel=3) as file:
            for record in self.records:
                file.write(msgspec.json.encode(record) + b"\n")


def read(path: Path) -> list[list[Any]]:
    with gzip.open(path) as file:
        return [msgspec.json.decode(line) for line in file]
