"""The books of the steward that holds the office: what is lent to whom, and who gets how much. Pure.

What is lent counts until it surely has ended, whatever became of its holder. A divider that is new to the office
divides what holders tell it, in its own term, that they have of its predecessor's grants: nobody else can have that.
The rest of the whole it lends only once all that its predecessor lent has ended.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from .fair_share import share
from .limits import Budget, BudgetKey, QuotaLimits
from .messages import CapacityGrant, CapacityRequest, GrantRow, RequestRow

LIVES_MOST = 4  # of one steward, that something may still be lent to


@dataclass
class ClientState:
    """What one process may have in use beyond its floor: the largest of its entries."""

    round: int = -1  # of its last want
    wanted: int = 0
    reported_at_ms: float = float("-inf")
    grants: list[tuple[int, int, float]] = field(default_factory=list)  # (round, amount, until)

    def outstanding(self, now: float) -> int:
        self.grants = [e for e in self.grants if e[2] > now]
        return max((amount for _, amount, _ in self.grants), default=0)


@dataclass
class QuotaAllocator:
    """budgets: by id, as configured here; changed in place by a reload. since: when the office began."""

    limits: QuotaLimits
    budgets: Mapping[int, Budget]
    incarnation: int = 0  # of this process, and the round of its first word in the present office
    first_round: int = 0
    started_at_ms: float | None = None
    ledgers: dict[BudgetKey, dict[tuple[int, int], ClientState]] = field(default_factory=dict)  # (steward, life)
    inherited: dict[BudgetKey, int] = field(default_factory=dict)  # of a predecessor's grants, by what holders said
    stale_count: int = 0  # wants that were meant for a former office
    unknown_count: int = 0  # rows of budgets that are not ours, or that differ
    rejected_count: int = 0  # rows beyond the bounds

    def begin_term(self, now: float, first: int = 0) -> None:
        """The office is new, or was lost for a moment: another may have lent since. first: the round of the first word
        in which we can say that we hold it."""
        self.started_at_ms, self.first_round, self.ledgers, self.inherited = now, first, {}, {}

    def on_request(self, now: float, sender: int, word: CapacityRequest) -> CapacityGrant:
        """now: an instant at which the office was held."""
        if word.allocator != self.incarnation or word.allocator_round < self.first_round:
            self.stale_count += 1
            return CapacityGrant(word.incarnation, word.round, [])
        rows = [given for row in word.rows[:64] if (given := self.grant_row(now, sender, word, row))]
        return CapacityGrant(word.incarnation, word.round, rows)

    def grant_row(self, now: float, sender: int, word: CapacityRequest, row: RequestRow) -> GrantRow | None:
        number, subject, wanted, have, held, taken = row
        budget, key = self.budgets.get(number), (number, subject)
        if budget is None or (budget.scope == "fleet" and subject):
            self.unknown_count += 1
            return None
        book = self.ledgers.get(key)
        if book is None:
            if len(self.ledgers) >= self.limits.max_accounts:
                self.sweep(now)
            if len(self.ledgers) >= self.limits.max_accounts:
                self.rejected_count += 1
                return None
            book = self.ledgers[key] = {}
        me = (sender, word.incarnation)
        if me not in book and sum(k[0] == sender for k in book) >= LIVES_MOST:
            self.drop_expired(now, book)
            if sum(k[0] == sender for k in book) >= LIVES_MOST:
                self.rejected_count += 1
                return None
        assert self.started_at_ms is not None
        good, pool = self.limits.expiry_ms(self.limits.grant_lifetime_ms(budget)), max(0, budget.shared_capacity)
        learning = now < self.started_at_ms + good
        if me not in book and learning:
            self.inherited[key] = min(pool, self.inherited.get(key, 0) + have)
        mine = book.setdefault(me, ClientState())
        if word.round <= mine.round:
            return None  # late or repeated: it was answered, and says what is no longer so
        mine.round, mine.reported_at_ms, mine.wanted = word.round, now, min(wanted, pool)
        self.settle(now, mine, taken, min(held, pool), now + good if learning else None)
        pool = min(pool, self.inherited.get(key, 0)) if learning else pool
        others = sum(life.outstanding(now) for who, life in book.items() if who != me)
        amount = max(0, min(self.fair_part(now, key, pool, sender), pool - others))
        mine.grants.append((word.round, amount, now + good))
        return number, subject, amount

    def settle(self, now: float, life: ClientState, taken: int, held: int, learning: float | None) -> None:
        """It has taken up the answer to its round `taken`, will take up none before that any more, and has no more
        than `held` in use of all those. A later answer may still be on its way: what that lent stands beside this.
        learning: until when what it says of a former divider's grants is good."""
        over = [e for e in life.grants if e[0] <= taken]
        life.grants = [e for e in life.grants if e[0] > taken and e[2] > now]
        ends = max((until for _, _, until in over), default=now)
        if learning is not None:
            life.grants.append((taken, held, max(ends, learning)))
        elif over and held:
            life.grants.append((taken, min(held, max(amount for _, amount, _ in over)), ends))

    def fair_part(self, now: float, key: BudgetKey, pool: int, sender: int) -> int:
        """The max-min fair part, and of what nobody wants an even part, one kept in hand for the next to come."""
        wants: dict[int, int] = {}
        for (steward, _), life in self.ledgers[key].items():
            if now - life.reported_at_ms <= self.limits.lease_ms:
                wants[steward] = max(wants.get(steward, 0), life.wanted)
        parts = share(pool, wants, key[1] % max(1, len(wants)))
        spare = max(0, pool - sum(parts.values()))
        return parts[sender] + (spare // (len(wants) + 1) if wants[sender] else 0)

    def drop_expired(self, now: float, book: dict[tuple[int, int], ClientState]) -> None:
        for who in [
            w
            for w, life in book.items()
            if not life.outstanding(now) and now - life.reported_at_ms > self.limits.lease_ms
        ]:
            del book[who]

    def sweep(self, now: float) -> None:
        for key, book in list(self.ledgers.items()):
            self.drop_expired(now, book)
            if not book:
                del self.ledgers[key]
