"""Waiting work as one steward lives it: takes jobs in, lets them go in the order that one scheduler of all would give.
Sans-I/O.

A job goes when it stands as high as anything that waits elsewhere, as far as we heard, and a right of the fleet's
budget is ours. Who stands lower asks for no rights: so they are where the highest standing waits.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Any

from ..lease.election import OutgoingMessage
from ..rate_limit import PeerRateLimiter
from .limits import JobClass, SchedulingLimits
from .messages import MAX_LEVELS, MAX_ROWS, QueueSummary
from .peer_queues import PeerQueues
from .queue import BLOCKED, CLAIMING, READY, Job, JobQueue


@dataclass(frozen=True)
class Dispatch:
    """The job may be sent. standing: as it was; counted: whose jobs were looked at."""

    job: Job
    effective_priority: float
    observed_peers: tuple[int, ...] = ()


@dataclass(frozen=True)
class ClaimKey:
    """Its fingerprint is to be claimed: `claimed` says what came of it."""

    job: Job


SchedulingAction = Dispatch | ClaimKey


class Scheduler:
    """kinds: operations that may wait, in an order that all stewards share. right: takes one right to release, if there
    is one. aim: says how many a second would be used here."""

    def __init__(
        self,
        others: tuple[int, ...],
        life: int,
        kinds: Sequence[JobClass],
        terms: SchedulingLimits,
        born: float,
        right: Callable[[], bool],
        aim: Callable[[int], None],
        words_per_s: float = 200.0,
    ) -> None:
        self.peers, self.incarnation, self.job_classes, self.limits = others, life, kinds, terms
        self.take_permit, self.set_demand = right, aim
        self.queue = JobQueue(kinds, terms.retirement_boost)
        self.peer_queues = PeerQueues(kinds, terms.retirement_boost, terms.peer_timeout_ms)
        self.rate_limits = PeerRateLimiter(others, words_per_s, born)
        self.tickets: dict[tuple[int, int], Job] = {}  # (forwarder, its ticket)
        self.claims_in_flight = 0
        self.blocked: deque[tuple[float, int]] = deque()  # until when, job: nobody could say whose its fingerprint is
        self.round = 0
        self.announced_at_ms = float("-inf")
        self.starved_since_ms: float | None = None  # since when we could have let go and had no right
        self.is_starved = False  # as last told: the others do not wait for what we have
        self.order_slack = terms.order_slack_ms / min((k.aging_interval_ms for k in kinds), default=1.0)
        self.dispatched_count = self.rejected_count = self.longest_wait_ms = 0.0

    # ---- jobs ----------------------------------------------------------------------------------------------

    def expected_wait_ms(self, now: float, alive: Iterable[int]) -> float:
        """ms until a job that comes now has surely gone, if nothing fails and no more than the rate comes behind: all
        that wait anywhere go before it."""
        return (
            (len(self.queue.jobs) + self.peer_queues.total_jobs(now, alive) + 1)
            / self.limits.dispatches_per_second
            * 1000.0
        )

    def admit(
        self,
        now: float,
        alive: Iterable[int],
        forwarder: int,
        ticket: int,
        kind: int,
        waited: float,
        key: int = 0,
        set: int = 0,
    ) -> tuple[Job | None, str, float]:
        """The job, or why not; and the longest that it will wait from now on. A ticket that is held already is the same
        job, and keeps its age."""
        k = self.job_classes[kind]
        if job := self.tickets.get((forwarder, ticket)):
            return job, "", max(0.0, k.max_wait_ms - (now - job.waiting_since_ms))
        if self.queue.counts_by_class[kind] >= k.max_jobs:
            self.rejected_count += 1
            return None, "full", 0.0
        expected = self.expected_wait_ms(now, alive)
        if waited <= 0.0 and expected > k.max_wait_ms:
            self.rejected_count += 1
            return None, "too-long", expected
        job = self.queue.add(Job(0, kind, forwarder, ticket, now - max(0.0, waited), key, set))
        self.tickets[forwarder, ticket] = job
        return job, "", max(k.max_wait_ms - waited, 0.0)

    def remove(self, forwarder: int, ticket: int, ended: bool = False) -> Job | None:
        """It is done, or no longer ours. ended: its client gave up."""
        job = self.tickets.pop((forwarder, ticket), None)
        if job:
            job.is_abandoned = ended
            self.claims_in_flight -= job.state == CLAIMING
            self.queue.remove(job)
        return job

    def on_proxy_left(self, forwarder: int) -> None:
        """The forwarder is gone from us: it hands its jobs to another, with their ages."""
        for at in [at for at in self.tickets if at[0] == forwarder]:
            self.remove(*at)

    def set_waiting_since(self, job: Job, since: float) -> None:
        """It was brought before, elsewhere: it has waited since then."""
        if since < job.waiting_since_ms and self.tickets.get((job.proxy, job.ticket)) is job:
            state = job.state
            self.queue.make_unready(job, state)
            job.waiting_since_ms = since
            if state == READY:
                self.queue.make_ready(job)

    def on_set_change(self, kind: int, set: int, ready: bool, rises: bool) -> None:
        """Of jobs whose run is pinned to that set: whether a host serves them, whether they keep it from retiring."""
        for number in list(self.queue.jobs_by_set.get(set, ())):
            if (job := self.queue.jobs[number]).job_class == kind:
                self.queue.on_set_change(job, ready, rises)

    # ---- the core ------------------------------------------------------------------------------------------

    def tick(self, now: float, alive: Iterable[int]) -> tuple[list[SchedulingAction], list[OutgoingMessage]]:
        """Call every 50 ms or so. alive: the other stewards reckoned with."""
        alive = [n for n in alive if n in self.peers]
        actions, words = self.dispatch_ready(now, alive), list[OutgoingMessage]()
        if now - self.announced_at_ms >= self.limits.announce_interval_ms:
            top = self.queue.highest_priorities(now, max(1, int(self.limits.dispatches_per_second)))
            if top and top[0] >= self.peer_queues.watermark(now, alive) - self.order_slack:
                self.set_demand(
                    self.peer_queues.own_share(now, alive, top, max(1, int(self.limits.dispatches_per_second)))
                )
            words = self.announce(now, top)
        return actions, words

    def dispatch_ready(self, now: float, alive: list[int]) -> list[SchedulingAction]:
        """Fingerprints are claimed first: a right that waits for an answer would be lost to those that need none."""
        out: list[SchedulingAction] = []
        while self.blocked and self.blocked[0][0] <= now:
            _, number = self.blocked.popleft()
            if (job := self.queue.jobs.get(number)) and job.state == BLOCKED:
                self.queue.make_ready(job)
        water, counted = self.peer_queues.watermark(now, alive), tuple(self.peer_queues.observed_peers(now, alive))
        while len(out) < self.limits.max_dispatches_per_tick:
            best = self.queue.highest(now)
            if best is None or best[0] < water - self.order_slack:
                self.starved_since_ms = None
                break
            standing, job = best
            if job.idempotency_key and not job.has_claim:
                if self.claims_in_flight >= self.limits.max_claims_in_flight:
                    break
                out += [ask] if (ask := self.start_claim(now, job)) else []
                continue
            if not self.take_permit():
                self.starved_since_ms = now if self.starved_since_ms is None else self.starved_since_ms
                break
            self.starved_since_ms = None
            out.append(self.dispatch(now, job, standing, counted))
        return out

    def dispatch(self, now: float, job: Job, standing: float, counted: tuple[int, ...]) -> Dispatch:
        self.remove(job.proxy, job.ticket)
        self.dispatched_count += 1
        self.longest_wait_ms = max(self.longest_wait_ms, now - job.waiting_since_ms)
        return Dispatch(job, standing, counted)

    def start_claim(self, now: float, job: Job) -> ClaimKey | None:
        """Whether its fingerprint is its own is to be asked. Also out of its turn: it is somebody's already."""
        if self.tickets.get((job.proxy, job.ticket)) is not job or job.state == CLAIMING:
            return None
        self.queue.make_unready(job, CLAIMING)
        self.claims_in_flight += 1
        return ClaimKey(job)

    def on_claim_result(self, now: float, job: Job, granted: bool, twin: bool) -> bool:
        """What came of a claim. Neither: nobody could say; it stands aside for a while, so that others can go. True if
        the fingerprint is to be given back: only where its client gave up. One whose link was lost is handed to another
        steward, who is granted the same claim, and may have let it go."""
        if self.tickets.get((job.proxy, job.ticket)) is not job or job.state != CLAIMING:
            return granted and job.is_abandoned
        if twin:
            self.remove(job.proxy, job.ticket)
            return False
        self.claims_in_flight -= 1
        job.has_claim = granted
        if granted:
            self.queue.make_ready(job)
        else:
            job.state = BLOCKED
            self.blocked.append((now + self.limits.blocked_ms, job.number))
        return False

    def announce(self, now: float, top: list[float]) -> list[OutgoingMessage]:
        """What waits here and could go. One without rights for long holds nobody up with what it has."""
        self.announced_at_ms = now
        self.round += 1
        dry = self.is_starved = (
            self.starved_since_ms is not None and now - self.starved_since_ms > self.limits.blocked_ms
        )
        rows = [] if dry else self.queue.summarize(now, MAX_ROWS)
        levels = [] if dry else [int(top[k] * 1000.0) for k in (2**n - 1 for n in range(MAX_LEVELS)) if k < len(top)]
        word = QueueSummary(self.incarnation, self.round, rows, levels, len(self.queue.jobs))
        return [OutgoingMessage(n, word) for n in self.peers]

    def on_summary(self, now: float, sender: int, word: QueueSummary) -> None:
        if self.rate_limits.take(sender, now):
            self.peer_queues.on_summary(now, sender, word)
        else:
            self.peer_queues.rejected_count += 1

    def status(self, now: float, alive: Iterable[int]) -> dict[str, Any]:
        """What the door shows."""
        alive = [n for n in alive if n in self.peers]
        best, water = self.queue.highest(now), self.peer_queues.watermark(now, alive)
        oldest: dict[str, float] = {}
        for _, job in self.queue.oldest_by_group(now):
            name = self.job_classes[job.job_class].name
            oldest[name] = max(oldest.get(name, 0.0), round(now - job.waiting_since_ms, 1))
        return {
            "waiting": {k.name: n for k, n in zip(self.job_classes, self.queue.counts_by_class, strict=True)},
            "oldest_ms": oldest,
            "highest_here": round(best[0], 3) if best else None,
            "waterline_elsewhere": round(water, 3) if water > float("-inf") else None,
            "counted": self.peer_queues.observed_peers(now, alive),
            "waiting_elsewhere": self.peer_queues.total_jobs(now, alive),
            "claiming": self.claims_in_flight,
            "ready": sum(self.queue.ready_counts.values()),
            "gone": int(self.dispatched_count),
            "refused": int(self.rejected_count),
            "longest_ms": round(self.longest_wait_ms, 1),
        }
