"""Questions on records: asked at any steward, answered by the holder of the record's group. Pure.

Who asks says it again until an answer comes or its time is over; who holds the group answers once a majority has what
the answer says.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ..lease.election import OutgoingMessage
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

    answer: float = 1_500.0
    again: float = 150.0
    most: int = 10_000


@dataclass
class PendingQuery:
    """A question of ours that has no answer yet."""

    group: int
    key: int
    kind: int
    more: int
    since: float
    asked_at: float = float("-inf")


@dataclass(frozen=True)
class QueryResult:
    """number: as `ask` gave it."""

    number: int
    what: int
    value: int


class Queries:
    """Subjects `serve` their groups: `look` says what there is, or begins to write it and says nothing yet."""

    def __init__(self, me: int, others: tuple[int, ...], life: int, records: QuorumRecords, terms: QueryLimits) -> None:
        self.me, self.others, self.life, self.records, self.terms = me, others, life, records, terms
        self.looks: dict[int, tuple[RecordHandler, RejectionHandler]] = {}
        self.asked: dict[int, PendingQuery] = {}
        self.fresh: list[int] = []  # that were not said yet
        self.answers: dict[int, list[QueryResult]] = {}  # by the first group of the subject
        self.parts: dict[int, tuple[int, ...]] = {}  # group: all of its subject; a key is of the one at its remainder
        self.count = self.refused = 0
        self.owed: dict[tuple[int, int], dict[tuple[int, int, int], tuple[int, int]]] = {}
        self.at: dict[int, int] = {}  # group: who answered last
        self.said_at = float("-inf")

    def serve(self, groups: Iterable[int], look: RecordHandler, denied: RejectionHandler) -> None:
        groups = tuple(groups)
        self.answers[groups[0]] = []
        for group in groups:
            self.looks[group], self.parts[group] = (look, denied), groups

    def take(self, group: int) -> list[QueryResult]:
        """Answers to questions on the subject of that group, since last taken."""
        first = self.parts[group][0]
        out, self.answers[first] = self.answers[first], []
        return out

    # ---- at the steward that is asked ----------------------------------------------------------------------

    def ask(self, now: float, group: int, key: int, kind: int = 0, more: int = 0) -> int:
        """The number under which `take` will have the answer. key: not 0."""
        self.count += 1
        if len(self.asked) >= self.terms.most:
            self.answers[self.parts[group][0]].append(QueryResult(self.count, NOT_NOW, 0))
            self.refused += 1
        else:
            self.asked[self.count] = PendingQuery(group, key, kind, more, now)
            self.fresh.append(self.count)
        return self.count

    def push(self, now: float) -> list[OutgoingMessage]:
        """What was just asked goes out at once."""
        fresh, self.fresh = self.fresh, []
        return [s for n in fresh if n in self.asked for s in self.say(now, n, self.asked[n])]

    def tick(self, now: float) -> list[OutgoingMessage]:
        out = self.push(now)
        if now - self.said_at < self.terms.again / 3.0:
            return out
        self.said_at = now
        for number, a in list(self.asked.items()):
            if now - a.since > self.terms.answer:
                self.answered(number, NOT_NOW, 0)
                self.at.pop(a.group, None)
            elif now - a.asked_at >= self.terms.again:
                out += self.say(now, number, a)
        self.owed = {k: who for k, who in self.owed.items() if k[0] in self.records.held}
        return out

    def say(self, now: float, number: int, a: PendingQuery) -> list[OutgoingMessage]:
        """To the holder, or to all while it is not known, or does not answer."""
        first, a.asked_at = a.asked_at == float("-inf"), now
        word = Query(self.life, number, a.group, a.key, a.kind, a.more)
        if a.group in self.records.held:
            return self.heard(now, self.me, word)
        to = self.at.get(a.group, self.records.where(a.group))
        if first and to is not None and to != self.me:
            return [OutgoingMessage(to, word)]
        return [OutgoingMessage(n, word) for n in self.others]

    def told(self, sender: int, word: QueryReply) -> None:
        a = self.asked.get(word.round)
        if word.life == self.life and a is not None and word.key != a.key:
            self.refused += 1
        elif word.life == self.life and a is not None:
            self.at[a.group] = sender
            if word.what != NOT_NOW:
                self.answered(word.round, word.what, word.value)

    def answered(self, number: int, what: int, value: int) -> None:
        if a := self.asked.pop(number, None):
            self.answers[self.parts[a.group][0]].append(QueryResult(number, what, value))

    # ---- at the holder of the group ------------------------------------------------------------------------

    def heard(self, now: float, sender: int, word: Query) -> list[OutgoingMessage]:
        """No answer if the group is not ours: it is asked elsewhere, and again."""
        if word.group not in self.records.held or word.group not in self.looks:
            return []
        parts = self.parts[word.group]
        if parts[word.key % len(parts)] != word.group:
            self.refused += 1  # a record must not be begun in a group where nobody will look for it
            return []
        owed = self.owed.setdefault((word.group, word.key), {})
        if len(owed) >= 64 or len(self.owed) > self.terms.most:
            self.refused += 1
            return []
        who = (sender, word.life, word.kind)
        if word.round >= owed.get(who, (0, 0))[0]:
            owed[who] = (word.round, word.more)
        return self.look(now, word.group, word.key)

    def look(self, now: float, group: int, key: int) -> list[OutgoingMessage]:
        """Answers whoever asked and can be told."""
        writer, owed = self.records.held.get(group), self.owed.get((group, key))
        if writer is None or not writer.open or writer.behind or owed is None:
            return []
        out: list[OutgoingMessage] = []
        for who, (number, more) in list(owed.items()):
            if found := self.looks[group][0](now, group, key, who[2], more):
                del owed[who]
                out += self.answer(who, number, key, found)
        if not owed:
            self.owed.pop((group, key), None)
        return out

    def answer(self, who: tuple[int, int, int], number: int, key: int, found: Outcome) -> list[OutgoingMessage]:
        if who[0] == self.me:
            self.answered(number, *found)
            return []
        return [OutgoingMessage(who[0], QueryReply(who[1], number, key, *found))]

    def decided(self, now: float) -> list[OutgoingMessage]:
        """After words of keepers: what a majority has taken in is told; what it refused is begun anew, or told so."""
        out: list[OutgoingMessage] = []
        for group, writer in self.records.held.items():
            if group not in self.looks or not (writer.decided or writer.denied):
                continue
            keys, writer.decided = writer.decided, []
            for key in keys:
                out += self.look(now, group, key)
            denied, writer.denied = writer.denied, {}
            for key, why in denied.items():
                writer.forget(key)
                if found := self.looks[group][1](why):
                    for who, (number, _) in self.owed.pop((group, key), {}).items():
                        out += self.answer(who, number, key, found)
        return out
