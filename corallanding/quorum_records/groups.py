"""Which groups of records a controller holds, by its task leases."""

from __future__ import annotations

import zlib
from collections.abc import Iterable

from ..lease.core import TaskLeases
from .core import QuorumRecords


def group_of(label: str) -> int:
    """The number of a group, by the name of its task: numbers of tasks change when a task is added, groups stay."""
    return zlib.crc32(label.encode())


class GroupLeases:
    """Makes a controller the proposer of the groups whose tasks it holds. tasks: their numbers, one for each group."""

    def __init__(self, leases: TaskLeases, records: QuorumRecords, tasks: Iterable[int]) -> None:
        self.leases = leases
        self.records = records
        self.group_by_task = {number: group_of(leases.tasks.label(number)) for number in tasks}
        self.superseded_tokens: dict[int, int] = {}  # by group: the fencing token by which we were rejected

    def sync(self, now: float) -> None:
        """Take up and release groups; called after each tick of the leases.

        A group whose replicas know a higher fencing token is taken up again once the lease has a higher one than that.
        """
        for task, group in self.group_by_task.items():
            self._release_if_superseded(group)
            is_held = group in self.records.proposers
            if not self.leases.holds(now, task):
                if is_held:
                    self.records.release_group(group)
            elif not is_held and self.leases.holder.fencing_token > self.superseded_tokens.get(group, 0):
                self.records.acquire_group(group, self.leases.holder.fencing_token)

    def _release_if_superseded(self, group: int) -> None:
        proposer = self.records.proposers.get(group)
        if proposer and proposer.superseded_by:
            self.superseded_tokens[group] = proposer.superseded_by
            self.leases.holder.on_action_rejected(proposer.superseded_by)
            self.records.release_group(group)
