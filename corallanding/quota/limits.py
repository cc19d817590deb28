"""What a budget is, and the times that its division rests on."""

from __future__ import annotations

import zlib
from dataclasses import dataclass

from ..lease.limits import ElectionTimings

BudgetKey = tuple[int, int]  # budget's id, subject: a host's number, or 0 for a budget of the fleet


@dataclass(frozen=True)
class Budget:
    """whole: rights for all stewards together (of each host, if `per` is "host"). floor: what each of `most` stewards
    has whatever happens. span: ms that one right stays in use once it was taken; a rate a second is a count whose
    rights stay in use for a second each, so that no second ever sees more of them than the whole."""

    name: str
    capacity: int
    floor: int
    max_controllers: int
    hold_ms: float = 1000.0
    scope: str = "fleet"

    def __post_init__(self) -> None:
        if self.capacity < self.floor * self.max_controllers:
            raise ValueError(
                f"budget {self.name!r}: floor for each of {self.max_controllers} stewards is more than whole"
            )

    @property
    def id(self) -> int:
        """Whatever must be the same in all stewards for the sum to hold is in it; `whole` may change by reload."""
        return zlib.crc32(f"{self.name}|{self.floor}|{self.max_controllers}|{self.hold_ms}|{self.scope}".encode())

    @property
    def shared_capacity(self) -> int:
        return self.capacity - self.floor * self.max_controllers


@dataclass(frozen=True)
class QuotaLimits(ElectionTimings):
    """ms. lease: a right lent is good for this and the budget's span."""

    lease_ms: float = 3_000.0
    max_accounts: int = 4_096  # budget and host, at a steward
    max_rows: int = 8  # in one word

    def grant_lifetime_ms(self, budget: Budget) -> float:
        return budget.hold_ms * (1.0 + self.max_clock_drift) + self.lease_ms
