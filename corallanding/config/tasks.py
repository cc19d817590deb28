"""Blocks of tasks that one controller at a time performs for all controllers. See docs/leases.md.

These are `task "NAME"`, `task_group "NAME"` and `tasks`.
"""

from __future__ import annotations

from typing import Annotated

from pydantic import Field

from .blocks import Block, NonNegativeMs, PositiveMs

MAX_TASKS = 100_000  # in all groups and single tasks together


class TaskBlock(Block):
    """One task, leased to one controller at a time. Times are in ms.

    The block must be the same at all controllers. An action is one piece of the task's work, which the holder may begin
    only if it ends within the lease. Each action that succeeds is progress.
    """

    work_most_ms: Annotated[float, Field(ge=1, le=600_000)] = 500.0  # maximum duration of one action
    idle_ms: NonNegativeMs = 0.0  # time without progress after which the holder gives up the task; 0: never
    # Interval at which the holder performs an action, which notifies the other controllers; 0: no periodic actions.
    beat_ms: NonNegativeMs = 0.0


class TaskGroupBlock(TaskBlock):
    """A group of `count` numbered tasks, spread evenly over the live controllers."""

    count: Annotated[int, Field(ge=1, le=MAX_TASKS)]


class TasksBlock(Block):
    """Leases of tasks. The leader that grants them is elected as the block `budgets` configures: one election for both.

    The voters and the clock drift are also those of `budgets`.
    """

    lease_ms: Annotated[float, Field(ge=100, le=600_000)] = 3_000.0
    # Time, in multiples of `lease_ms`, for which a holder that lost a task for lack of progress does not request it.
    turn_leases: Annotated[float, Field(ge=1, le=1_000)] = 2.0
    wait_most_ms: PositiveMs = 60_000.0  # maximum wait of `corallanding upgrade` for the task "upgrade"
    witness: str | None = None  # path of the journal of actions, which the lab's audit reads; None: no journal

    def check(self, name: str, task: TaskBlock, drift: float) -> None:
        """Check the task or group of this name. Raises ValueError with a text that begins with the key of the setting.

        drift: maximum clock drift as a fraction (`budgets.drift`). The action may take longer by it, and the lease may
        be shorter by it.
        """
        if task.work_most_ms * (1.0 + drift) > self.lease_ms * (1.0 - drift) / 2.0:
            raise ValueError(
                f"task.{name}.work_most_ms, plus budgets.drift, must be at most half of tasks.lease_ms "
                f"({self.lease_ms:g}), less budgets.drift"
            )
        if task.idle_ms and task.beat_ms and task.idle_ms < 2.0 * task.beat_ms:
            raise ValueError(f"task.{name}.idle_ms must be at least two times beat_ms")
