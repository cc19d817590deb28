"""Budgets of a fleet as one steward lives them: its rights, its vote, and the office if it holds it. Sans-I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from ..allowance import Allowance
from .divider import Divider
from .holder import Holder
from .terms import Budget, Terms
from .vote import Candidate, Voter, electorate
from .words import Give, Quit, Stand, Vote, Want, Words


@dataclass(frozen=True)
class Send:
    to: int
    word: Words


@dataclass
class Quota:
    """me, others, voters: numbers. life: drawn at the start. budgets: as configured. All times in ms by one clock."""

    me: int
    others: tuple[int, ...]
    voters: tuple[int, ...]
    budgets: dict[str, Budget]
    terms: Terms
    life: int
    born: float
    chance: Callable[[], float]
    alone: int = 0  # wants that found no divider to go to
    refused: int = 0  # words of nobody that we know, or too many
    words_per_s: float = 200.0  # taken from one

    def __post_init__(self) -> None:
        self.allowances = {n: Allowance(self.words_per_s, self.words_per_s, self.born) for n in self.others}
        self.ids = {b.id: b for b in self.budgets.values()}
        self.holder = Holder(self.life, self.terms, self.born)
        self.voter = Voter(self.terms, self.born, electorate(self.voters))
        self.candidate = Candidate(self.me, self.life, self.voters, self.terms, self.chance, self.born)
        self.divider = Divider(self.terms, self.ids, self.life)

    # ---- what is asked in the instant of a use -------------------------------------------------------------

    def free(self, now: float, name: str, subject: int = 0) -> float:
        """How many may begin now; without such a budget, as many as you like."""
        budget = self.budgets.get(name)
        return float("inf") if budget is None else self.holder.free(now, budget, subject)

    def take(self, now: float, name: str, subject: int = 0, n: int = 1) -> bool:
        budget = self.budgets.get(name)
        return budget is None or self.holder.take(now, budget, subject, n)

    def wish(self, now: float, name: str, subject: int = 0, n: int = 1) -> None:
        if budget := self.budgets.get(name):
            self.holder.miss(now, budget, subject, n)

    # ---- the core ------------------------------------------------------------------------------------------

    def office(self, now: float) -> bool:
        """Whether we divide at this instant. Each new holding of the office begins with empty books."""
        if not self.candidate.holds(now):
            self.divider.since = None
            return False
        if self.divider.since is None or self.divider.since < (self.candidate.since or now):
            self.divider.begin(now, self.candidate.round + 1)
        return True

    def tick(self, now: float, alive: Iterable[int]) -> list[Send]:
        """Call every 50 ms or so. alive: the stewards reckoned with, by the membership."""
        known = {self.me, *alive}
        able = [v for v in self.voters if v in known]
        rank = able.index(self.me) if self.me in able else len(able)
        out: list[Send] = []
        self.office(now)
        for budget in self.budgets.values():
            if budget.per == "fleet" and budget.pool > 0:
                self.holder.account(now, budget, 0)
        if word := self.candidate.tick(now, rank):
            out += self.to_all(now, word)
        return out + self.ask(now)

    def ask(self, now: float) -> list[Send]:
        out: list[Send] = []
        divider = self.candidate.holder
        for want in self.holder.ask(now, *self.candidate.office):
            if divider is None:
                self.alone += 1
            elif divider != self.me:
                out.append(Send(divider, want))
            elif self.office(now):
                self.holder.given(now, self.divider.asked(now, self.me, want))
        return out

    def to_all(self, now: float, word: Stand | Quit) -> list[Send]:
        if self.me in self.voters:
            if isinstance(word, Stand):
                self.candidate.voted(now, self.me, self.voter.asked(now, self.me, word))
                self.office(now)
            else:
                self.voter.quit(self.me, word)
        return [Send(n, word) for n in self.others]

    def heard(self, now: float, sender: int, word: Words) -> list[Send]:
        """A word of a known steward."""
        may = self.allowances.get(sender)
        if may is None or not may.take(now):
            self.refused += 1
            return []
        match word:
            case Stand():
                self.candidate.said(now, sender, word)
                if self.me in self.voters and sender in self.voters:
                    return [Send(sender, self.voter.asked(now, sender, word))]
            case Vote():
                self.candidate.voted(now, sender, word)
                self.office(now)
            case Quit():
                self.voter.quit(sender, word)
            case Want():
                if self.office(now):
                    return [Send(sender, self.divider.asked(now, sender, word))]
            case Give():
                if self.holder.given(now, word):
                    return self.ask(now)
        return []

    def retune(self, now: float, wholes: dict[str, int]) -> None:
        """New sizes by a reload. What was lent beyond a smaller one runs out with its grants, and is not renewed."""
        for name, whole in wholes.items():
            new = replace(self.budgets[name], whole=whole)
            self.budgets[name] = self.ids[new.id] = new

    def leave(self, now: float) -> list[Send]:
        """A planned end: nothing more is asked for, the office is given back."""
        self.holder.leaving = True
        for a in self.holder.accounts.values():
            a.asked_at = float("-inf")
        return [*self.ask(now), *self.to_all(now, self.candidate.leave())]
