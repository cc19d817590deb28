"""The release register: the live release sets and those that accept new runs, packed into one integer."""

from __future__ import annotations

from dataclasses import dataclass

SET_NUMBER_LIMIT = 1 << 10  # exclusive; release sets are numbered from 1, and numbers are not reused
MAX_LIVE_SETS = 3
OPEN_COUNT_LIMIT = MAX_LIVE_SETS + 1
NO_SET = 0  # marks an unused slot of the live sets


@dataclass(frozen=True)
class ReleaseRegister:
    """The live release sets.

    `version` increases with each change. `live_sets` starts with the current set; the first `open_count` of them accept
    new runs, the others are closed. A set up to `highest_set` that is not live is retired permanently.
    """

    version: int
    highest_set: int
    live_sets: tuple[int, ...]
    open_count: int = 1

    @property
    def current_set(self) -> int:
        """The release set intended for new runs."""
        return self.live_sets[0]

    @property
    def open_sets(self) -> tuple[int, ...]:
        """Live sets that accept new runs."""
        return self.live_sets[: self.open_count]

    @property
    def closed_sets(self) -> tuple[int, ...]:
        """Live sets that only keep their existing runs."""
        return self.live_sets[self.open_count :]

    def pack(self) -> int:
        """Encode the register as the value of a quorum record; `unpack_register` decodes it."""
        packed = self.version
        for number in (*self.live_sets, NO_SET, NO_SET)[:MAX_LIVE_SETS]:
            packed = packed * SET_NUMBER_LIMIT + number
        return (packed * SET_NUMBER_LIMIT + self.highest_set) * OPEN_COUNT_LIMIT + self.open_count


def unpack_register(packed: int) -> ReleaseRegister | None:
    """Decode a register that `ReleaseRegister.pack` encoded; return None for an invalid number."""
    packed, open_count = divmod(packed, OPEN_COUNT_LIMIT)
    packed, highest_set = divmod(packed, SET_NUMBER_LIMIT)
    slots: list[int] = []
    for _ in range(MAX_LIVE_SETS):
        packed, number = divmod(packed, SET_NUMBER_LIMIT)
        slots.insert(0, number)
    version = packed
    live_sets = tuple(number for number in slots if number != NO_SET)
    if not live_sets or not _is_left_aligned(slots, live_sets) or len(set(live_sets)) < len(live_sets):
        return None
    if version < 1 or not 1 <= open_count <= len(live_sets) or max(live_sets) > highest_set:
        return None
    return ReleaseRegister(version, highest_set, live_sets, open_count)


def _is_left_aligned(slots: list[int], live_sets: tuple[int, ...]) -> bool:
    """Return whether no unused slot precedes a used one."""
    return tuple(slots[: len(live_sets)]) == live_sets
