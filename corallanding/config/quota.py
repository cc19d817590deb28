"""Blocks of quotas that all controllers share: `budget "NAME"` and `budgets`. See docs/budgets.md."""

from __future__ import annotations

from typing import Annotated, Literal, NamedTuple

from pydantic import Field

from .blocks import Block, PositiveMs


class BudgetKind(NamedTuple):
    """Scope and unit of a budget: per host or for the fleet, as a rate or as a count of units in use."""

    per: str
    unit: str


# Each budget is enforced where its action is taken.
BUDGET_KINDS = {
    "probes": BudgetKind("host", "per_s"),
    "moves": BudgetKind("fleet", "per_s"),
    "cold_slices": BudgetKind("host", "count"),
    "emptied": BudgetKind("fleet", "count"),
    "releases": BudgetKind("fleet", "per_s"),
}


class BudgetBlock(Block):
    """One budget: the units of one kind of action that all controllers together may use.

    whole: units for all controllers (of each host, if `per` is "host"). floor: units that each controller may use
    without a grant.
    """

    whole: Annotated[int, Field(ge=0, le=1_000_000)]
    per: Literal["host", "fleet", "operation"]
    unit: Literal["count", "per_s"]
    floor: Annotated[int, Field(ge=0, le=1_000_000)] = 0
    span_ms: PositiveMs | None = None  # unit count: time in use of a unit; default for cold_slices: rules.cold_ms

    def check(self, name: str, max_controllers: int) -> None:
        """Check the budget of this name. Raises ValueError with a text that begins with the key."""
        if name not in BUDGET_KINDS:
            raise ValueError(f"budget.{name}: no such budget; there are {', '.join(sorted(BUDGET_KINDS))}")
        kind = BUDGET_KINDS[name]
        if self.per != kind.per:
            raise ValueError(f"budget.{name}.per must be {kind.per!r}")
        if self.unit != kind.unit:
            raise ValueError(f"budget.{name}.unit must be {kind.unit!r}")
        if self.unit == "per_s" and self.span_ms is not None:
            raise ValueError(f"budget.{name}.span_ms requires unit count; a unit of per_s stays in use for one second")
        if name == "emptied" and self.span_ms is None:
            raise ValueError(f"budget.{name}.span_ms must be set to the time for which an emptied host counts")
        if self.floor * max_controllers > self.whole:
            floors = f"budget.{name}.floor for each of {max_controllers} stewards"
            raise ValueError(f"{floors} is more than whole ({self.whole})")


class BudgetsBlock(Block):
    """Division of budgets, election and membership. Must be the same at all controllers; times in ms.

    stewards_most: maximum number of controllers, each of which has the floors; default: steward.stewards.
    """

    lease_ms: Annotated[float, Field(ge=100, le=600_000)] = 3_000.0
    office: Literal["votes", "registry"] = "votes"  # how the leader is elected; registry requires kind etcd
    office_ms: Annotated[float, Field(ge=100, le=600_000)] = 2_000.0
    drift: Annotated[float, Field(ge=0, lt=0.5)] = 0.02
    stewards_most: Annotated[int, Field(ge=1, le=1000)] | None = None
    voters: Annotated[list[int], Field(max_length=31)] = Field(
        default_factory=list
    )  # numbers of controllers; default: the lowest five
    keys_most: Annotated[int, Field(ge=16, le=1_000_000)] = 4_096
    words_per_s: Annotated[float, Field(ge=1, le=100_000)] = 200.0  # messages accepted from one peer
    period_ms: Annotated[float, Field(ge=20, le=60_000)] = 500.0  # interval of membership pings
    timeout_ms: Annotated[float, Field(ge=5, le=60_000)] = 200.0
    witness: str | None = None  # file to which each use is written, for the lab's audit
