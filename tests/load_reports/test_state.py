"""Handover of the feed's state: an estimator continues in another process."""

from __future__ import annotations

import pytest

from corallanding.load_reports.envelope import ReportHeader
from corallanding.load_reports.host_load import EstimatorPolicy
from corallanding.load_reports.load_estimator import ListedStart, LoadEstimator
from corallanding.load_reports.orca import ReportedLoad
from corallanding.load_reports.state import FeedState, capture_state, restore_state
from corallanding.snapshot import file

STEPS = 60
FULL_REPORT_STEPS = 40  # steps in which all hosts report


def step(estimator: LoadEstimator, number: int) -> dict[int, float]:
    """Send one round of reports, update the estimator, and return the factors."""
    now_ms = 1e6 + number * 50.0
    estimator.add_nonce(now_ms, bytes([number]) * 8)
    for host in range(5 if number < FULL_REPORT_STEPS else 3):
        nonce = bytes([max(0, number - host)]) * 8
        header = ReportHeader(host, 0, 0, number, now_ms, 5.0, nonce)
        load = ReportedLoad(2.0 if host == 4 else 0.5 + 0.01 * (number % 2))
        estimator.on_report(now_ms, now_ms, header, load)
        estimator.on_usage(host, 4, number % 2, 300.0 + host)
    estimator.update(now_ms)
    return estimator.factors()


def hand_over(estimator: LoadEstimator) -> LoadEstimator:
    """Hand the state over as bytes, and return the estimator that continues."""
    state = file.unpack(file.pack(capture_state(estimator, "x", 1, 2, b"half", {})), FeedState)
    assert (state.partial_message, state.process_id, state.port) == (b"half", 1, 2)
    successor = LoadEstimator(estimator.policy)
    restore_state(successor, state)
    return successor


def run_steps(handover_step: int | None) -> list[dict[int, float]]:
    """Return the factors after each step, with a handover after `handover_step`."""
    estimator = LoadEstimator(EstimatorPolicy(window_ms=100.0, half_life_ms=1_000.0, expiry_ms=4_000.0))
    estimator.set_hosts(dict.fromkeys(range(5), ListedStart(0.0, 0, 0.0)))
    factors = []
    for number in range(STEPS):
        factors.append(step(estimator, number))
        if number == handover_step:
            estimator = hand_over(estimator)
    return factors


@pytest.mark.parametrize("handover_step", [1, 7, 30, 59])
def test_estimator_when_handed_over_then_it_continues_as_before(handover_step: int) -> None:
    factors_without_handover = run_steps(None)
    assert run_steps(handover_step) == factors_without_handover
    assert any(factors_without_handover)
