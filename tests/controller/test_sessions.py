"""Proxy processes: jobs are delayed until the age of their process is known."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from corallanding.controller.sessions import MAX_DELAYED_JOBS, MAX_DELAYED_JOBS_OF_ALL, Admission, Sessions
from corallanding.quorum_records.queries import QueryResult
from corallanding.scheduling.idempotency import KeyStatus
from corallanding.wire import frames


class FakeQueries:
    """A test double for the records: counts queries, which are numbered from 1."""

    def __init__(self) -> None:
        self.query_count = 0
        self.cancelled: list[int] = []
        self.is_scheduled = False

    def query_age(self, now_ms: float, key: int, waited_ms: float) -> int:
        self.query_count += 1
        return self.query_count

    def cancel(self, number: int) -> None:
        self.cancelled.append(number)

    def schedule_queries(self) -> None:
        self.is_scheduled = True


def sessions_with(queries: FakeQueries) -> Sessions:
    fake: Any = queries
    return Sessions(fake, fake)


def job_submission(ticket: int) -> frames.JobSubmission:
    submission: Any = SimpleNamespace(ticket=ticket)
    return submission


def test_session_when_there_are_no_records_then_it_is_as_old_as_its_connection() -> None:
    sessions = Sessions(None, None)
    sessions.on_proxy_joined(1_000.0, 4, "one")
    assert sessions.admit(1_500.0, 4, job_submission(1)) is Admission.NOW
    assert sessions.age_ms(1_500.0, 4) == 500.0
    assert sessions.name(4) == "one"


def test_session_when_its_proxy_sent_no_hello_then_jobs_are_rejected() -> None:
    sessions = Sessions(None, None)
    assert sessions.admit(0.0, 4, job_submission(1)) is Admission.REJECTED
    assert sessions.age_ms(0.0, 4) == 0.0


def test_session_when_its_age_is_answered_then_delayed_jobs_are_released_and_it_has_that_age() -> None:
    queries = FakeQueries()
    sessions = sessions_with(queries)
    sessions.on_proxy_joined(1_000.0, 4, "one")
    sessions.on_proxy_joined(1_001.0, 4, "one")
    assert (queries.query_count, queries.is_scheduled) == (1, True), "queried once"
    assert sessions.admit(1_010.0, 4, job_submission(1)) is Admission.DELAYED
    released = sessions.on_answer(1_020.0, QueryResult(1, KeyStatus.UNCLAIMED, 600))
    assert released.proxy == 4
    assert [(delayed.received_at, delayed.frame.ticket) for delayed in released.jobs] == [(1_010.0, 1)]
    assert sessions.age_ms(1_020.0, 4) == 600.0
    assert sessions.admit(1_030.0, 4, job_submission(2)) is Admission.NOW


def test_session_when_no_majority_answers_then_the_query_is_repeated_and_jobs_stay_delayed() -> None:
    queries = FakeQueries()
    sessions = sessions_with(queries)
    sessions.on_proxy_joined(0.0, 4, "one")
    sessions.admit(1.0, 4, job_submission(1))
    assert sessions.on_answer(2.0, QueryResult(1, KeyStatus.UNAVAILABLE, 0)).jobs == []
    assert queries.query_count == 2
    assert len(sessions.on_answer(3.0, QueryResult(2, KeyStatus.UNCLAIMED, 9)).jobs) == 1


def test_session_when_another_process_has_joined_since_then_the_answer_is_ignored() -> None:
    sessions = sessions_with(FakeQueries())
    sessions.on_proxy_joined(0.0, 4, "one")
    sessions.admit(1.0, 4, job_submission(1))
    sessions.on_proxy_joined(2.0, 4, "two")
    assert sessions.on_answer(3.0, QueryResult(1, KeyStatus.UNCLAIMED, 900)).jobs == []
    assert sessions.age_ms(3.0, 4) == 1.0


def test_session_when_too_many_jobs_are_delayed_then_further_ones_are_rejected() -> None:
    sessions = sessions_with(FakeQueries())
    sessions.on_proxy_joined(0.0, 4, "one")
    for number in range(MAX_DELAYED_JOBS):
        assert sessions.admit(1.0, 4, job_submission(number)) is Admission.DELAYED
    assert sessions.admit(1.0, 4, job_submission(MAX_DELAYED_JOBS)) is Admission.REJECTED


def test_jobs_when_their_proxy_leaves_before_its_age_is_known_then_they_are_dropped() -> None:
    queries = FakeQueries()
    sessions = sessions_with(queries)
    sessions.on_proxy_joined(0.0, 4, "one")
    sessions.admit(1.0, 4, job_submission(1))
    assert sessions.on_proxy_left(4) == 1
    assert queries.cancelled == [1]
    sessions.on_proxy_joined(100.0, 4, "one")
    assert queries.query_count == 2
    sessions.admit(101.0, 4, job_submission(2))
    released = sessions.on_answer(110.0, QueryResult(2, KeyStatus.UNCLAIMED, 110))
    assert [delayed.frame.ticket for delayed in released.jobs] == [2]
    assert sessions.delayed_count == 0


def test_job_when_withdrawn_or_sent_twice_while_delayed_then_it_is_dropped_or_counted_once() -> None:
    sessions = sessions_with(FakeQueries())
    sessions.on_proxy_joined(0.0, 4, "one")
    for ticket in (1, 2, 2):
        assert sessions.admit(1.0, 4, job_submission(ticket)) is Admission.DELAYED
    assert sessions.withdraw(4, 1)
    assert not sessions.withdraw(4, 1)
    assert not sessions.withdraw(5, 2)
    assert sessions.delayed_count == 1
    released = sessions.on_answer(2.0, QueryResult(1, KeyStatus.UNCLAIMED, 9))
    assert [delayed.frame.ticket for delayed in released.jobs] == [2]


def test_jobs_when_one_proxy_delays_all_that_it_may_then_others_may_delay_as_many_again() -> None:
    """Guards against proxies that use up the memory of delayed jobs, or the places of all others."""
    sessions = sessions_with(FakeQueries())
    delayed = []
    for proxy in range(8):
        sessions.on_proxy_joined(0.0, proxy, "one")
        tickets = range(MAX_DELAYED_JOBS + 1)
        delayed.append(sum(sessions.admit(1.0, proxy, job_submission(n)) is Admission.DELAYED for n in tickets))
    assert delayed[:3] == [MAX_DELAYED_JOBS, MAX_DELAYED_JOBS // 2, MAX_DELAYED_JOBS // 4]
    assert all(delayed)
    assert sum(delayed) <= MAX_DELAYED_JOBS_OF_ALL
