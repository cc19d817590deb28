"""The tasks of a fleet as configured, and the shards in which they are dealt. Pure.

Words must follow members, not tasks: so tasks are dealt by shards, of which a set fits one datagram. As long as there
are no more tasks than shards, each has one for itself, and moves alone.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from .messages import BITS

SHARDS = BITS * 8


@dataclass(frozen=True)
class TaskSpec:
    """count: tasks of a group by number, 1 for a single one. work: ms that one act takes at the longest. idle: ms
    without progress after which its holder loses its turn, 0 for never. wanted: whether every steward wants it always;
    else only those that say so."""

    name: str
    count: int = 1
    work: float = 500.0
    idle: float = 0.0
    wanted: bool = True


class TaskCatalog:
    """By name, in an order that all stewards share. Numbers run through all of them, 0 on."""

    def __init__(self, tasks: Mapping[str, TaskSpec]) -> None:
        self.by_name = dict(sorted(tasks.items()))
        self.first: dict[str, int] = {}
        self.rows: list[tuple[int, TaskSpec]] = []  # first number, task
        at = 0
        for name, task in self.by_name.items():
            self.first[name] = at
            self.rows.append((at, task))
            at += task.count
        self.count = at
        self.last: tuple[int, list[int]] = (0, [])
        self.weights = [at // SHARDS + (k < at % SHARDS) for k in range(SHARDS)]
        self.digest = zlib.crc32(self.digest_text().encode())
        self.sticky = self.shards(n for first, t in self.rows if not t.wanted for n in range(first, first + t.count))
        self.always = self.shards(n for first, t in self.rows if t.wanted for n in range(first, first + t.count))

    def digest_text(self) -> str:
        """What the digest is computed from. Frozen: controllers of other versions compare theirs with it."""
        return f"[{', '.join(_digest_row(task) for task in self.by_name.values())}]"

    def number(self, name: str, which: int = 0) -> int:
        """Raises KeyError for a task that is not configured."""
        task = self.by_name[name]
        if not 0 <= which < task.count:
            raise KeyError(f"{name}[{which}]")
        return self.first[name] + which

    def row(self, number: int) -> tuple[int, TaskSpec]:
        """The first number of its task or group, and that."""
        return next(row for row in reversed(self.rows) if row[0] <= number)

    def task(self, number: int) -> TaskSpec:
        return self.row(number)[1]

    def label(self, number: int) -> str:
        first, task = self.row(number)
        return task.name if task.count == 1 else f"{task.name}[{number - first}]"

    @staticmethod
    def shard(number: int) -> int:
        return number % SHARDS

    @staticmethod
    def shards(numbers: Iterable[int]) -> int:
        """A set of shards, as bits of a whole number."""
        out = 0
        for n in numbers:
            out |= 1 << n % SHARDS
        return out

    def within(self, bits: int) -> list[int]:
        """The numbers of the tasks in these shards. The last answer is kept: it is asked for at every tick."""
        if self.last[0] != bits:
            self.last = (bits, sorted(n for shard in each(bits) for n in range(shard, self.count, SHARDS)))
        return self.last[1]


def _digest_row(task: TaskSpec) -> str:
    row = f"name={task.name!r}, count={task.count!r}, work={task.work!r}, idle={task.idle!r}, wanted={task.wanted!r}"
    return f"Task({row})"


def pack(bits: int) -> bytes:
    return bits.to_bytes(BITS, "little")


def unpack(data: bytes) -> int:
    return int.from_bytes(data, "little")


def each(bits: int) -> list[int]:
    """The shards of a set, ascending."""
    out = []
    while bits:
        low = bits & -bits
        out.append(low.bit_length() - 1)
        bits ^= low
    return out
