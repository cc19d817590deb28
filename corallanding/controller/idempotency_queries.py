"""Queries on the idempotency keys of jobs: for their age, to claim them for release, and to give up a claim."""

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
    """A query how long the job has waited: its client may have submitted it earlier to another controller."""

    job: Job


@dataclass(frozen=True)
class ClaimQuery:
    """A claim to release the job. sent_at_ms: on the journal's clock."""

    job: Job
    sent_at_ms: float


@dataclass(frozen=True)
class ReturnQuery:
    """The return of a granted claim: the job was not released, and its client may submit it again."""


Query = AgeQuery | ClaimQuery | ReturnQuery


class QueryAnswer(NamedTuple):
    """An answer. query: None if it answers a query of another component."""

    query: Query | None
    result: QueryResult


class IdempotencyQueries:
    """Sends queries on jobs to the records of their idempotency keys, and matches the answers to the queries."""

    def __init__(self, claims: IdempotencyRecords, records: RecordService) -> None:
        self.claims = claims
        self.records = records
        self.pending: dict[int, Query] = {}  # by query number

    def query_age(self, now_ms: float, job: Job) -> None:
        """Query since when the job has waited at any controller."""
        number = self.claims.query_age(now_ms, job.idempotency_key, now_ms - job.waiting_since_ms)
        self._send(number, AgeQuery(job))

    def claim(self, now_ms: float, job: Job, owner: int) -> None:
        """Claim the job for release. owner: a number of the ticket, the same at every controller."""
        number = self.claims.query_claim(now_ms, job, owner)
        self._send(number, ClaimQuery(job, ActionJournal.now_ms()))

    def return_claim(self, now_ms: float, job: Job, owner: int) -> None:
        """Return a granted claim of a job that was not released and will not be."""
        self._send(self.claims.query_release(now_ms, job, owner), ReturnQuery())

    def cancel_of_proxy(self, proxy: int) -> None:
        """Give up the queries on jobs of a proxy that has left, but for claims that have to be returned if granted."""
        for number, query in list(self.pending.items()):
            if not isinstance(query, ReturnQuery) and query.job.proxy == proxy and not query.job.is_abandoned:
                del self.pending[number]
                self.claims.cancel(number)

    def _send(self, number: int, query: Query) -> None:
        self.pending[number] = query
        self.records.schedule_queries()

    def take_answers(self) -> list[QueryAnswer]:
        """Return the answers received since the last call, in order of arrival."""
        results = self.claims.queries.take_results(self.claims.groups[0])
        return [QueryAnswer(self.pending.pop(result.number, None), result) for result in results]
