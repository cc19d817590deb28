"""Records of the fleet: their file, and what goes out once it is written. Decided in `once`."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import Any

from ..config import ControllerConfig
from ..lease.election import OutgoingMessage
from ..quorum_records.core import Action, Persist
from ..quorum_records.fleet import FleetRecords
from ..quorum_records.limits import RecordLimits
from ..quorum_records.messages import (
    Accept,
    AcceptReply,
    FileAnnouncement,
    FileAnnouncementReply,
    Prepare,
    PrepareReply,
    Query,
    QueryReply,
    sound,
)
from ..quorum_records.queries import QueryLimits
from ..telemetry import Metrics, log
from .action_journal import ActionJournal
from .record_store import RecordStore
from .task_service import TaskService


class RecordService:
    """Those who rest on it ask by `fleet.asking`, say by `carry`, and are called by `listeners` when answers may be
    there. Raises OSError if its file or the witness cannot be used."""

    message_types: tuple[type, ...] = (
        Accept,
        AcceptReply,
        Prepare,
        PrepareReply,
        FileAnnouncement,
        FileAnnouncementReply,
        Query,
        QueryReply,
    )
    is_valid = staticmethod(sound)

    def __init__(
        self,
        c: ControllerConfig,
        tasks: TaskService,
        voters: tuple[int, ...],
        names: tuple[str, ...],
        terms: RecordLimits,
        counted: tuple[str, ...],
        lasting: tuple[str, ...],
        say: Callable[[Iterable[OutgoingMessage]], None],
        clock: Callable[[], float],
        metrics: Metrics,
        rate_limited_log: Any,
    ) -> None:
        r = c.records
        assert r is not None
        self.send, self.clock, self.metrics, self.rate_limited_log = say, clock, metrics, rate_limited_log
        self.store = RecordStore(r.path, clock)
        asks = QueryLimits(r.answer_within_ms, r.again_ms, r.questions_most)
        self.fleet = FleetRecords(
            tasks.core,
            voters,
            terms,
            asks,
            clock(),
            self.store.opening_number,
            self.store.is_blank,
            names,
            counted,
            lasting,
            r.words_per_s,
        )
        self.fleet.records.peers.update(self.store.load(self.fleet.records.shelf))
        self.unwritten: list[Persist] = []  # while the file does not take them, nothing that rests on them is said
        self.failed_at = float("-inf")
        self.pushing = False
        self.listeners: list[Callable[[], None]] = []
        self.due_actions: list[Action] = []  # of those who rest on it, for the next tick
        self.journal = ActionJournal(r.witness)

    def carry_out(self, actions: list[Action]) -> None:
        """What is to be on disk first is, or nothing that comes after it is said."""
        self.unwritten += [a for a in actions if isinstance(a, Persist)]
        if not self.write():
            return
        self.send(a for a in actions if isinstance(a, OutgoingMessage))
        for listener in self.listeners:
            listener()

    def write(self) -> bool:
        now = self.clock()
        if self.unwritten and now - self.failed_at < 250.0:
            return False
        try:
            while self.unwritten:
                self.store.write(self.unwritten[0].what)
                del self.unwritten[0]
        except OSError as fault:
            self.failed_at = now
            self.rate_limited_log.warn("records are not kept; nothing of them is told", why=str(fault))
            return False
        return True

    def schedule_queries(self) -> None:
        """What was asked in one turn of the loop goes out together, in the next."""
        if not self.pushing:
            self.pushing = True
            asyncio.get_running_loop().call_soon(self.send_queries)

    def send_queries(self) -> None:
        self.pushing = False
        self.carry_out(self.fleet.push(self.clock()))

    def on_message(self, sender: int, word: Any) -> None:
        if self.unwritten and not self.write():
            return  # as if it had been lost
        self.carry_out(self.fleet.heard(self.clock(), sender, word))

    def on_election_change(self, now: float) -> None:
        """Nothing of ours changes with a vote."""

    def on_tick(self, now: float, alive: Iterable[int], wall: float) -> None:
        """After the tasks' tick."""
        due, self.due_actions = self.due_actions, []
        self.carry_out(self.fleet.tick(now, due))

    @property
    def rejected(self) -> int:
        r = self.fleet.records
        return r.refused + r.shelf.refused + self.fleet.asking.refused

    def update_metrics(self) -> None:
        self.metrics.record_count.set(self.fleet.records.shelf.count)
        self.metrics.pending_queries.set(len(self.fleet.asking.asked))

    def leave(self, now: float) -> list[OutgoingMessage]:
        return []

    def reopen(self) -> None:
        """After a handover that came to nothing. What the other process may have kept stands beside ours."""
        try:
            self.store = RecordStore(self.store.path, self.clock)
            self.store.load(self.fleet.records.shelf)
        except OSError as fault:
            log.error("records cannot be kept any more; nothing of them is told", why=str(fault))

    def close(self) -> None:
        self.store.close()
        self.journal.close()
