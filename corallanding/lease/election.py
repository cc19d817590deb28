"""An office of an electorate as one steward lives it: its vote, and the office if it holds it. Sans-I/O.

What rests on it (budgets, tasks) asks `holds` in the instant of an act, and begins anew when `term` has changed.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Protocol

from ..rate_limit import PeerRateLimiter
from .limits import SALT, ElectionTimings
from .messages import ElectionMessage, VoteRelease, VoteReply, VoteRequest
from .voting import Candidate, Voter, electorate


@dataclass(frozen=True)
class OutgoingMessage:
    to: int
    word: Any


class LeaderElection(Protocol):
    """An office of the fleet, whatever holds it: a majority's votes (`Office`), the registry (`RegistryOffice`)."""

    me: int
    others: tuple[int, ...]
    life: int

    def holds(self, now: float) -> bool:
        """Asked in the instant of an act."""
        ...

    @property
    def term(self) -> tuple[float, int] | None:
        """When the office that is held began, and the least number by which others can name it; None without it. Good
        right after `holds`."""
        ...

    @property
    def identity(self) -> int:
        """By what others name the one who holds it, while we do."""
        ...

    @property
    def holder(self) -> tuple[int | None, int, int]:
        """Who holds it as far as we heard, its identity, and the number by which it may be named."""
        ...

    def base(self, wall: float) -> int:
        """The fence above which a new dealer begins. wall: ms of the wall clock."""
        ...

    @property
    def ceiling(self) -> int:
        """The highest fence that may be given out now."""
        ...

    def tell(self, top: int) -> None:
        """How far the dealer would like to go."""
        ...

    @property
    def refused(self) -> int: ...

    def tick(self, now: float, alive: Iterable[int]) -> list[OutgoingMessage]: ...

    def heard(self, now: float, sender: int, word: ElectionMessage) -> list[OutgoingMessage]: ...

    def leave(self, now: float) -> list[OutgoingMessage]: ...


class VotedElection:
    """me, others, voters: numbers. life: drawn at the start. All times in ms by one clock."""

    def __init__(
        self,
        me: int,
        others: tuple[int, ...],
        voters: tuple[int, ...],
        terms: ElectionTimings,
        life: int,
        born: float,
        chance: Callable[[], float],
        words_per_s: float = 200.0,
    ) -> None:
        self.me, self.others, self.voters, self.terms, self.life = me, others, voters, terms, life
        self.voter = Voter(terms, born, electorate(voters))
        self.candidate = Candidate(me, life, voters, terms, chance, born)
        self.allowances = PeerRateLimiter(others, words_per_s, born)
        self.dropped = 0  # words of nobody that we know, or too many

    # ---- what is asked in the instant of an act ------------------------------------------------------------

    def holds(self, now: float) -> bool:
        return self.candidate.holds(now)

    @property
    def term(self) -> tuple[float, int] | None:
        """When the office that is held began, and the round of the first word that can say so; None without it. Good
        right after `holds`."""
        c = self.candidate
        return None if c.since is None else (c.since, c.round + 1)

    @property
    def identity(self) -> int:
        return self.life

    @property
    def holder(self) -> tuple[int | None, int, int]:
        """Who holds it as far as we heard, its life, and the round in which it said so."""
        return self.candidate.holder, *self.candidate.office

    def base(self, wall: float) -> int:
        return max(self.candidate.known, self.voter.top, int(wall) << SALT)

    @property
    def ceiling(self) -> int:
        return self.candidate.kept

    def tell(self, top: int) -> None:
        """In our words to the voters: at least what we know of others."""
        self.candidate.top = max(self.candidate.top, self.candidate.known, self.voter.top, top)

    @property
    def refused(self) -> int:
        return self.dropped + self.voter.refused

    # ---- the core ------------------------------------------------------------------------------------------

    def tick(self, now: float, alive: Iterable[int]) -> list[OutgoingMessage]:
        """Call every 50 ms or so. alive: the stewards reckoned with, by the membership."""
        known = {self.me, *alive}
        able = [v for v in self.voters if v in known]
        rank = able.index(self.me) if self.me in able else len(able)
        word = self.candidate.tick(now, rank)
        return self.to_all(now, word) if word else []

    def to_all(self, now: float, word: VoteRequest | VoteRelease) -> list[OutgoingMessage]:
        if self.me in self.voters:
            if isinstance(word, VoteRequest):
                self.candidate.voted(now, self.me, self.voter.asked(now, self.me, word))
            else:
                self.voter.quit(self.me, word)
        return [OutgoingMessage(n, word) for n in self.others]

    def heard(self, now: float, sender: int, word: ElectionMessage) -> list[OutgoingMessage]:
        """A word of a known steward."""
        if not self.allowances.take(sender, now):
            self.dropped += 1
            return []
        match word:
            case VoteRequest():
                self.candidate.said(now, sender, word)
                if self.me in self.voters and sender in self.voters:
                    return [OutgoingMessage(sender, self.voter.asked(now, sender, word))]
            case VoteReply():
                self.candidate.voted(now, sender, word)
            case VoteRelease():
                self.voter.quit(sender, word)
        return []

    def leave(self, now: float) -> list[OutgoingMessage]:
        """A planned end: the office is given back."""
        return self.to_all(now, self.candidate.leave())
