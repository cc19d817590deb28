"""Quorum records: stores the replica, and sends messages only once it is stored. The core is `quorum_records`."""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, ClassVar

from ..config.version_pinning import RecordsBlock
from ..lease.core import TaskLeases
from ..quorum_records import messages
from ..quorum_records.core import Action, Persist, ReplicaFile
from ..quorum_records.fleet import FleetRecords, RecordTaskGroups
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
)
from ..quorum_records.queries import QueryLimits
from ..telemetry import log
from ..wire.peer_messages import OutgoingMessage
from .action_journal import ActionJournal
from .cluster_service import ClusterService, ServiceContext, Tick
from .record_store import RecordStore

WRITE_RETRY_MS = 250.0  # pause after a failed write


def record_key_of(name: str) -> int:
    """Return the record key of a run, a job or a session: not 0, and the same at all controllers."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big") >> 1 or 1


@dataclass(frozen=True)
class RecordGroups:
    """The task groups that have records, and the limits of records. voters: the controllers that keep replicas."""

    voters: tuple[int, ...]
    limits: RecordLimits
    task_groups: RecordTaskGroups


class RecordService(ClusterService):
    """Stores this controller's replica on disk before any message that depends on it is sent.

    Dependent services query through `fleet.queries`, send through `persist_and_send`, and register in `listeners` to be
    called when answers may be available. Raises OSError if its file or the journal cannot be used.
    """

    message_types: ClassVar[tuple[type, ...]] = (
        Accept,
        AcceptReply,
        Prepare,
        PrepareReply,
        FileAnnouncement,
        FileAnnouncementReply,
        Query,
        QueryReply,
    )

    def __init__(self, block: RecordsBlock, leases: TaskLeases, groups: RecordGroups, context: ServiceContext) -> None:
        self.context = context
        self.store = RecordStore(block.path, context.clock)
        self.fleet = FleetRecords(
            leases,
            groups.voters,
            groups.limits,
            QueryLimits(block.answer_within_ms, block.again_ms, block.questions_most),
            context.clock(),
            ReplicaFile(self.store.opening_number, self.store.is_blank),
            groups.task_groups,
            block.words_per_s,
        )
        self.fleet.records.peer_files.update(self.store.load(self.fleet.records.replica))
        self.unwritten: list[Persist] = []  # nothing that depends on them is sent before they are stored
        self.write_failed_at_ms = float("-inf")
        self.is_send_scheduled = False
        self.listeners: list[Callable[[], None]] = []
        self.due_actions: list[Action] = []  # from dependent services, for the next tick
        self.journal = ActionJournal(block.witness)

    @staticmethod
    def is_valid(message: Any) -> bool:
        """Return whether the fields of a message are within the ranges that a correct controller sends."""
        return messages.is_valid(message)

    def persist_and_send(self, actions: list[Action]) -> None:
        """Store pending changes, then send the messages; if storing fails, nothing is sent."""
        self.unwritten += [action for action in actions if isinstance(action, Persist)]
        if not self._write():
            return
        self.context.send(action for action in actions if isinstance(action, OutgoingMessage))
        for listener in self.listeners:
            listener()

    def _write(self) -> bool:
        """Write pending changes of the replica; return whether all are on disk now."""
        now_ms = self.context.clock()
        if self.unwritten and now_ms - self.write_failed_at_ms < WRITE_RETRY_MS:
            return False
        try:
            while self.unwritten:
                self.store.write(self.unwritten[0].changes)
                del self.unwritten[0]
        except OSError as error:
            self.write_failed_at_ms = now_ms
            self.context.rate_limited_log.warn("records not stored; answers are withheld", reason=str(error))
            return False
        return True

    def schedule_queries(self) -> None:
        """Schedule the new queries for the next turn of the event loop, which sends them together."""
        if not self.is_send_scheduled:
            self.is_send_scheduled = True
            asyncio.get_running_loop().call_soon(self._send_queries)

    def _send_queries(self) -> None:
        self.is_send_scheduled = False
        self.persist_and_send(self.fleet.send_new_queries(self.context.clock()))

    def on_message(self, sender: int, message: Any) -> None:
        """Handle a message on records; while the file cannot be written, messages are ignored as if they were lost."""
        if self.unwritten and not self._write():
            return
        self.persist_and_send(self.fleet.on_message(self.context.clock(), sender, message))

    def on_tick(self, tick: Tick) -> None:
        """Execute due actions; call it after the tick of the tasks and of the dependent services."""
        due_actions = self.due_actions
        self.due_actions = []
        self.persist_and_send(self.fleet.tick(tick.now_ms, due_actions))

    @property
    def rejected(self) -> int:
        """Return the number of rejected messages of other controllers."""
        records = self.fleet.records
        return records.rejected_count + records.replica.rejected_count + self.fleet.queries.rejected_count

    def update_metrics(self) -> None:
        """Set the number of records in the replica, and the number of unanswered queries."""
        self.context.metrics.record_count.set(self.fleet.records.replica.record_count)
        self.context.metrics.pending_queries.set(len(self.fleet.queries.pending))

    def reopen(self) -> None:
        """Reopen the file after a failed handover, and merge what the other process wrote into the replica."""
        try:
            self.store = RecordStore(self.store.path, self.context.clock)
            self.store.load(self.fleet.records.replica)
        except OSError as error:
            log.error("records file cannot be reopened; answers are withheld", reason=str(error))

    def close(self) -> None:
        """Close the file and the journal."""
        self.store.close()
        self.journal.close()
