"""Queries on records: sent at any controller, answered by the holder of the record's group.

A query is sent again until its answer comes or its time is over. The holder answers once a quorum has stored what the
answer says.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import NamedTuple

from ..wire.peer_messages import OutgoingMessage
from .core import QuorumRecords
from .messages import Query, QueryReply
from .query_state import NEVER, Asker, PendingQuery, WaitingQuery

NOT_NOW = 0  # the result of a query that nobody could answer in time; the owner of the group defines all others
MAX_ASKERS = 64  # of one record, that wait for an answer


class Outcome(NamedTuple):
    """What a query is answered."""

    result: int
    value: int


RecordHandler = Callable[[float, int, int, int, int], Outcome | None]  # now, group, key, kind, argument
RejectionHandler = Callable[[int], Outcome | None]  # status of the rejection


@dataclass(frozen=True)
class QueryLimits:
    """Bounds and timings of queries.

    timeout_ms: within which a query is answered, if only by `NOT_NOW`. retry_ms: until it is sent again. max_pending:
    queries that wait for an answer here, and records on which others wait for one from here.
    """

    timeout_ms: float = 1_500.0
    retry_ms: float = 150.0
    max_pending: int = 10_000


@dataclass(frozen=True)
class QueryResult:
    """The answer to the query to which `submit` gave that number."""

    number: int
    result: int
    value: int


@dataclass(frozen=True)
class GroupOwner:
    """Who defines the queries on some groups. partitions: all groups of that owner."""

    on_query: RecordHandler
    on_rejected: RejectionHandler
    partitions: tuple[int, ...]

    def group_of(self, key: int) -> int:
        """The group in which the record of that key is."""
        return self.partitions[key % len(self.partitions)]


class Queries:
    """Sends queries of this controller, and answers those on groups that it holds.

    Owners `register` their groups. Their `on_query` returns the answer, or begins to write the record and returns None;
    it is called again once a quorum has stored it.
    """

    def __init__(
        self, me: int, others: tuple[int, ...], incarnation: int, records: QuorumRecords, limits: QueryLimits
    ) -> None:
        self.me = me
        self.others = others
        self.incarnation = incarnation
        self.records = records
        self.limits = limits
        self.owners: dict[int, GroupOwner] = {}  # by group
        self.pending: dict[int, PendingQuery] = {}
        self.unsent: list[int] = []  # numbers of queries that were not sent yet
        self.results: dict[int, list[QueryResult]] = {}  # by the first group of the owner
        self.query_count = 0
        self.rejected_count = 0
        self.waiting: dict[tuple[int, int], dict[Asker, WaitingQuery]] = {}  # by group and key
        self.last_responders: dict[int, int] = {}  # by group
        self.retried_at_ms = NEVER

    def register(self, groups: Iterable[int], on_query: RecordHandler, on_rejected: RejectionHandler) -> None:
        """Make an owner answer queries on its groups."""
        owner = GroupOwner(on_query, on_rejected, tuple(groups))
        self.results[owner.partitions[0]] = []
        self.owners.update(dict.fromkeys(owner.partitions, owner))

    def take_results(self, group: int) -> list[QueryResult]:
        """Answers to queries on all groups of that group's owner, since they were last taken."""
        first = self.owners[group].partitions[0]
        results = self.results[first]
        self.results[first] = []
        return results

    # ---- at the controller that asks -----------------------------------------------------------------------

    def submit(self, now: float, group: int, key: int, kind: int = 0, argument: int = 0) -> int:
        """Ask about the record of a key (not 0). Returns the number under which `take_results` has the answer."""
        self.query_count += 1
        if len(self.pending) >= self.limits.max_pending:
            self._add_result(group, QueryResult(self.query_count, NOT_NOW, 0))
            self.rejected_count += 1
        else:
            self.pending[self.query_count] = PendingQuery(group, key, kind, argument, now)
            self.unsent.append(self.query_count)
        return self.query_count

    def send_new(self, now: float) -> list[OutgoingMessage]:
        """Queries that were not sent yet."""
        unsent = self.unsent
        self.unsent = []
        messages: list[OutgoingMessage] = []
        for number in unsent:
            if number in self.pending:
                messages += self.send_query(now, number, self.pending[number])
        return messages

    def tick(self, now: float) -> list[OutgoingMessage]:
        """New queries, and those that are to be sent again; queries over their time end."""
        messages = self.send_new(now)
        if now - self.retried_at_ms < self.limits.retry_ms / 3.0:
            return messages
        self.retried_at_ms = now
        for number, query in list(self.pending.items()):
            if now - query.asked_at_ms > self.limits.timeout_ms:
                self.finish(number, Outcome(NOT_NOW, 0))
                self.last_responders.pop(query.group, None)
            elif now - query.sent_at_ms >= self.limits.retry_ms:
                messages += self.send_query(now, number, query)
        self.waiting = {
            record: askers for record, askers in self.waiting.items() if record[0] in self.records.proposers
        }
        return messages

    def send_query(self, now: float, number: int, query: PendingQuery) -> list[OutgoingMessage]:
        """Send a query to the holder; to all while the holder is not known, or does not answer."""
        is_first = query.sent_at_ms == NEVER
        query.sent_at_ms = now
        message = Query(self.incarnation, number, query.group, query.key, query.kind, query.argument)
        if query.group in self.records.proposers:
            return self.on_query(now, self.me, message)
        holder = self.last_responders.get(query.group, self.records.holder_of(query.group))
        if is_first and holder is not None and holder != self.me:
            return [OutgoingMessage(holder, message)]
        return [OutgoingMessage(number, message) for number in self.others]

    def on_reply(self, sender: int, message: QueryReply) -> None:
        """Take the answer to a query."""
        query = self.pending.get(message.round)
        if message.incarnation != self.incarnation or query is None:
            return
        if message.key != query.key:
            self.rejected_count += 1
            return
        self.last_responders[query.group] = sender
        if message.result != NOT_NOW:
            self.finish(message.round, Outcome(message.result, message.value))

    def finish(self, number: int, outcome: Outcome) -> None:
        """End a query with its answer."""
        if query := self.pending.pop(number, None):
            self._add_result(query.group, QueryResult(number, *outcome))

    def _add_result(self, group: int, result: QueryResult) -> None:
        self.results[self.owners[group].partitions[0]].append(result)

    # ---- at the holder of the group ------------------------------------------------------------------------

    def on_query(self, now: float, sender: int, message: Query) -> list[OutgoingMessage]:
        """Answer a query if that is possible now. Queries on groups that are not held here are not answered."""
        owner = self.owners.get(message.group)
        if owner is None or message.group not in self.records.proposers:
            return []
        if owner.group_of(message.key) != message.group:
            self.rejected_count += 1  # a record must not begin in a group where nobody will look for it
            return []
        askers = self.waiting.setdefault((message.group, message.key), {})
        if len(askers) >= MAX_ASKERS or len(self.waiting) > self.limits.max_pending:
            self.rejected_count += 1
            return []
        asker = Asker(sender, message.incarnation, message.kind)
        known = askers.get(asker)
        if known is None or message.round >= known.number:
            askers[asker] = WaitingQuery(message.round, message.argument)
        return self.try_answer(now, message.group, message.key)

    def try_answer(self, now: float, group: int, key: int) -> list[OutgoingMessage]:
        """Answer all who wait for the record and can be answered."""
        proposer = self.records.proposers.get(group)
        askers = self.waiting.get((group, key))
        if proposer is None or not proposer.is_ready or proposer.superseded_by or askers is None:
            return []
        messages: list[OutgoingMessage] = []
        for asker, query in list(askers.items()):
            if outcome := self.owners[group].on_query(now, group, key, asker.kind, query.argument):
                del askers[asker]
                messages += self.reply(asker, query.number, key, outcome)
        if not askers:
            self.waiting.pop((group, key), None)
        return messages

    def reply(self, asker: Asker, number: int, key: int, outcome: Outcome) -> list[OutgoingMessage]:
        """The answer to an asker; an answer to this controller itself is taken at once."""
        if asker.controller == self.me:
            self.finish(number, outcome)
            return []
        return [OutgoingMessage(asker.controller, QueryReply(asker.incarnation, number, key, *outcome))]

    def on_decisions(self, now: float) -> list[OutgoingMessage]:
        """Answers that rest on what replicas have accepted or rejected since the last call."""
        messages: list[OutgoingMessage] = []
        for group, proposer in self.records.proposers.items():
            if group not in self.owners or not (proposer.decided_keys or proposer.rejected_keys):
                continue
            decided_keys = proposer.decided_keys
            proposer.decided_keys = []
            for key in decided_keys:
                messages += self.try_answer(now, group, key)
            rejected_keys = proposer.rejected_keys
            proposer.rejected_keys = {}
            for key, status in rejected_keys.items():
                proposer.forget(key)
                messages += self._reply_rejected(group, key, status)
        return messages

    def _reply_rejected(self, group: int, key: int, status: int) -> list[OutgoingMessage]:
        """Answers to all who wait for a rejected record; none if it is to be begun anew."""
        outcome = self.owners[group].on_rejected(status)
        if outcome is None:
            return []
        messages: list[OutgoingMessage] = []
        for asker, query in self.waiting.pop((group, key), {}).items():
            messages += self.reply(asker, query.number, key, outcome)
        return messages
