"""Budgets of a fleet as one steward lives them: its rights, its vote, and the office if it holds it. Sans-I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from ..lease.election import LeaderElection, OutgoingMessage, VotedElection
from ..lease.messages import VoteRelease, VoteReply, VoteRequest
from ..lease.voting import Candidate, Voter
from ..rate_limit import PeerRateLimiter
from .limits import Budget, QuotaLimits
from .messages import CapacityGrant, CapacityRequest, QuotaMessage
from .quota_allocator import QuotaAllocator
from .quota_client import QuotaClient


@dataclass
class QuotaManager:
    """me, others, voters: numbers. life: drawn at the start. budgets: as configured. All times in ms by one clock.

    chair: the office, where others rest on it too; whoever made it then ticks it and hears its words.
    """

    me: int
    others: tuple[int, ...]
    voters: tuple[int, ...]
    budgets: dict[str, Budget]
    terms: QuotaLimits
    life: int
    born: float
    chance: Callable[[], float]
    alone: int = 0  # wants that found no divider to go to
    refused: int = 0  # words of nobody that we know, or too many
    words_per_s: float = 200.0  # taken from one
    chair: LeaderElection | None = None

    def __post_init__(self) -> None:
        self.allowances = PeerRateLimiter(self.others, self.words_per_s, self.born)
        self.ids = {b.id: b for b in self.budgets.values()}
        self.holder = QuotaClient(self.life, self.terms, self.born)
        self.shared = self.chair is not None
        self.desk: LeaderElection = self.chair or VotedElection(
            self.me, self.others, self.voters, self.terms, self.life, self.born, self.chance, self.words_per_s
        )
        self.divider = QuotaAllocator(self.terms, self.ids, self.life)

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

    def aim(self, now: float, name: str, n: int, subject: int = 0) -> None:
        """So many would be used within a span, those in use among them: what is missing is wished for, once."""
        budget = self.budgets[name]
        if a := self.holder.account(now, budget, subject):
            have = a.count(now, a.uses) + a.count(now, a.missed)
            if n > have:
                self.holder.miss(now, budget, subject, n - have)

    @property
    def candidate(self) -> Candidate:
        """Where the office is held by votes."""
        assert isinstance(self.desk, VotedElection)
        return self.desk.candidate

    @property
    def voter(self) -> Voter:
        assert isinstance(self.desk, VotedElection)
        return self.desk.voter

    # ---- the core ------------------------------------------------------------------------------------------

    def office(self, now: float) -> bool:
        """Whether we divide at this instant. Each new holding of the office begins with empty books."""
        term = self.desk.term if self.desk.holds(now) else None
        if term is None:
            self.divider.since = None
            return False
        if self.divider.since is None or self.divider.since < term[0]:
            self.divider.life = self.desk.identity
            self.divider.begin(now, term[1])
        return True

    def tick(self, now: float, alive: Iterable[int]) -> list[OutgoingMessage]:
        """Call every 50 ms or so. alive: the stewards reckoned with, by the membership."""
        out: list[OutgoingMessage] = []
        self.office(now)
        for budget in self.budgets.values():
            if budget.per == "fleet" and budget.pool > 0:
                self.holder.account(now, budget, 0)
        if not self.shared:
            out += self.desk.tick(now, alive)
            self.office(now)
        return out + self.ask(now)

    def ask(self, now: float) -> list[OutgoingMessage]:
        out: list[OutgoingMessage] = []
        divider, identity, office = self.desk.holder
        for want in self.holder.ask(now, identity, office):
            if divider is None:
                self.alone += 1
            elif divider != self.me:
                out.append(OutgoingMessage(divider, want))
            elif self.office(now):
                self.holder.given(now, self.divider.asked(now, self.me, want))
        return out

    def heard(self, now: float, sender: int, word: QuotaMessage) -> list[OutgoingMessage]:
        """A word of a known steward."""
        if isinstance(word, VoteRequest | VoteReply | VoteRelease):
            out = self.desk.heard(now, sender, word)
            self.office(now)
            return out
        if not self.allowances.take(sender, now):
            self.refused += 1
            return []
        match word:
            case CapacityRequest():
                if self.office(now):
                    return [OutgoingMessage(sender, self.divider.asked(now, sender, word))]
            case CapacityGrant():
                if self.holder.given(now, word):
                    return self.ask(now)
        return []

    def retune(self, now: float, wholes: dict[str, int]) -> None:
        """New sizes by a reload. What was lent beyond a smaller one runs out with its grants, and is not renewed."""
        for name, whole in wholes.items():
            new = replace(self.budgets[name], whole=whole)
            self.budgets[name] = self.ids[new.id] = new

    def leave(self, now: float) -> list[OutgoingMessage]:
        """A planned end: nothing more is asked for, the office is given back."""
        self.holder.leaving = True
        for a in self.holder.accounts.values():
            a.asked_at = float("-inf")
        return [*self.ask(now), *(() if self.shared else self.desk.leave(now))]
