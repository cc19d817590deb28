"""Combines quorum records with task leases and queries, and orders their actions."""

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
    """Names of the task groups (or tasks) whose tasks each have a group of records.

    counted: names of those whose values are counted. permanent: names of those whose records are never deleted.
    """

    names: tuple[str, ...]
    counted: tuple[str, ...] = ()
    permanent: tuple[str, ...] = ()


class FleetRecords:
    """The records of one controller, which holds the groups whose task leases it holds.

    replica_ids: numbers of the controllers with a replica. The other arguments are as in `QuorumRecords`.

    Services that use records submit `queries`, and pass their own actions through `in_send_order`.
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
        self.acceptance_rules: dict[int, Callable[[int, bool], bool]] = {}  # group -> rule; see `may_accept`
        self.records = QuorumRecords(
            RecordPeers(leases.controller_id, leases.peer_ids, replica_ids, leases.incarnation),
            limits,
            created_at_ms,
            self._rules_of(task_groups),
            file,
            messages_per_second,
        )
        all_tasks = [number for numbers in self.task_numbers.values() for number in numbers]
        self.group_leases = GroupLeases(leases, self.records, all_tasks)
        self.queries = Queries(leases.controller_id, leases.peer_ids, leases.incarnation, self.records, query_limits)

    def _rules_of(self, task_groups: RecordTaskGroups) -> GroupRules:
        """Return the rules of the groups of records of these task groups."""
        return GroupRules(
            self._groups_of(task_groups.names),
            self.may_accept,
            self._groups_of(task_groups.counted),
            self._groups_of(task_groups.permanent),
        )

    def _groups_of(self, names: Iterable[str]) -> frozenset[int]:
        """Return all groups of records of these task groups."""
        return frozenset(group for name in names for group in self.groups_by_name[name])

    def may_accept(self, group: int, value: int, is_initial: bool) -> bool:
        """Return whether the group's rule lets a replica accept the value; groups without a rule accept any."""
        rule = self.acceptance_rules.get(group)
        return rule is None or rule(value, is_initial)

    def tick(self, now_ms: float, actions: list[Action] | None = None) -> list[Action]:
        """Return the actions that are due and those of services in `actions`; called after each tick of the leases."""
        self.group_leases.sync(now_ms)
        return self.in_send_order(now_ms, [*(actions or []), *self.queries.tick(now_ms), *self.records.tick(now_ms)])

    def send_new_queries(self, now_ms: float) -> list[Action]:
        """Return messages for the queries that were submitted since the last tick."""
        return self.in_send_order(now_ms, list(self.queries.send_new(now_ms)))

    def on_message(self, now_ms: float, sender: int, message: RecordMessage | Query | QueryReply) -> list[Action]:
        """Process a message of a known controller; messages above the rate limit are rejected."""
        if not isinstance(message, Query | QueryReply):
            return self.in_send_order(now_ms, self.records.on_message(now_ms, sender, message))
        if not self.records.rate_limits.try_take(sender, now_ms):
            self.records.rejected_count += 1
            return []
        if isinstance(message, QueryReply):
            self.queries.on_reply(sender, message)
            return []
        return self.in_send_order(now_ms, list(self.queries.on_query(now_ms, sender, message)))

    def flush(self, now_ms: float) -> list[Action]:
        """Return accept messages of new writes, which are sent at once and not at the next tick."""
        actions: list[Action] = []
        for proposer in self.records.proposers.values():
            if proposer.is_ready and proposer.write_queue:
                actions += self.records.deliver(now_ms, proposer.tick(now_ms))
        return actions

    def in_send_order(self, now_ms: float, actions: list[Action]) -> list[Action]:
        """Return these actions and those that they trigger, with every `Persist` before all messages."""
        all_actions = [
            *actions,
            *self.queries.on_decisions(now_ms),
            *self.flush(now_ms),
            *self.queries.on_decisions(now_ms),
        ]
        persist_actions = [action for action in all_actions if isinstance(action, Persist)]
        return [*persist_actions, *(action for action in all_actions if not isinstance(action, Persist))]

    def status(self) -> Mapping[str, Any]:
        """Return the values of the status page."""
        replica = self.records.replica
        return {
            "records": replica.record_count,
            "counts": self.records.recovery.is_ready,
            "blank": replica.is_recovering,
            "waits_for": self.records.recovery.awaited_replicas(),
            "groups_held": len(self.records.proposers),
            "questions": len(self.queries.pending),
        }
