"""Budgets of a fleet as one steward lives them: its rights, its vote, and the office if it holds it. Sans-I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from ..lease.election import LeaderElection, VotedElection
from ..lease.messages import VoteRelease, VoteReply, VoteRequest
from ..lease.voting import Candidate, Voter
from ..rate_limit import PeerRateLimiter
from ..wire.peer_messages import OutgoingMessage
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
    incarnation: int
    created_at_ms: float
    chance: Callable[[], float]
    requests_without_allocator: int = 0  # wants that found no divider to go to
    rejected_count: int = 0  # words of nobody that we know, or too many
    words_per_s: float = 200.0  # taken from one
    shared_election: LeaderElection | None = None

    def __post_init__(self) -> None:
        self.allowances = PeerRateLimiter(self.others, self.words_per_s, self.created_at_ms)
        self.budgets_by_id = {b.id: b for b in self.budgets.values()}
        self.client = QuotaClient(self.incarnation, self.terms, self.created_at_ms)
        self.has_shared_election = self.shared_election is not None
        self.election: LeaderElection = self.shared_election or VotedElection(
            self.me,
            self.others,
            self.voters,
            self.terms,
            self.incarnation,
            self.created_at_ms,
            self.chance,
            self.words_per_s,
        )
        self.allocator = QuotaAllocator(self.terms, self.budgets_by_id, self.incarnation)

    # ---- what is asked in the instant of a use -------------------------------------------------------------

    def available(self, now: float, name: str, subject: int = 0) -> float:
        """How many may begin now; without such a budget, as many as you like."""
        budget = self.budgets.get(name)
        return float("inf") if budget is None else self.client.available(now, budget, subject)

    def acquire(self, now: float, name: str, subject: int = 0, n: int = 1) -> bool:
        budget = self.budgets.get(name)
        return budget is None or self.client.acquire(now, budget, subject, n)

    def record_demand(self, now: float, name: str, subject: int = 0, n: int = 1) -> None:
        if budget := self.budgets.get(name):
            self.client.record_unmet(now, budget, subject, n)

    def set_demand(self, now: float, name: str, n: int, subject: int = 0) -> None:
        """So many would be used within a span, those in use among them: what is missing is wished for, once."""
        budget = self.budgets[name]
        if a := self.client.account(now, budget, subject):
            have = a.count(now, a.uses) + a.count(now, a.unmet)
            if n > have:
                self.client.record_unmet(now, budget, subject, n - have)

    @property
    def candidate(self) -> Candidate:
        """Where the office is held by votes."""
        assert isinstance(self.election, VotedElection)
        return self.election.candidate

    @property
    def voter(self) -> Voter:
        assert isinstance(self.election, VotedElection)
        return self.election.voter

    # ---- the core ------------------------------------------------------------------------------------------

    def is_allocating(self, now: float) -> bool:
        """Whether we divide at this instant. Each new holding of the office begins with empty books."""
        term = self.election.term if self.election.is_leader(now) else None
        if term is None:
            self.allocator.started_at_ms = None
            return False
        if self.allocator.started_at_ms is None or self.allocator.started_at_ms < term[0]:
            self.allocator.incarnation = self.election.epoch
            self.allocator.begin_term(now, term[1])
        return True

    def tick(self, now: float, alive: Iterable[int]) -> list[OutgoingMessage]:
        """Call every 50 ms or so. alive: the stewards reckoned with, by the membership."""
        out: list[OutgoingMessage] = []
        self.is_allocating(now)
        for budget in self.budgets.values():
            if budget.scope == "fleet" and budget.shared_capacity > 0:
                self.client.account(now, budget, 0)
        if not self.has_shared_election:
            out += self.election.tick(now, alive)
            self.is_allocating(now)
        return out + self.request_capacity(now)

    def request_capacity(self, now: float) -> list[OutgoingMessage]:
        out: list[OutgoingMessage] = []
        divider, identity, office = self.election.leader
        for want in self.client.due_requests(now, identity, office):
            if divider is None:
                self.requests_without_allocator += 1
            elif divider != self.me:
                out.append(OutgoingMessage(divider, want))
            elif self.is_allocating(now):
                self.client.on_grant(now, self.allocator.on_request(now, self.me, want))
        return out

    def on_message(self, now: float, sender: int, word: QuotaMessage) -> list[OutgoingMessage]:
        """A word of a known steward."""
        if isinstance(word, VoteRequest | VoteReply | VoteRelease):
            out = self.election.on_message(now, sender, word)
            self.is_allocating(now)
            return out
        if not self.allowances.try_take(sender, now):
            self.rejected_count += 1
            return []
        match word:
            case CapacityRequest():
                if self.is_allocating(now):
                    return [OutgoingMessage(sender, self.allocator.on_request(now, sender, word))]
            case CapacityGrant():
                if self.client.on_grant(now, word):
                    return self.request_capacity(now)
        return []

    def resize(self, now: float, wholes: dict[str, int]) -> None:
        """New sizes by a reload. What was lent beyond a smaller one runs out with its grants, and is not renewed."""
        for name, whole in wholes.items():
            new = replace(self.budgets[name], capacity=whole)
            self.budgets[name] = self.budgets_by_id[new.id] = new

    def leave(self, now: float) -> list[OutgoingMessage]:
        """A planned end: nothing more is asked for, the office is given back."""
        self.client.is_leaving = True
        for a in self.client.accounts.values():
            a.requested_at_ms = float("-inf")
        return [*self.request_capacity(now), *(() if self.has_shared_election else self.election.resign(now))]
