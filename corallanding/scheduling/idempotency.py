"""Idempotency records of jobs that clients may submit again at another controller, and of proxies' sessions.

The record of a key is created without an owner. It keeps the time at which its job began to wait, at whichever
controller the job is submitted again. Finally it belongs to one owner, which may dispatch the job: two owners are never
both granted it.
"""

from __future__ import annotations

from enum import IntEnum

from ..quorum_records.messages import ReplicaStatus
from ..quorum_records.progress import ProposedRecord
from ..quorum_records.proposer import Proposer
from ..quorum_records.queries import Outcome, Queries
from .actions import ClaimOutcome
from .queue import Job

NO_OWNER = 1  # the value of an unclaimed record
NO_VALUE = 0  # value in answers that have none


class KeyQuery(IntEnum):
    """The kind of a query on a key. The numbers are sent to other controllers."""

    AGE = 0  # how long its job has waited
    CLAIM = 1  # claim the key for an owner, which may then dispatch the job
    RELEASE = 2  # give up a granted claim whose job was not dispatched and will not be


class KeyStatus(IntEnum):
    """The status in the answer to a query on a key. The numbers are sent to other controllers."""

    UNAVAILABLE = 0  # no majority could answer in time
    UNCLAIMED = 1
    GRANTED = 2
    DUPLICATE = 3  # another owner has claimed the key
    FULL = 4  # there is no capacity for the record


class IdempotencyRecords:
    """Sends queries on keys, and answers those on keys of the record groups that this controller holds.

    `groups` are the record groups over which keys are spread, the same at all controllers.
    """

    def __init__(self, queries: Queries, groups: tuple[int, ...]) -> None:
        self.queries = queries
        self.groups = groups
        self.records = queries.records
        queries.register(groups, self.on_query, self.on_write_denied)

    def query_age(self, now_ms: float, key: int, waited_ms: float) -> int:
        """Query how long the job of the key has waited, `waited_ms` if the key is new; return the query's number.

        The answer has `UNCLAIMED` or `DUPLICATE` and the age in ms.
        """
        return self._send_query(now_ms, key, KeyQuery.AGE, int(max(0.0, waited_ms)))

    def query_claim(self, now_ms: float, job: Job, owner: int) -> int:
        """Claim the key of the job for `owner`; return the query's number.

        `owner` is a number above `NO_OWNER`, unique to the ticket and the same at all controllers.
        """
        return self._send_query(now_ms, job.idempotency_key, KeyQuery.CLAIM, owner)

    def query_release(self, now_ms: float, job: Job, owner: int) -> int:
        """Release a claim whose job was never sent, so that it may be submitted again; return the query's number."""
        return self._send_query(now_ms, job.idempotency_key, KeyQuery.RELEASE, owner)

    def cancel(self, number: int) -> None:
        """Give up a query whose answer is no longer needed."""
        self.queries.cancel(number)

    def _send_query(self, now_ms: float, key: int, kind: KeyQuery, argument: int) -> int:
        return self.queries.submit(now_ms, self.groups[key % len(self.groups)], key, kind, argument)

    def on_query(self, now_ms: float, group: int, key: int, kind: int, argument: int) -> Outcome | None:
        """Answer a query as the holder of the key's group; None until a majority has accepted what the answer states.

        `argument` is the age in ms for `KeyQuery.AGE`, else the owner.
        """
        proposer = self.records.proposers[group]
        record = proposer.get(key)
        if record is None:
            return self._create_record(now_ms, proposer, key, kind, argument)
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

    def _create_record(self, now_ms: float, proposer: Proposer, key: int, kind: int, argument: int) -> Outcome | None:
        """Begin to write the record of a new key; a release is answered at once, since there is no claim."""
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
        if record.value != owner:
            return Outcome(KeyStatus.DUPLICATE, NO_VALUE)
        if proposer.renew(now_ms, key):
            return None
        return Outcome(KeyStatus.GRANTED, NO_VALUE)

    def on_write_denied(self, reason: int) -> Outcome | None:
        """Answer a query whose record a majority did not accept; None if the query is to be handled again."""
        return Outcome(KeyStatus.FULL, NO_VALUE) if reason == ReplicaStatus.FULL else None


def claim_outcome(status: int) -> ClaimOutcome:
    """Return the outcome of a claim by the status of its answer; any other status counts as unknown."""
    if status == KeyStatus.GRANTED:
        return ClaimOutcome.GRANTED
    if status == KeyStatus.DUPLICATE:
        return ClaimOutcome.DUPLICATE
    return ClaimOutcome.UNKNOWN
