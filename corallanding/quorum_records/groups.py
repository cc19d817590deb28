"""Which groups of records a steward holds, by its tasks of the fleet. Pure."""

from __future__ import annotations

import zlib
from collections.abc import Iterable

from ..lease.core import TaskLeases
from .core import QuorumRecords


def group_of(label: str) -> int:
    """A group's number, by its task's name: numbers of tasks change when a task is added, records stay."""
    return zlib.crc32(label.encode())


class GroupLeases:
    """tasks: numbers of the tasks that stand for a group each."""

    def __init__(self, leases: TaskLeases, records: QuorumRecords, tasks: Iterable[int]) -> None:
        self.leases, self.records = leases, records
        self.group_by_task = {number: group_of(leases.tasks.label(number)) for number in tasks}
        self.superseded_tokens: dict[int, int] = {}  # group: the fence that its keepers have seen

    def sync(self, now: float) -> None:
        """Call after each tick of the leases. One that was refused behind a fence waits until it has a higher one."""
        held = self.records.proposers
        for number, group in self.group_by_task.items():
            writer = held.get(group)
            if writer and writer.superseded_by:
                self.superseded_tokens[group] = writer.superseded_by
                self.leases.holder.on_action_rejected(writer.superseded_by)
                self.records.release_group(group)
                writer = None
            if not self.leases.holds(now, number):
                if writer:
                    self.records.release_group(group)
            elif writer is None and self.leases.holder.fencing_token > self.superseded_tokens.get(group, 0):
                self.records.acquire_group(group, self.leases.holder.fencing_token)
