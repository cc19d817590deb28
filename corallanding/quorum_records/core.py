"""Quorum records of one controller: its replica if it has one, the groups that it holds, and where others are held.

Persist before you send: `Persist` stands before every message that rests on it.
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
DEFAULT_MESSAGES_PER_SECOND = 2_000.0  # that are taken of one peer
NO_FILE = PeerFile(0, 0, 0)


@dataclass(frozen=True)
class Persist:
    """Write these changes to disk before any action that follows is carried out."""

    changes: UnsavedChanges


Action = OutgoingMessage | Persist


class GroupHolder(NamedTuple):
    """Who was last known to hold a group."""

    fencing_token: int
    controller: int


@dataclass(frozen=True)
class RecordPeers:
    """The controllers that share quorum records, as one of them sees them.

    me: its number. others: numbers of the other controllers. replica_ids: numbers of those with a replica.
    incarnation: drawn when this controller started.
    """

    me: int
    others: tuple[int, ...]
    replica_ids: tuple[int, ...]
    incarnation: int


@dataclass(frozen=True)
class ReplicaFile:
    """The state in which a controller found the file of its replica when it started.

    open_count: how often the file was opened, this time included; 0 if the controller has no replica. is_recovering:
    the file is new, so that the replica reads back its records from the others.
    """

    open_count: int
    is_recovering: bool


@dataclass(frozen=True)
class GroupRules:
    """The groups of records that there may be, and what a replica does with their records.

    accepts, counted_groups, permanent_groups: as in `Replica`.
    """

    groups: frozenset[int]
    accepts: AcceptRule = accept_any
    counted_groups: frozenset[int] = frozenset()
    permanent_groups: frozenset[int] = frozenset()


class QuorumRecords:
    """The quorum records of one controller. All times in ms by its clock.

    A replica counts only once enough others know of no later opening of its file (`ReplicaRecovery`).
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
        self.me = peers.me
        self.others = peers.others
        self.replica_ids = peers.replica_ids
        self.incarnation = peers.incarnation
        self.limits = limits
        self.groups = rules.groups
        self.replica = Replica(limits, rules.accepts, rules.counted_groups, rules.permanent_groups)
        self.replica.is_recovering = file.is_recovering
        self.recovery = ReplicaRecovery(
            peers.me, peers.replica_ids, peers.incarnation, limits, self.groups, file.open_count, self.replica
        )
        self.proposers: dict[int, Proposer] = {}  # of the groups that this controller holds
        self.rounds = itertools.count(1)
        self.holders: dict[int, GroupHolder] = {}
        self.peer_files: dict[int, PeerFile] = {}  # what is known of other replicas' files
        self.rate_limits = PeerRateLimiter(peers.others, messages_per_second, created_at_ms)
        self.rejected_count = 0
        self.swept_at_ms = created_at_ms

    @property
    def has_replica(self) -> bool:
        """Whether this controller has a replica."""
        return self.me in self.replica_ids

    def holder_of(self, group: int) -> int | None:
        """The controller that was last known to hold the group."""
        holder = self.holders.get(group)
        return holder.controller if holder else None

    # ---- groups --------------------------------------------------------------------------------------------

    def acquire_group(self, group: int, fencing_token: int) -> None:
        """Become the group's proposer: what a quorum has of it is read first."""
        self.proposers[group] = Proposer(
            self.incarnation, group, self.replica_ids, self.limits, fencing_token, self.rounds.__next__
        )

    def release_group(self, group: int) -> None:
        """Stop being the group's proposer."""
        self.proposers.pop(group, None)

    # ---- time and messages ---------------------------------------------------------------------------------

    def tick(self, now: float) -> list[Action]:
        """Actions that are due; called every 50 ms or so, and after writes that are to be sent at once."""
        messages: list[OutgoingMessage] = []
        if self.has_replica:
            messages += self.recovery.tick(now)
        for proposer in self.proposers.values():
            messages += proposer.tick(now)
        if now - self.swept_at_ms > SWEEP_INTERVAL_MS:
            self.swept_at_ms = now
            self._sweep(now)
        return self.deliver(now, messages)

    def _sweep(self, now: float) -> None:
        """Drop records over their time from the replica and from proposers."""
        self.replica.sweep(now)
        for proposer in self.proposers.values():
            if proposer.group in self.replica.permanent_groups:
                continue
            for key, record in list(proposer.records.items()):
                if now - record.created_at_ms > self.limits.retention_ms:
                    proposer.forget(key)

    def deliver(self, now: float, messages: list[OutgoingMessage]) -> list[Action]:
        """Answer messages to this controller itself; what the replica accepted is persisted before the rest is sent."""
        outgoing: list[OutgoingMessage] = []
        while messages:
            outgoing += [message for message in messages if message.to != self.me]
            own = [message for message in messages if message.to == self.me]
            messages = [answer for message in own for answer in self.handle(now, self.me, message.message)]
        changes = self.replica.take_unsaved()
        return [Persist(changes), *outgoing] if changes else [*outgoing]

    def on_message(self, now: float, sender: int, message: RecordMessage) -> list[Action]:
        """Take a message of a known controller."""
        if not self.rate_limits.try_take(sender, now):
            self.rejected_count += 1
            return []
        return self.deliver(now, self.handle(now, sender, message))

    def handle(self, now: float, sender: int, message: RecordMessage) -> list[OutgoingMessage]:
        """Take a message that is within its sender's rate, and return the answers."""
        if isinstance(message, Accept | Prepare):
            return self._on_proposer_message(now, sender, message)
        if isinstance(message, FileAnnouncementReply):
            return self.recovery.on_announcement_reply(now, sender, message)
        if sender not in self.replica_ids:
            return []
        if isinstance(message, FileAnnouncement):
            return [OutgoingMessage(sender, self.announcement_reply(sender, message))]
        if isinstance(message, PrepareReply) and self.recovery.is_recovery_reply(message):
            return self.recovery.on_prepare_reply(now, sender, message)
        return self._on_replica_message(now, sender, message)

    def _on_proposer_message(self, now: float, sender: int, message: Accept | Prepare) -> list[OutgoingMessage]:
        if message.group not in self.groups or not self.has_replica:
            self.rejected_count += 1
            return []
        if message.fencing_token:
            self.note_holder(message.group, message.fencing_token, sender)
        answer = self.recovery.reply_to(now, message)
        return [OutgoingMessage(sender, answer)] if answer else []

    def _on_replica_message(
        self, now: float, sender: int, message: AcceptReply | PrepareReply
    ) -> list[OutgoingMessage]:
        """Hand an answer to the proposer of its group."""
        proposer = self.proposers.get(message.group)
        if proposer is None:
            return []
        if isinstance(message, PrepareReply):
            return proposer.on_prepare_reply(now, sender, message)
        proposer.on_accept_reply(now, sender, message)
        return []

    def note_holder(self, group: int, fencing_token: int, controller: int) -> None:
        """Remember who holds a group, unless one with a higher fencing token is known."""
        known = self.holders.get(group)
        if known is None or fencing_token >= known.fencing_token:
            self.holders[group] = GroupHolder(fencing_token, controller)

    def announcement_reply(self, sender: int, message: FileAnnouncement) -> FileAnnouncementReply:
        """What is known of the sender's file, noted as announced.

        An opening by another incarnation that counts as high was made of the same contents; so was one of a file with
        fewer writes than are known.
        """
        open_count, incarnation, known_writes = self.peer_files.get(sender, NO_FILE)
        write_count = max(known_writes, message.write_count)
        is_later = message.round > open_count
        if is_later or write_count > known_writes:
            opener = message.incarnation if is_later else incarnation
            self.peer_files[sender] = PeerFile(max(message.round, open_count), opener, write_count)
            self.replica.unsaved.peer_files[sender] = self.peer_files[sender]
        other_opening = 0 if is_later or incarnation == message.incarnation else open_count
        remembers_nothing = self.replica.is_recovering or not self.has_replica
        return FileAnnouncementReply(message.incarnation, other_opening, remembers_nothing, write_count)
