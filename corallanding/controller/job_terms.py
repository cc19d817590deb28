"""Jobs that may wait, as the protocol with proxies, the metrics and the configuration name them."""

from __future__ import annotations

from enum import StrEnum

from ..config import ControllerConfig
from ..config.scheduling import RELEASES
from ..scheduling.limits import JobClass, SchedulingLimits


class JobAnswer(StrEnum):
    """What a proxy is answered about a job that it hands in; the core adds the reasons of a rejection."""

    WAITING = "waiting"
    NOT_NOW = "not-now"
    DOES_NOT_WAIT = "does-not-wait"


class JobOrder(StrEnum):
    """What a proxy is to do with a job that waited."""

    SEND = "go"
    DROP_DUPLICATE = "twin"


class JobEnd(StrEnum):
    """What became of a job: the label of a metric; the core adds the reasons of a rejection."""

    TAKEN = "taken"
    RELEASED = "gone"
    DUPLICATE = "twin"


def waiting_classes(config: ControllerConfig) -> list[JobClass]:
    """The request classes whose jobs may wait, in the order of the configuration."""
    kinds = []
    for name, operation in config.operation.items():
        if policy := operation.waits:
            kinds.append(JobClass(name, policy.priority, policy.patience_ms, policy.most_ms, policy.most_jobs))
    return kinds


def scheduling_limits(config: ControllerConfig) -> SchedulingLimits:
    """The limits that the core takes, from the block `waiting` and the budget of releases."""
    block, rate = config.waiting, float(config.budget[RELEASES].whole)
    return SchedulingLimits(
        block.tell_ms, block.stale_ms, block.slack_ms, block.hold_ms, block.rise, rate, block.batch, block.claims_most
    )
