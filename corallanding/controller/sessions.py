"""Tracks proxy processes and their ages: no job is older than the process that submitted it, to any controller."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto
from typing import NamedTuple

from ..quorum_records.queries import QueryResult
from ..scheduling.idempotency import IdempotencyRecords, KeyStatus
from ..wire import frames
from .record_service import RecordService, record_key_of

MAX_DELAYED_JOBS = 10_000  # per proxy process, until its age is known
MAX_DELAYED_JOBS_OF_ALL = 20_000
UNKNOWN_PROXY = -1


class Admission(Enum):
    """The outcome for a job that a proxy submits."""

    NOW = auto()  # the age of its process is known: the job may be queued
    DELAYED = auto()  # the job waits until that age is known
    REJECTED = auto()  # the proxy has not sent a Hello, or too many of its jobs are delayed


class DelayedJob(NamedTuple):
    """A job that was submitted before the age of its process was known. received_at: ms."""

    received_at: float
    frame: frames.JobSubmission


class ReleasedJobs(NamedTuple):
    """Jobs of one proxy that are no longer delayed."""

    proxy: int
    jobs: list[DelayedJob]


@dataclass
class Session:
    """One proxy process. started_at: when any controller first saw it, ms on this clock; is_confirmed: it is final."""

    name: str
    started_at: float
    is_confirmed: bool
    delayed: dict[int, DelayedJob] = field(default_factory=dict)  # by ticket


class Sessions:
    """The processes of the proxies that are connected to this controller.

    claims, records: store the age of a process for all controllers. Without them a process is as old as its connection
    to this controller.
    """

    def __init__(self, claims: IdempotencyRecords | None, records: RecordService | None) -> None:
        self.claims = claims
        self.records = records
        self.by_proxy: dict[int, Session] = {}
        self.delayed_count = 0  # delayed jobs of all sessions
        self.queries: dict[int, tuple[int, str]] = {}  # (proxy, session name) by query number

    def on_proxy_joined(self, now_ms: float, proxy: int, name: str) -> None:
        """Record that a proxy connected, and query the age of its process if it is new."""
        known = self.by_proxy.get(proxy)
        if known is None or known.name != name:
            self.on_proxy_left(proxy)
            self.by_proxy[proxy] = Session(name, now_ms, self.claims is None)
            self._query_age(now_ms, proxy, name)
        elif not known.is_confirmed and (proxy, name) not in self.queries.values():
            self._query_age(now_ms, proxy, name)

    def on_proxy_left(self, proxy: int) -> int:
        """Drop the delayed jobs of a proxy, and the query for its age; return the number of jobs.

        The age that is known so far is kept, as the same process may connect again.
        """
        for number in [number for number, (owner, _) in self.queries.items() if owner == proxy]:
            del self.queries[number]
            if self.claims:
                self.claims.cancel(number)
        session = self.by_proxy.get(proxy)
        return len(self._take_delayed(session)) if session else 0

    def withdraw(self, proxy: int, ticket: int) -> bool:
        """Drop a delayed job that its proxy has withdrawn; return whether there was one."""
        session = self.by_proxy.get(proxy)
        if session is None or session.delayed.pop(ticket, None) is None:
            return False
        self.delayed_count -= 1
        return True

    def _take_delayed(self, session: Session) -> list[DelayedJob]:
        delayed = list(session.delayed.values())
        session.delayed.clear()
        self.delayed_count -= len(delayed)
        return delayed

    def _query_age(self, now_ms: float, proxy: int, name: str) -> None:
        if self.claims and self.records:
            query = self.claims.query_age(now_ms, record_key_of(f"session {name}"), 0.0)
            self.queries[query] = (proxy, name)
            self.records.schedule_queries()

    def admit(self, now_ms: float, proxy: int, frame: frames.JobSubmission) -> Admission:
        """Return whether the job may be queued now; store it here if it is delayed."""
        session = self.by_proxy.get(proxy)
        if session is None:
            return Admission.REJECTED
        if session.is_confirmed:
            return Admission.NOW
        if frame.ticket in session.delayed:
            return Admission.DELAYED
        # Of the capacity of all sessions, one leaves to the others at least as much as it uses.
        if len(session.delayed) >= min(MAX_DELAYED_JOBS, MAX_DELAYED_JOBS_OF_ALL - self.delayed_count):
            return Admission.REJECTED
        session.delayed[frame.ticket] = DelayedJob(now_ms, frame)
        self.delayed_count += 1
        return Admission.DELAYED

    def on_answer(self, now_ms: float, result: QueryResult) -> ReleasedJobs:
        """Process the answer to a query of this object, or ignore it if the query was given up.

        Return the jobs that waited for it.
        """
        proxy, name = self.queries.pop(result.number, (UNKNOWN_PROXY, ""))
        session = self.by_proxy.get(proxy)
        if session is None or session.name != name:
            return ReleasedJobs(proxy, [])
        if result.result == KeyStatus.UNAVAILABLE:
            self._query_age(now_ms, proxy, name)  # no majority answered: the jobs keep waiting
            return ReleasedJobs(proxy, [])
        session.started_at = min(session.started_at, now_ms - result.value)
        session.is_confirmed = True
        return ReleasedJobs(proxy, self._take_delayed(session))

    def age_ms(self, now_ms: float, proxy: int) -> float:
        """Return the known age of a proxy's process in ms; 0 if the process is unknown."""
        session = self.by_proxy.get(proxy)
        return max(0.0, now_ms - session.started_at) if session else 0.0

    def name(self, proxy: int) -> str:
        """Return the name of the proxy's process; "" if it is unknown."""
        session = self.by_proxy.get(proxy)
        return session.name if session else ""
