"""Budgets, which limit all controllers together, and the timings and bounds of sharing them."""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from ..lease.limits import ElectionTimings


class BudgetScope(StrEnum):
    """Scope of the capacity of a budget."""

    FLEET = "fleet"  # all controllers together
    HOST = "host"  # all controllers together, at each host


class BudgetKey(NamedTuple):
    """The key of a ledger or account: a budget, or one host of a budget."""

    budget_id: int
    subject: int  # a host's number, or 0 for a budget of the fleet


@dataclass(frozen=True)
class Budget:
    """A limit of all controllers together.

    capacity: units for all controllers (for each host, if `scope` is HOST). floor: units that each of `max_controllers`
    has without a grant. hold_ms: how long a unit stays in use once it was acquired. A rate per second is a budget whose
    units stay in use for one second each, so that the capacity is not exceeded in any second.

    Raises ValueError if the floors add up to more than the capacity.
    """

    name: str
    capacity: int
    floor: int
    max_controllers: int
    hold_ms: float = 1000.0
    scope: BudgetScope = BudgetScope.FLEET

    def __post_init__(self) -> None:
        if self.capacity < self.floor * self.max_controllers:
            raise ValueError(
                f"budget {self.name!r}: floor for each of {self.max_controllers} stewards is more than whole"
            )

    @property
    def id(self) -> int:
        """A digest of the settings that must be equal at all controllers. The capacity may change by a reload."""
        return zlib.crc32(f"{self.name}|{self.floor}|{self.max_controllers}|{self.hold_ms}|{self.scope}".encode())

    @property
    def shared_capacity(self) -> int:
        """Units beyond all floors, which the allocator grants by demand."""
        return self.capacity - self.floor * self.max_controllers


@dataclass(frozen=True)
class QuotaLimits(ElectionTimings):
    """Timings and bounds of sharing budgets.

    lease_ms: how long granted units may be acquired. max_accounts: pairs of budget and host that one controller keeps.
    max_rows: rows in one message.
    """

    lease_ms: float = 3_000.0
    max_accounts: int = 4_096
    max_rows: int = 8

    def grant_lifetime_ms(self, budget: Budget) -> float:
        """Return the lifetime of a grant in ms: the lease, and the time that a unit acquired under it stays in use."""
        return budget.hold_ms * (1.0 + self.max_clock_drift) + self.lease_ms
