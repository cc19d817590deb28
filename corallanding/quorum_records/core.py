"""Quorum records of one controller: its replica if it has one, the groups that it holds, and the holders of others.

Changes are persisted before they are reported: `Persist` precedes every message that depends on it.
"""

from __future__ import annotations

import itertools
from dataclasses import dataclass
from typing import NamedTuple

from ..rate_limit import PeerRateLimiter
from ..wire.peer_messages import OutgoingMessage
from .limits import RecordLimits
from .messages import (
    Accept,
    AcceptReply,
    FileAnnouncement,
    FileAnnouncementReply,
    Prepare,
    PrepareReply,
    RecordMessage,
)
from .proposer import Proposer
from .replica import AcceptRule, Replica, UnsavedChanges, accept_any
from .replica_recovery import ReplicaRecovery
from .stored_rows import PeerFile

SWEEP_INTERVAL_MS = 1_000.0
DEFAULT_MESSAGES_PER_SECOND = 2_000.0  # accepted from one peer
UNKNOWN_FILE = PeerFile(0, 0, 0)


@dataclass(frozen=True)
class Persist:
    """Requests that these changes are written to disk before any later action is carried out."""

    changes: UnsavedChanges


Action = OutgoingMessage | Persist


class GroupHolder(NamedTuple):
    """The last known holder of a group."""

    fencing_token: int
    controller: int


@dataclass(frozen=True)
class RecordPeers:
    """The controllers that share quorum records, from the point of view of one of them.

    controller_id: its number. peer_ids: numbers of the other controllers. replica_ids: numbers of the controllers with
    a replica. incarnation: random number drawn when this process started.
    """

    controller_id: int
    peer_ids: tuple[int, ...]
    replica_ids: tuple[int, ...]
    incarnation: int


@dataclass(frozen=True)
class ReplicaFile:
    """State of the file of a controller's replica when the controller starts.

    open_count: number of openings of the file, including this one; 0 if the controller has no replica. is_recovering:
    the file is new or was wiped, so the replica has to read its records from the others.
    """

    open_count: int
    is_recovering: bool


@dataclass(frozen=True)
class GroupRules:
    """The valid groups of records, and how a replica treats their records.

    accepts, counted_groups, permanent_groups: as in `Replica`.
    """

    groups: frozenset[int]
    accepts: AcceptRule = accept_any
    counted_groups: frozenset[int] = frozenset()
    permanent_groups: frozenset[int] = frozenset()


class QuorumRecords:
    """The quorum records of one controller. All times are in ms by its clock.

    A replica takes part in quorums only once enough others confirm that its file is current (`ReplicaRecovery`).
    """

    def __init__(
        self,
        peers: RecordPeers,
        limits: RecordLimits,
        created_at_ms: float,
        rules: GroupRules,
        file: ReplicaFile,
        messages_per_second: float = DEFAULT_MESSAGES_PER_SECOND,
    ) -> None:
        self.controller_id = peers.controller_id
        self.peer_ids = peers.peer_ids
        self.replica_ids = peers.replica_ids
        self.incarnation = peers.incarnation
        self.limits = limits
        self.groups = rules.groups
        self.replica = Replica(limits, rules.accepts, rules.counted_groups, rules.permanent_groups)
        self.replica.is_recovering = file.is_recovering
        self.recovery = ReplicaRecovery(
            peers.controller_id,
            peers.replica_ids,
            peers.incarnation,
            limits,
            self.groups,
            file.open_count,
            self.replica,
        )
        self.proposers: dict[int, Proposer] = {}  # group held by this controller -> proposer
        self.rounds = itertools.count(1)  # shared by all proposers of this process
        self.holders: dict[int, GroupHolder] = {}  # group -> last known holder
        self.peer_files: dict[int, PeerFile] = {}  # controller -> last known state of its file
        self.rate_limits = PeerRateLimiter(peers.peer_ids, messages_per_second, created_at_ms)
        self.rejected_count = 0
        self.swept_at_ms = created_at_ms

    @property
    def has_replica(self) -> bool:
        """Return whether this controller has a replica."""
        return self.controller_id in self.replica_ids

    def holder_of(self, group: int) -> int | None:
        """Return the last known holder of the group; None if unknown."""
        holder = self.holders.get(group)
        return holder.controller if holder else None

    # ---- groups --------------------------------------------------------------------------------------------

    def acquire_group(self, group: int, fencing_token: int) -> None:
        """Become the group's proposer, which first reads the records of a quorum."""
        self.proposers[group] = Proposer(
            self.incarnation, group, self.replica_ids, self.limits, fencing_token, self.rounds.__next__
        )

    def release_group(self, group: int) -> None:
        """Stop being the group's proposer."""
        self.proposers.pop(group, None)

    # ---- time and messages ---------------------------------------------------------------------------------

    def tick(self, now_ms: float) -> list[Action]:
        """Return the actions that are due; called about every 50 ms, and after writes that are to be sent at once."""
        messages: list[OutgoingMessage] = []
        if self.has_replica:
            messages += self.recovery.tick(now_ms)
        for proposer in self.proposers.values():
            messages += proposer.tick(now_ms)
        if now_ms - self.swept_at_ms > SWEEP_INTERVAL_MS:
            self.swept_at_ms = now_ms
            self._sweep(now_ms)
        return self.deliver(now_ms, messages)

    def _sweep(self, now_ms: float) -> None:
        """Delete expired records from the replica and from proposers."""
        self.replica.sweep(now_ms)
        for proposer in self.proposers.values():
            if proposer.group in self.replica.permanent_groups:
                continue
            for key, record in list(proposer.records.items()):
                if now_ms - record.changed_at_ms > self.limits.retention_ms:
                    proposer.forget(key)

    def deliver(self, now_ms: float, messages: list[OutgoingMessage]) -> list[Action]:
        """Process messages to this controller itself; return the others after `Persist` of the replica's changes."""
        outgoing: list[OutgoingMessage] = []
        while messages:
            outgoing += [message for message in messages if message.to != self.controller_id]
            own = [message for message in messages if message.to == self.controller_id]
            messages = [reply for message in own for reply in self.handle(now_ms, self.controller_id, message.message)]
        changes = self.replica.take_unsaved()
        return [Persist(changes), *outgoing] if changes else [*outgoing]

    def on_message(self, now_ms: float, sender: int, message: RecordMessage) -> list[Action]:
        """Process a message of a known controller; messages above the rate limit are rejected."""
        if not self.rate_limits.try_take(sender, now_ms):
            self.rejected_count += 1
            return []
        return self.deliver(now_ms, self.handle(now_ms, sender, message))

    def handle(self, now_ms: float, sender: int, message: RecordMessage) -> list[OutgoingMessage]:
        """Process a message that is within its sender's rate limit, and return the replies."""
        if isinstance(message, Accept | Prepare):
            return self._on_proposer_message(now_ms, sender, message)
        if isinstance(message, FileAnnouncementReply):
            return self.recovery.on_announcement_reply(now_ms, sender, message)
        if sender not in self.replica_ids:
            return []
        if isinstance(message, FileAnnouncement):
            return [OutgoingMessage(sender, self.announcement_reply(sender, message))]
        if isinstance(message, PrepareReply) and self.recovery.is_recovery_reply(message):
            return self.recovery.on_prepare_reply(now_ms, sender, message)
        return self._on_replica_message(now_ms, sender, message)

    def _on_proposer_message(self, now_ms: float, sender: int, message: Accept | Prepare) -> list[OutgoingMessage]:
        if message.group not in self.groups or not self.has_replica:
            self.rejected_count += 1
            return []
        if message.fencing_token:
            self.update_holder(message.group, message.fencing_token, sender)
        reply = self.recovery.reply_to(now_ms, message)
        return [OutgoingMessage(sender, reply)] if reply else []

    def _on_replica_message(
        self, now_ms: float, sender: int, message: AcceptReply | PrepareReply
    ) -> list[OutgoingMessage]:
        """Pass a reply to the proposer of its group."""
        proposer = self.proposers.get(message.group)
        if proposer is None:
            return []
        if isinstance(message, PrepareReply):
            return proposer.on_prepare_reply(now_ms, sender, message)
        proposer.on_accept_reply(now_ms, sender, message)
        return []

    def update_holder(self, group: int, fencing_token: int, controller: int) -> None:
        """Record the holder of a group, unless a holder with a higher fencing token is known."""
        known = self.holders.get(group)
        if known is None or fencing_token >= known.fencing_token:
            self.holders[group] = GroupHolder(fencing_token, controller)

    def announcement_reply(self, sender: int, message: FileAnnouncement) -> FileAnnouncementReply:
        """Record the announced state of the sender's file, and return what was known of it.

        A known opening by another incarnation with no lower number shows that the file was restored from a backup; so
        does a known count of writes above the announced one.
        """
        open_count, incarnation, known_writes = self.peer_files.get(sender, UNKNOWN_FILE)
        write_count = max(known_writes, message.write_count)
        is_later = message.round > open_count
        if is_later or write_count > known_writes:
            opener = message.incarnation if is_later else incarnation
            self.peer_files[sender] = PeerFile(max(message.round, open_count), opener, write_count)
            self.replica.unsaved.peer_files[sender] = self.peer_files[sender]
        other_opening = 0 if is_later or incarnation == message.incarnation else open_count
        has_no_records = self.replica.is_recovering or not self.has_replica
        return FileAnnouncementReply(message.incarnation, other_opening, has_no_records, write_count)
