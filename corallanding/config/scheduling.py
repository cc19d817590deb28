"""Blocks of work that may wait: `waits` of an operation, and `waiting`. See docs/waiting.md."""

from __future__ import annotations

from collections.abc import Collection
from typing import Annotated

from pydantic import Field

from .blocks import Block, Ms, MsOrNone
from .quota import BudgetBlock

JOBS, RELEASES = "jobs", "releases"  # the group of tasks for fingerprints, the budget


class WaitPolicyBlock(Block):
    """Of an operation whose invocations may wait. Must be the same at all stewards. Times in ms."""

    priority: Annotated[float, Field(ge=-1000, le=1000)] = 0.0  # the standing that a job begins with
    patience_ms: Ms = 10_000.0  # waiting that is worth one priority
    most_ms: Ms = 600_000.0  # the longest that a job waits: it is told so, or refused when it is taken in
    most_jobs: Annotated[int, Field(ge=1, le=10_000_000)] = 100_000  # that one steward holds


class WaitingBlock(Block):
    """How stewards keep one order. Must be the same at all. Times in ms."""

    tell_ms: Ms = 100.0
    stale_ms: Ms = 1_000.0  # without a word for so long, another steward is not waited for
    slack_ms: MsOrNone = 500.0  # waiting by which a job may go before one that stands higher elsewhere
    hold_ms: Ms = 6_000.0  # for so long one without rights to release holds up the others
    rise: Annotated[float, Field(ge=0, le=1000)] = 2.0  # priorities that a job gains while it keeps a set alive
    batch: Annotated[int, Field(ge=1, le=10_000)] = 64  # releases in one turn
    claims_most: Annotated[int, Field(ge=1, le=100_000)] = 256  # fingerprints that may be asked for at once
    witness: str | None = None  # a file that each release is written to, for the lab's audit


def fault(
    waits: Collection[str],
    budgets: dict[str, BudgetBlock],
    groups: Collection[str],
    records: bool,
    stale: float,
    tell: float,
) -> str | None:
    """What is wrong with them, as a sentence that names the key. waits: operations that may wait."""
    if not waits:
        return None
    name = sorted(waits)[0]
    if RELEASES not in budgets:
        return f'operation.{name}.waits: it needs budget "{RELEASES}"'
    if JOBS in groups and not records:
        return f"task_group.{JOBS}: fingerprints need a records block"
    if stale < 3.0 * tell:
        return "waiting.stale_ms must be at least three times waiting.tell_ms"
    return None
