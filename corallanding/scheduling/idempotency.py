"""Idempotency records: of jobs that clients may bring again at another controller, and of proxies' sessions.

The record of a key begins without an owner and keeps the time since when its job has waited, wherever the job comes
again. It ends as the record of one owner, who may dispatch the job: two owners are never both granted it.
"""

from __future__ import annotations

from enum import IntEnum

from ..quorum_records.messages import ReplicaStatus
from ..quorum_records.proposer import ProposedRecord, Proposer
from ..quorum_records.queries import Outcome, Queries
from .actions import ClaimOutcome
from .queue import Job

NO_OWNER = 1  # the value of a record that nobody has claimed
NO_VALUE = 0  # in an answer that has none


class KeyQuery(IntEnum):
    """What is asked about a key. The numbers are on the wire."""

    AGE = 0  # since when its job has waited
    CLAIM = 1  # whether the job may go
    RELEASE = 2  # the claim was granted, and the job has not gone and will not


class KeyStatus(IntEnum):
    """What a query on a key is answered. The numbers are on the wire."""

    UNAVAILABLE = 0  # no majority could answer in time
    UNCLAIMED = 1
    GRANTED = 2
    DUPLICATE = 3  # another owner has claimed the key
    FULL = 4  # there is no room for the record


class IdempotencyRecords:
    """Sends queries on keys, and answers them for the record groups that this controller holds.

    `groups` are the record groups over which keys are spread, the same at all controllers.
    """

    def __init__(self, queries: Queries, groups: tuple[int, ...]) -> None:
        self.queries = queries
        self.groups = groups
        self.records = queries.records
        queries.register(groups, self.on_query, self.on_write_denied)

    def query_age(self, now_ms: float, key: int, waited_ms: float) -> int:
        """Ask since when the job of the key has waited, which is `waited_ms` if it is new; returns the answer's number.

        The answer has `UNCLAIMED` or `DUPLICATE` and the age in ms.
        """
        return self._send_query(now_ms, key, KeyQuery.AGE, int(max(0.0, waited_ms)))

    def query_claim(self, now_ms: float, job: Job, owner: int) -> int:
        """Ask whether the job may go; returns the answer's number.

        `owner` is a number above `NO_OWNER` of that ticket alone, the same at all controllers.
        """
        return self._send_query(now_ms, job.idempotency_key, KeyQuery.CLAIM, owner)

    def query_release(self, now_ms: float, job: Job, owner: int) -> int:
        """Give back a claim whose job was never sent, so that its client may bring it again."""
        return self._send_query(now_ms, job.idempotency_key, KeyQuery.RELEASE, owner)

    def _send_query(self, now_ms: float, key: int, kind: KeyQuery, argument: int) -> int:
        return self.queries.submit(now_ms, self.groups[key % len(self.groups)], key, kind, argument)

    def on_query(self, now_ms: float, group: int, key: int, kind: int, argument: int) -> Outcome | None:
        """Answer a query as the holder of the key's group; None until a majority has what the answer says.

        `argument` is the age in ms for `KeyQuery.AGE`, else the owner.
        """
        proposer = self.records.proposers[group]
        record = proposer.get(key)
        if record is None:
            return self._begin(now_ms, proposer, key, kind, argument)
        if not proposer.confirm(now_ms, key):
            return None
        if kind == KeyQuery.RELEASE:
            if record.value == argument:
                proposer.write(now_ms, key, NO_OWNER, record.created_at_ms, is_initial=False)
            return Outcome(KeyStatus.UNCLAIMED, NO_VALUE)
        if kind == KeyQuery.AGE:
            status = KeyStatus.UNCLAIMED if record.value == NO_OWNER else KeyStatus.DUPLICATE
            return Outcome(status, int(now_ms - record.created_at_ms))
        return self._claim(now_ms, proposer, key, record, argument)

    def _begin(self, now_ms: float, proposer: Proposer, key: int, kind: int, argument: int) -> Outcome | None:
        """Begin to write the record of a new key; there is nothing to release yet."""
        if kind == KeyQuery.RELEASE:
            return Outcome(KeyStatus.UNCLAIMED, NO_VALUE)
        if kind == KeyQuery.AGE:
            proposer.write(now_ms, key, NO_OWNER, now_ms - argument)
        else:
            proposer.write(now_ms, key, argument, now_ms)
        return None

    def _claim(self, now_ms: float, proposer: Proposer, key: int, record: ProposedRecord, owner: int) -> Outcome | None:
        if record.value == NO_OWNER:
            proposer.write(now_ms, key, owner, record.created_at_ms, is_initial=False)
            return None
        status = KeyStatus.GRANTED if record.value == owner else KeyStatus.DUPLICATE
        return Outcome(status, NO_VALUE)

    def on_write_denied(self, reason: int) -> Outcome | None:
        """A majority did not accept the record: with None the query is handled anew."""
        return Outcome(KeyStatus.FULL, NO_VALUE) if reason == ReplicaStatus.FULL else None


def claim_outcome(status: int) -> ClaimOutcome:
    """What the answer to a claim says; an answer that is none counts as unknown."""
    if status == KeyStatus.GRANTED:
        return ClaimOutcome.GRANTED
    if status == KeyStatus.DUPLICATE:
        return ClaimOutcome.DUPLICATE
    return ClaimOutcome.UNKNOWN
