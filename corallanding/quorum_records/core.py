"""Records that are written once, as one steward lives them: its shelf if it is a keeper, the groups that it holds, and
where it heard that others are held. Sans-I/O: `Keep` stands before every word that rests on it."""

from __future__ import annotations

import itertools
from collections.abc import Iterable
from dataclasses import dataclass

from ..rate_limit import PeerRateLimiter
from ..wire.peer_messages import OutgoingMessage
from .limits import RecordLimits
from .messages import Accept, AcceptReply, FileAnnouncement, FileAnnouncementReply, Prepare, PrepareReply, RecordMessage
from .proposer import Proposer
from .replica import AcceptRule, Replica, UnsavedChanges, accept_any
from .replica_recovery import ReplicaRecovery


@dataclass(frozen=True)
class Persist:
    """To be on disk before anything that follows is said."""

    changes: UnsavedChanges


Action = OutgoingMessage | Persist


class QuorumRecords:
    """me, others, keepers: numbers. life: drawn at the start. opened: how often this steward's file was opened, 0 for
    one that keeps nothing; blank: the file was new. groups: all that there may be;
    counted: those whose values are tallied; lasting: those whose records have no end.

    A keeper counts only once it has heard from others that no later life of its own file is known (`CatchUp`).
    """

    def __init__(
        self,
        me: int,
        others: tuple[int, ...],
        keepers: tuple[int, ...],
        life: int,
        terms: RecordLimits,
        born: float,
        groups: Iterable[int],
        opened: int,
        blank: bool,
        may: AcceptRule = accept_any,
        counted: Iterable[int] = (),
        lasting: Iterable[int] = (),
        words_per_s: float = 2_000.0,
    ) -> None:
        self.me, self.others, self.replica_ids, self.incarnation, self.limits = me, others, keepers, life, terms
        self.groups = frozenset(groups)
        self.replica = Replica(terms, may, frozenset(counted), frozenset(lasting))
        self.replica.is_recovering = blank
        self.recovery = ReplicaRecovery(me, others, keepers, life, terms, self.groups, opened, self.replica)
        self.proposers: dict[int, Proposer] = {}
        self.rounds = itertools.count(1)
        self.holders: dict[int, tuple[int, int]] = {}  # group: the highest fence heard, and whose
        self.peer_files: dict[
            int, tuple[int, int, int]
        ] = {}  # keeper: most openings heard of, in which life; most writes
        self.rate_limits = PeerRateLimiter(others, words_per_s, born)
        self.rejected_count = 0
        self.swept_at_ms = born

    @property
    def has_replica(self) -> bool:
        return self.me in self.replica_ids

    def holder_of(self, group: int) -> int | None:
        """Who was last heard to hold it."""
        return self.holders.get(group, (0, None))[1]

    # ---- groups --------------------------------------------------------------------------------------------

    def acquire_group(self, group: int, fence: int) -> None:
        """The group is ours from here on; what a majority has of it is read first."""
        self.proposers[group] = Proposer(
            self.incarnation, group, self.replica_ids, self.limits, fence, self.rounds.__next__
        )

    def release_group(self, group: int) -> None:
        self.proposers.pop(group, None)

    # ---- the core ------------------------------------------------------------------------------------------

    def tick(self, now: float) -> list[Action]:
        """Call every 50 ms or so, and after writes that are to go at once."""
        out: list[OutgoingMessage] = []
        if self.has_replica:
            out += self.recovery.tick(now)
        for writer in self.proposers.values():
            out += writer.tick(now)
        if now - self.swept_at_ms > 1_000.0:
            self.swept_at_ms = now
            self.replica.sweep(now)
            for writer in [w for w in self.proposers.values() if w.group not in self.replica.permanent_groups]:
                for key in [k for k, e in writer.records.items() if now - e.created_at_ms > self.limits.retention_ms]:
                    writer.forget(key)
        return self.deliver(now, out)

    def deliver(self, now: float, words: list[OutgoingMessage]) -> list[Action]:
        """Words to ourselves are answered here; what the shelf took in is kept before any word goes out."""
        out: list[OutgoingMessage] = []
        while words:
            here, words = [s for s in words if s.to == self.me], [s for s in words if s.to != self.me]
            out += words
            words = []
            for s in here:
                words += self.handle(now, self.me, s.message)
        unkept = self.replica.take_unsaved()
        return [*([Persist(unkept)] if unkept else []), *out]

    def on_message(self, now: float, sender: int, word: RecordMessage) -> list[Action]:
        """A word of a known steward."""
        if not self.rate_limits.try_take(sender, now):
            self.rejected_count += 1
            return []
        return self.deliver(now, self.handle(now, sender, word))

    def handle(self, now: float, sender: int, word: RecordMessage) -> list[OutgoingMessage]:
        match word:
            case Accept() | Prepare():
                if word.group not in self.groups or not self.has_replica:
                    self.rejected_count += 1
                    return []
                if word.fencing_token:
                    self.note_holder(word.group, word.fencing_token, sender)
                answer = self.recovery.reply_to(now, word)
                return [OutgoingMessage(sender, answer)] if answer else []
            case AcceptReply():
                if (w := self.proposers.get(word.group)) and sender in self.replica_ids:
                    w.on_accept_reply(now, sender, word)
            case PrepareReply():
                if sender not in self.replica_ids:
                    return []
                if self.recovery.is_recovery_reply(sender, word):
                    return self.recovery.on_prepare_reply(now, sender, word)
                if w := self.proposers.get(word.group):
                    return w.on_prepare_reply(now, sender, word)
            case FileAnnouncement():
                if sender in self.replica_ids:
                    return [OutgoingMessage(sender, self.announcement_reply(sender, word))]
            case FileAnnouncementReply():
                return self.recovery.on_announcement_reply(now, sender, word)
        return []

    def note_holder(self, group: int, fence: int, sender: int) -> None:
        if fence >= self.holders.get(group, (0, None))[0]:
            self.holders[group] = (fence, sender)

    def announcement_reply(self, sender: int, word: FileAnnouncement) -> FileAnnouncementReply:
        """What we know of its file. An opening of another life with as high a number was made of the same contents, and
        so was one of a file with fewer writes."""
        count, life, writes = self.peer_files.get(sender, (0, 0, 0))
        most = max(writes, word.write_count)
        if word.round > count or most > writes:
            opened = max(word.round, count)
            self.peer_files[sender] = (opened, word.incarnation if word.round > count else life, most)
            self.replica.unsaved.peer_files[sender] = self.peer_files[sender]
        other = 0 if word.round > count or life == word.incarnation else count
        return FileAnnouncementReply(word.incarnation, other, self.replica.is_recovering or not self.has_replica, most)
