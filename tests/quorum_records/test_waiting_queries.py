"""Waiting queries: their number is bounded, and those without a requester are dropped."""

from __future__ import annotations

from corallanding.quorum_records.query_state import Requester
from corallanding.quorum_records.waiting_queries import MAX_REQUESTERS, WaitingQueries

MAX_RECORDS = 3
TIMEOUT_MS = 100.0
REQUESTER = Requester(1, 7, 0)


def waiting_queries() -> WaitingQueries:
    return WaitingQueries(MAX_RECORDS, TIMEOUT_MS)


def test_queries_when_on_ever_new_records_then_their_number_is_bounded() -> None:
    """Guards against a table that grows with each rejected query, while no majority can answer."""
    waiting = waiting_queries()
    assert [waiting.add(0.0, (0, key), REQUESTER, key, 0) for key in range(1_000)].count(True) == MAX_RECORDS
    assert len(waiting.by_record) == MAX_RECORDS
    assert waiting.add(1.0, (0, 1), REQUESTER, 2_000, 5), "a known record is still accepted"
    assert waiting.on_record((0, 1))[REQUESTER].argument == 5


def test_queries_when_too_many_ask_for_one_record_then_the_rest_is_rejected() -> None:
    waiting = waiting_queries()
    for incarnation in range(MAX_REQUESTERS + 1):
        waiting.add(0.0, (0, 1), Requester(1, incarnation, 0), 1, 0)
    assert len(waiting.on_record((0, 1))) == MAX_REQUESTERS


def test_query_when_not_repeated_or_its_group_is_lost_then_it_is_dropped() -> None:
    waiting = waiting_queries()
    for key in (1, 2):
        waiting.add(0.0, (0, key), REQUESTER, key, 0)
    waiting.add(0.0, (9, 3), REQUESTER, 3, 0)
    waiting.add(60.0, (0, 1), REQUESTER, 1, 0)
    waiting.remove_outdated(TIMEOUT_MS + 1.0, {0})
    assert list(waiting.by_record) == [(0, 1)]
    waiting.remove((0, 1), REQUESTER)
    assert not waiting.by_record


def test_query_when_an_older_one_arrives_late_then_the_newer_one_stays() -> None:
    waiting = waiting_queries()
    waiting.add(0.0, (0, 1), REQUESTER, 5, 50)
    waiting.add(1.0, (0, 1), REQUESTER, 4, 40)
    assert waiting.on_record((0, 1))[REQUESTER].number == 5
