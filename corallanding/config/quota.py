"""Blocks of what many stewards share: `budget "NAME"` and `budgets`. See docs/budgets.md."""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import Field

from .blocks import Block, Ms

# What can be limited, for whom, and how it is counted: each is enforced where the thing is done.
KINDS = {
    "probes": ("host", "per_s"),
    "moves": ("fleet", "per_s"),
    "cold_slices": ("host", "count"),
    "emptied": ("fleet", "count"),
    "releases": ("fleet", "per_s"),
}


class BudgetBlock(Block):
    """whole: of all stewards together; of each host, if per is "host". floor: what each steward has without peers."""

    whole: Annotated[int, Field(ge=0, le=1_000_000)]
    per: Literal["host", "fleet", "operation"]
    unit: Literal["count", "per_s"]
    floor: Annotated[int, Field(ge=0, le=1_000_000)] = 0
    span_ms: Ms | None = None  # count: how long what was taken stays in use; cold_slices: rules.cold_ms

    def fault(self, name: str, most: int) -> str | None:
        """What is wrong with it, as a sentence that names the key."""
        if name not in KINDS:
            return f"budget.{name}: no such budget; there are {', '.join(sorted(KINDS))}"
        per, unit = KINDS[name]
        if self.per != per:
            return f"budget.{name}.per must be {per!r}"
        if self.unit != unit:
            return f"budget.{name}.unit must be {unit!r}"
        if self.unit == "per_s" and self.span_ms is not None:
            return f"budget.{name}.span_ms is for a count; a right of per_s stays in use for a second"
        if name == "emptied" and self.span_ms is None:
            return f"budget.{name}.span_ms must say for how long an emptied host counts"
        if self.floor * most > self.whole:
            return f"budget.{name}.floor for each of {most} stewards is more than whole ({self.whole})"
        return None


class BudgetsBlock(Block):
    """How budgets are divided. Must be the same at all stewards; times in ms."""

    lease_ms: Annotated[float, Field(ge=100, le=600_000)] = 3_000.0
    office: Literal["votes", "registry"] = "votes"  # what the office is held by; registry: kind etcd
    office_ms: Annotated[float, Field(ge=100, le=600_000)] = 2_000.0
    drift: Annotated[float, Field(ge=0, lt=0.5)] = 0.02
    stewards_most: Annotated[int, Field(ge=1, le=1000)] | None = None  # for floors; without it steward.stewards
    voters: Annotated[list[int], Field(max_length=31)] = []  # numbers; without them the lowest five
    keys_most: Annotated[int, Field(ge=16, le=1_000_000)] = 4_096
    words_per_s: Annotated[float, Field(ge=1, le=100_000)] = 200.0  # taken from one peer
    period_ms: Annotated[float, Field(ge=20, le=60_000)] = 500.0  # between probes of one steward at another
    timeout_ms: Annotated[float, Field(ge=5, le=60_000)] = 200.0
    witness: str | None = None  # a file that each use is written to, for the lab's audit
