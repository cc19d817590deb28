"""Names of waiting jobs in the proxy protocol and the metrics, and their limits from the configuration."""

from __future__ import annotations

from enum import StrEnum

from ..config import ControllerConfig
from ..config.scheduling import RELEASES
from ..scheduling.limits import JobClass, SchedulingLimits


class JobAnswer(StrEnum):
    """The answer to a job that a proxy submits; the core adds the reasons for a rejection."""

    WAITING = "waiting"
    NOT_NOW = "not-now"
    DOES_NOT_WAIT = "does-not-wait"


class JobInstruction(StrEnum):
    """The instruction to a proxy about a job that waited."""

    SEND = "go"
    DROP_DUPLICATE = "twin"


class JobOutcome(StrEnum):
    """The outcome of a job, as the label of a metric; the core adds the reasons for a rejection."""

    TAKEN = "taken"
    RELEASED = "gone"
    DUPLICATE = "twin"


def waiting_classes(config: ControllerConfig) -> list[JobClass]:
    """Return the request classes whose jobs may wait, in the order of the configuration."""
    classes = []
    for name, operation in config.operation.items():
        if policy := operation.waits:
            classes.append(JobClass(name, policy.priority, policy.patience_ms, policy.most_ms, policy.most_jobs))
    return classes


def scheduling_limits(config: ControllerConfig) -> SchedulingLimits:
    """Return the limits for the core, from the block `waiting` and the budget of releases."""
    block, rate = config.waiting, float(config.budget[RELEASES].whole)
    return SchedulingLimits(
        block.tell_ms, block.stale_ms, block.slack_ms, block.hold_ms, block.rise, rate, block.batch, block.claims_most
    )
