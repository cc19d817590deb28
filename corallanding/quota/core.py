"""Quotas of one controller: its client, its vote in the election, and the allocator while it leads. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from ..lease.election import LeaderElection, VotedElection
from ..lease.messages import VoteRelease, VoteReply, VoteRequest
from ..rate_limit import PeerRateLimiter
from ..wire.peer_messages import OutgoingMessage
from .limits import Budget, BudgetScope, QuotaLimits
from .messages import CapacityGrant, CapacityRequest, QuotaMessage
from .quota_allocator import QuotaAllocator
from .quota_client import QuotaClient

NEVER = float("-inf")


@dataclass
class QuotaManager:
    """The quotas of one controller. All times in ms by one clock.

    me, others, voters: numbers of controllers. budgets: by name, as configured. incarnation: drawn at the start.
    shared_election: a leader election on which others rest too; whoever made it ticks it and hands it its messages.
    Without one, this class holds an election of its own.
    """

    me: int
    others: tuple[int, ...]
    voters: tuple[int, ...]
    budgets: dict[str, Budget]
    limits: QuotaLimits
    incarnation: int
    created_at_ms: float
    chance: Callable[[], float]
    rejected_count: int = 0  # messages of unknown senders, or beyond a sender's rate
    words_per_s: float = 200.0  # taken from one sender
    shared_election: LeaderElection | None = None

    def __post_init__(self) -> None:
        self.rate_limiter = PeerRateLimiter(self.others, self.words_per_s, self.created_at_ms)
        self.budgets_by_id = {budget.id: budget for budget in self.budgets.values()}
        self.client = QuotaClient(self.incarnation, self.limits, self.created_at_ms)
        self.has_shared_election = self.shared_election is not None
        self.election: LeaderElection = self.shared_election or VotedElection(
            self.me,
            self.others,
            self.voters,
            self.limits,
            self.incarnation,
            self.created_at_ms,
            self.chance,
            self.words_per_s,
        )
        self.allocator = QuotaAllocator(self.limits, self.budgets_by_id, self.incarnation)

    # ---- asked at the instant of a use ---------------------------------------------------------------------

    def available(self, now: float, name: str, subject: int = 0) -> float:
        """How many units may be acquired now; infinity if there is no such budget."""
        budget = self.budgets.get(name)
        return float("inf") if budget is None else self.client.available(now, budget, subject)

    def acquire(self, now: float, name: str, subject: int = 0, count: int = 1) -> bool:
        """Acquire units if so many are available; always true if there is no such budget."""
        budget = self.budgets.get(name)
        return budget is None or self.client.acquire(now, budget, subject, count)

    def record_demand(self, now: float, name: str, subject: int = 0, count: int = 1) -> None:
        """Count units that would be used, so that they are requested."""
        if budget := self.budgets.get(name):
            self.client.record_unmet(now, budget, subject, count)

    def set_demand(self, now: float, name: str, count: int, subject: int = 0) -> None:
        """State how many units would be in use at once; what is not in use or requested yet is added to the demand."""
        budget = self.budgets[name]
        if account := self.client.account(now, budget, subject):
            known = account.uses.count(now) + account.unmet.count(now)
            if count > known:
                self.client.record_unmet(now, budget, subject, count - known)

    # ---- time and messages ---------------------------------------------------------------------------------

    def is_allocating(self, now: float) -> bool:
        """Whether this controller allocates at this instant. Each new term begins with empty ledgers."""
        term = self.election.term if self.election.is_leader(now) else None
        if term is None:
            self.allocator.started_at_ms = None
            return False
        began_at_ms, first_round = term
        if self.allocator.started_at_ms is None or self.allocator.started_at_ms < began_at_ms:
            self.allocator.incarnation = self.election.epoch
            self.allocator.begin_term(now, first_round)
        return True

    def tick(self, now: float, alive: Iterable[int]) -> list[OutgoingMessage]:
        """Messages that are due; called every 50 ms or so. alive: controllers that the membership counts on."""
        messages: list[OutgoingMessage] = []
        self.is_allocating(now)
        for budget in self.budgets.values():
            if budget.scope == BudgetScope.FLEET and budget.shared_capacity > 0:
                self.client.account(now, budget, 0)
        if not self.has_shared_election:
            messages += self.election.tick(now, alive)
            self.is_allocating(now)
        return messages + self.request_capacity(now)

    def request_capacity(self, now: float) -> list[OutgoingMessage]:
        """Requests that are due, to the leader; those to this controller itself are answered here."""
        messages: list[OutgoingMessage] = []
        leader, epoch, first_round = self.election.leader
        for request in self.client.due_requests(now, epoch, first_round):
            if leader is None:
                continue  # the client asks again
            if leader != self.me:
                messages.append(OutgoingMessage(leader, request))
            elif self.is_allocating(now):
                self.client.on_grant(now, self.allocator.on_request(now, self.me, request))
        return messages

    def on_message(self, now: float, sender: int, message: QuotaMessage) -> list[OutgoingMessage]:
        """Take a message of a known controller, and return the answers."""
        if isinstance(message, VoteRequest | VoteReply | VoteRelease):
            answers = self.election.on_message(now, sender, message)
            self.is_allocating(now)
            return answers
        if not self.rate_limiter.try_take(sender, now):
            self.rejected_count += 1
            return []
        match message:
            case CapacityRequest():
                if self.is_allocating(now):
                    return [OutgoingMessage(sender, self.allocator.on_request(now, sender, message))]
            case CapacityGrant():
                if self.client.on_grant(now, message):
                    return self.request_capacity(now)
        return []

    def resize(self, capacities: dict[str, int]) -> None:
        """Set new capacities. What is granted beyond a smaller one expires and is not renewed."""
        for name, capacity in capacities.items():
            budget = replace(self.budgets[name], capacity=capacity)
            self.budgets[name] = budget
            self.budgets_by_id[budget.id] = budget

    def leave(self, now: float) -> list[OutgoingMessage]:
        """Messages of a graceful shutdown: capacity and leadership are released."""
        self.client.is_leaving = True
        for account in self.client.accounts.values():
            account.requested_at_ms = NEVER
        released = self.request_capacity(now)
        return released if self.has_shared_election else [*released, *self.election.resign(now)]
