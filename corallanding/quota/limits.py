"""Budgets: limits on what all controllers do together, and the timings and bounds of sharing them."""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from ..lease.limits import ElectionTimings


class BudgetScope(StrEnum):
    """What a budget's capacity counts for."""

    FLEET = "fleet"  # all controllers together
    HOST = "host"  # all controllers together, at each host


class BudgetKey(NamedTuple):
    """The unit that is shared: a budget, or one host of a budget."""

    budget_id: int
    subject: int  # a host's number, or 0 for a budget of the fleet


@dataclass(frozen=True)
class Budget:
    """A limit of all controllers together.

    capacity: units for all controllers (of each host, if `scope` is HOST). floor: units that each of `max_controllers`
    has without a grant. hold_ms: for how long one unit stays in use once it was acquired. A rate a second is a count
    whose units stay in use for a second each, so that no second ever sees more than the capacity.

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
        """A digest of all that must be equal at every controller; the capacity may change by a reload."""
        return zlib.crc32(f"{self.name}|{self.floor}|{self.max_controllers}|{self.hold_ms}|{self.scope}".encode())

    @property
    def shared_capacity(self) -> int:
        """Units beyond all floors, which the allocator grants by demand."""
        return self.capacity - self.floor * self.max_controllers


@dataclass(frozen=True)
class QuotaLimits(ElectionTimings):
    """Timings and bounds of sharing budgets.

    lease_ms: a granted unit may be acquired for this long. max_accounts: pairs of budget and host that one controller
    keeps. max_rows: rows of one message.
    """

    lease_ms: float = 3_000.0
    max_accounts: int = 4_096
    max_rows: int = 8

    def grant_lifetime_ms(self, budget: Budget) -> float:
        """How long a grant lasts: the lease, and the time for which a unit acquired under it stays in use."""
        return budget.hold_ms * (1.0 + self.max_clock_drift) + self.lease_ms
