"""The release register: which release sets there are and which take new runs, packed into one integer."""

from __future__ import annotations

from dataclasses import dataclass

SET_NUMBER_LIMIT = 1 << 10  # release sets are numbered from 1; a number is never used twice
MAX_LIVE_SETS = 3
OPEN_COUNT_LIMIT = MAX_LIVE_SETS + 1
NO_SET = 0  # fills the places of live sets that are not used


@dataclass(frozen=True)
class ReleaseRegister:
    """Which release sets are live.

    `version` rises with each change. `live_sets` begins with the current set; the first `open_count` of them take new
    runs, the others are closed. A set up to `highest_set` that is not live is retired for good.
    """

    version: int
    highest_set: int
    live_sets: tuple[int, ...]
    open_count: int = 1

    @property
    def current_set(self) -> int:
        """The release set that new runs shall have."""
        return self.live_sets[0]

    @property
    def open_sets(self) -> tuple[int, ...]:
        """Live sets that take new runs."""
        return self.live_sets[: self.open_count]

    @property
    def closed_sets(self) -> tuple[int, ...]:
        """Live sets that only keep the runs which they have."""
        return self.live_sets[self.open_count :]

    def pack(self) -> int:
        """The register as the value of a quorum record; `unpack_register` reads it."""
        packed = self.version
        for number in (*self.live_sets, NO_SET, NO_SET)[:MAX_LIVE_SETS]:
            packed = packed * SET_NUMBER_LIMIT + number
        return (packed * SET_NUMBER_LIMIT + self.highest_set) * OPEN_COUNT_LIMIT + self.open_count


def unpack_register(packed: int) -> ReleaseRegister | None:
    """The register that `ReleaseRegister.pack` made; None for a number that is none."""
    packed, open_count = divmod(packed, OPEN_COUNT_LIMIT)
    packed, highest_set = divmod(packed, SET_NUMBER_LIMIT)
    places: list[int] = []
    for _ in range(MAX_LIVE_SETS):
        packed, number = divmod(packed, SET_NUMBER_LIMIT)
        places.insert(0, number)
    version = packed
    live_sets = tuple(number for number in places if number != NO_SET)
    if not live_sets or not _is_left_aligned(places, live_sets) or len(set(live_sets)) < len(live_sets):
        return None
    if version < 1 or not 1 <= open_count <= len(live_sets) or max(live_sets) > highest_set:
        return None
    return ReleaseRegister(version, highest_set, live_sets, open_count)


def _is_left_aligned(places: list[int], live_sets: tuple[int, ...]) -> bool:
    """Whether no unused place stands before a used one."""
    return tuple(places[: len(live_sets)]) == live_sets
