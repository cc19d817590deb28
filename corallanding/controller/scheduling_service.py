"""Scheduling of jobs that wait at proxies: admits and releases them. The core is `scheduling`."""

from __future__ import annotations

from typing import Any, ClassVar

from ..config import ControllerConfig
from ..config.scheduling import JOBS
from ..errors import ConfigurationError
from ..quorum_records.queries import QueryResult
from ..scheduling import messages
from ..scheduling.actions import ClaimKey, ClaimOutcome, Dispatch
from ..scheduling.core import Scheduler
from ..scheduling.idempotency import IdempotencyRecords, KeyStatus, claim_outcome
from ..scheduling.queue import Job
from ..scheduling.status import scheduler_status
from ..telemetry import log
from ..wire import frames
from .cluster_service import ClusterService, ServiceContext, Tick
from .fleet_view import FleetView
from .idempotency_queries import AgeQuery, ClaimQuery, IdempotencyQueries
from .job_journal import JobJournal
from .job_terms import JobAnswer, JobInstruction, JobOutcome, scheduling_limits, waiting_classes
from .pinned_jobs import PinnedJobs
from .pinning_service import PinningService
from .quota_service import QuotaService, ReleaseQuota
from .record_service import RecordService, record_key_of
from .sessions import Admission, Sessions

PROTOCOL_FEATURE = 2  # bit in a proxy's hello: it supports waiting jobs


class SchedulingService(ClusterService):
    """Queues jobs of the connected proxies, and releases them in an order shared by all controllers.

    records, pinning: None if not configured. Raises OSError if the journal cannot be written.
    """

    message_types: ClassVar[tuple[type, ...]] = (messages.QueueSummary,)

    def __init__(
        self,
        config: ControllerConfig,
        context: ServiceContext,
        quota: QuotaService,
        records: RecordService | None,
        pinning: PinningService | None,
        fleet_view: FleetView,
    ) -> None:
        self.context = context
        self.pinning = pinning
        self.fleet_view = fleet_view
        classes = list(config.operation)
        job_classes = waiting_classes(config)
        self.names = [job_class.name for job_class in job_classes]
        self.job_class_numbers = {classes.index(name): number for number, name in enumerate(self.names)}
        release_quota = ReleaseQuota(quota, context.clock)
        self.core = Scheduler(
            context.election.peer_ids,
            context.election.incarnation,
            job_classes,
            scheduling_limits(config),
            context.clock(),
            release_quota.take,
            release_quota.request,
            config.budgets.words_per_s,
        )
        claims: IdempotencyRecords | None = None
        self.queries: IdempotencyQueries | None = None
        if records and JOBS in records.fleet.groups_by_name:
            claims = IdempotencyRecords(records.fleet.queries, records.fleet.groups_by_name[JOBS])
            self.queries = IdempotencyQueries(claims, records)
            records.listeners.append(self.on_answers)
        self.alive: list[int] = []
        self.sessions = Sessions(claims, records)
        self.pinned_jobs = PinnedJobs(self.core, self.names)
        self.is_quota_exhausted = False  # as last logged
        self.journal = JobJournal(config.waiting.witness, self.core.incarnation)

    @staticmethod
    def is_valid(message: Any) -> bool:
        """Return whether the fields of a message are within the ranges that a correct controller sends."""
        return messages.is_valid(message)

    def on_proxy_joined(self, proxy: int) -> None:
        """Look up the session of a proxy: the age of its process bounds the age of its jobs."""
        name = self.fleet_view.session_name(proxy)
        if name is not None and proxy in self.fleet_view.proxies_supporting(PROTOCOL_FEATURE):
            self.sessions.on_proxy_joined(self.context.clock(), proxy, name)

    def on_proxy_left(self, proxy: int) -> None:
        """Remove a proxy's jobs: it submits them to another controller, with their ages."""
        delayed_count = self.sessions.on_proxy_left(proxy)
        if self.queries:
            self.queries.cancel_of_proxy(proxy)
        self.core.on_proxy_left(proxy)
        if delayed_count:
            log.info("delayed jobs of a proxy dropped", proxy=proxy, jobs=delayed_count)

    def on_proxy_frame(self, proxy: int, frame: frames.JobSubmission | frames.JobWithdrawal) -> None:
        """Handle a job that a proxy submits or withdraws."""
        now_ms = self.context.clock()
        if isinstance(frame, frames.JobWithdrawal):
            if self.sessions.withdraw(proxy, frame.ticket):
                return
            job = self.core.remove(proxy, frame.ticket, is_abandoned=frame.is_abandoned)
            if job and job.has_claim and frame.is_abandoned:
                self._return_claim(now_ms, job)
            return
        match self.sessions.admit(now_ms, proxy, frame):
            case Admission.NOW:
                self._queue_job(proxy, frame, received_at_ms=now_ms)
            case Admission.REJECTED:
                self._reply(proxy, frame.ticket, JobAnswer.NOT_NOW, 0.0)
            case Admission.DELAYED:
                pass

    def _queue_job(self, proxy: int, frame: frames.JobSubmission, *, received_at_ms: float) -> None:
        """Queue a job. received_at_ms: when it was submitted; it may have been delayed here since."""
        now_ms = self.context.clock()
        job_class = self.job_class_numbers.get(frame.request_class)
        if job_class is None:
            self._reply(proxy, frame.ticket, JobAnswer.DOES_NOT_WAIT, 0.0)
            return
        waited_ms = min(frame.waited_ms + now_ms - received_at_ms, self.sessions.age_ms(now_ms, proxy))
        key = record_key_of(f"job {frame.idempotency_key}") if frame.idempotency_key and self.queries else 0
        is_new = (proxy, frame.ticket) not in self.core.tickets
        job, rejection, max_wait_ms = self.core.admit(
            now_ms, self.alive, proxy, frame.ticket, job_class, waited_ms, key, frame.release_set
        )
        self._reply(proxy, frame.ticket, rejection or JobAnswer.WAITING, max_wait_ms)
        if rejection is not None:
            self._count(job_class, rejection)
        elif job is not None and is_new:
            self._count(job_class, JobOutcome.TAKEN)
            self._on_new_job(now_ms, job)

    def _on_new_job(self, now_ms: float, job: Job) -> None:
        if job.release_set:
            self.pinned_jobs.invalidate(job)
        if job.idempotency_key:
            self._idempotency().query_age(now_ms, job)

    def _reply(self, proxy: int, ticket: int, answer: str, max_wait_ms: float) -> None:
        self.fleet_view.reply(proxy, frames.JobAdmission(ticket, answer, round(max_wait_ms, 1)))

    def _count(self, job_class: int, outcome: str) -> None:
        self.context.metrics.jobs.labels(self.names[job_class], outcome).inc()

    def _idempotency(self) -> IdempotencyQueries:
        """Return the queries on idempotency keys. Raises ConfigurationError if no records are configured for them."""
        if self.queries is None:
            raise ConfigurationError(f'task_group "{JOBS}": jobs with idempotency keys need records')
        return self.queries

    def on_answers(self) -> None:
        """Handle answers on the ages of sessions and jobs, and on claims."""
        now_ms = self.context.clock()
        for query, result in self._idempotency().take_answers():
            if result.number in self.sessions.queries:
                proxy, jobs = self.sessions.on_answer(now_ms, result)
                for received_at_ms, frame in jobs:
                    self._queue_job(proxy, frame, received_at_ms=received_at_ms)
            elif isinstance(query, AgeQuery):
                self._on_age(now_ms, query.job, result)
            elif isinstance(query, ClaimQuery):
                self._on_claim_answer(now_ms, query, claim_outcome(result.result))

    def _on_age(self, now_ms: float, job: Job, result: QueryResult) -> None:
        if result.result in (KeyStatus.UNCLAIMED, KeyStatus.DUPLICATE):
            self.core.set_waiting_since(job, now_ms - result.value)
        elif result.result == KeyStatus.UNAVAILABLE and (job.proxy, job.ticket) in self.core.tickets:
            self._idempotency().query_age(now_ms, job)  # no majority answered
        if result.result == KeyStatus.DUPLICATE and self.core.start_claim(job):
            self._claim(now_ms, job)

    def _on_claim_answer(self, now_ms: float, query: ClaimQuery, outcome: ClaimOutcome) -> None:
        job = query.job
        if self.core.on_claim_result(now_ms, job, outcome):
            self._return_claim(now_ms, job)
        elif outcome is ClaimOutcome.DUPLICATE:
            self._count(job.job_class, JobOutcome.DUPLICATE)
            self.fleet_view.reply(job.proxy, frames.JobRelease(job.ticket, JobInstruction.DROP_DUPLICATE))
        elif (job.proxy, job.ticket) in self.core.tickets:
            # Queued again or blocked: it could not be released while the query was pending.
            blocked_ms = 0.0 if outcome is ClaimOutcome.GRANTED else self.core.limits.blocked_ms
            self.journal.on_returned(job, query.sent_at_ms, blocked_ms)

    def _claim(self, now_ms: float, job: Job) -> None:
        self._idempotency().claim(now_ms, job, self._owner(job))

    def _return_claim(self, now_ms: float, job: Job) -> None:
        """Return the claim of a job that was never released and that its client abandoned."""
        if self.queries:
            self.queries.return_claim(now_ms, job, self._owner(job))

    def _owner(self, job: Job) -> int:
        """Return the number of a ticket, equal at all controllers: the same proxy process may release it again."""
        return record_key_of(f"ticket {job.proxy} {self.sessions.name(job.proxy)} {job.ticket}") | 2

    def on_tick(self, tick: Tick) -> None:
        """Release due jobs, claim those with idempotency keys, and send summaries to the other controllers."""
        self.alive = tick.alive
        if self.pinning:
            self.pinned_jobs.update(self.pinning)
        actions, to_send = self.core.tick(tick.now_ms, self.alive)
        if self.core.is_starved != self.is_quota_exhausted:
            self._record_exhaustion(is_exhausted=self.core.is_starved)
        for action in actions:
            if isinstance(action, Dispatch):
                self._release(action)
            elif isinstance(action, ClaimKey):
                self._claim(tick.now_ms, action.job)
        self.context.send(to_send)

    def _record_exhaustion(self, *, is_exhausted: bool) -> None:
        self.is_quota_exhausted = is_exhausted
        text = "no quota granted: other controllers continue" if is_exhausted else "quota granted again"
        log.info("scheduling", change=text)
        self.journal.on_quota(is_exhausted=is_exhausted)

    def _release(self, action: Dispatch) -> None:
        job = action.job
        self._count(job.job_class, JobOutcome.RELEASED)
        self.journal.on_released(job, action.effective_priority, action.observed_peers)
        self.fleet_view.reply(job.proxy, frames.JobRelease(job.ticket, JobInstruction.SEND))

    def on_message(self, sender: int, message: messages.QueueSummary) -> None:
        """Handle a summary of the jobs that wait at another controller."""
        self.core.on_summary(self.context.clock(), sender, message)

    @property
    def rejected(self) -> int:
        """Return the number of rejected messages of other controllers."""
        return self.core.peer_queues.rejected_count

    def update_metrics(self) -> None:
        """Set the number of waiting jobs, by request class."""
        for name, count in zip(self.names, self.core.queue.counts_by_class, strict=True):
            self.context.metrics.queued_jobs.labels(name).set(count)

    def status(self) -> dict[str, Any]:
        """Return the section `waiting` of the status page."""
        return scheduler_status(self.core, self.context.clock(), self.alive)

    def close(self) -> None:
        """Close the journal."""
        self.journal.close()
