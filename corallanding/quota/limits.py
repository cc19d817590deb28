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
    whole: int
    floor: int
    most: int
    span: float = 1000.0
    per: str = "fleet"

    def __post_init__(self) -> None:
        if self.whole < self.floor * self.most:
            raise ValueError(f"budget {self.name!r}: floor for each of {self.most} stewards is more than whole")

    @property
    def id(self) -> int:
        """Whatever must be the same in all stewards for the sum to hold is in it; `whole` may change by reload."""
        return zlib.crc32(f"{self.name}|{self.floor}|{self.most}|{self.span}|{self.per}".encode())

    @property
    def pool(self) -> int:
        return self.whole - self.floor * self.most


@dataclass(frozen=True)
class QuotaLimits(ElectionTimings):
    """ms. lease: a right lent is good for this and the budget's span."""

    lease: float = 3_000.0
    keys_most: int = 4_096  # budget and host, at a steward
    rows_most: int = 8  # in one word

    def good(self, budget: Budget) -> float:
        return budget.span * (1.0 + self.drift) + self.lease
