"""Recovery of a replica that starts: whether its file is the one that it left, and how it reads back what it has lost.

A file that was restored from a backup, or is new, has forgotten what it promised; a quorum might then be one in name
only. So a replica counts only once enough others know of no later opening of its file. A small fleet in which most
replicas start at once while others are away has to wait for these.
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

FIRST_RECOVERY_ROUND = 1 << 52  # rounds of recovery begin above it, which tells them from a proposer's


class ReplicaRecovery:
    """The recovery of this controller's replica. It counts as a replica once `is_ready`.

    open_count: openings of its file, this one included. The other arguments are as in `QuorumRecords`.
    """

    def __init__(
        self,
        me: int,
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
        self.others = tuple(number for number in replica_ids if number != me)
        self.groups = sorted(groups)
        self.quorum_size = len(replica_ids) // 2 + 1
        self.is_ready = False
        self.answers: dict[int, bool] = {}  # replicas that know of no later opening; whether they are recovering
        self.announced_at_ms = NEVER
        self.round = FIRST_RECOVERY_ROUND
        self.progress = {number: RecoveryProgress() for number in self.others}

    def tick(self, now: float) -> list[OutgoingMessage]:
        """Announcements of the file, which never end, and prepare messages while this replica recovers."""
        messages = self._announce(now)
        if self.is_ready:
            return messages
        if self.replica.is_recovering:
            for number, progress in self.progress.items():
                if not progress.is_done and now - progress.asked_at_ms >= self.limits.retry_ms:
                    messages.append(self.prepare(now, number, progress))
        self.update_readiness()
        return messages

    def _announce(self, now: float) -> list[OutgoingMessage]:
        """Tell the others how far the file was written, in case it is ever restored from a backup."""
        interval_ms = self.limits.announce_interval_ms if self.is_file_confirmed else self.limits.retry_ms
        if now - self.announced_at_ms < interval_ms:
            return []
        self.announced_at_ms = now
        message = FileAnnouncement(self.incarnation, self.open_count, self.replica.write_count)
        return [OutgoingMessage(number, message) for number in self.others]

    @property
    def is_file_confirmed(self) -> bool:
        """Whether enough know of no later opening that one which counted as a replica would be known to some."""
        remembering = sum(not is_recovering for is_recovering in self.answers.values())
        return remembering >= self.quorum_size - 1 or len(self.answers) == len(self.others)

    def awaited_replicas(self) -> list[int]:
        """Replicas whose answer is missing before this one counts."""
        if self.is_ready:
            return []
        awaited: set[int] = set()
        if not self.is_file_confirmed:
            awaited.update(number for number in self.others if number not in self.answers)
        if self.replica.is_recovering:
            for number, progress in self.progress.items():
                if not (progress.is_done or progress.is_recovering):
                    awaited.add(number)
        return sorted(awaited)

    def update_readiness(self) -> None:
        """Become ready once the file is confirmed and, if all was lost, enough others have been read.

        A quorum of replicas that have theirs is enough, however many others are recovering; where no replica has any,
        as at the very first start, each must have said so.
        """
        if self.replica.is_recovering and not self._is_read():
            return
        if not self.is_file_confirmed:
            return
        if self.replica.is_recovering:
            self.replica.is_recovering = False
            self.replica.unsaved.is_recovered = True
        self.is_ready = True

    def _is_read(self) -> bool:
        reads = self.progress.values()
        complete = sum(progress.is_done and not progress.is_recovering for progress in reads)
        return complete >= self.quorum_size or all(progress.is_done or progress.is_recovering for progress in reads)

    def prepare(self, now: float, number: int, progress: RecoveryProgress) -> OutgoingMessage:
        """Ask a replica for the next page of its groups."""
        progress.asked_at_ms = now
        if not progress.round:
            self.round += 1
            progress.round = self.round
        group = self.groups[progress.group_index]
        message = Prepare(self.incarnation, progress.round, group, 0, progress.after_key)
        return OutgoingMessage(number, message)

    def is_recovery_reply(self, message: PrepareReply) -> bool:
        """Whether the message answers a prepare message of a recovery, not of a proposer."""
        return message.incarnation == self.incarnation and message.round > FIRST_RECOVERY_ROUND

    def on_prepare_reply(self, now: float, sender: int, message: PrepareReply) -> list[OutgoingMessage]:
        """Store a page of another replica, and ask for the next one."""
        progress = self.progress.get(sender)
        if progress is None or not self.replica.is_recovering or message.round != progress.round or progress.is_done:
            return []
        progress.is_recovering = message.status == ReplicaStatus.RECOVERING
        if progress.is_recovering:
            return []  # asked again: it may recover before this one does
        group = self.groups[progress.group_index]
        self.replica.raise_token(group, message.highest_token)
        for key, value, age_ms, fencing_token, round_ in message.rows:
            self.replica.put(group, key, value, Ballot(fencing_token, round_), now - age_ms)
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
        return [self.prepare(now, sender, progress)]

    def on_announcement_reply(self, now: float, sender: int, message: FileAnnouncementReply) -> list[OutgoingMessage]:
        """Take what another replica knows of this one's file."""
        if message.incarnation != self.incarnation or sender not in self.progress or self.is_ready:
            return []
        if message.round >= self.open_count or message.write_count > self.replica.write_count:
            self._lose_file(message)
        else:
            self.answers[sender] = message.is_recovering
        return self.tick(now)

    def _lose_file(self, message: FileAnnouncementReply) -> None:
        """The file was restored from a backup: begin anew, with counts above those that others know."""
        if not self.replica.is_recovering:
            self.replica.wipe()
        self.open_count = max(self.open_count, message.round + 1)
        self.replica.write_count = max(self.replica.write_count, message.write_count)
        self.replica.unsaved.open_count = self.open_count
        self.answers.clear()
        self.announced_at_ms = NEVER

    def reply_to(self, now: float, message: Accept | Prepare) -> AcceptReply | PrepareReply | None:
        """The replica's answer to a proposer; None while only its file is not confirmed.

        A replica that waits for confirmation says nothing, so that nobody takes it for one that has lost its records.
        """
        if not self.is_ready and not self.replica.is_recovering:
            return None
        if isinstance(message, Accept):
            return self.replica.on_accept(now, message)
        return self.replica.on_prepare(now, message)
