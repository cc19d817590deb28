"""Idempotency records of jobs."""

from __future__ import annotations

from corallanding.quorum_records.core import GroupRules, QuorumRecords, RecordPeers, ReplicaFile
from corallanding.quorum_records.limits import RecordLimits
from corallanding.quorum_records.queries import Queries, QueryLimits
from corallanding.scheduling.idempotency import IdempotencyRecords, KeyQuery, KeyStatus
from corallanding.scheduling.queue import Job


def make_records() -> IdempotencyRecords:
    """Return the records of a single controller, which holds their group."""
    quorum_records = QuorumRecords(
        RecordPeers(1, (), (1,), 9), RecordLimits(), 0.0, GroupRules(frozenset({5})), ReplicaFile(1, is_recovering=True)
    )
    records = IdempotencyRecords(Queries(1, (), 9, quorum_records, QueryLimits()), (5,))
    quorum_records.tick(0.0)
    quorum_records.acquire_group(5, 1)
    for now_ms in range(4):
        quorum_records.tick(float(now_ms))
    assert quorum_records.proposers[5].is_ready
    return records


def answer_to(records: IdempotencyRecords, now_ms: float, number: int) -> tuple[int, int]:
    """Return the status and the value of the answer to a query."""
    queries = records.queries
    queries.send_new(now_ms)
    for _ in range(6):
        records.records.tick(now_ms)
        queries.on_decisions(now_ms)
    (answer,) = queries.take_results(5)
    assert answer.number == number
    return answer.result, answer.value


def test_key_when_claimed_then_keeps_its_age_and_goes_to_one_owner() -> None:
    records = make_records()
    assert answer_to(records, 10.0, records.query_age(10.0, 77, 400.0)) == (KeyStatus.UNCLAIMED, 400)
    assert answer_to(records, 1_010.0, records.query_age(1_010.0, 77, 0.0)) == (KeyStatus.UNCLAIMED, 1_400), (
        "submitted again at another controller"
    )
    job = Job(1, 0, 3, 8, 0.0, idempotency_key=77)
    assert answer_to(records, 1_020.0, records.query_claim(1_020.0, job, 500))[0] == KeyStatus.GRANTED
    assert answer_to(records, 1_030.0, records.query_claim(1_030.0, job, 501))[0] == KeyStatus.DUPLICATE
    assert answer_to(records, 1_040.0, records.query_claim(1_040.0, job, 500))[0] == KeyStatus.GRANTED, (
        "the answer was lost: the owner is granted the claim again"
    )
    assert answer_to(records, 1_050.0, records.query_age(1_050.0, 77, 0.0))[0] == KeyStatus.DUPLICATE
    assert (KeyQuery.AGE, KeyQuery.CLAIM) == (0, 1)


def test_key_when_claimed_twice_at_once_then_is_granted_once() -> None:
    records = make_records()
    job = Job(1, 0, 3, 8, 0.0, idempotency_key=77)
    first = records.query_claim(10.0, job, 500)
    second = records.query_claim(10.0, job, 600)
    records.queries.send_new(10.0)
    for _ in range(8):
        records.records.tick(10.0)
        records.queries.on_decisions(10.0)
    records.queries.tick(500.0)
    for _ in range(8):
        records.records.tick(500.0)
        records.queries.on_decisions(500.0)
    results = {answer.number: answer.result for answer in records.queries.take_results(5)}
    assert sorted(results.values()) == [KeyStatus.GRANTED, KeyStatus.DUPLICATE]
    assert set(results) == {first, second}


def test_claim_when_released_by_its_owner_then_can_be_granted_again() -> None:
    records = make_records()
    job = Job(1, 0, 3, 8, 0.0, idempotency_key=77)
    assert answer_to(records, 10.0, records.query_claim(10.0, job, 500))[0] == KeyStatus.GRANTED
    assert answer_to(records, 20.0, records.query_release(20.0, job, 501))[0] == KeyStatus.UNCLAIMED, (
        "the claim of another owner is not released"
    )
    assert answer_to(records, 30.0, records.query_claim(30.0, job, 600))[0] == KeyStatus.DUPLICATE
    assert answer_to(records, 40.0, records.query_release(40.0, job, 500))[0] == KeyStatus.UNCLAIMED
    assert answer_to(records, 50.0, records.query_claim(50.0, job, 600))[0] == KeyStatus.GRANTED
