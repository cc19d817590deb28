"""Joins are admitted at a bounded rate and in fair order, even if a proxy joins in a loop."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from corallanding.controller.join_admission import JoinAdmission


def test_joins_when_a_thousand_are_requested_at_once_then_admitted_at_the_rate_in_order() -> None:
    joins = JoinAdmission(rate_per_second=100.0, min_interval_ms=500.0, max_interval_ms=4000.0, now=0.0)
    for proxy in range(1000):
        joins.request(0.0, proxy)
    admissions = [(now_ms, proxy) for now_ms in range(0, 12_000, 10) for proxy in joins.admit_due(float(now_ms))]
    assert [proxy for _, proxy in admissions] == list(range(1000))
    assert len([1 for now_ms, _ in admissions if now_ms == 0]) == 25
    assert 9_700 <= admissions[-1][0] <= 9_800
    assert joins.next_at(12_000.0) is None


def test_joins_when_a_proxy_joins_in_a_loop_then_it_waits_longer_and_others_do_not() -> None:
    joins = JoinAdmission(rate_per_second=10.0, min_interval_ms=500.0, max_interval_ms=4000.0, now=0.0)
    admitted: dict[int, list[int]] = {1: [], 2: []}
    for now_ms in range(0, 60_000, 10):
        joins.request(float(now_ms), 1)  # rejoins at once, every time
        if now_ms == 30_000:
            joins.request(float(now_ms), 2)
        for proxy in joins.admit_due(float(now_ms)):
            admitted[proxy].append(now_ms)
    gaps = [b - a for a, b in zip(admitted[1], admitted[1][1:], strict=False)]
    assert gaps[:5] == [500, 1000, 2000, 4000, 4000]
    assert max(gaps) <= 4010
    assert admitted[2] == [30_000]
    joins.request(90_000.0, 1)
    assert joins.admit_due(90_000.0) == [1], "the backoff is reset after a long absence"


def test_joins_when_a_waiting_proxy_disconnects_then_it_is_skipped() -> None:
    joins = JoinAdmission(rate_per_second=1.0, min_interval_ms=500.0, max_interval_ms=4000.0, now=0.0)
    for proxy in (1, 2, 3):
        joins.request(0.0, proxy)
    joins.cancel(2)
    assert [proxy for now_ms in range(0, 5000, 100) for proxy in joins.admit_due(float(now_ms))] == [1, 3]


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.sampled_from(["request", "cancel", "run"]), st.integers(0, 3), st.floats(1, 3000))))
def test_joins_when_requests_and_cancellations_mix_then_every_request_is_admitted_once(
    actions: list[tuple[str, int, float]],
) -> None:
    joins = JoinAdmission(rate_per_second=20.0, min_interval_ms=300.0, max_interval_ms=2000.0, now=0.0)
    now_ms, waiting = 0.0, set[int]()
    for action, proxy, elapsed_ms in actions:
        if action == "request":
            assert joins.request(now_ms, proxy) <= now_ms + 2000.0
            waiting.add(proxy)
        elif action == "cancel":
            joins.cancel(proxy)
            waiting.discard(proxy)
        else:
            now_ms += elapsed_ms
            due = joins.admit_due(now_ms)
            assert set(due) <= waiting
            assert len(set(due)) == len(due)
            waiting -= set(due)
    while waiting:
        next_at_ms = joins.next_at(now_ms)
        assert next_at_ms is not None
        assert next_at_ms <= now_ms + 2000.0
        now_ms = max(now_ms + 1.0, next_at_ms)
        waiting -= set(joins.admit_due(now_ms))
