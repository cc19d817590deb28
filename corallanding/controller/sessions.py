"""Processes of proxies and their ages: no job that one hands in is older than its process, at whichever controller."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto
from typing import NamedTuple

from ..quorum_records.queries import QueryResult
from ..scheduling.idempotency import IdempotencyRecords, KeyStatus
from ..wire import frames
from .record_service import RecordService, record_key_of

MAX_DELAYED_JOBS = 10_000  # of one process, until its age is known


class Admission(Enum):
    """What becomes of a job that a proxy hands in."""

    NOW = auto()  # the age of its process is known
    DELAYED = auto()  # the job waits until that age is known
    REJECTED = auto()  # the proxy did not say hello, or too many of its jobs are delayed


class DelayedJob(NamedTuple):
    """A job that was handed in before the age of its process was known. received_at: ms."""

    received_at: float
    frame: frames.JobSubmission


class ReleasedJobs(NamedTuple):
    """Jobs of one proxy that need not be delayed any longer."""

    proxy: int
    jobs: list[DelayedJob]


@dataclass
class Session:
    """One process of a proxy. started_at: when a controller first saw it, by our clock; is_confirmed: that is final."""

    name: str
    started_at: float
    is_confirmed: bool
    delayed: list[DelayedJob] = field(default_factory=list)


class Sessions:
    """The processes of the proxies that are connected here.

    claims, records: where the age of a process is stored for all controllers. Without them a process is as old as its
    connection here.
    """

    def __init__(self, claims: IdempotencyRecords | None, records: RecordService | None) -> None:
        self.claims = claims
        self.records = records
        self.by_proxy: dict[int, Session] = {}
        self.queries: dict[int, tuple[int, str]] = {}  # number of the query: proxy, name of its session

    def on_proxy_joined(self, now: float, proxy: int, name: str) -> None:
        """A proxy connected; the age of its process is asked for, once."""
        known = self.by_proxy.get(proxy)
        if known is None or known.name != name:
            self.by_proxy[proxy] = Session(name, now, self.claims is None)
            self._query_age(now, proxy, name)

    def _query_age(self, now: float, proxy: int, name: str) -> None:
        if self.claims and self.records:
            query = self.claims.query_age(now, record_key_of(f"session {name}"), 0.0)
            self.queries[query] = (proxy, name)
            self.records.schedule_queries()

    def admit(self, now: float, proxy: int, frame: frames.JobSubmission) -> Admission:
        """Whether the job may be queued now; if it is delayed it is stored here."""
        session = self.by_proxy.get(proxy)
        if session is None:
            return Admission.REJECTED
        if session.is_confirmed:
            return Admission.NOW
        if len(session.delayed) >= MAX_DELAYED_JOBS:
            return Admission.REJECTED
        session.delayed.append(DelayedJob(now, frame))
        return Admission.DELAYED

    def on_answer(self, now: float, result: QueryResult) -> ReleasedJobs:
        """Take the answer to a query of this object. Returns the jobs that waited for it."""
        proxy, name = self.queries.pop(result.number)
        session = self.by_proxy.get(proxy)
        if session is None or session.name != name:
            return ReleasedJobs(proxy, [])
        if result.result == KeyStatus.UNAVAILABLE:
            self._query_age(now, proxy, name)  # no majority could answer: the jobs wait on
            return ReleasedJobs(proxy, [])
        session.started_at = min(session.started_at, now - result.value)
        session.is_confirmed = True
        delayed = session.delayed
        session.delayed = []
        return ReleasedJobs(proxy, delayed)

    def age_ms(self, now: float, proxy: int) -> float:
        """How long the process of a proxy has run, as far as known; 0 if it is unknown."""
        session = self.by_proxy.get(proxy)
        return max(0.0, now - session.started_at) if session else 0.0

    def name(self, proxy: int) -> str:
        """The name of the proxy's process; "" if it is unknown."""
        session = self.by_proxy.get(proxy)
        return session.name if session else ""
