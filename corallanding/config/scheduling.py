"""Blocks of work that may wait: `waits` of an operation, and `waiting`. See docs/waiting.md."""

from __future__ import annotations

from collections.abc import Collection
from typing import Annotated

from pydantic import Field

from .blocks import Block, NonNegativeMs, PositiveMs
from .quota import BudgetBlock

JOBS = "jobs"  # the group of tasks for idempotency keys
RELEASES = "releases"  # the budget of jobs that are released


class WaitPolicyBlock(Block):
    """How requests of an operation may wait. The same at all controllers; times in ms."""

    priority: Annotated[float, Field(ge=-1000, le=1000)] = 0.0  # that a job begins with
    patience_ms: PositiveMs = 10_000.0  # waiting that adds one to the priority
    most_ms: PositiveMs = 600_000.0  # the longest wait: the client is told so, or rejected when the job comes
    most_jobs: Annotated[int, Field(ge=1, le=10_000_000)] = 100_000  # that one controller queues


class WaitingBlock(Block):
    """How controllers keep one order. The same at all controllers; times in ms."""

    tell_ms: PositiveMs = 100.0
    stale_ms: PositiveMs = 1_000.0  # without a message for so long, another controller is not waited for
    slack_ms: NonNegativeMs = 500.0  # waiting by which a job may go before one of higher priority elsewhere
    hold_ms: PositiveMs = 6_000.0  # for so long one without quota of releases holds up the others
    rise: Annotated[float, Field(ge=0, le=1000)] = 2.0  # priority that a job gains while it keeps a set alive
    batch: Annotated[int, Field(ge=1, le=10_000)] = 64  # releases in one turn
    claims_most: Annotated[int, Field(ge=1, le=100_000)] = 256  # idempotency keys that are asked for at once
    witness: str | None = None  # a file that each release is written to, for the lab's audit

    def check(
        self, waiting: Collection[str], budgets: dict[str, BudgetBlock], groups: Collection[str], *, has_records: bool
    ) -> None:
        """Check what `waiting`, the operations that may wait, need. Raises ValueError that names the key."""
        if not waiting:
            return
        if RELEASES not in budgets:
            raise ValueError(f'operation.{min(waiting)}.waits: it needs budget "{RELEASES}"')
        if JOBS in groups and not has_records:
            raise ValueError(f"task_group.{JOBS}: fingerprints need a records block")
        if self.stale_ms < 3.0 * self.tell_ms:
            raise ValueError("waiting.stale_ms must be at least three times waiting.tell_ms")
