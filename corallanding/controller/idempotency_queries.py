"""Queries on the idempotency keys of jobs: how old a job is, whether it may go, and that it did not go after all."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from ..quorum_records.queries import QueryResult
from ..scheduling.idempotency import IdempotencyRecords
from ..scheduling.queue import Job
from .action_journal import ActionJournal
from .record_service import RecordService


@dataclass(frozen=True)
class AgeQuery:
    """How long the job has waited: its client may have brought it before, elsewhere."""

    job: Job


@dataclass(frozen=True)
class ClaimQuery:
    """Whether the job may go. sent_at: by the clock of the journal, ms."""

    job: Job
    sent_at: float


@dataclass(frozen=True)
class ReturnQuery:
    """The job was granted and did not go; its client may bring it again."""


Query = AgeQuery | ClaimQuery | ReturnQuery


class QueryAnswer(NamedTuple):
    """An answer. query: None where the number is not one of this object's."""

    query: Query | None
    result: QueryResult


class IdempotencyQueries:
    """Sends queries on jobs to the records of their idempotency keys, and knows what each answer is about."""

    def __init__(self, claims: IdempotencyRecords, records: RecordService) -> None:
        self.claims = claims
        self.records = records
        self.pending: dict[int, Query] = {}  # by the number of the query

    def query_age(self, now: float, job: Job) -> None:
        """Ask since when the job has waited, at any controller."""
        number = self.claims.query_age(now, job.idempotency_key, now - job.waiting_since_ms)
        self._send(number, AgeQuery(job))

    def claim(self, now: float, job: Job, owner: int) -> None:
        """Ask whether the job may go. owner: the ticket's own number, the same at every controller."""
        number = self.claims.query_claim(now, job, owner)
        self._send(number, ClaimQuery(job, ActionJournal.now()))

    def give_back(self, now: float, job: Job, owner: int) -> None:
        """Say that a claim was granted and that the job did not go and will not."""
        self._send(self.claims.query_release(now, job, owner), ReturnQuery())

    def _send(self, number: int, query: Query) -> None:
        self.pending[number] = query
        self.records.schedule_queries()

    def take_answers(self) -> list[QueryAnswer]:
        """The answers that have come since the last call, in their order."""
        results = self.claims.queries.take_results(self.claims.groups[0])
        return [QueryAnswer(self.pending.pop(result.number, None), result) for result in results]
