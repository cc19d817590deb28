"""The quota client of one controller: its grants, its use of units, and its requests."""

from __future__ import annotations

from dataclasses import dataclass, field

from .limits import Budget, BudgetKey, BudgetScope, QuotaLimits
from .messages import CapacityGrant, CapacityRequest, RequestRow
from .usage_window import UsageWindow

RENEWALS_PER_LEASE = 6.0  # requests per lease while the grant covers the demand
SHORTAGE_REQUESTS_PER_LEASE = 16.0  # requests per lease while it does not
NEVER = float("-inf")


@dataclass
class Account:
    """A client's use of one budget, or of one host of a budget."""

    budget: Budget
    round: int  # round of the last accepted grant; grants of this round and of earlier ones are ignored
    granted: int = 0  # units beyond the floor
    expires_at_ms: float = NEVER
    requested_at_ms: float = NEVER
    touched_at_ms: float = 0.0
    peak: int = 0  # highest recent demand: requests do not follow short drops
    peak_at_ms: float = NEVER

    def __post_init__(self) -> None:
        self.uses = UsageWindow(self.budget.hold_ms)
        self.unmet = UsageWindow(self.budget.hold_ms)  # rejected demand, counted like uses

    def granted_at(self, now_ms: float) -> int:
        """Return the units of the grant; 0 if it has expired."""
        return self.granted if now_ms < self.expires_at_ms else 0


@dataclass(frozen=True)
class PendingRequest:
    """A request whose grant has not arrived."""

    sent_at_ms: float
    keys: frozenset[BudgetKey]


@dataclass
class QuotaClient:
    """The accounts of one controller, and what it may use of each budget.

    incarnation: drawn at random at each start. created_at_ms: on this controller's clock; the floor is not used until
    all units that a former incarnation may have acquired are no longer in use.

    Nothing is stored on disk: a file restored from a backup would bring expired grants back. The wait after a start
    makes stored grants unnecessary.
    """

    incarnation: int
    limits: QuotaLimits
    created_at_ms: float
    accounts: dict[BudgetKey, Account] = field(default_factory=dict)
    round: int = 0
    pending: dict[int, PendingRequest] = field(default_factory=dict)  # requests by round
    stale_count: int = 0  # grants that arrived too late or were not requested
    is_leaving: bool = False

    # ---- acquiring -----------------------------------------------------------------------------------------

    def account(self, now_ms: float, budget: Budget, subject: int) -> Account | None:
        """Return the account, opened if there is none; None if there are too many."""
        key = BudgetKey(budget.id, subject)
        account = self.accounts.get(key)
        if account is None:
            if len(self.accounts) >= self.limits.max_accounts:
                return None
            account = Account(budget, self.round)
            self.accounts[key] = account
        account.budget = budget
        account.touched_at_ms = now_ms
        return account

    def floor(self, now_ms: float, budget: Budget) -> int:
        """Return the units that need no grant; 0 while units of a former incarnation may be in use."""
        return budget.floor if now_ms >= self.created_at_ms + self.limits.expiry_ms(budget.hold_ms) else 0

    def available(self, now_ms: float, budget: Budget, subject: int = 0) -> int:
        """Return how many units may be acquired now. This does not count as demand; see `record_unmet`."""
        account = self.account(now_ms, budget, subject)
        if account is None:
            return 0
        floor = self.floor(now_ms, budget)
        used = account.uses.count(now_ms)
        if now_ms >= account.expires_at_ms:
            return max(0, floor - used)
        free = floor + account.granted - used
        if now_ms + self.limits.expiry_ms(budget.hold_ms) > account.expires_at_ms:
            # Uses that outlast the grant must fit into the floor alone.
            free = min(free, floor - account.uses.count_after(account.expires_at_ms))
        return max(0, free)

    def acquire(self, now_ms: float, budget: Budget, subject: int = 0, count: int = 1) -> bool:
        """Acquire units at the instant of their use, if so many are available; else record them as unmet demand.

        Acquired units stay in use for `hold_ms`.
        """
        account = self.account(now_ms, budget, subject)
        if account is not None and self.available(now_ms, budget, subject) >= count:
            account.uses.add(now_ms + self.limits.expiry_ms(budget.hold_ms), count)
            return True
        self.record_unmet(now_ms, budget, subject, count)
        return False

    def record_unmet(self, now_ms: float, budget: Budget, subject: int = 0, count: int = 1) -> None:
        """Add units to the unmet demand, so that the next request includes it."""
        if account := self.account(now_ms, budget, subject):
            account.unmet.add(now_ms + self.limits.expiry_ms(budget.hold_ms), count)

    # ---- requests and grants -------------------------------------------------------------------------------

    def due_requests(self, now_ms: float, allocator: int = 0, allocator_round: int = 0) -> list[CapacityRequest]:
        """Return requests for accounts whose grant must be renewed or does not meet the demand.

        allocator, allocator_round: as in `CapacityRequest`.
        """
        due = self._take_due_accounts(now_ms)
        self._forget_old_requests(now_ms)
        requests: list[CapacityRequest] = []
        for start in range(0, len(due), self.limits.max_rows):
            keys = due[start : start + self.limits.max_rows]
            self.round += 1
            self.pending[self.round] = PendingRequest(now_ms, frozenset(keys))
            rows = [self.request_row(now_ms, key) for key in keys]
            requests.append(CapacityRequest(self.incarnation, self.round, allocator, allocator_round, rows))
        return requests

    def _take_due_accounts(self, now_ms: float) -> list[BudgetKey]:
        """Return the keys of accounts whose request is due, and mark them as requested; close unused accounts."""
        due: list[BudgetKey] = []
        for key, account in list(self.accounts.items()):
            used = account.uses.count(now_ms)
            unmet = account.unmet.count(now_ms)
            has_grant = account.granted_at(now_ms) > 0
            is_always_requested = account.budget.scope == BudgetScope.FLEET and not self.is_leaving
            if not (used or unmet or has_grant or is_always_requested):
                if now_ms - account.touched_at_ms > self.limits.lease_ms:
                    del self.accounts[key]
                continue
            is_short = unmet > 0 and (not has_grant or used + unmet > account.budget.floor + account.granted)
            interval_ms = self.limits.lease_ms / (SHORTAGE_REQUESTS_PER_LEASE if is_short else RENEWALS_PER_LEASE)
            is_wanted = is_short or has_grant or is_always_requested or used > account.budget.floor
            if is_wanted and now_ms - account.requested_at_ms >= interval_ms:
                due.append(key)
                account.requested_at_ms = now_ms
        return due

    def _forget_old_requests(self, now_ms: float) -> None:
        """Drop requests whose grant would be expired on arrival."""
        longest_hold_ms = max((account.budget.hold_ms for account in self.accounts.values()), default=0.0)
        min_sent_at_ms = now_ms - self.limits.lease_ms * 2 - longest_hold_ms
        self.pending = {
            round_number: request
            for round_number, request in self.pending.items()
            if request.sent_at_ms > min_sent_at_ms
        }

    def request_row(self, now_ms: float, key: BudgetKey) -> RequestRow:
        """Return the row of a request for one account."""
        account = self.accounts[key]
        budget = account.budget
        used = account.uses.count(now_ms)
        demand = min(budget.capacity, used + account.unmet.count(now_ms))
        if demand >= account.peak or now_ms - account.peak_at_ms > self.limits.lease_ms:
            account.peak = demand
            account.peak_at_ms = now_ms
        # One unit of a fleet-wide budget is always requested: its users can seldom wait for a grant.
        min_wanted = 1 if budget.scope == BudgetScope.FLEET else 0
        wanted = 0 if self.is_leaving else max(min_wanted, account.peak - budget.floor)
        granted = account.granted_at(now_ms)
        # Report the whole unexpired grant as in use: the allocator may grant to others what is not in use.
        in_use = max(granted, used - self.floor(now_ms, budget), 0)
        return RequestRow(key.budget_id, key.subject, wanted, granted, in_use, account.round)

    def on_grant(self, now_ms: float, message: CapacityGrant) -> bool:
        """Accept a grant, whose lifetime begins at the instant of its request.

        Return True if a row has fewer units than before: the allocator must be notified at once of the acceptance.
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
            if row.amount < account.granted_at(now_ms):
                became_smaller = True
                account.requested_at_ms = NEVER
            account.granted = row.amount
            account.round = message.round
            lifetime_ms = self.limits.usable_ms(self.limits.grant_lifetime_ms(account.budget))
            account.expires_at_ms = request.sent_at_ms + lifetime_ms
        return became_smaller
