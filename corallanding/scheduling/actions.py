"""What the scheduler gives out and takes in: actions, results of admission and of claims."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, StrEnum, auto
from typing import NamedTuple

from ..wire.peer_messages import OutgoingMessage
from .queue import Job


@dataclass(frozen=True)
class Dispatch:
    """The job may be sent to a host.

    `effective_priority` is that of the job at this instant; `observed_peers` are the controllers whose queues were
    taken into account.
    """

    job: Job
    effective_priority: float
    observed_peers: tuple[int, ...] = ()


@dataclass(frozen=True)
class ClaimKey:
    """The idempotency key of the job is to be claimed; `Scheduler.on_claim_result` takes what came of it."""

    job: Job


SchedulingAction = Dispatch | ClaimKey


class RejectionReason(StrEnum):
    """Why a job is not admitted. The values are on the wire to proxies and labels of metrics."""

    FULL = "full"  # the controller holds as many jobs of the class as it may
    TOO_LONG = "too-long"  # the job would wait for longer than its class allows


class AdmissionResult(NamedTuple):
    """A job that was admitted, or why it was not.

    `max_wait_ms` is the longest that the job will wait from now on; with `TOO_LONG` the wait that was expected.
    """

    job: Job | None
    rejection: RejectionReason | None
    max_wait_ms: float


class ClaimOutcome(Enum):
    """What came of the claim of an idempotency key."""

    GRANTED = auto()
    DUPLICATE = auto()  # another ticket owns the key
    UNKNOWN = auto()  # no majority could answer


class BlockedJob(NamedTuple):
    """A job whose idempotency key could not be claimed; it takes part in the order again at `until_ms`."""

    until_ms: float
    number: int


class TickResult(NamedTuple):
    """What is to be done after a tick: jobs to dispatch or claim, and messages to send."""

    actions: list[SchedulingAction]
    messages: list[OutgoingMessage]
