"""Records as one steward of a fleet lives them: which groups it holds, questions on them, and what goes out in which
order. Sans-I/O."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from ..lease.core import TaskLeases
from .core import Action, Persist, QuorumRecords
from .groups import GroupLeases, group_of
from .limits import RecordLimits
from .messages import Query, QueryReply, RecordMessage
from .queries import Queries, QueryLimits


class FleetRecords:
    """names: groups of tasks (or tasks) that stand for groups of records. counted, lasting: names, as in `Records`.

    Whoever rests on them asks by `asking`, and hands what it has to say through `after`: what keepers decided meanwhile
    is told with it, and what must be on disk stands first.
    """

    def __init__(
        self,
        leases: TaskLeases,
        keepers: tuple[int, ...],
        terms: RecordLimits,
        asks: QueryLimits,
        born: float,
        opened: int,
        blank: bool,
        names: tuple[str, ...],
        counted: tuple[str, ...] = (),
        lasting: tuple[str, ...] = (),
        words_per_s: float = 2_000.0,
    ) -> None:
        tasks = leases.tasks
        self.task_numbers = {name: [tasks.number(name, n) for n in range(tasks.specs[name].count)] for name in names}
        self.groups_by_name = {
            name: tuple(group_of(tasks.label(n)) for n in rows) for name, rows in self.task_numbers.items()
        }
        every = [g for rows in self.groups_by_name.values() for g in rows]
        some, more = (
            [g for name in counted for g in self.groups_by_name[name]],
            [g for name in lasting for g in self.groups_by_name[name]],
        )
        self.acceptance_rules: dict[int, Callable[[int, bool], bool]] = {}  # by group: what a keeper takes in
        self.records = QuorumRecords(
            leases.controller_id,
            leases.peer_ids,
            keepers,
            leases.incarnation,
            terms,
            born,
            every,
            opened,
            blank,
            self.may_accept,
            some,
            more,
            words_per_s,
        )
        self.group_leases = GroupLeases(leases, self.records, [n for rows in self.task_numbers.values() for n in rows])
        self.queries = Queries(leases.controller_id, leases.peer_ids, leases.incarnation, self.records, asks)

    def may_accept(self, group: int, value: int, is_initial: bool) -> bool:
        """Whether the owner of the group lets a replica accept the value; groups without a rule accept any."""
        rule = self.acceptance_rules.get(group)
        return rule is None or rule(value, is_initial)

    def tick(self, now: float, actions: list[Action] | None = None) -> list[Action]:
        """Call after each tick of the leases; actions: of those who rest on us."""
        self.group_leases.sync(now)
        return self.in_send_order(now, [*(actions or []), *self.queries.tick(now), *self.records.tick(now)])

    def send_new_queries(self, now: float) -> list[Action]:
        """What was just asked goes out at once."""
        return self.in_send_order(now, list(self.queries.send_new(now)))

    def on_message(self, now: float, sender: int, word: RecordMessage | Query | QueryReply) -> list[Action]:
        """A word of a known steward."""
        if not isinstance(word, Query | QueryReply):
            return self.in_send_order(now, self.records.on_message(now, sender, word))
        if not self.records.rate_limits.try_take(sender, now):
            self.records.rejected_count += 1
            return []
        if isinstance(word, QueryReply):
            self.queries.on_reply(sender, word)
            return []
        return self.in_send_order(now, list(self.queries.on_query(now, sender, word)))

    def flush(self, now: float) -> list[Action]:
        """Copies of what has just begun go at once, not at the next tick."""
        out: list[Action] = []
        for writer in self.records.proposers.values():
            if writer.is_ready and writer.write_queue:
                out += self.records.deliver(now, writer.tick(now))
        return out

    def in_send_order(self, now: float, actions: list[Action]) -> list[Action]:
        out = [*actions, *self.queries.on_decisions(now), *self.flush(now), *self.queries.on_decisions(now)]
        return [*[a for a in out if isinstance(a, Persist)], *[a for a in out if not isinstance(a, Persist)]]

    def status(self) -> Mapping[str, Any]:
        """What the door shows."""
        shelf = self.records.replica
        return {
            "records": shelf.record_count,
            "counts": self.records.recovery.is_ready,
            "blank": shelf.is_recovering,
            "waits_for": self.records.recovery.awaited_replicas(),
            "groups_held": len(self.records.proposers),
            "questions": len(self.queries.pending),
        }
