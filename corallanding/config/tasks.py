"""Blocks of tasks that one controller runs for all: `task "NAME"`, `task_group "NAME"`, `tasks`. See docs/leases.md."""

from __future__ import annotations

from typing import Annotated

from pydantic import Field

from .blocks import Block, NonNegativeMs, PositiveMs

MAX_TASKS = 100_000  # in all groups and single tasks together


class TaskBlock(Block):
    """One task, leased to one controller at a time. Must be the same at all controllers; times in ms."""

    work_most_ms: Annotated[float, Field(ge=1, le=600_000)] = 500.0  # maximum duration of one action
    idle_ms: NonNegativeMs = 0.0  # time without progress after which the holder loses the task; 0: never
    beat_ms: NonNegativeMs = 0.0  # interval of the holder's actions, reported to the other controllers; 0: none


class TaskGroupBlock(TaskBlock):
    """A group of `count` numbered tasks, spread evenly over the live controllers."""

    count: Annotated[int, Field(ge=1, le=MAX_TASKS)]


class TasksBlock(Block):
    """Leases of tasks. The election, voters and clock drift are those of `budgets`."""

    lease_ms: Annotated[float, Field(ge=100, le=600_000)] = 3_000.0
    turn_leases: Annotated[float, Field(ge=1, le=1_000)] = 2.0  # wait, in leases, of a holder without progress
    wait_most_ms: PositiveMs = 60_000.0  # maximum wait of `corallanding upgrade` for its turn
    witness: str | None = None  # file to which each action is written, for the lab's audit

    def check(self, name: str, task: TaskBlock, drift: float) -> None:
        """Check the task of this name. Raises ValueError with a text that begins with the key."""
        if task.work_most_ms * (1.0 + drift) > self.lease_ms * (1.0 - drift) / 2.0:
            raise ValueError(f"task.{name}.work_most_ms must be below half of tasks.lease_ms ({self.lease_ms:g})")
        if task.idle_ms and task.beat_ms and task.idle_ms < 2.0 * task.beat_ms:
            raise ValueError(f"task.{name}.idle_ms must be at least two times beat_ms")
