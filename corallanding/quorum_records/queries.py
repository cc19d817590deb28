"""Queries on records: submitted at any controller, answered by the holder of the record's group.

A query is retried until it is answered or times out. The holder replies once a quorum has stored the record on which
the reply is based.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import NamedTuple

from ..wire.peer_messages import OutgoingMessage
from .core import QuorumRecords
from .messages import Query, QueryReply
from .query_state import NEVER, PendingQuery, Requester
from .waiting_queries import WaitingQueries

NO_ANSWER = 0  # result of a query that timed out or was rejected; the group's owner defines the other results


class Outcome(NamedTuple):
    """The answer to a query."""

    result: int
    value: int


RecordHandler = Callable[[float, int, int, int, int], Outcome | None]  # now_ms, group, key, kind, argument
RejectionHandler = Callable[[int], Outcome | None]  # status of the rejection


@dataclass(frozen=True)
class QueryLimits:
    """Bounds and timings of queries.

    timeout_ms: time after which a query ends with `NO_ANSWER`. retry_ms: delay before an unanswered query is retried.
    max_pending: unanswered queries of this controller, and records on which others wait for its replies.
    """

    timeout_ms: float = 1_500.0
    retry_ms: float = 150.0
    max_pending: int = 10_000


@dataclass(frozen=True)
class QueryResult:
    """The answer to the query for which `submit` returned `number`."""

    number: int
    result: int
    value: int


@dataclass(frozen=True)
class GroupOwner:
    """The service that defines the queries on its groups. partitions: all groups of that owner."""

    on_query: RecordHandler
    on_rejected: RejectionHandler
    partitions: tuple[int, ...]

    def group_of(self, key: int) -> int:
        """Return the group that contains the record of the key."""
        return self.partitions[key % len(self.partitions)]


class Queries:
    """Sends the queries of this controller, and answers queries on the groups that it holds.

    Owners `register` their groups. Their `on_query` returns the answer, or starts to write the record and returns None;
    it is called again once a quorum has stored the record.
    """

    def __init__(
        self,
        controller_id: int,
        peer_ids: tuple[int, ...],
        incarnation: int,
        records: QuorumRecords,
        limits: QueryLimits,
    ) -> None:
        self.controller_id = controller_id
        self.peer_ids = peer_ids
        self.incarnation = incarnation
        self.records = records
        self.limits = limits
        self.owners: dict[int, GroupOwner] = {}  # group -> owner
        self.pending: dict[int, PendingQuery] = {}  # query number -> query
        self.unsent: list[int] = []  # numbers of queries that have not been sent yet
        self.results: dict[int, list[QueryResult]] = {}  # first group of the owner -> results
        self.query_count = 0
        self.rejected_count = 0
        self.waiting_queries = WaitingQueries(limits.max_pending, limits.timeout_ms)
        self.last_responders: dict[int, int] = {}  # group -> controller that last replied
        self.retried_at_ms = NEVER

    def register(self, groups: Iterable[int], on_query: RecordHandler, on_rejected: RejectionHandler) -> None:
        """Register the owner of groups, whose handlers answer queries on them."""
        owner = GroupOwner(on_query, on_rejected, tuple(groups))
        self.results[owner.partitions[0]] = []
        self.owners.update(dict.fromkeys(owner.partitions, owner))

    def take_results(self, group: int) -> list[QueryResult]:
        """Return and remove the answers to queries on all groups that have the same owner as `group`."""
        first_group = self.owners[group].partitions[0]
        results = self.results[first_group]
        self.results[first_group] = []
        return results

    # ---- at the requesting controller ----------------------------------------------------------------------

    def submit(self, now_ms: float, group: int, key: int, kind: int = 0, argument: int = 0) -> int:
        """Submit a query on the record of a key (not 0). Return its number, which its `QueryResult` repeats."""
        self.query_count += 1
        if len(self.pending) >= self.limits.max_pending:
            self._add_result(group, QueryResult(self.query_count, NO_ANSWER, 0))
            self.rejected_count += 1
        else:
            self.pending[self.query_count] = PendingQuery(group, key, kind, argument, now_ms)
            self.unsent.append(self.query_count)
        return self.query_count

    def cancel(self, number: int) -> None:
        """Give up a pending query, for instance of a client that has left: it gets no result, and is not repeated."""
        self.pending.pop(number, None)

    def send_new(self, now_ms: float) -> list[OutgoingMessage]:
        """Return the queries that have not been sent yet."""
        unsent = self.unsent
        self.unsent = []
        messages: list[OutgoingMessage] = []
        for number in unsent:
            if number in self.pending:
                messages += self.send_query(now_ms, number, self.pending[number])
        return messages

    def tick(self, now_ms: float) -> list[OutgoingMessage]:
        """Return new queries and those that are due for a retry; end queries that have timed out."""
        messages = self.send_new(now_ms)
        if now_ms - self.retried_at_ms < self.limits.retry_ms / 3.0:
            return messages
        self.retried_at_ms = now_ms
        for number, query in list(self.pending.items()):
            if now_ms - query.submitted_at_ms > self.limits.timeout_ms:
                self.finish(number, Outcome(NO_ANSWER, 0))
                self.last_responders.pop(query.group, None)
            elif now_ms - query.sent_at_ms >= self.limits.retry_ms:
                messages += self.send_query(now_ms, number, query)
        self.waiting_queries.remove_outdated(now_ms, self.records.proposers)
        return messages

    def send_query(self, now_ms: float, number: int, query: PendingQuery) -> list[OutgoingMessage]:
        """Return a query to the holder, or to all controllers while the holder is unknown or does not reply."""
        is_first_attempt = query.sent_at_ms == NEVER
        query.sent_at_ms = now_ms
        message = Query(self.incarnation, number, query.group, query.key, query.kind, query.argument)
        if query.group in self.records.proposers:
            return self.on_query(now_ms, self.controller_id, message)
        holder = self.last_responders.get(query.group, self.records.holder_of(query.group))
        if is_first_attempt and holder is not None and holder != self.controller_id:
            return [OutgoingMessage(holder, message)]
        return [OutgoingMessage(number, message) for number in self.peer_ids]

    def on_reply(self, sender: int, message: QueryReply) -> None:
        """Process the reply to a query."""
        query = self.pending.get(message.round)
        if message.incarnation != self.incarnation or query is None:
            return
        if message.key != query.key:
            self.rejected_count += 1
            return
        self.last_responders[query.group] = sender
        if message.result != NO_ANSWER:
            self.finish(message.round, Outcome(message.result, message.value))

    def finish(self, number: int, outcome: Outcome) -> None:
        """End a pending query with its answer."""
        if query := self.pending.pop(number, None):
            self._add_result(query.group, QueryResult(number, *outcome))

    def _add_result(self, group: int, result: QueryResult) -> None:
        self.results[self.owners[group].partitions[0]].append(result)

    # ---- at the holder of the group ------------------------------------------------------------------------

    def on_query(self, now_ms: float, sender: int, message: Query) -> list[OutgoingMessage]:
        """Answer a query if possible now. Queries on groups that this controller does not hold are ignored."""
        owner = self.owners.get(message.group)
        if owner is None or message.group not in self.records.proposers:
            return []
        if owner.group_of(message.key) != message.group:
            self.rejected_count += 1  # a record in the wrong group would never be found
            return []
        record = (message.group, message.key)
        requester = Requester(sender, message.incarnation, message.kind)
        if not self.waiting_queries.add(now_ms, record, requester, message.round, message.argument):
            self.rejected_count += 1
            return []
        return self.try_answer(now_ms, message.group, message.key)

    def try_answer(self, now_ms: float, group: int, key: int) -> list[OutgoingMessage]:
        """Answer all waiting queries on the record that can be answered."""
        proposer = self.records.proposers.get(group)
        if proposer is None or not proposer.is_ready or proposer.superseded_by:
            return []
        messages: list[OutgoingMessage] = []
        for requester, query in self.waiting_queries.on_record((group, key)).items():
            if outcome := self.owners[group].on_query(now_ms, group, key, requester.kind, query.argument):
                self.waiting_queries.remove((group, key), requester)
                messages += self.reply(requester, query.number, key, outcome)
        return messages

    def reply(self, requester: Requester, number: int, key: int, outcome: Outcome) -> list[OutgoingMessage]:
        """Return the reply to a requester; a reply to this controller itself is processed at once."""
        if requester.controller == self.controller_id:
            self.finish(number, outcome)
            return []
        return [OutgoingMessage(requester.controller, QueryReply(requester.incarnation, number, key, *outcome))]

    def on_decisions(self, now_ms: float) -> list[OutgoingMessage]:
        """Return replies about records that replicas have accepted or rejected since the last call."""
        messages: list[OutgoingMessage] = []
        for group, proposer in self.records.proposers.items():
            if group not in self.owners or not (proposer.decided_keys or proposer.rejected_keys):
                continue
            decided_keys = proposer.decided_keys
            proposer.decided_keys = []
            for key in decided_keys:
                messages += self.try_answer(now_ms, group, key)
            rejected_keys = proposer.rejected_keys
            proposer.rejected_keys = {}
            for key, status in rejected_keys.items():
                proposer.forget(key)
                messages += self._reply_rejected(group, key, status)
        return messages

    def _reply_rejected(self, group: int, key: int, status: int) -> list[OutgoingMessage]:
        """Return replies to all who wait for a rejected record; none if the owner starts the write again."""
        outcome = self.owners[group].on_rejected(status)
        if outcome is None:
            return []
        messages: list[OutgoingMessage] = []
        for requester, query in self.waiting_queries.on_record((group, key)).items():
            self.waiting_queries.remove((group, key), requester)
            messages += self.reply(requester, query.number, key, outcome)
        return messages
