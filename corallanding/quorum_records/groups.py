"""Assigns groups of records to the controllers that hold the matching task leases."""

from __future__ import annotations

import zlib
from collections.abc import Iterable

from ..lease.core import TaskLeases
from .core import QuorumRecords


def group_of(label: str) -> int:
    """Return a group's number, a hash of its task's label: unlike task numbers, it stays when a task is added."""
    return zlib.crc32(label.encode())


class GroupLeases:
    """Makes a controller the proposer of the groups whose task leases it holds. tasks: one task number per group."""

    def __init__(self, leases: TaskLeases, records: QuorumRecords, tasks: Iterable[int]) -> None:
        self.leases = leases
        self.records = records
        self.group_by_task = {number: group_of(leases.tasks.label(number)) for number in tasks}
        self.superseded_tokens: dict[int, int] = {}  # group -> higher fencing token that a replica has promised

    def sync(self, now_ms: float) -> None:
        """Acquire and release groups according to the leases; called after each tick of the leases.

        A group whose replicas have promised a higher fencing token is released, and acquired again once the lease has
        a fencing token above that one.
        """
        for task, group in self.group_by_task.items():
            self._release_if_superseded(group)
            is_held = group in self.records.proposers
            if not self.leases.holds(now_ms, task):
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
