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
    granted: int = 0  # lent, beyond the floor
    expires_at_ms: float = float("-inf")  # by our clock
    round: int = 0  # of the want that it answered; answers to that and earlier ones are void
    uses: deque[list[float]] = field(default_factory=deque)  # [end, number], ends ascending
    unmet: deque[list[float]] = field(default_factory=deque)  # the same, of what was refused
    requested_at_ms: float = float("-inf")
    touched_at_ms: float = 0.0
    peak: int = 0  # the most wanted of late: what is asked for does not follow every lull
    peak_at_ms: float = float("-inf")

    def count(self, now: float, uses: deque[list[float]]) -> int:
        while uses and uses[0][0] <= now:
            uses.popleft()
        return int(sum(n for _, n in uses))

    def add(self, uses: deque[list[float]], end: float, n: int) -> None:
        if uses and end - uses[-1][0] < self.budget.hold_ms / BUCKETS:
            uses[-1] = [end, uses[-1][1] + n]
        else:
            uses.append([end, n])


@dataclass
class QuotaClient:
    """life: drawn at the start. born: when, by our clock; what a former life used is waited for before the floor is.

    Nothing is kept on disk: a store can be put back from a copy, so that what it says of rights cannot be trusted, and
    the wait that makes up for it makes up for no store at all.
    """

    incarnation: int
    limits: QuotaLimits
    created_at_ms: float
    accounts: dict[BudgetKey, Account] = field(default_factory=dict)
    round: int = 0
    pending: dict[int, tuple[float, set[BudgetKey]]] = field(default_factory=dict)  # round: when, what
    unmet_count: int = 0  # takes without a right
    stale_count: int = 0  # grants that came too late or for nothing
    accounts_rejected: int = 0
    is_leaving: bool = False

    def account(self, now: float, budget: Budget, subject: int) -> Account | None:
        key = (budget.id, subject)
        a = self.accounts.get(key)
        if a is None:
            if len(self.accounts) >= self.limits.max_accounts:
                self.accounts_rejected += 1
                return None
            a = self.accounts[key] = Account(budget, round=self.round)
        a.budget, a.touched_at_ms = budget, now
        return a

    def floor(self, now: float, budget: Budget) -> int:
        return budget.floor if now >= self.created_at_ms + self.limits.expiry_ms(budget.hold_ms) else 0

    def available(self, now: float, budget: Budget, subject: int = 0) -> int:
        """How many may be taken now. Looking is no wish: see `miss`."""
        a = self.account(now, budget, subject)
        if a is None:
            return 0
        floor, end = self.floor(now, budget), now + self.limits.expiry_ms(budget.hold_ms)
        used = a.count(now, a.uses)
        if now >= a.expires_at_ms:
            return max(0, floor - used)
        room = floor + a.granted - used
        if end > a.expires_at_ms:
            # Those that outlast the grant must find room in the floor alone.
            later = sum(n for e, n in a.uses if e > a.expires_at_ms)
            room = min(room, int(floor - later))
        return max(0, room)

    def acquire(self, now: float, budget: Budget, subject: int = 0, n: int = 1) -> bool:
        """Whether n were taken; their use ends a span from now. Asked in the instant of the use."""
        a = self.account(now, budget, subject)
        end = now + self.limits.expiry_ms(budget.hold_ms)
        if a is not None and self.available(now, budget, subject) >= n:
            a.add(a.uses, end, n)
            return True
        self.record_unmet(now, budget, subject, n)
        return False

    def record_unmet(self, now: float, budget: Budget, subject: int = 0, n: int = 1) -> None:
        """A wish that was not granted: it shows in what is asked for."""
        self.unmet_count += n
        if a := self.account(now, budget, subject):
            a.add(a.unmet, now + self.limits.expiry_ms(budget.hold_ms), n)

    def request_row(self, now: float, key: BudgetKey) -> RequestRow:
        a = self.accounts[key]
        floor, used = a.budget.floor, a.count(now, a.uses)
        wanted = min(a.budget.capacity, used + a.count(now, a.unmet))
        if wanted >= a.peak or now - a.peak_at_ms > self.limits.lease_ms:
            a.peak, a.peak_at_ms = wanted, now
        have = a.granted if now < a.expires_at_ms else 0
        # Of a budget of the fleet one is wanted always: what it is for seldom can wait for an answer.
        least = 1 if a.budget.scope == "fleet" else 0
        wanted = 0 if self.is_leaving else max(least, a.peak - floor)
        # What was lent counts as in use as long as it could be: the divider may lend the rest anew once it hears this.
        return (*key, wanted, have, max(have, used - self.floor(now, a.budget), 0), a.round)

    def due_requests(self, now: float, to: int = 0, office: int = 0) -> list[CapacityRequest]:
        """Words for the divider: accounts whose grant wants renewal, or whose wish it does not meet. to, office: as
        in `Want`."""
        due: list[BudgetKey] = []
        for key, a in list(self.accounts.items()):
            used, missed = a.count(now, a.uses), a.count(now, a.unmet)
            good = now < a.expires_at_ms and a.granted > 0
            standing = a.budget.scope == "fleet" and not self.is_leaving
            if not used and not missed and not good and not standing:
                if now - a.touched_at_ms > self.limits.lease_ms:
                    del self.accounts[key]
                continue
            short = missed > 0 and (not good or used + missed > a.budget.floor + a.granted)
            wait = self.limits.lease_ms / (16.0 if short else 6.0)
            if (short or good or standing or used > a.budget.floor) and now - a.requested_at_ms >= wait:
                due.append(key)
                a.requested_at_ms = now
        out = []
        old = now - self.limits.lease_ms * 2 - max((a.budget.hold_ms for a in self.accounts.values()), default=0.0)
        self.pending = {r: w for r, w in self.pending.items() if w[0] > old}
        for k in range(0, len(due), self.limits.max_rows):
            keys = due[k : k + self.limits.max_rows]
            self.round += 1
            self.pending[self.round] = (now, set(keys))
            out.append(
                CapacityRequest(self.incarnation, self.round, to, office, [self.request_row(now, key) for key in keys])
            )
        return out

    def on_grant(self, now: float, word: CapacityGrant) -> bool:
        """A grant, good from when it was asked for. True if one was made smaller: the divider wants to hear of it."""
        asked = self.pending.get(word.round)
        if word.incarnation != self.incarnation or asked is None:
            self.stale_count += 1
            return False
        smaller = False
        at, keys = asked
        for budget, subject, amount in word.rows:
            a = self.accounts.get((budget, subject))
            if a is None or (budget, subject) not in keys or word.round <= a.round:
                self.stale_count += 1
                continue
            if self.is_leaving and amount > a.granted:
                continue
            if amount < a.granted and now < a.expires_at_ms:
                smaller, a.requested_at_ms = True, float("-inf")
            a.granted, a.round = amount, word.round
            a.expires_at_ms = at + self.limits.usable_ms(self.limits.grant_lifetime_ms(a.budget))
        return smaller
