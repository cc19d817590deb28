"""Types that the scheduler exchanges with its caller: actions, results of admission and of claims."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, StrEnum, auto
from typing import NamedTuple

from ..wire.peer_messages import OutgoingMessage
from .queue import Job


@dataclass(frozen=True)
class Dispatch:
    """The job may be sent to a host.

    `effective_priority` is the priority of the job at the time of dispatch. `observed_peers` are the controllers whose
    queues were taken into account.
    """

    job: Job
    effective_priority: float
    observed_peers: tuple[int, ...] = ()


@dataclass(frozen=True)
class ClaimKey:
    """The idempotency key of the job must be claimed; `Scheduler.on_claim_result` takes the outcome."""

    job: Job


SchedulingAction = Dispatch | ClaimKey


class RejectionReason(StrEnum):
    """Why a job is not admitted. The values are sent to proxies and are labels of metrics."""

    FULL = "full"  # the controller holds `max_jobs` jobs of the class
    TOO_LONG = "too-long"  # the expected wait is longer than `max_wait_ms` of the class


class AdmissionResult(NamedTuple):
    """An admitted job, or the reason for its rejection.

    `max_wait_ms` is the longest remaining wait of an admitted job; for `TOO_LONG` it is the expected wait.
    """

    job: Job | None
    rejection: RejectionReason | None
    max_wait_ms: float


class ClaimOutcome(Enum):
    """The outcome of a claim of an idempotency key."""

    GRANTED = auto()
    DUPLICATE = auto()  # another ticket owns the key
    UNKNOWN = auto()  # no majority could answer


class BlockedJob(NamedTuple):
    """The number of a job whose idempotency key could not be claimed. The job becomes ready again at `until_ms`."""

    until_ms: float
    number: int


class TickResult(NamedTuple):
    """The result of a tick: jobs to dispatch, keys to claim, and messages to send."""

    actions: list[SchedulingAction]
    messages: list[OutgoingMessage]
