"""Work that may wait at forwarders: what they hand in, and when it goes. Decided in `waiting`."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from ..config import ControllerConfig
from ..lease.election import LeaderElection, OutgoingMessage
from ..scheduling.core import Ask, Go, Waiting
from ..scheduling.idempotency import FOUND, GRANTED, NOT_NOW, TWIN, Claims
from ..scheduling.limits import Kind, WaitTerms
from ..scheduling.messages import Line, sound
from ..scheduling.queue import Job
from ..telemetry import Metrics, log
from ..wire import frames
from .action_journal import ActionJournal
from .fleet_view import FleetView
from .pinning_service import PinningService, record_key_of
from .quota_service import QuotaService
from .record_service import RecordService
from .sessions import Sessions

PART = 2  # of the protocol, in a forwarder's hello
RELEASES = "releases"


class SchedulingService:
    """Raises OSError if the witness cannot be written. records, pins: where there are any."""

    message_types: tuple[type, ...] = (Line,)
    is_valid = staticmethod(sound)

    def __init__(
        self,
        c: ControllerConfig,
        office: LeaderElection,
        budgets: QuotaService,
        records: RecordService | None,
        pins: PinningService | None,
        say: Callable[[Iterable[OutgoingMessage]], None],
        clock: Callable[[], float],
        metrics: Metrics,
        sight: FleetView,
    ) -> None:
        self.send, self.clock, self.metrics, self.fleet_view, self.pinning = say, clock, metrics, sight, pins
        self.records = records
        w, rate = c.waiting, float(c.budget[RELEASES].whole)
        self.numbers = {n: k for k, n in enumerate(n for n, o in enumerate(c.operation.values()) if o.waits)}
        self.names = [name for name, o in c.operation.items() if o.waits]
        kinds = [
            Kind(name, o.waits.priority, o.waits.patience_ms, o.waits.most_ms, o.waits.most_jobs)
            for name, o in c.operation.items()
            if o.waits
        ]
        terms = WaitTerms(w.tell_ms, w.stale_ms, w.slack_ms, w.hold_ms, w.rise, rate, w.batch, w.claims_most)
        quota = budgets.core
        self.core = Waiting(
            office.others,
            office.life,
            kinds,
            terms,
            clock(),
            lambda: budgets.may_begin(RELEASES, 0, True),
            lambda n: quota.aim(clock(), RELEASES, n),
            c.budgets.words_per_s,
        )
        self.claims: Claims | None = None
        if records and "jobs" in records.fleet.of:
            self.claims = Claims(records.fleet.asking, records.fleet.of["jobs"])
            records.listeners.append(self.answered)
        self.alive: list[int] = []
        self.sessions = Sessions(self.claims, records)
        self.aging: dict[int, Job] = {}  # question on a fingerprint's age
        self.claiming: dict[int, tuple[Job, float]] = {}
        self.giving: set[int] = set()  # questions by which a fingerprint is given back
        self.versions: dict[tuple[int, int], tuple[bool, bool]] = {}
        self.dry = False
        self.journal = ActionJournal(w.witness)

    # ---- forwarders and their sessions ---------------------------------------------------------------------

    def on_proxy_joined(self, forwarder: int) -> None:
        name = self.fleet_view.session_name(forwarder)
        if name is not None and forwarder in self.fleet_view.proxies_speaking(PART):
            self.sessions.joined(self.clock(), forwarder, name)

    def on_proxy_left(self, forwarder: int) -> None:
        """It hands its jobs to another steward, with their ages."""
        self.core.left(forwarder)

    def on_proxy_frame(self, forwarder: int, frame: frames.Wait | frames.Unwait) -> None:
        if isinstance(frame, frames.Unwait):
            job = self.core.drop(forwarder, frame.ticket, frame.ended)
            if job and job.granted and frame.ended:
                self.give_back(self.clock(), job)
            return
        now, known = self.clock(), self.sessions.held(self.clock(), forwarder, frame)
        if known is None:
            self.tell(forwarder, frame.ticket, "not-now", 0.0)
        elif known:
            self.take_in(forwarder, frame, now)

    def take_in(self, forwarder: int, frame: frames.Wait, came: float) -> None:
        """came: when it was handed in: it may have stood here since."""
        now, kind = self.clock(), self.numbers.get(frame.operation)
        if kind is None:
            self.tell(forwarder, frame.ticket, "does-not-wait", 0.0)
            return
        waited = min(frame.waited + now - came, self.sessions.age(now, forwarder))
        key = record_key_of(f"job {frame.fingerprint}") if frame.fingerprint and self.claims else 0
        new = (forwarder, frame.ticket) not in self.core.tickets
        job, why, longest = self.core.take_in(now, self.alive, forwarder, frame.ticket, kind, waited, key, frame.set)
        self.tell(forwarder, frame.ticket, why or "waiting", longest)
        if job and new:
            self.metrics.jobs.labels(self.names[kind], "taken").inc()
            if job.set:
                self.versions.pop((kind, job.set), None)
            if key:
                self.age(now, job)
        elif job is None:
            self.metrics.jobs.labels(self.names[kind], why).inc()

    def age(self, now: float, job: Job) -> None:
        """Its client may have brought it before, elsewhere: then it is as old as that."""
        assert self.claims is not None
        assert self.records is not None
        self.aging[self.claims.seek(now, job.key, now - job.since)] = job
        self.records.schedule_queries()

    def tell(self, forwarder: int, ticket: int, what: str, longest: float) -> None:
        self.fleet_view.reply(forwarder, frames.Waits(ticket, what, round(longest, 1)))

    # ---- what becomes of questions -------------------------------------------------------------------------

    def answered(self) -> None:
        assert self.claims is not None
        now = self.clock()
        for told in self.claims.asking.take(self.claims.groups[0]):
            if told.number in self.sessions.seeking:
                forwarder, waits = self.sessions.answered(now, told)
                for came, frame in waits:
                    self.take_in(forwarder, frame, came)
            elif job := self.aging.pop(told.number, None):
                if told.what in (FOUND, TWIN):
                    self.core.older(job, now - told.value)
                elif told.what == NOT_NOW and (job.forwarder, job.ticket) in self.core.tickets:
                    self.age(now, job)  # nobody could say
                if told.what == TWIN and (ask := self.core.claim(now, job)):
                    self.claim(now, ask)
            elif claim := self.claiming.pop(told.number, None):
                self.claimed(now, *claim, told.what)
            else:
                self.giving.discard(told.number)

    def claimed(self, now: float, job: Job, at: float, what: int) -> None:
        """at: when it was asked for, by the witness's clock."""
        if self.core.claimed(now, job, what == GRANTED, what == TWIN):
            self.give_back(now, job)
        elif what == TWIN:
            self.metrics.jobs.labels(self.names[job.kind], "twin").inc()
            self.fleet_view.reply(job.forwarder, frames.Go(job.ticket, "twin"))
        elif (job.forwarder, job.ticket) in self.core.tickets:
            # In line again, or aside: it could not go while the question was out.
            until = ActionJournal.now() + (0.0 if what == GRANTED else self.core.terms.hold)
            self.journal.write("back", at, self.core.life, job.forwarder, job.ticket, until)

    def give_back(self, now: float, job: Job) -> None:
        """It was granted, no word to send it ever went out, and its client gave it up."""
        if self.claims and self.records:
            self.giving.add(self.claims.give_back(now, job, self.owner(job)))
            self.records.schedule_queries()

    def go(self, a: Go) -> None:
        job = a.job
        self.metrics.jobs.labels(self.names[job.kind], "gone").inc()
        standing, counted = round(a.standing, 4), list(a.counted)
        self.journal.write("go", ActionJournal.now(), self.core.life, job.forwarder, job.ticket, standing, counted)
        self.fleet_view.reply(job.forwarder, frames.Go(job.ticket, "go"))

    def owner(self, job: Job) -> int:
        """Of a ticket, whichever steward has it: the same process of a forwarder may let it go again if it must."""
        return record_key_of(f"ticket {job.forwarder} {self.sessions.name(job.forwarder)} {job.ticket}") | 2

    # ---- by time -------------------------------------------------------------------------------------------

    def on_tick(self, now: float, alive: Iterable[int], wall: float) -> None:
        self.alive = list(alive)
        if self.pinning:
            self.look_at_versions(self.pinning)
        actions, words = self.core.tick(now, self.alive)
        if self.core.dry != self.dry:
            self.dry = self.core.dry
            log.info("waiting", what="no rights come: others go on" if self.dry else "rights come again")
            self.journal.write("dry" if self.dry else "wet", ActionJournal.now(), self.core.life, -1, -1)
        for a in actions:
            if isinstance(a, Go):
                self.go(a)
            elif isinstance(a, Ask):
                self.claim(now, a)
        self.send(words)

    def claim(self, now: float, a: Ask) -> None:
        assert self.claims is not None
        assert self.records is not None
        number = self.claims.claim(now, a.job, self.owner(a.job))
        self.claiming[number] = (a.job, ActionJournal.now())
        self.records.schedule_queries()

    def look_at_versions(self, pins: PinningService) -> None:
        """Jobs whose version no host serves wait aside; those that keep a set from retiring rise."""
        register = pins.core.releases.register
        for set in list(self.core.queue.by_set):
            rises = register is not None and set not in register.opens
            for kind, name in enumerate(self.names):
                state = (pins.served(set, name), rises)
                if self.versions.get((kind, set)) != state:
                    self.versions[kind, set] = state
                    self.core.versions(kind, set, *state)
        if len(self.versions) > 4_096:
            self.versions.clear()

    def on_message(self, sender: int, word: Line) -> None:
        self.core.heard(self.clock(), sender, word)

    def on_election_change(self, now: float) -> None:
        """Nothing of ours changes with a vote."""

    # ---- what is shown -------------------------------------------------------------------------------------

    @property
    def rejected(self) -> int:
        return self.core.lines.refused

    def update_metrics(self) -> None:
        for name, count in zip(self.names, self.core.queue.by_kind, strict=True):
            self.metrics.queued_jobs.labels(name).set(count)

    def status(self) -> dict[str, Any]:
        return self.core.page(self.clock(), self.alive)

    def reload(self, c: ControllerConfig) -> None:
        """Nothing of it changes while it runs: order must be the same at all stewards."""

    def leave(self, now: float) -> list[OutgoingMessage]:
        return []

    def close(self) -> None:
        self.journal.close()
