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


def max_wait_ms(config: ControllerConfig) -> float:
    """Return the longest wait of any request class; records of idempotency keys are kept for twice that time."""
    return max((operation.waits.most_ms for operation in config.operation.values() if operation.waits), default=0.0)


def scheduling_limits(config: ControllerConfig) -> SchedulingLimits:
    """Return the limits for the core, from the block `waiting` and the budget of releases."""
    block = config.waiting
    return SchedulingLimits(
        announce_interval_ms=block.tell_ms,
        peer_timeout_ms=block.stale_ms,
        order_slack_ms=block.slack_ms,
        blocked_ms=block.hold_ms,
        retirement_boost=block.rise,
        dispatches_per_second=float(config.budget[RELEASES].whole),
        max_dispatches_per_tick=block.batch,
        max_claims_in_flight=block.claims_most,
        max_claim_age_ms=max_wait_ms(config),
    )
