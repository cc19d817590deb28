"""Quotas of one controller: its client, its part in the leader election, and the allocator while it leads. No I/O."""

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
    """The quotas of one controller. All times are in ms on its clock.

    controller_id, peer_ids, voters: numbers of controllers. budgets: by name, as configured. incarnation: drawn at
    random at start. random_fraction: returns a random number from 0 to 1.
    shared_election: a leader election that other components use too; its creator ticks it and passes it its messages.
    If None, this class runs an election of its own.
    """

    controller_id: int
    peer_ids: tuple[int, ...]
    voters: tuple[int, ...]
    budgets: dict[str, Budget]
    limits: QuotaLimits
    incarnation: int
    created_at_ms: float
    random_fraction: Callable[[], float]
    rejected_count: int = 0  # messages of unknown senders, and those over a sender's rate
    words_per_s: float = 200.0  # messages accepted from one sender
    shared_election: LeaderElection | None = None

    def __post_init__(self) -> None:
        self.rate_limiter = PeerRateLimiter(self.peer_ids, self.words_per_s, self.created_at_ms)
        self.budgets_by_id = {budget.id: budget for budget in self.budgets.values()}
        self.client = QuotaClient(self.incarnation, self.limits, self.created_at_ms)
        self.has_shared_election = self.shared_election is not None
        self.election: LeaderElection = self.shared_election or VotedElection(
            self.controller_id,
            self.peer_ids,
            self.voters,
            self.limits,
            self.incarnation,
            self.created_at_ms,
            self.random_fraction,
            self.words_per_s,
        )
        self.allocator = QuotaAllocator(self.limits, self.budgets_by_id, self.incarnation)

    # ---- acquiring units -----------------------------------------------------------------------------------

    def available(self, now_ms: float, name: str, subject: int = 0) -> float:
        """Return how many units may be acquired now; infinity if there is no such budget."""
        budget = self.budgets.get(name)
        return float("inf") if budget is None else self.client.available(now_ms, budget, subject)

    def acquire(self, now_ms: float, name: str, subject: int = 0, count: int = 1) -> bool:
        """Acquire `count` units and return true, if so many are available; always true if there is no such budget."""
        budget = self.budgets.get(name)
        return budget is None or self.client.acquire(now_ms, budget, subject, count)

    def record_demand(self, now_ms: float, name: str, subject: int = 0, count: int = 1) -> None:
        """Add units to the demand without acquiring them, so that they are requested."""
        if budget := self.budgets.get(name):
            self.client.record_unmet(now_ms, budget, subject, count)

    def set_demand(self, now_ms: float, name: str, count: int, subject: int = 0) -> None:
        """Raise the demand to `count` units in use at once; units in use and unmet demand count towards it."""
        budget = self.budgets[name]
        if account := self.client.account(now_ms, budget, subject):
            known = account.uses.count(now_ms) + account.unmet.count(now_ms)
            if count > known:
                self.client.record_unmet(now_ms, budget, subject, count - known)

    # ---- time and messages ---------------------------------------------------------------------------------

    def is_allocating(self, now_ms: float) -> bool:
        """Return whether this controller allocates at this instant. Each new term begins with empty ledgers."""
        term = self.election.term if self.election.is_leader(now_ms) else None
        if term is None:
            self.allocator.started_at_ms = None
            return False
        leader_since_ms, first_round = term
        if self.allocator.started_at_ms is None or self.allocator.started_at_ms < leader_since_ms:
            self.allocator.incarnation = self.election.epoch
            self.allocator.begin_term(now_ms, first_round)
        return True

    def tick(self, now_ms: float, alive: Iterable[int]) -> list[OutgoingMessage]:
        """Return messages that are due. Call it every 50 ms. alive: controllers that the membership has as alive."""
        messages: list[OutgoingMessage] = []
        self.is_allocating(now_ms)
        for budget in self.budgets.values():
            if budget.scope == BudgetScope.FLEET and budget.shared_capacity > 0:
                self.client.account(now_ms, budget, 0)
        if not self.has_shared_election:
            messages += self.election.tick(now_ms, alive)
            self.is_allocating(now_ms)
        return messages + self.request_capacity(now_ms)

    def request_capacity(self, now_ms: float) -> list[OutgoingMessage]:
        """Return requests to the leader that are due; if this controller leads, it answers them itself."""
        messages: list[OutgoingMessage] = []
        leader, epoch, first_round = self.election.leader
        for request in self.client.due_requests(now_ms, epoch, first_round):
            if leader is None:
                continue  # the client requests again later
            if leader != self.controller_id:
                messages.append(OutgoingMessage(leader, request))
            elif self.is_allocating(now_ms):
                self.client.on_grant(now_ms, self.allocator.on_request(now_ms, self.controller_id, request))
        return messages

    def on_message(self, now_ms: float, sender: int, message: QuotaMessage) -> list[OutgoingMessage]:
        """Handle a message of another controller, and return the answers."""
        if isinstance(message, VoteRequest | VoteReply | VoteRelease):
            answers = self.election.on_message(now_ms, sender, message)
            self.is_allocating(now_ms)
            return answers
        if not self.rate_limiter.try_take(sender, now_ms):
            self.rejected_count += 1
            return []
        match message:
            case CapacityRequest():
                if self.is_allocating(now_ms):
                    return [OutgoingMessage(sender, self.allocator.on_request(now_ms, sender, message))]
            case CapacityGrant():
                if self.client.on_grant(now_ms, message):
                    return self.request_capacity(now_ms)
        return []

    def resize(self, capacities: dict[str, int]) -> None:
        """Set new capacities, by the budget's name. Grants beyond a reduced capacity expire and are not renewed."""
        for name, capacity in capacities.items():
            budget = replace(self.budgets[name], capacity=capacity)
            self.budgets[name] = budget
            self.budgets_by_id[budget.id] = budget

    def leave(self, now_ms: float) -> list[OutgoingMessage]:
        """Return the messages of a graceful shutdown, which release capacity and leadership."""
        self.client.is_leaving = True
        for account in self.client.accounts.values():
            account.requested_at_ms = NEVER
        released = self.request_capacity(now_ms)
        return released if self.has_shared_election else [*released, *self.election.resign(now_ms)]
