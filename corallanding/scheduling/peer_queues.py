"""What the other stewards have waiting, by their last words: who must be let go first. Pure."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from .limits import Kind
from .messages import Line, Row


@dataclass
class Other:
    """at: when it was last heard, by our clock."""

    at: float
    life: int
    round: int
    rows: list[Row] = field(default_factory=list)
    levels: list[int] = field(default_factory=list)
    total: int = 0


class Lines:
    """stale: ms. What one was heard to have waiting is reckoned to have grown older with our clock: late by the word's
    way and the drift, never early by more than the drift."""

    def __init__(self, kinds: Sequence[Kind], rise: float, stale: float) -> None:
        self.kinds, self.rise, self.stale = kinds, rise, stale
        self.others: dict[int, Other] = {}
        self.refused = 0

    def heard(self, now: float, sender: int, word: Line) -> None:
        if any(group >= 2 * len(self.kinds) for group, _, _ in word.rows):
            self.refused += 1  # it has other operations than we
            return
        old = self.others.get(sender)
        if old is None or old.life != word.life or word.round > old.round:
            self.others[sender] = Other(now, word.life, word.round, list(word.rows), list(word.levels), word.total)

    def counted(self, now: float, alive: Iterable[int]) -> list[int]:
        """Those that are waited for: alive, and heard of late."""
        return [n for n in alive if n in self.others and now - self.others[n].at <= self.stale]

    def water(self, now: float, alive: Iterable[int]) -> float:
        """The highest standing that waits at another; below all if none does."""
        return max(
            (self.standing(now, o, row) for n in self.counted(now, alive) if (o := self.others[n]) for row in o.rows),
            default=float("-inf"),
        )

    def standing(self, now: float, other: Other, row: Row) -> float:
        group, waited, _ = row
        rise = self.rise if group & 1 else 0.0
        return self.kinds[group // 2].standing(waited + now - other.at, rise)

    def share(self, now: float, alive: Iterable[int], own: Sequence[float], rate: int) -> int:
        """Of the next `rate` jobs of all, how many are ours. own: our highest standings, descending."""
        elsewhere = [self.others[n].levels for n in self.counted(now, alive)]

        def until(k: int) -> float:
            """So many of all stand as high as our k-th, it among them: more with each k."""
            return k + sum(above(levels, own[k - 1] * 1000.0) for levels in elsewhere)

        return max(min(1, len(own)), bisect_right(range(1, min(len(own), rate) + 1), float(rate), key=until))

    def total(self, now: float, alive: Iterable[int]) -> int:
        return sum(self.others[n].total for n in self.counted(now, alive))


def above(levels: Sequence[int], level: float) -> float:
    """About how many jobs stand above `level`, by the standings of the first, second, fourth, eighth ..."""
    count = sum(x > level for x in levels)
    if count in (0, len(levels)):
        return float(1 << count >> 1)
    high, low = levels[count - 1], levels[count]
    return (1 << count >> 1) * (1.0 + (high - level) / max(high - low, 1))
