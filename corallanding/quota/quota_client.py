"""The rights of one steward: what it may use, what it uses, what it asks for. Pure."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from .limits import Budget, BudgetKey, QuotaLimits
from .messages import CapacityGrant, CapacityRequest, RequestRow

BUCKETS = 64  # in which the uses of one key are kept: each is taken as ending with the last of its bucket


@dataclass
class Account:
    """One budget, or one host of a budget."""

    budget: Budget
    amount: int = 0  # lent, beyond the floor
    until: float = float("-inf")  # by our clock
    round: int = 0  # of the want that it answered; answers to that and earlier ones are void
    uses: deque[list[float]] = field(default_factory=deque)  # [end, number], ends ascending
    missed: deque[list[float]] = field(default_factory=deque)  # the same, of what was refused
    asked_at: float = float("-inf")
    touched: float = 0.0
    peak: int = 0  # the most wanted of late: what is asked for does not follow every lull
    peak_at: float = float("-inf")

    def count(self, now: float, uses: deque[list[float]]) -> int:
        while uses and uses[0][0] <= now:
            uses.popleft()
        return int(sum(n for _, n in uses))

    def add(self, uses: deque[list[float]], end: float, n: int) -> None:
        if uses and end - uses[-1][0] < self.budget.span / BUCKETS:
            uses[-1] = [end, uses[-1][1] + n]
        else:
            uses.append([end, n])


@dataclass
class QuotaClient:
    """life: drawn at the start. born: when, by our clock; what a former life used is waited for before the floor is.

    Nothing is kept on disk: a store can be put back from a copy, so that what it says of rights cannot be trusted, and
    the wait that makes up for it makes up for no store at all.
    """

    life: int
    terms: QuotaLimits
    born: float
    accounts: dict[BudgetKey, Account] = field(default_factory=dict)
    round: int = 0
    wants: dict[int, tuple[float, set[BudgetKey]]] = field(default_factory=dict)  # round: when, what
    refused: int = 0  # takes without a right
    stale: int = 0  # grants that came too late or for nothing
    overfull: int = 0
    leaving: bool = False

    def account(self, now: float, budget: Budget, subject: int) -> Account | None:
        key = (budget.id, subject)
        a = self.accounts.get(key)
        if a is None:
            if len(self.accounts) >= self.terms.keys_most:
                self.overfull += 1
                return None
            a = self.accounts[key] = Account(budget, round=self.round)
        a.budget, a.touched = budget, now
        return a

    def floor(self, now: float, budget: Budget) -> int:
        return budget.floor if now >= self.born + self.terms.theirs(budget.span) else 0

    def free(self, now: float, budget: Budget, subject: int = 0) -> int:
        """How many may be taken now. Looking is no wish: see `miss`."""
        a = self.account(now, budget, subject)
        if a is None:
            return 0
        floor, end = self.floor(now, budget), now + self.terms.theirs(budget.span)
        used = a.count(now, a.uses)
        if now >= a.until:
            return max(0, floor - used)
        room = floor + a.amount - used
        if end > a.until:
            # Those that outlast the grant must find room in the floor alone.
            later = sum(n for e, n in a.uses if e > a.until)
            room = min(room, int(floor - later))
        return max(0, room)

    def take(self, now: float, budget: Budget, subject: int = 0, n: int = 1) -> bool:
        """Whether n were taken; their use ends a span from now. Asked in the instant of the use."""
        a = self.account(now, budget, subject)
        end = now + self.terms.theirs(budget.span)
        if a is not None and self.free(now, budget, subject) >= n:
            a.add(a.uses, end, n)
            return True
        self.miss(now, budget, subject, n)
        return False

    def miss(self, now: float, budget: Budget, subject: int = 0, n: int = 1) -> None:
        """A wish that was not granted: it shows in what is asked for."""
        self.refused += n
        if a := self.account(now, budget, subject):
            a.add(a.missed, now + self.terms.theirs(budget.span), n)

    def row(self, now: float, key: BudgetKey) -> RequestRow:
        a = self.accounts[key]
        floor, used = a.budget.floor, a.count(now, a.uses)
        wanted = min(a.budget.whole, used + a.count(now, a.missed))
        if wanted >= a.peak or now - a.peak_at > self.terms.lease:
            a.peak, a.peak_at = wanted, now
        have = a.amount if now < a.until else 0
        # Of a budget of the fleet one is wanted always: what it is for seldom can wait for an answer.
        least = 1 if a.budget.per == "fleet" else 0
        wanted = 0 if self.leaving else max(least, a.peak - floor)
        # What was lent counts as in use as long as it could be: the divider may lend the rest anew once it hears this.
        return (*key, wanted, have, max(have, used - self.floor(now, a.budget), 0), a.round)

    def ask(self, now: float, to: int = 0, office: int = 0) -> list[CapacityRequest]:
        """Words for the divider: accounts whose grant wants renewal, or whose wish it does not meet. to, office: as
        in `Want`."""
        due: list[BudgetKey] = []
        for key, a in list(self.accounts.items()):
            used, missed = a.count(now, a.uses), a.count(now, a.missed)
            good = now < a.until and a.amount > 0
            standing = a.budget.per == "fleet" and not self.leaving
            if not used and not missed and not good and not standing:
                if now - a.touched > self.terms.lease:
                    del self.accounts[key]
                continue
            short = missed > 0 and (not good or used + missed > a.budget.floor + a.amount)
            wait = self.terms.lease / (16.0 if short else 6.0)
            if (short or good or standing or used > a.budget.floor) and now - a.asked_at >= wait:
                due.append(key)
                a.asked_at = now
        out = []
        old = now - self.terms.lease * 2 - max((a.budget.span for a in self.accounts.values()), default=0.0)
        self.wants = {r: w for r, w in self.wants.items() if w[0] > old}
        for k in range(0, len(due), self.terms.rows_most):
            keys = due[k : k + self.terms.rows_most]
            self.round += 1
            self.wants[self.round] = (now, set(keys))
            out.append(CapacityRequest(self.life, self.round, to, office, [self.row(now, key) for key in keys]))
        return out

    def given(self, now: float, word: CapacityGrant) -> bool:
        """A grant, good from when it was asked for. True if one was made smaller: the divider wants to hear of it."""
        asked = self.wants.get(word.round)
        if word.life != self.life or asked is None:
            self.stale += 1
            return False
        smaller = False
        at, keys = asked
        for budget, subject, amount in word.rows:
            a = self.accounts.get((budget, subject))
            if a is None or (budget, subject) not in keys or word.round <= a.round:
                self.stale += 1
                continue
            if self.leaving and amount > a.amount:
                continue
            if amount < a.amount and now < a.until:
                smaller, a.asked_at = True, float("-inf")
            a.amount, a.round = amount, word.round
            a.until = at + self.terms.mine(self.terms.good(a.budget))
        return smaller
