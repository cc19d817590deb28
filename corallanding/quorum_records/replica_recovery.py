"""A keeper that starts: whether its file is the one that it left, and how one that has lost it gets all back. Pure.

Guards against a file that was put back from a copy, or is new: what it had promised is forgotten, and a majority might
then be one in name only. Could harm a small fleet of which many keepers start at once while others are away: they wait.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..wire.peer_messages import OutgoingMessage
from .limits import RecordLimits
from .messages import RECOVERING, Accept, AcceptReply, FileAnnouncement, FileAnnouncementReply, Prepare, PrepareReply
from .replica import Replica

ANSWERS = 1 << 52  # rounds of our fetches begin there, so that they are told from a writer's


@dataclass
class RecoveryProgress:
    """How far one other keeper has told all its groups."""

    group_index: int = 0  # place in the order of groups
    after_key: int = -1
    round: int = 0
    asked_at_ms: float = float("-inf")
    is_recovering: bool = False
    is_done: bool = False


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
        self.incarnation, self.limits, self.open_count, self.replica = life, terms, opened, shelf
        self.others = tuple(n for n in keepers if n != me)
        self.groups = sorted(groups)
        self.quorum_size = len(keepers) // 2 + 1
        self.is_ready = False
        self.answers: dict[int, bool] = {}  # keepers that know of no later life of our file; whether they lost theirs
        self.announced_at_ms = float("-inf")
        self.round = ANSWERS
        self.progress = {n: RecoveryProgress() for n in self.others}

    def tick(self, now: float) -> list[OutgoingMessage]:
        out: list[OutgoingMessage] = []
        # Said on and on: others are to know how far the file was written, should it ever be put back.
        if now - self.announced_at_ms >= (
            self.limits.retry_ms if not self.is_file_confirmed else self.limits.announce_interval_ms
        ):
            self.announced_at_ms = now
            out += [
                OutgoingMessage(n, FileAnnouncement(self.incarnation, self.open_count, self.replica.write_count))
                for n in self.others
            ]
        if self.is_ready:
            return out
        if self.replica.is_recovering:
            for n, r in self.progress.items():
                if not r.is_done and now - r.asked_at_ms >= self.limits.retry_ms:
                    out.append(self.prepare(now, n, r))
        self.update_readiness()
        return out

    @property
    def is_file_confirmed(self) -> bool:
        """Whether so many know of no later life of our file that one which counted as a keeper was known to some."""
        remember = sum(not blank for blank in self.answers.values())
        return remember >= self.quorum_size - 1 or len(self.answers) == len(self.others)

    def awaited_replicas(self) -> list[int]:
        """Keepers that have not yet said what lets us count as one."""
        if self.is_ready:
            return []
        silent = [] if self.is_file_confirmed else [n for n in self.others if n not in self.answers]
        unread = (
            [n for n, r in self.progress.items() if not (r.is_done or r.is_recovering)]
            if self.replica.is_recovering
            else []
        )
        return sorted({*silent, *unread})

    def update_readiness(self) -> None:
        """Ready once enough have answered and, if we had lost all, told all they have.

        A majority of keepers that have theirs is enough, however many others are blank; where no keeper has any, as at
        the very first start, each must have said so.
        """
        if self.replica.is_recovering:
            whole = sum(r.is_done and not r.is_recovering for r in self.progress.values())
            if whole < self.quorum_size and not all(r.is_done or r.is_recovering for r in self.progress.values()):
                return
        if self.is_file_confirmed:
            if self.replica.is_recovering:
                self.replica.is_recovering, self.replica.unsaved.is_recovered = False, True
            self.is_ready = True

    def prepare(self, now: float, keeper: int, r: RecoveryProgress) -> OutgoingMessage:
        r.asked_at_ms = now
        if not r.round:
            self.round += 1
            r.round = self.round
        return OutgoingMessage(keeper, Prepare(self.incarnation, r.round, self.groups[r.group_index], 0, r.after_key))

    def is_recovery_reply(self, sender: int, word: PrepareReply) -> bool:
        return word.incarnation == self.incarnation and word.round > ANSWERS

    def on_prepare_reply(self, now: float, sender: int, word: PrepareReply) -> list[OutgoingMessage]:
        """The answer of another keeper to a fetch of ours."""
        r = self.progress.get(sender)
        if r is None or not self.replica.is_recovering or word.round != r.round or r.is_done:
            return []
        r.is_recovering = word.status == RECOVERING
        if r.is_recovering:
            return []  # asked again: it may get all back before we do
        group = self.groups[r.group_index]
        self.replica.raise_token(group, word.highest_token)
        for key, value, age, fence, number in word.rows:
            self.replica.put(group, key, value, (fence, number), now - age)
        r.round = 0
        if word.has_more and word.rows:
            r.after_key = word.rows[-1][0]
        else:
            r.group_index, r.after_key = r.group_index + 1, -1
            r.is_done = r.group_index == len(self.groups)
        if r.is_done:
            self.update_readiness()
            return []
        return [self.prepare(now, sender, r)]

    def on_announcement_reply(self, now: float, sender: int, word: FileAnnouncementReply) -> list[OutgoingMessage]:
        if word.incarnation != self.incarnation or sender not in self.progress or self.is_ready:
            return []
        if word.round >= self.open_count or word.write_count > self.replica.write_count:
            if not self.replica.is_recovering:
                self.replica.wipe()  # put back from a copy
            self.open_count = max(self.open_count, word.round + 1)
            self.replica.write_count = max(self.replica.write_count, word.write_count)
            self.replica.unsaved.open_count = self.open_count
            self.answers.clear()
            self.announced_at_ms = float("-inf")
        else:
            self.answers[sender] = word.is_recovering
        return self.tick(now)

    def reply_to(self, now: float, word: Accept | Prepare) -> AcceptReply | PrepareReply | None:
        """The shelf's, once we count. One that only waits for others says nothing: it must not be taken for blank."""
        if not self.is_ready and not self.replica.is_recovering:
            return None
        return self.replica.on_accept(now, word) if isinstance(word, Accept) else self.replica.on_prepare(now, word)
