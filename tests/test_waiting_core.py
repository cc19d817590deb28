"""Waiting work, one job, one queue, one record at a time; and the audit that judges its order."""

from __future__ import annotations

import random
from typing import Any

import msgspec

from corallanding.lab.order import judge
from corallanding.quorum_records.core import QuorumRecords
from corallanding.quorum_records.limits import RecordLimits
from corallanding.quorum_records.queries import Queries, QueryLimits
from corallanding.scheduling.actions import ClaimKey, ClaimOutcome, Dispatch, RejectionReason
from corallanding.scheduling.core import Scheduler
from corallanding.scheduling.idempotency import IdempotencyRecords, KeyQuery, KeyStatus
from corallanding.scheduling.limits import OVERDUE_PRIORITY, JobClass, SchedulingLimits
from corallanding.scheduling.messages import MAX_LEVELS, MAX_ROWS, QueueSummary, is_valid
from corallanding.scheduling.peer_queues import PeerQueues, estimate_jobs_above
from corallanding.scheduling.queue import Job, JobQueue

# ---- one job, one record -----------------------------------------------------------------------------------


def alone() -> IdempotencyRecords:
    records = QuorumRecords(1, (), (1,), 9, RecordLimits(), 0.0, [5], 1, True)
    claims = IdempotencyRecords(Queries(1, (), 9, records, QueryLimits()), (5,))
    records.tick(0.0)
    records.hold(5, 1)
    for now in range(4):
        records.tick(float(now))
    assert records.held[5].open
    return claims


def asked(claims: IdempotencyRecords, now: float, number: int) -> tuple[int, int]:
    asking = claims.queries
    asking.push(now)
    for _ in range(6):
        claims.records.tick(now)
        asking.decided(now)
    (told,) = asking.take(5)
    assert told.number == number
    return told.what, told.value


def test_a_fingerprint_keeps_its_age_and_goes_to_one_owner() -> None:
    claims = alone()
    assert asked(claims, 10.0, claims.query_age(10.0, 77, 400.0)) == (KeyStatus.UNCLAIMED, 400)
    assert asked(claims, 1_010.0, claims.query_age(1_010.0, 77, 0.0)) == (KeyStatus.UNCLAIMED, 1_400), (
        "brought again elsewhere"
    )
    job = Job(1, 0, 3, 8, 0.0, idempotency_key=77)
    assert asked(claims, 1_020.0, claims.query_claim(1_020.0, job, 500))[0] == KeyStatus.GRANTED
    assert asked(claims, 1_030.0, claims.query_claim(1_030.0, job, 501))[0] == KeyStatus.DUPLICATE
    assert asked(claims, 1_040.0, claims.query_claim(1_040.0, job, 500))[0] == KeyStatus.GRANTED, (
        "its word was lost: it may go again"
    )
    assert asked(claims, 1_050.0, claims.query_age(1_050.0, 77, 0.0))[0] == KeyStatus.DUPLICATE
    assert (KeyQuery.AGE, KeyQuery.CLAIM) == (0, 1)


def test_two_claims_at_one_time_are_granted_once() -> None:
    claims, job = alone(), Job(1, 0, 3, 8, 0.0, idempotency_key=77)
    first, second = claims.query_claim(10.0, job, 500), claims.query_claim(10.0, job, 600)
    claims.queries.push(10.0)
    for _ in range(8):
        claims.records.tick(10.0)
        claims.queries.decided(10.0)
    claims.queries.tick(500.0)
    for _ in range(8):
        claims.records.tick(500.0)
        claims.queries.decided(500.0)
    ends = {t.number: t.what for t in claims.queries.take(5)}
    assert sorted(ends.values()) == [KeyStatus.GRANTED, KeyStatus.DUPLICATE]
    assert set(ends) == {first, second}


def held(right: bool = True, **terms: Any) -> Scheduler:
    kinds = (JobClass("claim", 2.0, 2_000.0, 30_000.0, 3), JobClass("rank", 0.0, 1_000.0, 30_000.0))
    return Scheduler((2,), 1, kinds, SchedulingLimits(**terms), 0.0, lambda: right, lambda n: None)


def test_a_full_table_refuses_the_new_by_name_and_throws_out_none() -> None:
    w = held()
    for k in range(3):
        assert w.admit(0.0, [], 1, k, 0, 0.0).rejection is None
    assert w.admit(0.0, [], 1, 9, 0, 0.0).rejection == RejectionReason.FULL
    assert len(w.queue.jobs) == 3
    assert w.admit(0.0, [], 1, 2, 0, 0.0).rejection is None, "one that it has is the same job"
    w = held(dispatches_per_second=0.05)
    assert w.admit(0.0, [], 1, 1, 1, 0.0).rejection is None
    rejected = w.admit(0.0, [], 1, 2, 1, 0.0)
    assert rejected == (None, RejectionReason.TOO_LONG, 40_000.0), "it is told so when it is taken in"
    assert [reason.value for reason in RejectionReason] == ["full", "too-long"]
    assert w.admit(0.0, [], 1, 3, 1, 9_000.0).rejection is None, "one that is handed on is never sent away for that"


def test_of_several_patiences_the_order_is_that_of_the_instant() -> None:
    w = held()
    w.admit(0.0, [], 1, 1, 0, 0.0)
    w.admit(0.0, [], 1, 2, 1, 0.0)
    best = lambda now: w.queue.highest(now)[1].ticket  # type: ignore[index]  # noqa: E731
    assert best(0.0) == 1 and best(3_900.0) == 1 and best(4_100.0) == 2, "2 + t/2000 against t/1000"
    assert w.queue.highest(30_000.0)[0] > OVERDUE_PRIORITY  # type: ignore[index]


def test_jobs_without_a_host_stand_aside_and_those_that_keep_a_set_alive_rise() -> None:
    w = held(retirement_boost=5.0)
    w.admit(0.0, [], 1, 1, 1, 0.0, release_set=3)
    w.admit(0.0, [], 1, 2, 1, 500.0)
    w.on_set_change(1, 3, is_served=False, is_boosted=False)
    assert [s.ticket for _, s in w.queue.oldest_by_group(100.0)] == [2]
    assert w.queue.summarize(100.0, 9) == [(2, 600, 1)]
    w.on_set_change(1, 3, is_served=True, is_boosted=True)
    standing, job = w.queue.highest(100.0)  # type: ignore[misc]
    assert job.ticket == 1
    assert standing == 5.1
    w.on_set_change(1, 3, is_served=True, is_boosted=False)
    assert w.queue.highest(100.0)[1].ticket == 2  # type: ignore[index]


def test_a_fingerprinted_job_is_asked_for_before_it_goes_and_stands_aside_if_nobody_can_say() -> None:
    w = held(blocked_ms=400.0)
    w.admit(0.0, [], 1, 1, 0, 0.0, idempotency_key=7)
    w.admit(0.0, [], 1, 2, 1, 0.0)
    (ask, other), _ = w.tick(50.0, [])
    assert isinstance(ask, ClaimKey) and ask.job.ticket == 1 and isinstance(other, Dispatch), (
        "one that needs no answer goes on"
    )
    w.on_claim_result(150.0, ask.job, ClaimOutcome.UNKNOWN)
    assert w.tick(200.0, [])[0] == []
    assert w.tick(500.0, [])[0] == []
    (again,), _ = w.tick(600.0, [])
    assert isinstance(again, ClaimKey)
    w.on_claim_result(650.0, again.job, ClaimOutcome.GRANTED)
    (go,), _ = w.tick(700.0, [])
    assert isinstance(go, Dispatch)
    assert not w.tickets
    assert not w.queue.jobs
    assert w.claims_in_flight == 0
    w.on_claim_result(760.0, again.job, ClaimOutcome.GRANTED)
    assert w.tick(800.0, [])[0] == [], "said twice"


def test_no_right_is_spent_while_a_claim_is_out() -> None:
    spent = []
    w = Scheduler((2,), 1, (JobClass("k"),), SchedulingLimits(), 0.0, lambda: spent.append(1) is None, lambda n: None)
    for ticket in range(5):
        w.admit(0.0, [], 1, ticket, 0, 0.0, idempotency_key=10 + ticket)
    assert len(w.tick(50.0, [])[0]) == 5
    assert not spent


def test_a_claim_that_came_to_nothing_is_given_back() -> None:
    claims, job = alone(), Job(1, 0, 3, 8, 0.0, idempotency_key=77)
    assert asked(claims, 10.0, claims.query_claim(10.0, job, 500))[0] == KeyStatus.GRANTED
    assert asked(claims, 20.0, claims.query_release(20.0, job, 501))[0] == KeyStatus.UNCLAIMED, (
        "another's is not given back"
    )
    assert asked(claims, 30.0, claims.query_claim(30.0, job, 600))[0] == KeyStatus.DUPLICATE
    assert asked(claims, 40.0, claims.query_release(40.0, job, 500))[0] == KeyStatus.UNCLAIMED
    assert asked(claims, 50.0, claims.query_claim(50.0, job, 600))[0] == KeyStatus.GRANTED


def test_a_million_jobs_stay_in_order_and_a_word_stays_within_a_datagram() -> None:
    kinds, c = tuple(JobClass(f"k{n}", float(n), 1_000.0 * (n + 1)) for n in range(8)), random.Random(1)
    q = JobQueue(kinds, 2.0)
    for n in range(200_000):
        q.add(Job(0, n % 8, 1, n, c.uniform(-1e6, 0.0)))
    top = q.highest_priorities(0.0, 50)
    assert top == sorted((q.effective_priority(0.0, j) for j in q.jobs.values()), reverse=True)[:50]
    word = QueueSummary(2**62, 2**40, q.summarize(0.0, MAX_ROWS), [int(x * 1e3) for x in top[:MAX_LEVELS]], len(q.jobs))
    assert len(msgspec.msgpack.encode(word)) < 240
    assert is_valid(word)


def test_counts_between_levels_are_estimates_in_order() -> None:
    levels = [1_000, 800, 400, 100]
    found = [estimate_jobs_above(levels, x) for x in (2_000, 900, 600, 200, 50)]
    assert found == sorted(found)
    assert found[0] == 0.0
    assert 1.0 <= found[1] < 2.0
    assert found[-1] == 8.0


def test_a_word_of_one_with_other_operations_is_refused() -> None:
    lines = PeerQueues((JobClass("a"),), 2.0, 1_000.0)
    lines.on_summary(0.0, 2, QueueSummary(1, 1, [(2, 5, 1)], [], 1))
    assert lines.rejected_count == 1
    assert lines.watermark(0.0, [2]) == float("-inf")
    lines.on_summary(0.0, 2, QueueSummary(1, 5, [(0, 5_000, 1)], [], 1))
    lines.on_summary(0.0, 2, QueueSummary(1, 4, [(0, 90_000, 1)], [], 1))
    assert lines.watermark(1_000.0, [2]) == 0.6, "an older word that came late is passed over"
    assert lines.watermark(1_001.0, [2]) == float("-inf"), "one that was not heard of for long is not waited for"


def test_the_audit_finds_an_order_that_is_wrong_one_that_went_twice_and_one_that_is_lost() -> None:
    kinds = [(0.0, 1_000.0, 1e9)]
    came = {1: (0.0, 0), 2: (5_000.0, 0), 3: (0.0, 0)}
    one = [(1, 0, 0.0, 9_000.0)]
    good = judge(kinds, came, [*one, (2, 1, 5_000.0, 9_100.0)], [(9_000.0, 1, 0, [1]), (9_100.0, 2, 1, [0])], 500.0)
    assert (good["inversions_over_bound"], good["doubled"], good["lost"]) == (0, 0, 1)
    wrong = judge(kinds, came, one, [(8_000.0, 2, 1, [0]), (9_000.0, 1, 0, []), (9_050.0, 1, 0, [])], 500.0)
    assert (wrong["inversions_over_bound"], wrong["worst_inversion_ms"], wrong["doubled"]) == (1, 5_000.0, 1)
    apart = judge(kinds, came, one, [(8_000.0, 2, 1, [])], 500.0)
    assert (apart["inversions_over_bound"], apart["apart"]) == (0, 1), "nobody can order what it cannot hear of"


def test_a_claim_is_given_back_only_where_the_client_gave_up() -> None:
    """One whose link was lost is handed to another steward, who is granted the same claim and may let it go: to free
    its fingerprint then would let a second ticket go as well."""
    for ended in (True, False):
        w = held()
        w.admit(0.0, [], 1, 1, 0, 0.0, idempotency_key=7)
        (ask,), _ = w.tick(50.0, [])
        if ended:
            w.remove(1, 1, is_abandoned=True)
        else:
            w.on_proxy_left(1)
        assert isinstance(ask, ClaimKey)
        assert w.on_claim_result(100.0, ask.job, ClaimOutcome.GRANTED) is ended
