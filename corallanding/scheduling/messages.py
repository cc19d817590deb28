"""The word between stewards on what waits: a msgpack array within one datagram."""

from __future__ import annotations

from ..lease.messages import ControllerMessage

MAX_ROWS = 10
MAX_LEVELS = 12
QueueRow = tuple[int, int, int]  # class, ms that its oldest job has waited, jobs


class QueueSummary(ControllerMessage, frozen=True, array_like=True, tag=41):
    """Classes of jobs that could go at once, the highest standing first. levels: standings of the first, second, fourth
    ... of these jobs, in thousandths. total: all jobs, those among them that cannot go now."""

    groups: list[QueueRow] = []
    priority_levels: list[int] = []
    job_count: int = 0


def is_valid(word: QueueSummary) -> bool:
    """Whether its fields can be meant."""
    if not (0 <= word.life < 1 << 63 and 0 <= word.round < 1 << 53 and 0 <= word.job_count < 1 << 40):
        return False
    rows = all(0 <= c < 1 << 12 and 0 <= waited < 1 << 40 and 0 < n < 1 << 40 for c, waited, n in word.groups)
    levels = all(-(1 << 50) < level < 1 << 50 for level in word.priority_levels)
    return rows and levels and len(word.groups) <= MAX_ROWS and len(word.priority_levels) <= MAX_LEVELS
