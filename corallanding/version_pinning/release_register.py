"""Which sets of versions there are, and which take new runs: one number, written by the holder of the release task.
Pure."""

from __future__ import annotations

from dataclasses import dataclass

SET_NUMBER_LIMIT = 1 << 10  # numbers of sets: 1 on, each for ever
MAX_LIVE_SETS = 3


@dataclass(frozen=True)
class ReleaseRegister:
    """version: rises with each change. highest: number of a set that there ever was; what is up to it and not alive is
    retired for good. alive: the current one first. open: how many of these, from the first on, take new runs."""

    version: int
    highest_set: int
    live_sets: tuple[int, ...]
    open_count: int = 1

    @property
    def current_set(self) -> int:
        return self.live_sets[0]

    @property
    def open_sets(self) -> tuple[int, ...]:
        return self.live_sets[: self.open_count]

    def pack(self) -> int:
        out = self.version
        for number in (*self.live_sets, 0, 0)[:MAX_LIVE_SETS]:
            out = out * SET_NUMBER_LIMIT + number
        return (out * SET_NUMBER_LIMIT + self.highest_set) * 4 + self.open_count


def unpack_register(value: int) -> ReleaseRegister | None:
    """None for a number that is no register."""
    value, open = divmod(value, 4)
    value, highest = divmod(value, SET_NUMBER_LIMIT)
    alive = []
    for _ in range(MAX_LIVE_SETS):
        value, number = divmod(value, SET_NUMBER_LIMIT)
        alive.append(number)
    row = tuple(n for n in reversed(alive) if n)
    if not row or alive != [0] * (MAX_LIVE_SETS - len(row)) + list(reversed(row)) or len(set(row)) < len(row):
        return None
    if value < 1 or not 1 <= open <= len(row) or max(row) > highest:
        return None
    return ReleaseRegister(value, highest, row, open)
