"""Blocks of jobs that may wait: `waits` of an operation, and `waiting`. See docs/waiting.md."""

from __future__ import annotations

from collections.abc import Collection
from typing import Annotated

from pydantic import Field

from .blocks import Block, NonNegativeMs, PositiveMs
from .quota import BudgetBlock

JOBS = "jobs"  # task group for idempotency keys
RELEASES = "releases"  # budget of released jobs


class WaitPolicyBlock(Block):
    """Queueing of an operation's requests. Must be the same at all controllers; times in ms."""

    priority: Annotated[float, Field(ge=-1000, le=1000)] = 0.0  # initial priority of a job
    patience_ms: PositiveMs = 10_000.0  # wait that raises the priority by one
    most_ms: PositiveMs = 600_000.0  # maximum wait; reported to the client, or the job is rejected at its submission
    most_jobs: Annotated[int, Field(ge=1, le=10_000_000)] = 100_000  # jobs in the queue of one controller


class WaitingBlock(Block):
    """Common order of jobs over all controllers. Must be the same at all controllers; times in ms."""

    tell_ms: PositiveMs = 100.0
    stale_ms: PositiveMs = 1_000.0  # time without a message after which another controller is not waited for
    slack_ms: NonNegativeMs = 500.0  # wait by which a job may precede one of higher priority at another controller
    hold_ms: PositiveMs = 6_000.0  # how long a controller without release quota holds up the others
    rise: Annotated[float, Field(ge=0, le=1000)] = 2.0  # priority added to a job while it keeps a release set alive
    batch: Annotated[int, Field(ge=1, le=10_000)] = 64  # releases in one tick
    claims_most: Annotated[int, Field(ge=1, le=100_000)] = 256  # idempotency keys requested at one time
    witness: str | None = None  # file to which each release is written, for the lab's audit

    def check(
        self, waiting: Collection[str], budgets: dict[str, BudgetBlock], groups: Collection[str], *, has_records: bool
    ) -> None:
        """Check the settings that `waiting`, the operations that may wait, need. Raises ValueError with the key."""
        if not waiting:
            return
        if RELEASES not in budgets:
            raise ValueError(f'operation.{min(waiting)}.waits: it needs budget "{RELEASES}"')
        if JOBS in groups and not has_records:
            raise ValueError(f"task_group.{JOBS}: idempotency keys need a records block")
        if self.stale_ms < 3.0 * self.tell_ms:
            raise ValueError("waiting.stale_ms must be at least three times waiting.tell_ms")
