"""The leader's side of quotas: what is granted to whom, and how much each client gets.

A grant counts until it has surely expired, whatever became of its client. An allocator that is new to its term divides
the capacity that clients report, in this term, from its predecessor's grants: nobody else can have that. The rest of
the capacity it grants only once everything that its predecessor granted has expired.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from ..errors import LeaseLostError
from .fair_share import share
from .limits import Budget, BudgetKey, BudgetScope, QuotaLimits
from .messages import CapacityGrant, CapacityRequest, GrantRow, RequestRow

MAX_INCARNATIONS = 4  # of one controller, that may still have grants
MAX_ROWS_READ = 64  # of one request; the rest is ignored


class ClientId(NamedTuple):
    """One process of a controller."""

    controller: int
    incarnation: int


class Grant(NamedTuple):
    """Capacity that a client may have in use."""

    round: int  # of the request
    amount: int
    expires_at_ms: float


@dataclass
class ClientState:
    """What one client may have in use of one budget beyond its floor: the largest of its grants."""

    round: int = -1  # of its last request
    wanted: int = 0
    reported_at_ms: float = float("-inf")
    grants: list[Grant] = field(default_factory=list)

    def outstanding(self, now: float) -> int:
        """The most that the client may have in use now. Expired grants are dropped."""
        self.grants = [grant for grant in self.grants if grant.expires_at_ms > now]
        return max((grant.amount for grant in self.grants), default=0)


Ledger = dict[ClientId, ClientState]  # of one budget, or of one host of a budget


@dataclass
class QuotaAllocator:
    """Grants capacity while this controller leads.

    budgets: by id, as configured here; a reload changes the mapping in place. incarnation, first_round: how clients
    name the present term. started_at_ms: when the term began; None while this controller does not lead.
    """

    limits: QuotaLimits
    budgets: Mapping[int, Budget]
    incarnation: int = 0
    first_round: int = 0
    started_at_ms: float | None = None
    ledgers: dict[BudgetKey, Ledger] = field(default_factory=dict)
    inherited: dict[BudgetKey, int] = field(default_factory=dict)  # granted by the predecessor, as clients report it
    stale_count: int = 0  # requests that were meant for a former term
    unknown_count: int = 0  # rows of budgets that are not configured here, or configured differently
    rejected_count: int = 0  # rows beyond the bounds

    def begin_term(self, now: float, first_round: int = 0) -> None:
        """Begin with empty ledgers: another controller may have granted since the last term.

        first_round: of the first message that can say that this controller leads.
        """
        self.started_at_ms = now
        self.first_round = first_round
        self.ledgers = {}
        self.inherited = {}

    def on_request(self, now: float, sender: int, message: CapacityRequest) -> CapacityGrant:
        """Answer a request, at an instant at which this controller leads."""
        if message.allocator != self.incarnation or message.allocator_round < self.first_round:
            self.stale_count += 1
            return CapacityGrant(message.incarnation, message.round, [])
        answers = [self.grant_row(now, sender, message, row) for row in message.rows[:MAX_ROWS_READ]]
        return CapacityGrant(message.incarnation, message.round, [answer for answer in answers if answer])

    def grant_row(self, now: float, sender: int, message: CapacityRequest, row: RequestRow) -> GrantRow | None:
        """Grant what one row requests; None if the row cannot be answered.

        Raises LeaseLostError if no term has begun.
        """
        budget = self.budgets.get(row.budget_id)
        if budget is None or (budget.scope == BudgetScope.FLEET and row.subject):
            self.unknown_count += 1
            return None
        key = BudgetKey(row.budget_id, row.subject)
        client = ClientId(sender, message.incarnation)
        ledger = self._ledger_for(now, key, client)
        if ledger is None:
            self.rejected_count += 1
            return None
        lifetime_ms = self.limits.expiry_ms(self.limits.grant_lifetime_ms(budget))
        is_learning = now < self._term_started_at_ms() + lifetime_ms
        capacity = max(0, budget.shared_capacity)
        if client not in ledger and is_learning:
            self.inherited[key] = min(capacity, self.inherited.get(key, 0) + row.granted)
        state = ledger.setdefault(client, ClientState())
        if message.round <= state.round:
            return None  # delayed or repeated: it was answered before, and is out of date
        state.round = message.round
        state.reported_at_ms = now
        state.wanted = min(row.wanted, capacity)
        in_use = min(row.in_use, capacity)
        self.settle(now, state, row.grant_round, in_use, now + lifetime_ms if is_learning else None)
        pool = min(capacity, self.inherited.get(key, 0)) if is_learning else capacity
        granted_to_others = sum(other.outstanding(now) for id_, other in ledger.items() if id_ != client)
        amount = max(0, min(self.fair_part(now, key, pool, sender), pool - granted_to_others))
        state.grants.append(Grant(message.round, amount, now + lifetime_ms))
        return GrantRow(row.budget_id, row.subject, amount)

    def _term_started_at_ms(self) -> float:
        if self.started_at_ms is None:
            raise LeaseLostError("capacity was requested while this controller does not lead")
        return self.started_at_ms

    def _ledger_for(self, now: float, key: BudgetKey, client: ClientId) -> Ledger | None:
        """The ledger of the key, with space for the client; None if a bound is reached."""
        ledger = self.ledgers.get(key)
        if ledger is None:
            if len(self.ledgers) >= self.limits.max_accounts:
                self.sweep(now)
            if len(self.ledgers) >= self.limits.max_accounts:
                return None
            ledger = self.ledgers[key] = {}
        if client not in ledger and _count_incarnations(ledger, client) >= MAX_INCARNATIONS:
            self.drop_expired(now, ledger)
            if _count_incarnations(ledger, client) >= MAX_INCARNATIONS:
                return None
        return ledger

    def settle(self, now: float, state: ClientState, taken: int, in_use: int, learning_until: float | None) -> None:
        """Replace the grants that the client has taken or will never take by what it reports.

        taken: round of the last grant that it took; it takes none before that any more. in_use: the most that it has in
        use of all those. A later grant may still be on its way and stands beside this. learning_until: until when the
        report counts, while it may be of a predecessor's grant.
        """
        settled = [grant for grant in state.grants if grant.round <= taken]
        state.grants = [grant for grant in state.grants if grant.round > taken and grant.expires_at_ms > now]
        expires_at_ms = max((grant.expires_at_ms for grant in settled), default=now)
        if learning_until is not None:
            state.grants.append(Grant(taken, in_use, max(expires_at_ms, learning_until)))
        elif settled and in_use:
            most_granted = max(grant.amount for grant in settled)
            state.grants.append(Grant(taken, min(in_use, most_granted), expires_at_ms))

    def fair_part(self, now: float, key: BudgetKey, pool: int, controller: int) -> int:
        """The max-min fair share of a controller, and an even part of what nobody wants.

        One such part stays in reserve for the next controller that comes.
        """
        wants: dict[int, int] = {}
        for client, state in self.ledgers[key].items():
            if now - state.reported_at_ms <= self.limits.lease_ms:
                wants[client.controller] = max(wants.get(client.controller, 0), state.wanted)
        shares = share(pool, wants, key.subject % max(1, len(wants)))
        spare = max(0, pool - sum(shares.values()))
        return shares[controller] + (spare // (len(wants) + 1) if wants[controller] else 0)

    def drop_expired(self, now: float, ledger: Ledger) -> None:
        """Forget clients that have no grant and no longer report."""
        for client, state in list(ledger.items()):
            if not state.outstanding(now) and now - state.reported_at_ms > self.limits.lease_ms:
                del ledger[client]

    def sweep(self, now: float) -> None:
        """Drop what has expired from all ledgers, and empty ledgers."""
        for key, ledger in list(self.ledgers.items()):
            self.drop_expired(now, ledger)
            if not ledger:
                del self.ledgers[key]


def _count_incarnations(ledger: Ledger, client: ClientId) -> int:
    """How many processes of the client's controller are in the ledger."""
    return sum(known.controller == client.controller for known in ledger)
