"""Admission, order and claims of one scheduler."""

from __future__ import annotations

from typing import Any

from corallanding.scheduling.actions import ClaimKey, ClaimOutcome, Dispatch, RejectionReason
from corallanding.scheduling.core import Scheduler
from corallanding.scheduling.limits import OVERDUE_PRIORITY, JobClass, SchedulingLimits


def make_scheduler(**limits: Any) -> Scheduler:
    job_classes = (JobClass("claim", 2.0, 2_000.0, 30_000.0, 3), JobClass("rank", 0.0, 1_000.0, 30_000.0))
    return Scheduler((2,), 1, job_classes, SchedulingLimits(**limits), 0.0, lambda: True, lambda count: None)


def test_scheduler_when_full_then_rejects_new_jobs_and_drops_none() -> None:
    scheduler = make_scheduler()
    for ticket in range(3):
        assert scheduler.admit(0.0, [], 1, ticket, 0, 0.0).rejection is None
    assert scheduler.admit(0.0, [], 1, 9, 0, 0.0).rejection == RejectionReason.FULL
    assert len(scheduler.queue.jobs) == 3
    assert scheduler.admit(0.0, [], 1, 2, 0, 0.0).rejection is None, "a queued ticket is the same job"
    scheduler = make_scheduler(dispatches_per_second=0.05)
    assert scheduler.admit(0.0, [], 1, 1, 1, 0.0).rejection is None
    rejected = scheduler.admit(0.0, [], 1, 2, 1, 0.0)
    assert rejected == (None, RejectionReason.TOO_LONG, 40_000.0), (
        "the job is rejected on admission, with its expected wait"
    )
    assert [reason.value for reason in RejectionReason] == ["full", "too-long"]
    assert scheduler.admit(0.0, [], 1, 3, 1, 9_000.0).rejection is None, (
        "a job that has waited elsewhere is never rejected as too long"
    )


def test_order_when_classes_age_differently_then_follows_current_priorities() -> None:
    scheduler = make_scheduler()
    scheduler.admit(0.0, [], 1, 1, 0, 0.0)
    scheduler.admit(0.0, [], 1, 2, 1, 0.0)
    highest_ticket = lambda now_ms: scheduler.queue.highest(now_ms)[1].ticket  # type: ignore[index]  # noqa: E731
    assert [highest_ticket(now_ms) for now_ms in (0.0, 3_900.0, 4_100.0)] == [1, 1, 2], "2 + t/2000 and t/1000"
    assert scheduler.queue.highest(30_000.0)[0] > OVERDUE_PRIORITY  # type: ignore[index]


def test_pinned_jobs_when_their_set_changes_then_are_blocked_or_boosted() -> None:
    scheduler = make_scheduler(retirement_boost=5.0)
    scheduler.admit(0.0, [], 1, 1, 1, 0.0, release_set=3)
    scheduler.admit(0.0, [], 1, 2, 1, 500.0)
    scheduler.on_set_change(1, 3, is_served=False, is_boosted=False)
    assert [job.ticket for _, job in scheduler.queue.oldest_by_group(100.0)] == [2]
    assert scheduler.queue.summarize(100.0, 9) == [(2, 600, 1)]
    scheduler.on_set_change(1, 3, is_served=True, is_boosted=True)
    priority, job = scheduler.queue.highest(100.0)  # type: ignore[misc]
    assert job.ticket == 1
    assert priority == 5.1
    scheduler.on_set_change(1, 3, is_served=True, is_boosted=False)
    assert scheduler.queue.highest(100.0)[1].ticket == 2  # type: ignore[index]


def test_job_with_a_key_when_the_claim_is_not_answered_then_is_blocked_for_a_while() -> None:
    scheduler = make_scheduler(blocked_ms=400.0)
    scheduler.admit(0.0, [], 1, 1, 0, 0.0, idempotency_key=7)
    scheduler.admit(0.0, [], 1, 2, 1, 0.0)
    (claim, other), _ = scheduler.tick(50.0, [])
    assert isinstance(claim, ClaimKey)
    assert claim.job.ticket == 1
    assert isinstance(other, Dispatch), "a job without a key is dispatched"
    scheduler.on_claim_result(150.0, claim.job, ClaimOutcome.UNKNOWN)
    assert scheduler.tick(200.0, [])[0] == []
    assert scheduler.tick(500.0, [])[0] == []
    (second_claim,), _ = scheduler.tick(600.0, [])
    assert isinstance(second_claim, ClaimKey)
    scheduler.on_claim_result(650.0, second_claim.job, ClaimOutcome.GRANTED)
    (dispatch,), _ = scheduler.tick(700.0, [])
    assert isinstance(dispatch, Dispatch)
    assert not scheduler.tickets
    assert not scheduler.queue.jobs
    assert scheduler.claims_in_flight == 0
    scheduler.on_claim_result(760.0, second_claim.job, ClaimOutcome.GRANTED)
    assert scheduler.tick(800.0, [])[0] == [], "the result arrives twice"


def test_permits_when_claims_are_in_flight_then_are_not_taken() -> None:
    permits_taken = []
    scheduler = Scheduler(
        (2,), 1, (JobClass("k"),), SchedulingLimits(), 0.0, lambda: permits_taken.append(1) is None, lambda count: None
    )
    for ticket in range(5):
        scheduler.admit(0.0, [], 1, ticket, 0, 0.0, idempotency_key=10 + ticket)
    assert len(scheduler.tick(50.0, [])[0]) == 5
    assert not permits_taken


def test_claim_when_the_job_was_removed_then_is_released_only_if_abandoned() -> None:
    """A job whose proxy was lost is submitted to another controller, which is granted the same claim.

    That controller may dispatch it. If its key were released, a job with another ticket could be dispatched as well.
    """
    for is_abandoned in (True, False):
        scheduler = make_scheduler()
        scheduler.admit(0.0, [], 1, 1, 0, 0.0, idempotency_key=7)
        (claim,), _ = scheduler.tick(50.0, [])
        if is_abandoned:
            scheduler.remove(1, 1, is_abandoned=True)
        else:
            scheduler.on_proxy_left(1)
        assert isinstance(claim, ClaimKey)
        assert scheduler.on_claim_result(100.0, claim.job, ClaimOutcome.GRANTED) is is_abandoned
