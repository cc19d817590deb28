"""Blocks of what one controller does for all: `task "NAME"`, `task_group "NAME"`, `tasks`. See docs/leases.md."""

from __future__ import annotations

from typing import Annotated

from pydantic import Field

from .blocks import Block, NonNegativeMs, PositiveMs

MAX_TASKS = 100_000  # in all groups together


class TaskBlock(Block):
    """One task, held by one controller at a time. The same at all controllers; times in ms."""

    work_most_ms: Annotated[float, Field(ge=1, le=600_000)] = 500.0  # the longest time of one act
    idle_ms: NonNegativeMs = 0.0  # without progress for so long its holder loses its turn; 0: never
    beat_ms: NonNegativeMs = 0.0  # the interval of the holder's acts, which it tells the others; 0: none


class TaskGroupBlock(TaskBlock):
    """As many tasks by number, spread evenly over the controllers that are alive."""

    count: Annotated[int, Field(ge=1, le=MAX_TASKS)]


class TasksBlock(Block):
    """How tasks are leased; the election, voters and drift are those of `budgets`."""

    lease_ms: Annotated[float, Field(ge=100, le=600_000)] = 3_000.0
    turn_leases: Annotated[float, Field(ge=1, le=1_000)] = 2.0  # for so long one that lost its turn does not ask
    wait_most_ms: PositiveMs = 60_000.0  # that `corallanding upgrade` waits for its turn
    witness: str | None = None  # a file that each act is written to, for the lab's audit

    def check(self, name: str, task: TaskBlock, drift: float) -> None:
        """Check the task of this name. Raises ValueError with a sentence that names the key."""
        if task.work_most_ms * (1.0 + drift) > self.lease_ms * (1.0 - drift) / 2.0:
            raise ValueError(f"task.{name}.work_most_ms must be below half of tasks.lease_ms ({self.lease_ms:g})")
        if task.idle_ms and task.beat_ms and task.idle_ms < 2.0 * task.beat_ms:
            raise ValueError(f"task.{name}.idle_ms must be at least two beats")
