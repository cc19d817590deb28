"""One at a time in office: held by the votes of a majority, each lent for a while. No log, no disk.

A voter that starts promises nothing for as long as a vote of its former life may be good. So two hold it at once only
if a clock is off by more than the stated drift.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from .limits import ElectionTimings
from .messages import VoteRelease, VoteReply, VoteRequest


def electorate(voters: Collection[int]) -> int:
    return zlib.crc32(",".join(str(v) for v in sorted(voters)).encode())


@dataclass
class Voter:
    """born: when this process started, by its clock."""

    terms: ElectionTimings
    born: float
    electorate: int
    to: tuple[int, int] | None = None  # candidate and its life
    until: float = 0.0
    round: int = -1  # the last that was voted for
    idle: dict[int, float] = field(default_factory=dict)  # candidate: since when it has had votes and no office
    refused: int = 0
    top: int = 0  # the highest that a candidate told

    def asked(self, now: float, candidate: int, word: VoteRequest) -> VoteReply:
        who = (candidate, word.life)
        if word.electorate != self.electorate:
            self.refused += 1
            return VoteReply(word.life, word.round, False)
        self.top = max(self.top, word.top)
        if now < self.born + self.terms.theirs(self.terms.office):
            return VoteReply(word.life, word.round, False)
        if who != self.to and self.to is not None and now < self.until:
            return VoteReply(word.life, word.round, False)
        if who == self.to and word.round <= self.round:
            return VoteReply(word.life, word.round, False)  # an old or repeated word: its vote was given, or taken back
        if word.holds:
            self.idle.pop(candidate, None)
        else:
            # One whose votes do not reach it would keep all others from the office for good.
            since = self.idle.setdefault(candidate, now)
            if now - since > 2 * self.terms.office:
                if now - since > 4 * self.terms.office:
                    del self.idle[candidate]
                return VoteReply(word.life, word.round, False)
        self.to, self.round, self.until = who, word.round, now + self.terms.theirs(self.terms.office)
        return VoteReply(word.life, word.round, True, self.top)

    def quit(self, candidate: int, word: VoteRelease) -> None:
        """Its votes are given back. A quit that comes late, behind a newer round, frees nothing."""
        if self.to == (candidate, word.life) and word.round >= self.round:
            self.until, self.round = 0.0, word.round


@dataclass
class Candidate:
    """One that may hold the office. `tick`, `give_up` and `leave` return words for the voters."""

    me: int
    life: int
    voters: tuple[int, ...]
    terms: ElectionTimings
    chance: Callable[[], float]
    born: float
    round: int = 0
    asked: dict[int, float] = field(default_factory=dict)  # round: when it was asked
    votes: dict[int, float] = field(default_factory=dict)  # voter: until when its vote is surely good
    top: int = 0  # what our words tell as such, and what votes have told
    told: dict[int, int] = field(default_factory=dict)  # voter: the highest of our tops that it surely knows
    known: int = 0
    tops: dict[int, int] = field(default_factory=dict)  # round: the top that it told
    since: float | None = None  # when the office that is held now began
    standing: float | None = None  # since when it stands without the office
    heard_at: float = 0.0  # when another was last heard to hold it
    holder: int | None = None  # who that was, or ourselves
    office: tuple[int, int] = (0, 0)  # its life, and the round in which it said so
    next_at: float = 0.0
    back_off: float = 0.0

    def __post_init__(self) -> None:
        self.heard_at = self.born

    @property
    def needed(self) -> int:
        return len(self.voters) // 2 + 1

    @property
    def kept(self) -> int:
        """The top that a majority knows: whoever comes into office after us will hear of it."""
        told = sorted((self.told.get(v, 0) for v in self.voters), reverse=True)
        return told[self.needed - 1]

    def until(self) -> float:
        """Till when a majority's votes are surely good: asked at every use, with the time of that instant."""
        good = sorted(self.votes.values(), reverse=True)
        return good[self.needed - 1] if len(good) >= self.needed else float("-inf")

    def holds(self, now: float) -> bool:
        held = now < self.until()
        if not held:
            self.since = None
        elif self.since is None:
            self.since, self.standing, self.holder = now, None, self.me
            self.office, self.next_at = (self.life, self.round + 1), now  # said at once
        return held

    def voted(self, now: float, voter: int, word: VoteReply) -> None:
        asked = self.asked.get(word.round)
        if word.life != self.life or not word.given or asked is None or voter not in self.voters:
            return
        self.holds(now)  # an office that lapsed while nobody asked begins anew: another may have held it
        good = asked + self.terms.mine(self.terms.office)
        self.votes[voter] = max(self.votes.get(voter, good), good)
        self.known = max(self.known, word.top)
        self.told[voter] = max(self.told.get(voter, 0), self.tops.get(word.round, 0))
        self.holds(now)

    def said(self, now: float, sender: int, word: VoteRequest) -> None:
        """Another stands, or holds the office."""
        if word.holds:
            if self.office[0] != word.life or self.office[1] < word.round:
                self.office = (word.life, word.round)
            self.heard_at, self.holder = now, sender

    def tick(self, now: float, rank: int) -> VoteRequest | VoteRelease | None:
        """The word for all, if one is due. rank: how many able voters come before us."""
        if self.me not in self.voters or now < self.next_at:
            return None
        holds = self.holds(now)
        self.next_at = now + self.terms.office / 4.0
        self.asked = {r: t for r, t in self.asked.items() if now - t < self.terms.office}
        if not holds:
            quiet = now - self.heard_at
            if quiet < self.terms.office * (1.0 + 0.5 * rank) or now < self.back_off:
                self.standing = None
                return None
            self.standing = now if self.standing is None else self.standing
            if now - self.standing > self.terms.office:
                # Votes are split, or do not come back: let another try.
                self.standing = None
                self.back_off = now + self.terms.office * (1.0 + self.chance() * len(self.voters))
                return self.give_up()
        self.round += 1
        self.asked[self.round], self.tops[self.round] = now, self.top
        self.tops = {r: top for r, top in self.tops.items() if r in self.asked}
        return VoteRequest(self.life, self.round, holds, electorate(self.voters), self.top)

    def give_up(self) -> VoteRelease:
        """Votes that are still on their way count for nothing: who cast them is free to vote for another."""
        self.votes.clear()
        self.asked.clear()
        self.since = None
        return VoteRelease(self.life, self.round)

    def leave(self) -> VoteRelease:
        self.back_off = float("inf")
        return self.give_up()
