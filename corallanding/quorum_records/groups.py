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
        self.of = {number: group_of(leases.tasks.label(number)) for number in tasks}
        self.behind: dict[int, int] = {}  # group: the fence that its keepers have seen

    def sync(self, now: float) -> None:
        """Call after each tick of the leases. One that was refused behind a fence waits until it has a higher one."""
        held = self.records.held
        for number, group in self.of.items():
            writer = held.get(group)
            if writer and writer.behind:
                self.behind[group] = writer.behind
                self.leases.holder.behind_of(writer.behind)
                self.records.drop(group)
                writer = None
            if not self.leases.holds(now, number):
                if writer:
                    self.records.drop(group)
            elif writer is None and self.leases.holder.fence > self.behind.get(group, 0):
                self.records.hold(group, self.leases.holder.fence)
