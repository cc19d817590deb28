"""The scheduler of one controller: admits jobs, and dispatches them in the order of one queue shared by the fleet.

No I/O. A job is dispatched when, by the last summaries, no job queued at another controller has a higher effective
priority, and a permit of the fleet's quota is available. A controller whose jobs rank lower requests no permits, so
that they go to the controllers with the jobs of the highest priority.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Sequence

from ..rate_limit import PeerRateLimiter
from ..wire.peer_messages import OutgoingMessage
from .actions import (
    AdmissionResult,
    BlockedJob,
    ClaimKey,
    ClaimOutcome,
    Dispatch,
    RejectionReason,
    SchedulingAction,
    TickResult,
)
from .limits import JobClass, SchedulingLimits
from .messages import MAX_ROWS, QueueRow, QueueSummary, sample_levels
from .peer_queues import PeerQueues
from .queue import Job, JobQueue, JobState

DEFAULT_MESSAGES_PER_SECOND = 200.0  # accepted from one peer


class Scheduler:
    """The jobs queued at this controller, and the last summaries of the other controllers' queues.

    `job_classes` are in the same order at all controllers. `take_permit` takes one permit to dispatch and returns false
    if none is available. `set_demand` reports how many permits per second this controller would use.
    """

    def __init__(
        self,
        peers: tuple[int, ...],
        incarnation: int,
        job_classes: Sequence[JobClass],
        limits: SchedulingLimits,
        started_at_ms: float,
        take_permit: Callable[[], bool],
        set_demand: Callable[[int], None],
        messages_per_second: float = DEFAULT_MESSAGES_PER_SECOND,
    ) -> None:
        self.peers = peers
        self.incarnation = incarnation
        self.job_classes = job_classes
        self.limits = limits
        self.take_permit = take_permit
        self.set_demand = set_demand
        self.queue = JobQueue(job_classes, limits.retirement_boost)
        self.peer_queues = PeerQueues(job_classes, limits.retirement_boost, limits.peer_timeout_ms)
        self.rate_limits = PeerRateLimiter(peers, messages_per_second, started_at_ms)
        self.tickets: dict[tuple[int, int], Job] = {}  # jobs by proxy and ticket
        self.claims_in_flight = 0
        self.blocked: deque[BlockedJob] = deque()
        self.round = 0
        self.announced_at_ms = float("-inf")
        self.starved_since_ms: float | None = None  # start of the lack of permits; None if there is none
        self.is_starved = False  # announced state; if true, peers do not wait for the jobs here
        self.order_slack = limits.order_slack(job_classes)
        self.dispatched_count = 0
        self.rejected_count = 0
        self.longest_wait_ms = 0.0

    def expected_wait_ms(self, now_ms: float, alive_peers: Iterable[int]) -> float:
        """Return the longest wait of a new job, if all jobs of the fleet go before it and none fails."""
        jobs = len(self.queue.jobs) + self.peer_queues.total_jobs(now_ms, alive_peers) + 1
        return jobs / self.limits.dispatches_per_second * 1000.0

    def admit(
        self,
        now_ms: float,
        alive_peers: Iterable[int],
        proxy: int,
        ticket: int,
        class_number: int,
        waited_ms: float,
        idempotency_key: int = 0,
        release_set: int = 0,
    ) -> AdmissionResult:
        """Queue a job, or reject it.

        A queued ticket is the same job and keeps its age. A job that has waited elsewhere is not rejected as too long.
        """
        job_class = self.job_classes[class_number]
        queued = self.tickets.get((proxy, ticket))
        if queued is not None:
            remaining_ms = job_class.max_wait_ms - (now_ms - queued.waiting_since_ms)
            return AdmissionResult(queued, None, max(0.0, remaining_ms))
        if self.queue.counts_by_class[class_number] >= job_class.max_jobs:
            self.rejected_count += 1
            return AdmissionResult(None, RejectionReason.FULL, 0.0)
        expected_wait_ms = self.expected_wait_ms(now_ms, alive_peers)
        if waited_ms <= 0.0 and expected_wait_ms > job_class.max_wait_ms:
            self.rejected_count += 1
            return AdmissionResult(None, RejectionReason.TOO_LONG, expected_wait_ms)
        waiting_since_ms = now_ms - max(0.0, waited_ms)
        job = self.queue.add(Job(0, class_number, proxy, ticket, waiting_since_ms, idempotency_key, release_set))
        self.tickets[proxy, ticket] = job
        return AdmissionResult(job, None, max(job_class.max_wait_ms - waited_ms, 0.0))

    def remove(self, proxy: int, ticket: int, *, is_abandoned: bool = False) -> Job | None:
        """Remove a job from the queue and return it; None if there is none. `is_abandoned`: its client gave it up."""
        job = self.tickets.pop((proxy, ticket), None)
        if job is not None:
            job.is_abandoned = is_abandoned
            self.claims_in_flight -= job.state is JobState.CLAIMING
            self.queue.remove(job)
        return job

    def on_proxy_left(self, proxy: int) -> None:
        """Remove the jobs of a proxy, which submits them to another controller with their ages."""
        for ticket in [ticket for owner, ticket in self.tickets if owner == proxy]:
            self.remove(proxy, ticket)

    def set_waiting_since(self, job: Job, waiting_since_ms: float) -> None:
        """Move the start of a job's wait back to that time: its client submitted it earlier at another controller."""
        if waiting_since_ms < job.waiting_since_ms and self._is_queued(job):
            state = job.state
            self.queue.make_unready(job, state)
            job.waiting_since_ms = waiting_since_ms
            if state is JobState.READY:
                self.queue.make_ready(job)

    def on_set_change(self, class_number: int, release_set: int, *, is_served: bool, is_boosted: bool) -> None:
        """Update jobs of a class and release set: whether a host serves it, and whether they delay its retirement."""
        for number in list(self.queue.jobs_by_set.get(release_set, ())):
            job = self.queue.jobs[number]
            if job.job_class == class_number:
                self.queue.on_set_change(job, is_served=is_served, is_boosted=is_boosted)

    def tick(self, now_ms: float, alive_peers: Iterable[int]) -> TickResult:
        """Dispatch the jobs that may be sent, and announce the queue when that is due. Called about every 50 ms.

        `alive_peers` are the controllers that the membership counts as alive.
        """
        alive_peers = [peer for peer in alive_peers if peer in self.peers]
        actions = self.dispatch_ready(now_ms, alive_peers)
        if now_ms - self.announced_at_ms < self.limits.announce_interval_ms:
            return TickResult(actions, [])
        jobs_per_second = max(1, int(self.limits.dispatches_per_second))
        priorities = self.queue.highest_priorities(now_ms, jobs_per_second)
        if priorities and priorities[0] >= self.peer_queues.watermark(now_ms, alive_peers) - self.order_slack:
            self.set_demand(self.peer_queues.own_share(now_ms, alive_peers, priorities, jobs_per_second))
        return TickResult(actions, self._announce(now_ms, priorities))

    def dispatch_ready(self, now_ms: float, alive_peers: list[int]) -> list[SchedulingAction]:
        """Dispatch jobs in order while they are above the watermark and permits are available.

        Idempotency keys are claimed before a permit is taken: a permit held while a claim is pending could not be used
        by jobs without a key.
        """
        self._unblock(now_ms)
        actions: list[SchedulingAction] = []
        min_priority = self.peer_queues.watermark(now_ms, alive_peers) - self.order_slack
        observed_peers = tuple(self.peer_queues.observed_peers(now_ms, alive_peers))
        while len(actions) < self.limits.max_dispatches_per_tick:
            highest = self.queue.highest(now_ms)
            if highest is None or highest.effective_priority < min_priority:
                self.starved_since_ms = None
                break
            priority, job = highest
            if job.needs_claim(now_ms, self.limits.max_claim_age_ms):
                if self.claims_in_flight >= self.limits.max_claims_in_flight:
                    break
                claim = self.start_claim(job)
                if claim is not None:
                    actions.append(claim)
                continue
            if not self.take_permit():
                if self.starved_since_ms is None:
                    self.starved_since_ms = now_ms
                break
            self.starved_since_ms = None
            actions.append(self.dispatch(now_ms, job, priority, observed_peers))
        return actions

    def _unblock(self, now_ms: float) -> None:
        """Make jobs ready again whose `blocked_ms` after an unsuccessful claim have passed."""
        while self.blocked and self.blocked[0].until_ms <= now_ms:
            job = self.queue.jobs.get(self.blocked.popleft().number)
            if job is not None and job.state is JobState.BLOCKED:
                self.queue.make_ready(job)

    def dispatch(self, now_ms: float, job: Job, effective_priority: float, observed_peers: tuple[int, ...]) -> Dispatch:
        """Remove the job from the queue and return the action that sends it."""
        self.remove(job.proxy, job.ticket)
        self.dispatched_count += 1
        self.longest_wait_ms = max(self.longest_wait_ms, now_ms - job.waiting_since_ms)
        return Dispatch(job, effective_priority, observed_peers)

    def start_claim(self, job: Job) -> ClaimKey | None:
        """Begin to claim the idempotency key of a job; return None if it is not queued or its claim is in flight."""
        if not self._is_queued(job) or job.state is JobState.CLAIMING:
            return None
        self.queue.make_unready(job, JobState.CLAIMING)
        self.claims_in_flight += 1
        return ClaimKey(job)

    def on_claim_result(self, now_ms: float, job: Job, outcome: ClaimOutcome) -> bool:
        """Handle the outcome of a claim; return True if the claim must be released.

        It must be released only if the client abandoned the job: one whose proxy was lost may have been dispatched by
        another controller under the same claim. After an unknown outcome the job is blocked for `blocked_ms`.
        """
        if not self._is_queued(job) or job.state is not JobState.CLAIMING:
            return outcome is ClaimOutcome.GRANTED and job.is_abandoned
        if outcome is ClaimOutcome.DUPLICATE:
            self.remove(job.proxy, job.ticket)
            return False
        self.claims_in_flight -= 1
        job.has_claim = outcome is ClaimOutcome.GRANTED
        job.claimed_at_ms = now_ms
        if job.has_claim:
            self.queue.make_ready(job)
        else:
            job.state = JobState.BLOCKED
            self.blocked.append(BlockedJob(now_ms + self.limits.blocked_ms, job.number))
        return False

    def _is_queued(self, job: Job) -> bool:
        return self.tickets.get((job.proxy, job.ticket)) is job

    def _announce(self, now_ms: float, priorities: list[float]) -> list[OutgoingMessage]:
        """Return summaries of the ready jobs for all peers; after `blocked_ms` without a permit they list no jobs."""
        self.announced_at_ms = now_ms
        self.round += 1
        starved_since_ms = self.starved_since_ms
        self.is_starved = starved_since_ms is not None and now_ms - starved_since_ms > self.limits.blocked_ms
        groups: list[QueueRow] = []
        levels: list[int] = []
        if not self.is_starved:
            groups = self.queue.summarize(now_ms, MAX_ROWS)
            levels = sample_levels(priorities)
        summary = QueueSummary(self.incarnation, self.round, groups, levels, len(self.queue.jobs))
        return [OutgoingMessage(peer, summary) for peer in self.peers]

    def on_summary(self, now_ms: float, sender: int, summary: QueueSummary) -> None:
        """Store the summary of another controller, unless it exceeds its message rate."""
        if self.rate_limits.try_take(sender, now_ms):
            self.peer_queues.on_summary(now_ms, sender, summary)
        else:
            self.peer_queues.rejected_count += 1
