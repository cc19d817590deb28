"""Quorum records: their file, and the messages that go out once it is written. The core is `quorum_records`."""

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

WRITE_RETRY_MS = 250.0  # after a write that failed


def record_key_of(name: str) -> int:
    """The key of the record of a run, a job or a session: not 0, the same at all controllers."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big") >> 1 or 1


@dataclass(frozen=True)
class RecordGroups:
    """Which task groups have records, and within which limits. voters: the controllers that keep replicas."""

    voters: tuple[int, ...]
    terms: RecordLimits
    task_groups: RecordTaskGroups


class RecordService(ClusterService):
    """Keeps this controller's replica on disk before any message that rests on it is sent.

    Services that rest on it query by `fleet.asking`, send by `carry_out`, and are called by `listeners` when answers
    may be there. Raises OSError if its file or the journal cannot be used.
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
            groups.terms,
            QueryLimits(block.answer_within_ms, block.again_ms, block.questions_most),
            context.clock(),
            ReplicaFile(self.store.opening_number, self.store.is_blank),
            groups.task_groups,
            block.words_per_s,
        )
        self.fleet.records.peer_files.update(self.store.load(self.fleet.records.replica))
        self.unwritten: list[Persist] = []  # while the file does not take them, nothing that rests on them is sent
        self.write_failed_at = float("-inf")
        self.is_send_scheduled = False
        self.listeners: list[Callable[[], None]] = []
        self.due_actions: list[Action] = []  # of services that rest on this one, for the next tick
        self.journal = ActionJournal(block.witness)

    @staticmethod
    def is_valid(message: Any) -> bool:
        """Whether the fields of a message lie within what a correct controller sends."""
        return messages.is_valid(message)

    def carry_out(self, actions: list[Action]) -> None:
        """Write what is to be on disk first, then send; if it cannot be written, nothing is sent."""
        self.unwritten += [action for action in actions if isinstance(action, Persist)]
        if not self._write():
            return
        self.context.send(action for action in actions if isinstance(action, OutgoingMessage))
        for listener in self.listeners:
            listener()

    def _write(self) -> bool:
        """Whether all changes of the replica are on disk now."""
        now = self.context.clock()
        if self.unwritten and now - self.write_failed_at < WRITE_RETRY_MS:
            return False
        try:
            while self.unwritten:
                self.store.write(self.unwritten[0].changes)
                del self.unwritten[0]
        except OSError as error:
            self.write_failed_at = now
            self.context.rate_limited_log.warn("records not stored; answers withheld", reason=str(error))
            return False
        return True

    def schedule_queries(self) -> None:
        """Send the queries of one turn of the event loop together, in the next."""
        if not self.is_send_scheduled:
            self.is_send_scheduled = True
            asyncio.get_running_loop().call_soon(self._send_queries)

    def _send_queries(self) -> None:
        self.is_send_scheduled = False
        self.carry_out(self.fleet.send_new_queries(self.context.clock()))

    def on_message(self, sender: int, message: Any) -> None:
        """Take a message of the records; while the file takes no writes it is ignored, as if it had been lost."""
        if self.unwritten and not self._write():
            return
        self.carry_out(self.fleet.on_message(self.context.clock(), sender, message))

    def on_tick(self, tick: Tick) -> None:
        """Do what is due; call it after the tick of the tasks and of the services that rest on this one."""
        due = self.due_actions
        self.due_actions = []
        self.carry_out(self.fleet.tick(tick.now, due))

    @property
    def rejected(self) -> int:
        """How many messages of other controllers were rejected."""
        records = self.fleet.records
        return records.rejected_count + records.replica.rejected_count + self.fleet.queries.rejected_count

    def update_metrics(self) -> None:
        """Set how many records the replica has, and how many queries have no answer yet."""
        self.context.metrics.record_count.set(self.fleet.records.replica.record_count)
        self.context.metrics.pending_queries.set(len(self.fleet.queries.pending))

    def reopen(self) -> None:
        """Take the file back after a handover that failed. What the other process wrote is read beside ours."""
        try:
            self.store = RecordStore(self.store.path, self.context.clock)
            self.store.load(self.fleet.records.replica)
        except OSError as error:
            log.error("records cannot be stored any more; answers withheld", reason=str(error))

    def close(self) -> None:
        """Close the file and the journal."""
        self.store.close()
        self.journal.close()
