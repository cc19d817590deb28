"""Questions on records: asked at any steward, answered by the holder of the record's group. Pure.

Who asks says it again until an answer comes or its time is over; who holds the group answers once a majority has what
the answer says.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ..wire.peer_messages import OutgoingMessage
from .core import QuorumRecords
from .messages import Query, QueryReply

NOT_NOW = 0  # what an answer says where nobody could be asked in time; all else is its subject's own

Outcome = tuple[int, int]  # what, value
RecordHandler = Callable[[float, int, int, int, int], Outcome | None]  # now, group, key, kind, more
RejectionHandler = Callable[[int], Outcome | None]  # why


@dataclass(frozen=True)
class QueryLimits:
    """ms. answer: within which a question is answered, if only by "not now". most: that wait for an answer here, and
    that others wait for from here."""

    timeout_ms: float = 1_500.0
    retry_ms: float = 150.0
    max_pending: int = 10_000


@dataclass
class PendingQuery:
    """A question of ours that has no answer yet."""

    group: int
    key: int
    kind: int
    argument: int
    asked_at_ms: float
    sent_at_ms: float = float("-inf")


@dataclass(frozen=True)
class QueryResult:
    """number: as `ask` gave it."""

    number: int
    result: int
    value: int


class Queries:
    """Subjects `serve` their groups: `look` says what there is, or begins to write it and says nothing yet."""

    def __init__(self, me: int, others: tuple[int, ...], life: int, records: QuorumRecords, terms: QueryLimits) -> None:
        self.me, self.others, self.incarnation, self.records, self.limits = me, others, life, records, terms
        self.handlers: dict[int, tuple[RecordHandler, RejectionHandler]] = {}
        self.pending: dict[int, PendingQuery] = {}
        self.unsent: list[int] = []  # that were not said yet
        self.results: dict[int, list[QueryResult]] = {}  # by the first group of the subject
        self.partitions: dict[
            int, tuple[int, ...]
        ] = {}  # group: all of its subject; a key is of the one at its remainder
        self.query_count = self.rejected_count = 0
        self.waiting_askers: dict[tuple[int, int], dict[tuple[int, int, int], tuple[int, int]]] = {}
        self.last_responders: dict[int, int] = {}  # group: who answered last
        self.retried_at_ms = float("-inf")

    def register(self, groups: Iterable[int], look: RecordHandler, denied: RejectionHandler) -> None:
        groups = tuple(groups)
        self.results[groups[0]] = []
        for group in groups:
            self.handlers[group], self.partitions[group] = (look, denied), groups

    def take_results(self, group: int) -> list[QueryResult]:
        """Answers to questions on the subject of that group, since last taken."""
        first = self.partitions[group][0]
        out, self.results[first] = self.results[first], []
        return out

    # ---- at the steward that is asked ----------------------------------------------------------------------

    def submit(self, now: float, group: int, key: int, kind: int = 0, more: int = 0) -> int:
        """The number under which `take` will have the answer. key: not 0."""
        self.query_count += 1
        if len(self.pending) >= self.limits.max_pending:
            self.results[self.partitions[group][0]].append(QueryResult(self.query_count, NOT_NOW, 0))
            self.rejected_count += 1
        else:
            self.pending[self.query_count] = PendingQuery(group, key, kind, more, now)
            self.unsent.append(self.query_count)
        return self.query_count

    def send_new(self, now: float) -> list[OutgoingMessage]:
        """What was just asked goes out at once."""
        fresh, self.unsent = self.unsent, []
        return [s for n in fresh if n in self.pending for s in self.send_query(now, n, self.pending[n])]

    def tick(self, now: float) -> list[OutgoingMessage]:
        out = self.send_new(now)
        if now - self.retried_at_ms < self.limits.retry_ms / 3.0:
            return out
        self.retried_at_ms = now
        for number, a in list(self.pending.items()):
            if now - a.asked_at_ms > self.limits.timeout_ms:
                self.finish(number, NOT_NOW, 0)
                self.last_responders.pop(a.group, None)
            elif now - a.sent_at_ms >= self.limits.retry_ms:
                out += self.send_query(now, number, a)
        self.waiting_askers = {k: who for k, who in self.waiting_askers.items() if k[0] in self.records.proposers}
        return out

    def send_query(self, now: float, number: int, a: PendingQuery) -> list[OutgoingMessage]:
        """To the holder, or to all while it is not known, or does not answer."""
        first, a.sent_at_ms = a.sent_at_ms == float("-inf"), now
        word = Query(self.incarnation, number, a.group, a.key, a.kind, a.argument)
        if a.group in self.records.proposers:
            return self.on_query(now, self.me, word)
        to = self.last_responders.get(a.group, self.records.holder_of(a.group))
        if first and to is not None and to != self.me:
            return [OutgoingMessage(to, word)]
        return [OutgoingMessage(n, word) for n in self.others]

    def on_reply(self, sender: int, word: QueryReply) -> None:
        a = self.pending.get(word.round)
        if word.incarnation == self.incarnation and a is not None and word.key != a.key:
            self.rejected_count += 1
        elif word.incarnation == self.incarnation and a is not None:
            self.last_responders[a.group] = sender
            if word.result != NOT_NOW:
                self.finish(word.round, word.result, word.value)

    def finish(self, number: int, what: int, value: int) -> None:
        if a := self.pending.pop(number, None):
            self.results[self.partitions[a.group][0]].append(QueryResult(number, what, value))

    # ---- at the holder of the group ------------------------------------------------------------------------

    def on_query(self, now: float, sender: int, word: Query) -> list[OutgoingMessage]:
        """No answer if the group is not ours: it is asked elsewhere, and again."""
        if word.group not in self.records.proposers or word.group not in self.handlers:
            return []
        parts = self.partitions[word.group]
        if parts[word.key % len(parts)] != word.group:
            self.rejected_count += 1  # a record must not be begun in a group where nobody will look for it
            return []
        owed = self.waiting_askers.setdefault((word.group, word.key), {})
        if len(owed) >= 64 or len(self.waiting_askers) > self.limits.max_pending:
            self.rejected_count += 1
            return []
        who = (sender, word.incarnation, word.kind)
        if word.round >= owed.get(who, (0, 0))[0]:
            owed[who] = (word.round, word.argument)
        return self.try_answer(now, word.group, word.key)

    def try_answer(self, now: float, group: int, key: int) -> list[OutgoingMessage]:
        """Answers whoever asked and can be told."""
        writer, owed = self.records.proposers.get(group), self.waiting_askers.get((group, key))
        if writer is None or not writer.is_ready or writer.superseded_by or owed is None:
            return []
        out: list[OutgoingMessage] = []
        for who, (number, more) in list(owed.items()):
            if found := self.handlers[group][0](now, group, key, who[2], more):
                del owed[who]
                out += self.reply(who, number, key, found)
        if not owed:
            self.waiting_askers.pop((group, key), None)
        return out

    def reply(self, who: tuple[int, int, int], number: int, key: int, found: Outcome) -> list[OutgoingMessage]:
        if who[0] == self.me:
            self.finish(number, *found)
            return []
        return [OutgoingMessage(who[0], QueryReply(who[1], number, key, *found))]

    def on_decisions(self, now: float) -> list[OutgoingMessage]:
        """After words of keepers: what a majority has taken in is told; what it refused is begun anew, or told so."""
        out: list[OutgoingMessage] = []
        for group, writer in self.records.proposers.items():
            if group not in self.handlers or not (writer.decided_keys or writer.rejected_keys):
                continue
            keys, writer.decided_keys = writer.decided_keys, []
            for key in keys:
                out += self.try_answer(now, group, key)
            denied, writer.rejected_keys = writer.rejected_keys, {}
            for key, why in denied.items():
                writer.forget(key)
                if found := self.handlers[group][1](why):
                    for who, (number, _) in self.waiting_askers.pop((group, key), {}).items():
                        out += self.reply(who, number, key, found)
        return out
