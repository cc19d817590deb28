"""Which sets of versions there are, and which take new runs: one number, written by the holder of the release task.
Pure."""

from __future__ import annotations

from dataclasses import dataclass

SETS = 1 << 10  # numbers of sets: 1 on, each for ever
ALIVE_MOST = 3


@dataclass(frozen=True)
class Register:
    """version: rises with each change. highest: number of a set that there ever was; what is up to it and not alive is
    retired for good. alive: the current one first. open: how many of these, from the first on, take new runs."""

    version: int
    highest: int
    alive: tuple[int, ...]
    open: int = 1

    @property
    def current(self) -> int:
        return self.alive[0]

    @property
    def opens(self) -> tuple[int, ...]:
        return self.alive[: self.open]

    def pack(self) -> int:
        out = self.version
        for number in (*self.alive, 0, 0)[:ALIVE_MOST]:
            out = out * SETS + number
        return (out * SETS + self.highest) * 4 + self.open


def unpack(value: int) -> Register | None:
    """None for a number that is no register."""
    value, open = divmod(value, 4)
    value, highest = divmod(value, SETS)
    alive = []
    for _ in range(ALIVE_MOST):
        value, number = divmod(value, SETS)
        alive.append(number)
    row = tuple(n for n in reversed(alive) if n)
    if not row or alive != [0] * (ALIVE_MOST - len(row)) + list(reversed(row)) or len(set(row)) < len(row):
        return None
    if value < 1 or not 1 <= open <= len(row) or max(row) > highest:
        return None
    return Register(value, highest, row, open)
