"""One controller's side of a quota: what it was granted, what it uses, and what it requests."""

from __future__ import annotations

from dataclasses import dataclass, field

from .limits import Budget, BudgetKey, BudgetScope, QuotaLimits
from .messages import CapacityGrant, CapacityRequest, RequestRow
from .usage_window import UsageWindow

RENEWALS_PER_LEASE = 6.0  # requests in one lease while the grant meets the demand
SHORTAGE_REQUESTS_PER_LEASE = 16.0  # requests in one lease while it does not
NEVER = float("-inf")


@dataclass
class Account:
    """One budget, or one host of a budget, as one client uses it."""

    budget: Budget
    round: int  # of the request whose grant was taken; grants for it and for earlier ones are void
    granted: int = 0  # beyond the floor
    expires_at_ms: float = NEVER
    requested_at_ms: float = NEVER
    touched_at_ms: float = 0.0
    peak: int = 0  # the most wanted of late: requests do not follow every lull
    peak_at_ms: float = NEVER

    def __post_init__(self) -> None:
        self.uses = UsageWindow(self.budget.hold_ms)
        self.unmet = UsageWindow(self.budget.hold_ms)  # demand that was refused, counted like uses

    def granted_at(self, now: float) -> int:
        """Units of a grant that has not expired."""
        return self.granted if now < self.expires_at_ms else 0


@dataclass(frozen=True)
class PendingRequest:
    """A request whose grant has not come."""

    sent_at_ms: float
    keys: frozenset[BudgetKey]


@dataclass
class QuotaClient:
    """What one controller may use of every budget.

    incarnation: drawn at each start. created_at_ms: by this controller's clock; the floor is not used until all that a
    former incarnation may have acquired has ended.

    Nothing is kept on disk: a store that was restored from a backup would bring expired grants back, and the wait after
    a start makes up for having none.
    """

    incarnation: int
    limits: QuotaLimits
    created_at_ms: float
    accounts: dict[BudgetKey, Account] = field(default_factory=dict)
    round: int = 0
    pending: dict[int, PendingRequest] = field(default_factory=dict)  # by round
    stale_count: int = 0  # grants that came too late, or that nothing asked for
    is_leaving: bool = False

    # ---- acquiring -----------------------------------------------------------------------------------------

    def account(self, now: float, budget: Budget, subject: int) -> Account | None:
        """The account, opened if there is none; None if there are too many."""
        key = BudgetKey(budget.id, subject)
        account = self.accounts.get(key)
        if account is None:
            if len(self.accounts) >= self.limits.max_accounts:
                return None
            account = Account(budget, self.round)
            self.accounts[key] = account
        account.budget = budget
        account.touched_at_ms = now
        return account

    def floor(self, now: float, budget: Budget) -> int:
        """Units that need no grant, once nothing of a former incarnation can be in use any more."""
        return budget.floor if now >= self.created_at_ms + self.limits.expiry_ms(budget.hold_ms) else 0

    def available(self, now: float, budget: Budget, subject: int = 0) -> int:
        """How many units may be acquired now. This alone is no demand: see `record_unmet`."""
        account = self.account(now, budget, subject)
        if account is None:
            return 0
        floor = self.floor(now, budget)
        used = account.uses.count(now)
        if now >= account.expires_at_ms:
            return max(0, floor - used)
        free = floor + account.granted - used
        if now + self.limits.expiry_ms(budget.hold_ms) > account.expires_at_ms:
            # Uses that outlast the grant must fit into the floor alone.
            free = min(free, floor - account.uses.count_after(account.expires_at_ms))
        return max(0, free)

    def acquire(self, now: float, budget: Budget, subject: int = 0, count: int = 1) -> bool:
        """Acquire units at the instant of their use, if so many are available; they stay in use for `hold_ms`."""
        account = self.account(now, budget, subject)
        if account is not None and self.available(now, budget, subject) >= count:
            account.uses.add(now + self.limits.expiry_ms(budget.hold_ms), count)
            return True
        self.record_unmet(now, budget, subject, count)
        return False

    def record_unmet(self, now: float, budget: Budget, subject: int = 0, count: int = 1) -> None:
        """Count demand that could not be met, so that the next request asks for it."""
        if account := self.account(now, budget, subject):
            account.unmet.add(now + self.limits.expiry_ms(budget.hold_ms), count)

    # ---- requests and grants -------------------------------------------------------------------------------

    def due_requests(self, now: float, allocator: int = 0, allocator_round: int = 0) -> list[CapacityRequest]:
        """Requests for accounts whose grant is to be renewed or does not meet the demand.

        allocator, allocator_round: as in `CapacityRequest`.
        """
        due = self._take_due_accounts(now)
        self._forget_old_requests(now)
        requests: list[CapacityRequest] = []
        for start in range(0, len(due), self.limits.max_rows):
            keys = due[start : start + self.limits.max_rows]
            self.round += 1
            self.pending[self.round] = PendingRequest(now, frozenset(keys))
            rows = [self.request_row(now, key) for key in keys]
            requests.append(CapacityRequest(self.incarnation, self.round, allocator, allocator_round, rows))
        return requests

    def _take_due_accounts(self, now: float) -> list[BudgetKey]:
        """Accounts to be requested for now, noted as requested. Accounts that nobody uses are closed."""
        due: list[BudgetKey] = []
        for key, account in list(self.accounts.items()):
            used = account.uses.count(now)
            unmet = account.unmet.count(now)
            has_grant = account.granted_at(now) > 0
            is_standing = account.budget.scope == BudgetScope.FLEET and not self.is_leaving
            if not (used or unmet or has_grant or is_standing):
                if now - account.touched_at_ms > self.limits.lease_ms:
                    del self.accounts[key]
                continue
            is_short = unmet > 0 and (not has_grant or used + unmet > account.budget.floor + account.granted)
            interval_ms = self.limits.lease_ms / (SHORTAGE_REQUESTS_PER_LEASE if is_short else RENEWALS_PER_LEASE)
            is_wanted = is_short or has_grant or is_standing or used > account.budget.floor
            if is_wanted and now - account.requested_at_ms >= interval_ms:
                due.append(key)
                account.requested_at_ms = now
        return due

    def _forget_old_requests(self, now: float) -> None:
        """Drop requests whose grant would have expired before it came."""
        longest_hold_ms = max((account.budget.hold_ms for account in self.accounts.values()), default=0.0)
        oldest = now - self.limits.lease_ms * 2 - longest_hold_ms
        self.pending = {round_: request for round_, request in self.pending.items() if request.sent_at_ms > oldest}

    def request_row(self, now: float, key: BudgetKey) -> RequestRow:
        """What is requested for one account."""
        account = self.accounts[key]
        budget = account.budget
        used = account.uses.count(now)
        demand = min(budget.capacity, used + account.unmet.count(now))
        if demand >= account.peak or now - account.peak_at_ms > self.limits.lease_ms:
            account.peak = demand
            account.peak_at_ms = now
        # One unit of a fleet's budget is always wanted: what needs it can seldom wait for a grant.
        min_wanted = 1 if budget.scope == BudgetScope.FLEET else 0
        wanted = 0 if self.is_leaving else max(min_wanted, account.peak - budget.floor)
        granted = account.granted_at(now)
        # The whole grant counts as in use while it lasts: the allocator may grant the rest elsewhere on reading this.
        in_use = max(granted, used - self.floor(now, budget), 0)
        return RequestRow(key.budget_id, key.subject, wanted, granted, in_use, account.round)

    def on_grant(self, now: float, message: CapacityGrant) -> bool:
        """Take a grant, which lasts from the instant of its request.

        Returns True if one became smaller: the allocator is to be notified at once that it was taken.
        """
        request = self.pending.get(message.round)
        if message.incarnation != self.incarnation or request is None:
            self.stale_count += 1
            return False
        became_smaller = False
        for row in message.rows:
            key = BudgetKey(row.budget_id, row.subject)
            account = self.accounts.get(key)
            if account is None or key not in request.keys or message.round <= account.round:
                self.stale_count += 1
                continue
            if self.is_leaving and row.amount > account.granted:
                continue
            if row.amount < account.granted_at(now):
                became_smaller = True
                account.requested_at_ms = NEVER
            account.granted = row.amount
            account.round = message.round
            lifetime_ms = self.limits.usable_ms(self.limits.grant_lifetime_ms(account.budget))
            account.expires_at_ms = request.sent_at_ms + lifetime_ms
        return became_smaller
