"""The configured tasks of all controllers, and the shards in which they are leased.

Message sizes must depend on the number of controllers, not on the number of tasks. Tasks are therefore leased by shard,
and a set of all shards fits into one datagram. While there are no more tasks than shards, each task has its own shard.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from .messages import SHARD_SET_BYTES

SHARDS = SHARD_SET_BYTES * 8


@dataclass(frozen=True)
class TaskSpec:
    """A task, or a group of `count` tasks of one kind.

    One action takes at most `max_work_ms`. A holder that makes no progress for `max_idle_ms` releases the task; 0 means
    no limit. A task that is not `is_always_wanted` is requested only after a call of `TaskLeases.request_task`.
    """

    name: str
    count: int = 1
    max_work_ms: float = 500.0
    max_idle_ms: float = 0.0
    is_always_wanted: bool = True


class NumberedSpec(NamedTuple):
    """A task or group with the number of its first task."""

    first_number: int
    spec: TaskSpec

    @property
    def numbers(self) -> range:
        """The numbers of the tasks of this group."""
        return range(self.first_number, self.first_number + self.spec.count)


class TaskCatalog:
    """All tasks, ordered by name and numbered from 0, so that all controllers use the same numbers."""

    def __init__(self, specs: Mapping[str, TaskSpec]) -> None:
        self.specs = dict(sorted(specs.items()))
        self.first_numbers: dict[str, int] = {}
        self.numbered_specs: list[NumberedSpec] = []
        self.count = 0
        for name, spec in self.specs.items():
            self.first_numbers[name] = self.count
            self.numbered_specs.append(NumberedSpec(self.count, spec))
            self.count += spec.count
        self.shard_weights = [self.count // SHARDS + (shard < self.count % SHARDS) for shard in range(SHARDS)]
        self.digest = zlib.crc32(self._digest_text().encode())
        self.sticky_shards = self._shards_of_specs(is_always_wanted=False)
        self.always_wanted_shards = self._shards_of_specs(is_always_wanted=True)
        self._cached_shards = 0
        self._cached_tasks: list[int] = []

    def _shards_of_specs(self, *, is_always_wanted: bool) -> int:
        specs = [row for row in self.numbered_specs if row.spec.is_always_wanted == is_always_wanted]
        return self.shard_set(number for row in specs for number in row.numbers)

    def _digest_text(self) -> str:
        """Return the text that is hashed. Its format is fixed: controllers of other versions compare digests."""
        return f"[{', '.join(_digest_row(spec) for spec in self.specs.values())}]"

    def number(self, name: str, index: int = 0) -> int:
        """Return the number of a task, given its name and its index in the group.

        Raises KeyError for a task that is not configured.
        """
        spec = self.specs[name]
        if not 0 <= index < spec.count:
            raise KeyError(f"{name}[{index}]")
        return self.first_numbers[name] + index

    def numbered_spec(self, number: int) -> NumberedSpec:
        """Return the task or group to which a task number belongs."""
        return next(row for row in reversed(self.numbered_specs) if row.first_number <= number)

    def spec(self, number: int) -> TaskSpec:
        """Return the configuration of the task with this number."""
        return self.numbered_spec(number).spec

    def label(self, number: int) -> str:
        """Return the name of a task; in a group, with its index in brackets."""
        first_number, spec = self.numbered_spec(number)
        return spec.name if spec.count == 1 else f"{spec.name}[{number - first_number}]"

    @staticmethod
    def shard_of(number: int) -> int:
        """Return the shard of a task."""
        return number % SHARDS

    @staticmethod
    def shard_set(numbers: Iterable[int]) -> int:
        """Return the shards of these tasks as a bit set."""
        shards = 0
        for number in numbers:
            shards |= 1 << number % SHARDS
        return shards

    def tasks_in(self, shards: int) -> list[int]:
        """Return the numbers of the tasks in a set of shards, ascending.

        The last result is cached, because each tick requests it.
        """
        if self._cached_shards != shards:
            self._cached_shards = shards
            self._cached_tasks = sorted(n for shard in shard_list(shards) for n in range(shard, self.count, SHARDS))
        return self._cached_tasks


def _digest_row(spec: TaskSpec) -> str:
    work, idle = spec.max_work_ms, spec.max_idle_ms
    fields = f"name={spec.name!r}, count={spec.count!r}, work={work!r}, idle={idle!r}, wanted={spec.is_always_wanted!r}"
    return f"Task({fields})"


def pack(shards: int) -> bytes:
    """Encode a set of shards for a message."""
    return shards.to_bytes(SHARD_SET_BYTES, "little")


def unpack(data: bytes) -> int:
    """Decode a set of shards that `pack` encoded."""
    return int.from_bytes(data, "little")


def shard_list(shards: int) -> list[int]:
    """Return the shards of a set, ascending."""
    found = []
    while shards:
        lowest_bit = shards & -shards
        found.append(lowest_bit.bit_length() - 1)
        shards ^= lowest_bit
    return found
