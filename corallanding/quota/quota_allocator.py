"""The allocator of quotas on the leader: records grants, and divides the capacity among clients.

A grant counts until it has certainly expired, even if its client is gone. At the start of a term the allocator divides
only the capacity that clients report, in this term, from its predecessor's grants, since no other client can have it.
It grants the rest of the capacity once all grants of its predecessor have expired.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from ..errors import LeaseLostError
from .fair_share import share
from .limits import Budget, BudgetKey, BudgetScope, QuotaLimits
from .messages import CapacityGrant, CapacityRequest, GrantRow, RequestRow

MAX_INCARNATIONS = 4  # incarnations of one controller in a ledger
MAX_ROWS_READ = 64  # rows of one request; further rows are ignored


class ClientId(NamedTuple):
    """A client: one incarnation of a controller."""

    controller: int
    incarnation: int


class Grant(NamedTuple):
    """Capacity that a client may have in use."""

    round: int  # round of the request
    amount: int
    expires_at_ms: float


@dataclass
class ClientState:
    """The state of one client in a ledger. It may have the largest of its grants in use, beyond its floor."""

    round: int = -1  # round of its last request
    wanted: int = 0
    reported_at_ms: float = float("-inf")
    grants: list[Grant] = field(default_factory=list)

    def outstanding(self, now_ms: float) -> int:
        """Return how many units the client may have in use now, at most. Expired grants are dropped."""
        self.grants = [grant for grant in self.grants if grant.expires_at_ms > now_ms]
        return max((grant.amount for grant in self.grants), default=0)


Ledger = dict[ClientId, ClientState]  # clients of one budget, or of one host of a budget


@dataclass
class QuotaAllocator:
    """Grants capacity while this controller leads.

    budgets: by id, as configured here; a reload changes the mapping in place. incarnation, first_round: identify the
    current term in requests. started_at_ms: when the term began; None while this controller does not lead.
    """

    limits: QuotaLimits
    budgets: Mapping[int, Budget]
    incarnation: int = 0
    first_round: int = 0
    started_at_ms: float | None = None
    ledgers: dict[BudgetKey, Ledger] = field(default_factory=dict)
    inherited: dict[BudgetKey, int] = field(default_factory=dict)  # granted by the predecessor, by client reports
    stale_count: int = 0  # requests to the allocator of a former term
    unknown_count: int = 0  # rows of budgets that are not configured here, or configured differently
    rejected_count: int = 0  # rows over a bound on ledgers or incarnations

    def begin_term(self, now_ms: float, first_round: int = 0) -> None:
        """Begin a term with empty ledgers: another controller may have granted capacity since the last term.

        first_round: round of the first message in which this controller can claim to lead.
        """
        self.started_at_ms = now_ms
        self.first_round = first_round
        self.ledgers = {}
        self.inherited = {}

    def on_request(self, now_ms: float, sender: int, message: CapacityRequest) -> CapacityGrant:
        """Answer a request. The caller ensures that this controller leads at this instant."""
        if message.allocator != self.incarnation or message.allocator_round < self.first_round:
            self.stale_count += 1
            return CapacityGrant(message.incarnation, message.round, [])
        answers = [self.grant_row(now_ms, sender, message, row) for row in message.rows[:MAX_ROWS_READ]]
        return CapacityGrant(message.incarnation, message.round, [answer for answer in answers if answer])

    def grant_row(self, now_ms: float, sender: int, message: CapacityRequest, row: RequestRow) -> GrantRow | None:
        """Grant capacity for one row; return None if the row cannot be answered.

        Raises LeaseLostError if no term has begun.
        """
        budget = self.budgets.get(row.budget_id)
        if budget is None or (budget.scope == BudgetScope.FLEET and row.subject):
            self.unknown_count += 1
            return None
        key = BudgetKey(row.budget_id, row.subject)
        client = ClientId(sender, message.incarnation)
        ledger = self._ledger_for(now_ms, key, client)
        if ledger is None:
            self.rejected_count += 1
            return None
        lifetime_ms = self.limits.expiry_ms(self.limits.grant_lifetime_ms(budget))
        is_learning = now_ms < self._term_started_at_ms() + lifetime_ms
        capacity = max(0, budget.shared_capacity)
        if client not in ledger and is_learning:
            self.inherited[key] = min(capacity, self.inherited.get(key, 0) + row.granted)
        state = ledger.setdefault(client, ClientState())
        if message.round <= state.round:
            return None  # delayed or repeated: a request of this round or a later one was answered
        state.round = message.round
        state.reported_at_ms = now_ms
        state.wanted = min(row.wanted, capacity)
        in_use = min(row.in_use, capacity)
        self.settle(now_ms, state, row.grant_round, in_use, now_ms + lifetime_ms if is_learning else None)
        pool = min(capacity, self.inherited.get(key, 0)) if is_learning else capacity
        granted_to_others = sum(
            other.outstanding(now_ms) for other_client, other in ledger.items() if other_client != client
        )
        amount = max(0, min(self.fair_share(now_ms, key, pool, sender), pool - granted_to_others))
        state.grants.append(Grant(message.round, amount, now_ms + lifetime_ms))
        return GrantRow(row.budget_id, row.subject, amount)

    def _term_started_at_ms(self) -> float:
        if self.started_at_ms is None:
            raise LeaseLostError("capacity was requested while this controller does not lead")
        return self.started_at_ms

    def _ledger_for(self, now_ms: float, key: BudgetKey, client: ClientId) -> Ledger | None:
        """Return the ledger of the key, which has or can take an entry for the client; None if a bound is reached."""
        ledger = self.ledgers.get(key)
        if ledger is None:
            if len(self.ledgers) >= self.limits.max_accounts:
                self.sweep(now_ms)
            if len(self.ledgers) >= self.limits.max_accounts:
                return None
            ledger = self.ledgers[key] = {}
        if client not in ledger and _count_incarnations(ledger, client) >= MAX_INCARNATIONS:
            self.drop_expired(now_ms, ledger)
            if _count_incarnations(ledger, client) >= MAX_INCARNATIONS:
                return None
        return ledger

    def settle(
        self, now_ms: float, state: ClientState, accepted_round: int, in_use: int, learning_until_ms: float | None
    ) -> None:
        """Replace grants that the client has accepted, or can no longer accept, by the units that it reports in use.

        accepted_round: round of the last grant that it accepted; it accepts no earlier ones. in_use: upper bound of the
        units in use of all those. A later grant may be in transit and is kept. learning_until_ms: when the report
        expires, if it may refer to a grant of the predecessor; else None.
        """
        settled = [grant for grant in state.grants if grant.round <= accepted_round]
        state.grants = [
            grant for grant in state.grants if grant.round > accepted_round and grant.expires_at_ms > now_ms
        ]
        expires_at_ms = max((grant.expires_at_ms for grant in settled), default=now_ms)
        if learning_until_ms is not None:
            state.grants.append(Grant(accepted_round, in_use, max(expires_at_ms, learning_until_ms)))
        elif settled and in_use:
            most_granted = max(grant.amount for grant in settled)
            state.grants.append(Grant(accepted_round, min(in_use, most_granted), expires_at_ms))

    def fair_share(self, now_ms: float, key: BudgetKey, pool: int, controller: int) -> int:
        """Return the max-min fair share of a controller, plus an even part of the units that nobody wants.

        One such part is reserved for the next controller that requests capacity.
        """
        wants: dict[int, int] = {}
        for client, state in self.ledgers[key].items():
            if now_ms - state.reported_at_ms <= self.limits.lease_ms:
                wants[client.controller] = max(wants.get(client.controller, 0), state.wanted)
        shares = share(pool, wants, key.subject % max(1, len(wants)))
        spare = max(0, pool - sum(shares.values()))
        return shares[controller] + (spare // (len(wants) + 1) if wants[controller] else 0)

    def drop_expired(self, now_ms: float, ledger: Ledger) -> None:
        """Drop clients that have no grant and no longer report."""
        for client, state in list(ledger.items()):
            if not state.outstanding(now_ms) and now_ms - state.reported_at_ms > self.limits.lease_ms:
                del ledger[client]

    def sweep(self, now_ms: float) -> None:
        """Drop expired clients from all ledgers, and empty ledgers."""
        for key, ledger in list(self.ledgers.items()):
            self.drop_expired(now_ms, ledger)
            if not ledger:
                del self.ledgers[key]


def _count_incarnations(ledger: Ledger, client: ClientId) -> int:
    """Return the number of incarnations of the client's controller in the ledger."""
    return sum(known.controller == client.controller for known in ledger)
