"""Records that are written once, as one steward lives them: its shelf if it is a keeper, the groups that it holds, and
where it heard that others are held. Sans-I/O: `Keep` stands before every word that rests on it."""

from __future__ import annotations

import itertools
from collections.abc import Iterable
from dataclasses import dataclass

from ..lease.election import OutgoingMessage
from ..rate_limit import PeerRateLimiter
from .limits import RecordLimits
from .messages import Accept, AcceptReply, FileAnnouncement, FileAnnouncementReply, Prepare, PrepareReply, RecordMessage
from .proposer import Proposer
from .replica import AcceptRule, Replica, UnsavedChanges, accept_any
from .replica_recovery import ReplicaRecovery


@dataclass(frozen=True)
class Persist:
    """To be on disk before anything that follows is said."""

    what: UnsavedChanges


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
        self.me, self.others, self.keepers, self.life, self.terms = me, others, keepers, life, terms
        self.groups = frozenset(groups)
        self.shelf = Replica(terms, may, frozenset(counted), frozenset(lasting))
        self.shelf.blank = blank
        self.catch = ReplicaRecovery(me, others, keepers, life, terms, self.groups, opened, self.shelf)
        self.held: dict[int, Proposer] = {}
        self.rounds = itertools.count(1)
        self.at: dict[int, tuple[int, int]] = {}  # group: the highest fence heard, and whose
        self.peers: dict[int, tuple[int, int, int]] = {}  # keeper: most openings heard of, in which life; most writes
        self.allowances = PeerRateLimiter(others, words_per_s, born)
        self.refused = 0
        self.swept = born

    @property
    def keeps(self) -> bool:
        return self.me in self.keepers

    def where(self, group: int) -> int | None:
        """Who was last heard to hold it."""
        return self.at.get(group, (0, None))[1]

    # ---- groups --------------------------------------------------------------------------------------------

    def hold(self, group: int, fence: int) -> None:
        """The group is ours from here on; what a majority has of it is read first."""
        self.held[group] = Proposer(self.life, group, self.keepers, self.terms, fence, self.rounds.__next__)

    def drop(self, group: int) -> None:
        self.held.pop(group, None)

    # ---- the core ------------------------------------------------------------------------------------------

    def tick(self, now: float) -> list[Action]:
        """Call every 50 ms or so, and after writes that are to go at once."""
        out: list[OutgoingMessage] = []
        if self.keeps:
            out += self.catch.tick(now)
        for writer in self.held.values():
            out += writer.tick(now)
        if now - self.swept > 1_000.0:
            self.swept = now
            self.shelf.sweep(now)
            for writer in [w for w in self.held.values() if w.group not in self.shelf.lasting]:
                for key in [k for k, e in writer.rows.items() if now - e.born > self.terms.keep]:
                    writer.forget(key)
        return self.settled(now, out)

    def settled(self, now: float, words: list[OutgoingMessage]) -> list[Action]:
        """Words to ourselves are answered here; what the shelf took in is kept before any word goes out."""
        out: list[OutgoingMessage] = []
        while words:
            here, words = [s for s in words if s.to == self.me], [s for s in words if s.to != self.me]
            out += words
            words = []
            for s in here:
                words += self.hear(now, self.me, s.word)
        unkept = self.shelf.take_unkept()
        return [*([Persist(unkept)] if unkept else []), *out]

    def heard(self, now: float, sender: int, word: RecordMessage) -> list[Action]:
        """A word of a known steward."""
        if not self.allowances.take(sender, now):
            self.refused += 1
            return []
        return self.settled(now, self.hear(now, sender, word))

    def hear(self, now: float, sender: int, word: RecordMessage) -> list[OutgoingMessage]:
        match word:
            case Accept() | Prepare():
                if word.group not in self.groups or not self.keeps:
                    self.refused += 1
                    return []
                if word.fence:
                    self.holder(word.group, word.fence, sender)
                answer = self.catch.answer(now, word)
                return [OutgoingMessage(sender, answer)] if answer else []
            case AcceptReply():
                if (w := self.held.get(word.group)) and sender in self.keepers:
                    w.copied(now, sender, word)
            case PrepareReply():
                if sender not in self.keepers:
                    return []
                if self.catch.reads(sender, word):
                    return self.catch.page(now, sender, word)
                if w := self.held.get(word.group):
                    return w.page(now, sender, word)
            case FileAnnouncement():
                if sender in self.keepers:
                    return [OutgoingMessage(sender, self.known(sender, word))]
            case FileAnnouncementReply():
                return self.catch.known(now, sender, word)
        return []

    def holder(self, group: int, fence: int, sender: int) -> None:
        if fence >= self.at.get(group, (0, None))[0]:
            self.at[group] = (fence, sender)

    def known(self, sender: int, word: FileAnnouncement) -> FileAnnouncementReply:
        """What we know of its file. An opening of another life with as high a number was made of the same contents, and
        so was one of a file with fewer writes."""
        count, life, writes = self.peers.get(sender, (0, 0, 0))
        most = max(writes, word.writes)
        if word.round > count or most > writes:
            opened = max(word.round, count)
            self.peers[sender] = (opened, word.life if word.round > count else life, most)
            self.shelf.unkept.peers[sender] = self.peers[sender]
        other = 0 if word.round > count or life == word.life else count
        return FileAnnouncementReply(word.life, other, self.shelf.blank or not self.keeps, most)
