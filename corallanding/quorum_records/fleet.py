"""Quorum records together with task leases and queries, and the order in which their actions are carried out."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from ..lease.core import TaskLeases
from .core import (
    DEFAULT_MESSAGES_PER_SECOND,
    Action,
    GroupRules,
    Persist,
    QuorumRecords,
    RecordPeers,
    ReplicaFile,
)
from .groups import GroupLeases, group_of
from .limits import RecordLimits
from .messages import Query, QueryReply, RecordMessage
from .queries import Queries, QueryLimits


@dataclass(frozen=True)
class RecordTaskGroups:
    """The task groups (or tasks) of which each task stands for a group of records.

    counted: those whose values are counted. permanent: those whose records are never deleted.
    """

    names: tuple[str, ...]
    counted: tuple[str, ...] = ()
    permanent: tuple[str, ...] = ()


class FleetRecords:
    """The records of one controller, whose groups follow its task leases.

    replica_ids: numbers of the controllers with a replica. Other arguments: as in `QuorumRecords`.

    Services that rest on records ask by `queries`, and hand their own actions through `in_send_order`.
    """

    def __init__(
        self,
        leases: TaskLeases,
        replica_ids: tuple[int, ...],
        limits: RecordLimits,
        query_limits: QueryLimits,
        created_at_ms: float,
        file: ReplicaFile,
        task_groups: RecordTaskGroups,
        messages_per_second: float = DEFAULT_MESSAGES_PER_SECOND,
    ) -> None:
        tasks = leases.tasks
        self.task_numbers = {
            name: [tasks.number(name, index) for index in range(tasks.specs[name].count)] for name in task_groups.names
        }
        self.groups_by_name = {
            name: tuple(group_of(tasks.label(number)) for number in numbers)
            for name, numbers in self.task_numbers.items()
        }
        self.acceptance_rules: dict[int, Callable[[int, bool], bool]] = {}  # by group; see `may_accept`
        self.records = QuorumRecords(
            RecordPeers(leases.controller_id, leases.peer_ids, replica_ids, leases.incarnation),
            limits,
            created_at_ms,
            self._rules_of(task_groups),
            file,
            messages_per_second,
        )
        every_task = [number for numbers in self.task_numbers.values() for number in numbers]
        self.group_leases = GroupLeases(leases, self.records, every_task)
        self.queries = Queries(leases.controller_id, leases.peer_ids, leases.incarnation, self.records, query_limits)

    def _rules_of(self, task_groups: RecordTaskGroups) -> GroupRules:
        """The rules of the groups of records for which the tasks stand."""
        return GroupRules(
            self._groups_of(task_groups.names),
            self.may_accept,
            self._groups_of(task_groups.counted),
            self._groups_of(task_groups.permanent),
        )

    def _groups_of(self, names: Iterable[str]) -> frozenset[int]:
        """All groups of these task groups."""
        return frozenset(group for name in names for group in self.groups_by_name[name])

    def may_accept(self, group: int, value: int, is_initial: bool) -> bool:
        """Whether the owner of the group lets a replica accept the value; groups without a rule accept any."""
        rule = self.acceptance_rules.get(group)
        return rule is None or rule(value, is_initial)

    def tick(self, now: float, actions: list[Action] | None = None) -> list[Action]:
        """Actions that are due, and those of services that rest on records; called after each tick of the leases."""
        self.group_leases.sync(now)
        return self.in_send_order(now, [*(actions or []), *self.queries.tick(now), *self.records.tick(now)])

    def send_new_queries(self, now: float) -> list[Action]:
        """Queries that were submitted since the last tick."""
        return self.in_send_order(now, list(self.queries.send_new(now)))

    def on_message(self, now: float, sender: int, message: RecordMessage | Query | QueryReply) -> list[Action]:
        """Take a message of a known controller."""
        if not isinstance(message, Query | QueryReply):
            return self.in_send_order(now, self.records.on_message(now, sender, message))
        if not self.records.rate_limits.try_take(sender, now):
            self.records.rejected_count += 1
            return []
        if isinstance(message, QueryReply):
            self.queries.on_reply(sender, message)
            return []
        return self.in_send_order(now, list(self.queries.on_query(now, sender, message)))

    def flush(self, now: float) -> list[Action]:
        """Accept messages of writes that have just begun: they are sent at once, not at the next tick."""
        actions: list[Action] = []
        for proposer in self.records.proposers.values():
            if proposer.is_ready and proposer.write_queue:
                actions += self.records.deliver(now, proposer.tick(now))
        return actions

    def in_send_order(self, now: float, actions: list[Action]) -> list[Action]:
        """These actions and all that they let happen now; what is to be persisted stands before every message."""
        all_actions = [*actions, *self.queries.on_decisions(now), *self.flush(now), *self.queries.on_decisions(now)]
        first = [action for action in all_actions if isinstance(action, Persist)]
        return [*first, *(action for action in all_actions if not isinstance(action, Persist))]

    def status(self) -> Mapping[str, Any]:
        """What the status page shows."""
        replica = self.records.replica
        return {
            "records": replica.record_count,
            "counts": self.records.recovery.is_ready,
            "blank": replica.is_recovering,
            "waits_for": self.records.recovery.awaited_replicas(),
            "groups_held": len(self.records.proposers),
            "questions": len(self.queries.pending),
        }
