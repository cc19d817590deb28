"""The message between controllers that summarizes queued jobs: a msgpack array within one datagram."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

import msgspec

from ..wire.peer_messages import ControllerMessage, has_valid_header

MAX_ROWS = 10  # groups in one summary
MAX_LEVELS = 12  # priority levels in one summary; they cover the first 2**11 jobs
LEVELS_PER_PRIORITY = 1_000.0  # priorities are sent in thousandths
LEVEL_RANKS = tuple(2**exponent - 1 for exponent in range(MAX_LEVELS))  # indexes of the jobs whose priorities are sent

GROUP_LIMIT = 1 << 12
COUNT_LIMIT = 1 << 40
WAITED_LIMIT_MS = 1 << 40
LEVEL_LIMIT = 1 << 50


class QueueRow(NamedTuple):
    """The ready jobs of one group (see `group_of`). `oldest_waited_ms` is the time that the oldest has waited."""

    group: int
    oldest_waited_ms: int
    job_count: int


class QueueSummary(ControllerMessage, frozen=True, array_like=True, tag=41):
    """A summary of the queue of a controller.

    `groups` have ready jobs, the highest effective priority first. `priority_levels` are the priorities, in
    thousandths, of the first, second, fourth, eighth ... ready job. `job_count` counts all jobs, ready or not.
    """

    groups: list[QueueRow] = msgspec.field(default_factory=list)
    priority_levels: list[int] = msgspec.field(default_factory=list)
    job_count: int = 0


def group_of(job_class: int, is_boosted: bool) -> int:
    """Return the group of jobs that age alike: one class, with or without the retirement boost."""
    return job_class * 2 + is_boosted


def class_of_group(group: int) -> int:
    """Return the job class of a group."""
    return group // 2


def is_boosted_group(group: int) -> bool:
    """Return whether jobs of the group have the retirement boost."""
    return bool(group & 1)


def sample_levels(priorities: Sequence[float]) -> list[int]:
    """Return `QueueSummary.priority_levels` of jobs; `priorities` are in descending order."""
    return [int(priorities[rank] * LEVELS_PER_PRIORITY) for rank in LEVEL_RANKS if rank < len(priorities)]


def is_valid(message: QueueSummary) -> bool:
    """Return whether all fields of a message are within the bounds of what a correct controller sends."""
    if not has_valid_header(message):
        return False
    if not 0 <= message.job_count < COUNT_LIMIT:
        return False
    if len(message.groups) > MAX_ROWS or len(message.priority_levels) > MAX_LEVELS:
        return False
    if not all(-LEVEL_LIMIT < level < LEVEL_LIMIT for level in message.priority_levels):
        return False
    return all(
        0 <= group < GROUP_LIMIT and 0 <= waited_ms < WAITED_LIMIT_MS and 0 < count < COUNT_LIMIT
        for group, waited_ms, count in message.groups
    )
