"""A keeper that starts: whether its file is the one that it left, and how one that has lost it gets all back. Pure.

Guards against a file that was put back from a copy, or is new: what it had promised is forgotten, and a majority might
then be one in name only. Could harm a small fleet of which many keepers start at once while others are away: they wait.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..lease.election import OutgoingMessage
from .limits import RecordLimits
from .messages import RECOVERING, Accept, AcceptReply, FileAnnouncement, FileAnnouncementReply, Prepare, PrepareReply
from .replica import Replica

ANSWERS = 1 << 52  # rounds of our fetches begin there, so that they are told from a writer's


@dataclass
class RecoveryProgress:
    """How far one other keeper has told all its groups."""

    group: int = 0  # place in the order of groups
    after: int = -1
    round: int = 0
    asked_at: float = float("-inf")
    blank: bool = False
    done: bool = False


class ReplicaRecovery:
    """opened: of our file, this opening counted. `ready`: we count as a keeper."""

    def __init__(
        self,
        me: int,
        others: tuple[int, ...],
        keepers: tuple[int, ...],
        life: int,
        terms: RecordLimits,
        groups: frozenset[int],
        opened: int,
        shelf: Replica,
    ) -> None:
        self.life, self.terms, self.opened, self.shelf = life, terms, opened, shelf
        self.others = tuple(n for n in keepers if n != me)
        self.groups = sorted(groups)
        self.needed = len(keepers) // 2 + 1
        self.ready = False
        self.answered: dict[int, bool] = {}  # keepers that know of no later life of our file; whether they lost theirs
        self.said_at = float("-inf")
        self.round = ANSWERS
        self.read = {n: RecoveryProgress() for n in self.others}

    def tick(self, now: float) -> list[OutgoingMessage]:
        out: list[OutgoingMessage] = []
        # Said on and on: others are to know how far the file was written, should it ever be put back.
        if now - self.said_at >= (self.terms.again if not self.vouched else self.terms.heartbeat):
            self.said_at = now
            out += [
                OutgoingMessage(n, FileAnnouncement(self.life, self.opened, self.shelf.writes)) for n in self.others
            ]
        if self.ready:
            return out
        if self.shelf.blank:
            for n, r in self.read.items():
                if not r.done and now - r.asked_at >= self.terms.again:
                    out.append(self.fetch(now, n, r))
        self.look()
        return out

    @property
    def vouched(self) -> bool:
        """Whether so many know of no later life of our file that one which counted as a keeper was known to some."""
        remember = sum(not blank for blank in self.answered.values())
        return remember >= self.needed - 1 or len(self.answered) == len(self.others)

    def waits_for(self) -> list[int]:
        """Keepers that have not yet said what lets us count as one."""
        if self.ready:
            return []
        silent = [] if self.vouched else [n for n in self.others if n not in self.answered]
        unread = [n for n, r in self.read.items() if not (r.done or r.blank)] if self.shelf.blank else []
        return sorted({*silent, *unread})

    def look(self) -> None:
        """Ready once enough have answered and, if we had lost all, told all they have.

        A majority of keepers that have theirs is enough, however many others are blank; where no keeper has any, as at
        the very first start, each must have said so.
        """
        if self.shelf.blank:
            whole = sum(r.done and not r.blank for r in self.read.values())
            if whole < self.needed and not all(r.done or r.blank for r in self.read.values()):
                return
        if self.vouched:
            if self.shelf.blank:
                self.shelf.blank, self.shelf.unkept.whole = False, True
            self.ready = True

    def fetch(self, now: float, keeper: int, r: RecoveryProgress) -> OutgoingMessage:
        r.asked_at = now
        if not r.round:
            self.round += 1
            r.round = self.round
        return OutgoingMessage(keeper, Prepare(self.life, r.round, self.groups[r.group], 0, r.after))

    def reads(self, sender: int, word: PrepareReply) -> bool:
        return word.life == self.life and word.round > ANSWERS

    def page(self, now: float, sender: int, word: PrepareReply) -> list[OutgoingMessage]:
        """The answer of another keeper to a fetch of ours."""
        r = self.read.get(sender)
        if r is None or not self.shelf.blank or word.round != r.round or r.done:
            return []
        r.blank = word.what == RECOVERING
        if r.blank:
            return []  # asked again: it may get all back before we do
        group = self.groups[r.group]
        self.shelf.raise_seen(group, word.seen)
        for key, value, age, fence, number in word.rows:
            self.shelf.put(group, key, value, (fence, number), now - age)
        r.round = 0
        if word.more and word.rows:
            r.after = word.rows[-1][0]
        else:
            r.group, r.after = r.group + 1, -1
            r.done = r.group == len(self.groups)
        if r.done:
            self.look()
            return []
        return [self.fetch(now, sender, r)]

    def known(self, now: float, sender: int, word: FileAnnouncementReply) -> list[OutgoingMessage]:
        if word.life != self.life or sender not in self.read or self.ready:
            return []
        if word.round >= self.opened or word.writes > self.shelf.writes:
            if not self.shelf.blank:
                self.shelf.wipe()  # put back from a copy
            self.opened = max(self.opened, word.round + 1)
            self.shelf.writes = max(self.shelf.writes, word.writes)
            self.shelf.unkept.opened = self.opened
            self.answered.clear()
            self.said_at = float("-inf")
        else:
            self.answered[sender] = word.blank
        return self.tick(now)

    def answer(self, now: float, word: Accept | Prepare) -> AcceptReply | PrepareReply | None:
        """The shelf's, once we count. One that only waits for others says nothing: it must not be taken for blank."""
        if not self.ready and not self.shelf.blank:
            return None
        return self.shelf.copy(now, word) if isinstance(word, Accept) else self.shelf.fetch(now, word)
