"""The word between stewards on what waits: a msgpack array within one datagram."""

from __future__ import annotations

from ..lease.messages import ControllerMessage

ROWS_MOST = 10
LEVELS_MOST = 12
Row = tuple[int, int, int]  # class, ms that its oldest job has waited, jobs


class Line(ControllerMessage, frozen=True, array_like=True, tag=41):
    """Classes of jobs that could go at once, the highest standing first. levels: standings of the first, second, fourth
    ... of these jobs, in thousandths. total: all jobs, those among them that cannot go now."""

    rows: list[Row] = []
    levels: list[int] = []
    total: int = 0


def sound(word: Line) -> bool:
    """Whether its fields can be meant."""
    if not (0 <= word.life < 1 << 63 and 0 <= word.round < 1 << 53 and 0 <= word.total < 1 << 40):
        return False
    rows = all(0 <= c < 1 << 12 and 0 <= waited < 1 << 40 and 0 < n < 1 << 40 for c, waited, n in word.rows)
    levels = all(-(1 << 50) < level < 1 << 50 for level in word.levels)
    return rows and levels and len(word.rows) <= ROWS_MOST and len(word.levels) <= LEVELS_MOST
