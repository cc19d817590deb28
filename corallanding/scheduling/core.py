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
from .limits import Kind, WaitTerms
from .messages import LEVELS_MOST, ROWS_MOST, Line
from .peer_queues import Lines
from .queue import BLOCKED, CLAIMING, READY, Job, Queue


@dataclass(frozen=True)
class Go:
    """The job may be sent. standing: as it was; counted: whose jobs were looked at."""

    job: Job
    standing: float
    counted: tuple[int, ...] = ()


@dataclass(frozen=True)
class Ask:
    """Its fingerprint is to be claimed: `claimed` says what came of it."""

    job: Job


Action = Go | Ask


class Waiting:
    """kinds: operations that may wait, in an order that all stewards share. right: takes one right to release, if there
    is one. aim: says how many a second would be used here."""

    def __init__(
        self,
        others: tuple[int, ...],
        life: int,
        kinds: Sequence[Kind],
        terms: WaitTerms,
        born: float,
        right: Callable[[], bool],
        aim: Callable[[int], None],
        words_per_s: float = 200.0,
    ) -> None:
        self.others, self.life, self.kinds, self.terms = others, life, kinds, terms
        self.right, self.aim = right, aim
        self.queue = Queue(kinds, terms.rise)
        self.lines = Lines(kinds, terms.rise, terms.stale)
        self.allowances = PeerRateLimiter(others, words_per_s, born)
        self.tickets: dict[tuple[int, int], Job] = {}  # (forwarder, its ticket)
        self.claiming = 0
        self.aside: deque[tuple[float, int]] = deque()  # until when, job: nobody could say whose its fingerprint is
        self.round = 0
        self.told_at = float("-inf")
        self.dry_since: float | None = None  # since when we could have let go and had no right
        self.dry = False  # as last told: the others do not wait for what we have
        self.slack = terms.slack / min((k.patience for k in kinds), default=1.0)
        self.gone = self.refused = self.longest = 0.0

    # ---- jobs ----------------------------------------------------------------------------------------------

    def expected(self, now: float, alive: Iterable[int]) -> float:
        """ms until a job that comes now has surely gone, if nothing fails and no more than the rate comes behind: all
        that wait anywhere go before it."""
        return (len(self.queue.jobs) + self.lines.total(now, alive) + 1) / self.terms.rate * 1000.0

    def take_in(
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
        k = self.kinds[kind]
        if job := self.tickets.get((forwarder, ticket)):
            return job, "", max(0.0, k.most - (now - job.since))
        if self.queue.by_kind[kind] >= k.jobs:
            self.refused += 1
            return None, "full", 0.0
        expected = self.expected(now, alive)
        if waited <= 0.0 and expected > k.most:
            self.refused += 1
            return None, "too-long", expected
        job = self.queue.put(Job(0, kind, forwarder, ticket, now - max(0.0, waited), key, set))
        self.tickets[forwarder, ticket] = job
        return job, "", max(k.most - waited, 0.0)

    def drop(self, forwarder: int, ticket: int, ended: bool = False) -> Job | None:
        """It is done, or no longer ours. ended: its client gave up."""
        job = self.tickets.pop((forwarder, ticket), None)
        if job:
            job.ended = ended
            self.claiming -= job.state == CLAIMING
            self.queue.remove(job)
        return job

    def left(self, forwarder: int) -> None:
        """The forwarder is gone from us: it hands its jobs to another, with their ages."""
        for at in [at for at in self.tickets if at[0] == forwarder]:
            self.drop(*at)

    def older(self, job: Job, since: float) -> None:
        """It was brought before, elsewhere: it has waited since then."""
        if since < job.since and self.tickets.get((job.forwarder, job.ticket)) is job:
            state = job.state
            self.queue.leave(job, state)
            job.since = since
            if state == READY:
                self.queue.enter(job)

    def versions(self, kind: int, set: int, ready: bool, rises: bool) -> None:
        """Of jobs whose run is pinned to that set: whether a host serves them, whether they keep it from retiring."""
        for number in list(self.queue.by_set.get(set, ())):
            if (job := self.queue.jobs[number]).kind == kind:
                self.queue.change(job, ready, rises)

    # ---- the core ------------------------------------------------------------------------------------------

    def tick(self, now: float, alive: Iterable[int]) -> tuple[list[Action], list[OutgoingMessage]]:
        """Call every 50 ms or so. alive: the other stewards reckoned with."""
        alive = [n for n in alive if n in self.others]
        actions, words = self.release(now, alive), list[OutgoingMessage]()
        if now - self.told_at >= self.terms.tell:
            top = self.queue.top(now, max(1, int(self.terms.rate)))
            if top and top[0] >= self.lines.water(now, alive) - self.slack:
                self.aim(self.lines.share(now, alive, top, max(1, int(self.terms.rate))))
            words = self.tell(now, top)
        return actions, words

    def release(self, now: float, alive: list[int]) -> list[Action]:
        """Fingerprints are claimed first: a right that waits for an answer would be lost to those that need none."""
        out: list[Action] = []
        while self.aside and self.aside[0][0] <= now:
            _, number = self.aside.popleft()
            if (job := self.queue.jobs.get(number)) and job.state == BLOCKED:
                self.queue.enter(job)
        water, counted = self.lines.water(now, alive), tuple(self.lines.counted(now, alive))
        while len(out) < self.terms.batch:
            best = self.queue.best(now)
            if best is None or best[0] < water - self.slack:
                self.dry_since = None
                break
            standing, job = best
            if job.key and not job.granted:
                if self.claiming >= self.terms.claims:
                    break
                out += [ask] if (ask := self.claim(now, job)) else []
                continue
            if not self.right():
                self.dry_since = now if self.dry_since is None else self.dry_since
                break
            self.dry_since = None
            out.append(self.go(now, job, standing, counted))
        return out

    def go(self, now: float, job: Job, standing: float, counted: tuple[int, ...]) -> Go:
        self.drop(job.forwarder, job.ticket)
        self.gone += 1
        self.longest = max(self.longest, now - job.since)
        return Go(job, standing, counted)

    def claim(self, now: float, job: Job) -> Ask | None:
        """Whether its fingerprint is its own is to be asked. Also out of its turn: it is somebody's already."""
        if self.tickets.get((job.forwarder, job.ticket)) is not job or job.state == CLAIMING:
            return None
        self.queue.leave(job, CLAIMING)
        self.claiming += 1
        return Ask(job)

    def claimed(self, now: float, job: Job, granted: bool, twin: bool) -> bool:
        """What came of a claim. Neither: nobody could say; it stands aside for a while, so that others can go. True if
        the fingerprint is to be given back: only where its client gave up. One whose link was lost is handed to another
        steward, who is granted the same claim, and may have let it go."""
        if self.tickets.get((job.forwarder, job.ticket)) is not job or job.state != CLAIMING:
            return granted and job.ended
        if twin:
            self.drop(job.forwarder, job.ticket)
            return False
        self.claiming -= 1
        job.granted = granted
        if granted:
            self.queue.enter(job)
        else:
            job.state = BLOCKED
            self.aside.append((now + self.terms.hold, job.number))
        return False

    def tell(self, now: float, top: list[float]) -> list[OutgoingMessage]:
        """What waits here and could go. One without rights for long holds nobody up with what it has."""
        self.told_at = now
        self.round += 1
        dry = self.dry = self.dry_since is not None and now - self.dry_since > self.terms.hold
        rows = [] if dry else self.queue.rows(now, ROWS_MOST)
        levels = [] if dry else [int(top[k] * 1000.0) for k in (2**n - 1 for n in range(LEVELS_MOST)) if k < len(top)]
        word = Line(self.life, self.round, rows, levels, len(self.queue.jobs))
        return [OutgoingMessage(n, word) for n in self.others]

    def heard(self, now: float, sender: int, word: Line) -> None:
        if self.allowances.take(sender, now):
            self.lines.heard(now, sender, word)
        else:
            self.lines.refused += 1

    def page(self, now: float, alive: Iterable[int]) -> dict[str, Any]:
        """What the door shows."""
        alive = [n for n in alive if n in self.others]
        best, water = self.queue.best(now), self.lines.water(now, alive)
        oldest: dict[str, float] = {}
        for _, job in self.queue.heads(now):
            name = self.kinds[job.kind].name
            oldest[name] = max(oldest.get(name, 0.0), round(now - job.since, 1))
        return {
            "waiting": {k.name: n for k, n in zip(self.kinds, self.queue.by_kind, strict=True)},
            "oldest_ms": oldest,
            "highest_here": round(best[0], 3) if best else None,
            "waterline_elsewhere": round(water, 3) if water > float("-inf") else None,
            "counted": self.lines.counted(now, alive),
            "waiting_elsewhere": self.lines.total(now, alive),
            "claiming": self.claiming,
            "ready": sum(self.queue.counts.values()),
            "gone": int(self.gone),
            "refused": int(self.refused),
            "longest_ms": round(self.longest, 1),
        }
