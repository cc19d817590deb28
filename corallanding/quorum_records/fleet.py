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
from .replica import AcceptRule


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
        self.numbers = {name: [tasks.number(name, n) for n in range(tasks.by_name[name].count)] for name in names}
        self.of = {name: tuple(group_of(tasks.label(n)) for n in rows) for name, rows in self.numbers.items()}
        every = [g for rows in self.of.values() for g in rows]
        some, more = [g for name in counted for g in self.of[name]], [g for name in lasting for g in self.of[name]]
        self.rules: dict[int, Callable[[int, bool], bool]] = {}  # by group: what a keeper takes in
        may: AcceptRule = lambda group, value, first: group not in self.rules or self.rules[group](value, first)  # noqa: E731
        self.records = QuorumRecords(
            leases.me,
            leases.others,
            keepers,
            leases.life,
            terms,
            born,
            every,
            opened,
            blank,
            may,
            some,
            more,
            words_per_s,
        )
        self.groups = GroupLeases(leases, self.records, [n for rows in self.numbers.values() for n in rows])
        self.asking = Queries(leases.me, leases.others, leases.life, self.records, asks)

    def tick(self, now: float, actions: list[Action] | None = None) -> list[Action]:
        """Call after each tick of the leases; actions: of those who rest on us."""
        self.groups.sync(now)
        return self.after(now, [*(actions or []), *self.asking.tick(now), *self.records.tick(now)])

    def push(self, now: float) -> list[Action]:
        """What was just asked goes out at once."""
        return self.after(now, list(self.asking.push(now)))

    def heard(self, now: float, sender: int, word: RecordMessage | Query | QueryReply) -> list[Action]:
        """A word of a known steward."""
        if not isinstance(word, Query | QueryReply):
            return self.after(now, self.records.heard(now, sender, word))
        if not self.records.allowances.take(sender, now):
            self.records.refused += 1
            return []
        if isinstance(word, QueryReply):
            self.asking.told(sender, word)
            return []
        return self.after(now, list(self.asking.heard(now, sender, word)))

    def flush(self, now: float) -> list[Action]:
        """Copies of what has just begun go at once, not at the next tick."""
        out: list[Action] = []
        for writer in self.records.held.values():
            if writer.open and writer.queue:
                out += self.records.settled(now, writer.tick(now))
        return out

    def after(self, now: float, actions: list[Action]) -> list[Action]:
        out = [*actions, *self.asking.decided(now), *self.flush(now), *self.asking.decided(now)]
        return [*[a for a in out if isinstance(a, Persist)], *[a for a in out if not isinstance(a, Persist)]]

    def page(self) -> Mapping[str, Any]:
        """What the door shows."""
        shelf = self.records.shelf
        return {
            "records": shelf.count,
            "counts": self.records.catch.ready,
            "blank": shelf.blank,
            "waits_for": self.records.catch.waits_for(),
            "groups_held": len(self.records.held),
            "questions": len(self.asking.asked),
        }
