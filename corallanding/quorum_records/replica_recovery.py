"""Recovery of a replica at its start: checks that its file is the latest one, and reads lost records from the others.

A file that is new or was restored from a backup has lost promises, so a majority that includes its replica may not be a
valid quorum. A replica therefore takes part in quorums only once enough others know of no later opening of its file. If
most replicas of a small cluster start at once while the others are unreachable, they wait for the others.
"""

from __future__ import annotations

from ..wire.peer_messages import OutgoingMessage
from .limits import RecordLimits
from .messages import (
    Accept,
    AcceptReply,
    FileAnnouncement,
    FileAnnouncementReply,
    Prepare,
    PrepareReply,
    ReplicaStatus,
)
from .progress import NEVER, RecoveryProgress
from .replica import Replica
from .stored_rows import Ballot

FIRST_RECOVERY_ROUND = 1 << 52  # rounds above it belong to recovery, those below to proposers


class ReplicaRecovery:
    """The recovery of this controller's replica, which takes part in quorums once `is_ready`.

    open_count: number of openings of its file, including this one. The other arguments are as in `QuorumRecords`.
    """

    def __init__(
        self,
        controller_id: int,
        replica_ids: tuple[int, ...],
        incarnation: int,
        limits: RecordLimits,
        groups: frozenset[int],
        open_count: int,
        replica: Replica,
    ) -> None:
        self.incarnation = incarnation
        self.limits = limits
        self.open_count = open_count
        self.replica = replica
        self.other_replicas = tuple(replica_id for replica_id in replica_ids if replica_id != controller_id)
        self.groups = sorted(groups)
        self.quorum_size = len(replica_ids) // 2 + 1
        self.is_ready = False
        self.confirmations: dict[int, bool] = {}  # replica that knows of no later opening -> whether it recovers
        self.announced_at_ms = NEVER
        self.round = FIRST_RECOVERY_ROUND
        self.progress = {replica_id: RecoveryProgress() for replica_id in self.other_replicas}

    def tick(self, now_ms: float) -> list[OutgoingMessage]:
        """Return announcements of the file, which are sent periodically, and prepare messages during recovery."""
        messages = self._announce(now_ms)
        if self.is_ready:
            return messages
        if self.replica.is_recovering:
            for replica_id, progress in self.progress.items():
                if not progress.is_done and now_ms - progress.requested_at_ms >= self.limits.retry_ms:
                    messages.append(self.prepare(now_ms, replica_id, progress))
        self.update_readiness()
        return messages

    def _announce(self, now_ms: float) -> list[OutgoingMessage]:
        """Announce the file's counts to the others, so that a file restored from a backup is detected."""
        interval_ms = self.limits.announce_interval_ms if self.is_file_confirmed else self.limits.retry_ms
        if now_ms - self.announced_at_ms < interval_ms:
            return []
        self.announced_at_ms = now_ms
        message = FileAnnouncement(self.incarnation, self.open_count, self.replica.write_count)
        return [OutgoingMessage(replica_id, message) for replica_id in self.other_replicas]

    @property
    def is_file_confirmed(self) -> bool:
        """Return whether enough replicas know of no later opening: any replica in use would be known to one of them."""
        intact_count = sum(not is_recovering for is_recovering in self.confirmations.values())
        return intact_count >= self.quorum_size - 1 or len(self.confirmations) == len(self.other_replicas)

    def awaited_replicas(self) -> list[int]:
        """Return the replicas whose replies are required before this one is ready."""
        if self.is_ready:
            return []
        awaited: set[int] = set()
        if not self.is_file_confirmed:
            awaited.update(replica_id for replica_id in self.other_replicas if replica_id not in self.confirmations)
        if self.replica.is_recovering:
            for replica_id, progress in self.progress.items():
                if not (progress.is_done or progress.is_recovering):
                    awaited.add(replica_id)
        return sorted(awaited)

    def update_readiness(self) -> None:
        """Become ready once the file is confirmed and, if its records were lost, enough others have been read.

        A quorum of replicas that have their records is enough, however many others are recovering. If no replica has
        any, as at the very first start, each of them must have replied so.
        """
        if self.replica.is_recovering and not self._has_read_enough():
            return
        if not self.is_file_confirmed:
            return
        if self.replica.is_recovering:
            self.replica.is_recovering = False
            self.replica.unsaved.is_recovered = True
        self.is_ready = True

    def _has_read_enough(self) -> bool:
        reads = self.progress.values()
        complete_count = sum(progress.is_done and not progress.is_recovering for progress in reads)
        return complete_count >= self.quorum_size or all(
            progress.is_done or progress.is_recovering for progress in reads
        )

    def prepare(self, now_ms: float, replica_id: int, progress: RecoveryProgress) -> OutgoingMessage:
        """Return a request to a replica for the next page of its records."""
        progress.requested_at_ms = now_ms
        if not progress.round:
            self.round += 1
            progress.round = self.round
        group = self.groups[progress.group_index]
        message = Prepare(self.incarnation, progress.round, group, 0, progress.after_key)
        return OutgoingMessage(replica_id, message)

    def is_recovery_reply(self, message: PrepareReply) -> bool:
        """Return whether the message replies to a prepare message of a recovery, not of a proposer."""
        return message.incarnation == self.incarnation and message.round > FIRST_RECOVERY_ROUND

    def on_prepare_reply(self, now_ms: float, sender: int, message: PrepareReply) -> list[OutgoingMessage]:
        """Store a page of another replica, and return the request for the next one."""
        progress = self.progress.get(sender)
        if progress is None or not self.replica.is_recovering or message.round != progress.round or progress.is_done:
            return []
        progress.is_recovering = message.status == ReplicaStatus.RECOVERING
        if progress.is_recovering:
            return []  # the request is repeated, as that replica may recover first
        group = self.groups[progress.group_index]
        self.replica.raise_token(group, message.highest_token)
        for key, value, age_ms, fencing_token, round_ in message.rows:
            self.replica.put(group, key, value, Ballot(fencing_token, round_), now_ms - age_ms, now_ms)
        progress.round = 0
        if message.has_more and message.rows:
            progress.after_key = message.rows[-1].key
        else:
            progress.group_index += 1
            progress.after_key = -1
            progress.is_done = progress.group_index == len(self.groups)
        if progress.is_done:
            self.update_readiness()
            return []
        return [self.prepare(now_ms, sender, progress)]

    def on_announcement_reply(
        self, now_ms: float, sender: int, message: FileAnnouncementReply
    ) -> list[OutgoingMessage]:
        """Process the state of this replica's file as another replica knows it."""
        if message.incarnation != self.incarnation or sender not in self.progress or self.is_ready:
            return []
        if message.round >= self.open_count or message.write_count > self.replica.write_count:
            self._restart_recovery(message)
        else:
            self.confirmations[sender] = message.is_recovering
        return self.tick(now_ms)

    def _restart_recovery(self, message: FileAnnouncementReply) -> None:
        """Restart with counts not below those that others know, as the file was restored from a backup."""
        if not self.replica.is_recovering:
            self.replica.wipe()
        self.open_count = max(self.open_count, message.round + 1)
        self.replica.write_count = max(self.replica.write_count, message.write_count)
        self.replica.unsaved.open_count = self.open_count
        self.confirmations.clear()
        self.announced_at_ms = NEVER

    def reply_to(self, now_ms: float, message: Accept | Prepare) -> AcceptReply | PrepareReply | None:
        """Return the replica's reply to a proposer; None while it has its records but its file is not confirmed.

        A replica that waits for confirmation doesn't reply, as `RECOVERING` would mean that its records are lost.
        """
        if not self.is_ready and not self.replica.is_recovering:
            return None
        if isinstance(message, Accept):
            return self.replica.on_accept(now_ms, message)
        return self.replica.on_prepare(now_ms, message)
