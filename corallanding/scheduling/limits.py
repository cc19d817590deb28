"""Priority aging of each job class, and limits of scheduling."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

OVERDUE_PRIORITY = 1e6  # added to the priority of a job that has waited for `max_wait_ms`


@dataclass(frozen=True)
class JobClass:
    """A request class whose requests may be deferred.

    A job begins with `priority` and gains 1 for every `aging_interval_ms` of waiting. A job that has waited for
    `max_wait_ms` is overdue. One controller holds at most `max_jobs` jobs of the class.
    """

    name: str
    priority: float = 0.0
    aging_interval_ms: float = 10_000.0
    max_wait_ms: float = 600_000.0
    max_jobs: int = 100_000

    def effective_priority(self, waited_ms: float, boost: float = 0.0) -> float:
        """Return the priority after `waited_ms`; overdue jobs go before all others, the oldest first."""
        aged = self.priority + boost + max(0.0, waited_ms) / self.aging_interval_ms
        return aged + (OVERDUE_PRIORITY if waited_ms >= self.max_wait_ms else 0.0)


@dataclass(frozen=True)
class SchedulingLimits:
    """Limits of scheduling; the same at all controllers.

    A controller sends a summary of its queue every `announce_interval_ms`; a peer that sent none for `peer_timeout_ms`
    is not waited for. A job may be dispatched before one at another controller whose priority is higher by up to
    `order_slack_ms` of waiting. For `blocked_ms` the jobs of a controller without permits still delay those of others,
    and a job whose idempotency key could not be claimed is blocked. Jobs of a workflow run that keeps a release set
    from retirement gain `retirement_boost` in priority. The fleet dispatches `dispatches_per_second`; one controller at
    most `max_dispatches_per_tick`, with `max_claims_in_flight` unanswered claims. A claim is asked for again after
    `max_claim_age_ms`, as the record of the key is kept for a limited time.
    """

    announce_interval_ms: float = 100.0
    peer_timeout_ms: float = 1_000.0
    order_slack_ms: float = 200.0
    blocked_ms: float = 6_000.0
    retirement_boost: float = 2.0
    dispatches_per_second: float = 10.0
    max_dispatches_per_tick: int = 64
    max_claims_in_flight: int = 256
    max_claim_age_ms: float = math.inf

    def order_slack(self, job_classes: Iterable[JobClass]) -> float:
        """Return `order_slack_ms` as a difference in priority, by the class that ages fastest."""
        min_aging_interval_ms = min((job_class.aging_interval_ms for job_class in job_classes), default=1.0)
        return self.order_slack_ms / min_aging_interval_ms
