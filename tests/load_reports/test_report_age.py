"""The age of a report, and its influence by age."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from corallanding.load_reports.envelope import NO_NONCE, ReportHeader
from corallanding.load_reports.host_load import influence
from corallanding.load_reports.load_estimator import ListedStart, LoadEstimator
from corallanding.load_reports.orca import ReportedLoad
from tests.load_reports.support import POLICY, STARTED_MS, WRONG_WALL_MS, Fleet

NONCE = b"tick-one"


def test_report_when_an_hour_old_then_it_has_no_influence() -> None:
    fleet = Fleet(3)
    assert not fleet.report(0, 5.0, late_ms=3_600_000.0, uptime_ms=1_000.0)
    assert fleet.estimator.counts.doubtful == 1, "no echo, and both start and clock disagree"
    nonce = fleet.add_nonce()
    assert fleet.report(1, 0.5, nonce)
    fleet.now_ms += 3_600_000.0
    assert not fleet.report(1, 0.5, uptime_ms=fleet.now_ms - 3_600_000.0 + 50.0)
    assert fleet.estimator.counts.expired == 1
    assert not fleet.report(1, 0.5, nonce, seq=1), "a replay"
    assert fleet.estimator.counts.repeated == 1, "a replay"
    assert not fleet.report(2, 0.5, nonce, uptime_ms=5.0), "an old nonce proves nothing"
    assert fleet.estimator.counts.doubtful == 2, "an old nonce proves nothing"


def test_report_when_its_clock_is_off_then_an_echoed_nonce_proves_its_age() -> None:
    fleet = Fleet(2)
    for host, skew_ms in enumerate((-300_000.0, 300_000.0)):
        assert fleet.report(host, 0.5, fleet.add_nonce(), uptime_ms=fleet.now_ms + skew_ms + 1e6)
    assert fleet.report(1, 0.6, uptime_ms=fleet.now_ms + 300_000.0 + 1e6), (
        "after one proven report the sender's own clock is sufficient"
    )


def test_report_when_of_a_former_process_then_it_has_no_influence() -> None:
    fleet = Fleet(1)
    fleet.report(0, 0.9, fleet.add_nonce())
    fleet.estimator.set_hosts({0: ListedStart(fleet.now_ms, STARTED_MS + 5000, fleet.now_ms)})
    assert fleet.estimator.reported(fleet.now_ms, fleet.estimator.hosts[0]).confidence == 0.0
    assert not fleet.report(0, 0.9, fleet.add_nonce())
    assert fleet.estimator.counts.former == 1
    assert not fleet.report(0, 0.9, fleet.add_nonce(), process_started_ms=STARTED_MS + 9000)
    assert fleet.estimator.counts.former == 2
    assert fleet.report(0, 0.9, fleet.add_nonce(), process_started_ms=STARTED_MS + 5000)
    assert not fleet.report(5, 0.9)
    assert fleet.estimator.counts.unlisted == 1


def test_host_when_it_repeats_one_value_then_its_influence_ends() -> None:
    fleet = Fleet(2)
    for _ in range(4 * 70):
        fleet.now_ms += 250.0
        fleet.report(0, 0.9, fleet.add_nonce())
    age_ms = fleet.estimator.hosts[0].processes[0].age_ms(fleet.now_ms, POLICY)
    assert age_ms == pytest.approx(70_000.0 - 250.0 - POLICY.constant_after_ms)
    assert fleet.estimator.reported(fleet.now_ms, fleet.estimator.hosts[0]).confidence == 0.0
    fleet.report(0, 0.91, fleet.add_nonce())
    assert fleet.estimator.reported(fleet.now_ms, fleet.estimator.hosts[0]).confidence == 1.0


def test_host_when_some_of_its_processes_stop_reporting_then_confidence_falls() -> None:
    fleet = Fleet(1)
    for process in range(3):
        fleet.report(0, 0.6, fleet.add_nonce(), process=process)
    assert not fleet.report(0, 0.6, fleet.add_nonce(), process=9)
    assert fleet.estimator.counts.crowded == 1
    host = fleet.estimator.hosts[0]
    assert fleet.estimator.reported(fleet.now_ms, host) == (0.6, 1.0)
    fleet.now_ms += 6000.0
    fleet.report(0, 0.9, fleet.add_nonce(), process=0)
    assert fleet.estimator.reported(fleet.now_ms, host) == (0.9, pytest.approx(1 / 3))


@given(st.floats(0, 1e5), st.floats(0, 1e5))
def test_influence_when_age_grows_then_it_never_grows(age_ms: float, other_ms: float) -> None:
    assert influence(max(age_ms, other_ms), POLICY) <= influence(min(age_ms, other_ms), POLICY) <= 1.0
    assert influence(POLICY.expiry_ms, POLICY) == 0.0


REPORTS = st.lists(
    st.tuples(
        st.integers(0, 1),
        st.integers(0, 1),
        st.integers(0, 6),
        st.sampled_from([0.2, 0.5, 0.9]),
        st.floats(0, 3000),
        st.booleans(),
    ),
    min_size=2,
    max_size=10,
    unique_by=lambda row: row[:3],
)


@given(REPORTS, st.randoms(use_true_random=False), st.floats(0, 4000))
@settings(max_examples=300, deadline=None)
def test_reports_when_in_any_order_then_the_result_is_the_same(rows: list[Any], rng: Any, later_ms: float) -> None:
    """Reports arrive in any order and with any delay; sequence numbers increase with the uptime of their process."""
    results = []
    for shuffled in (rows, rng.sample(rows, len(rows))):
        estimator = LoadEstimator(POLICY)
        estimator.set_hosts(dict.fromkeys((0, 1), ListedStart(0.0, STARTED_MS, 0.0)))
        estimator.add_nonce(100_000.0, NONCE)
        for host, process, seq, load, delay_ms, echoes in shuffled:
            uptime_ms = 5_000.0 + seq * 100.0
            nonce = NONCE if echoes else NO_NONCE
            header = ReportHeader(host, process, STARTED_MS, seq, uptime_ms, 0.0, nonce)
            arrived_at_ms = 100_200.0 + seq * 100.0 + delay_ms
            estimator.on_report(arrived_at_ms, WRONG_WALL_MS, header, ReportedLoad(load))
        now_ms = 104_000.0 + later_ms
        results.append([estimator.reported(now_ms, estimator.hosts[host]) for host in (0, 1)])
    for in_order, shuffled_order in zip(*results, strict=True):
        assert in_order == pytest.approx(shuffled_order)
