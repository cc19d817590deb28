"""The state of the feed as values: an estimator continues in another process."""

from __future__ import annotations

import pytest

from corallanding.load_reports.envelope import ReportHeader
from corallanding.load_reports.host_load import EstimatorPolicy
from corallanding.load_reports.load_estimator import ListedStart, LoadEstimator
from corallanding.load_reports.orca import ReportedLoad
from corallanding.load_reports.state import FeedState, capture_state, restore_state
from corallanding.snapshot import file


@pytest.mark.parametrize("at", [1, 7, 30, 59])
def test_estimator_when_handed_over_then_it_continues_as_before(at: int) -> None:
    """Handed over as bytes at any step, it says from there what it would have said."""

    def play(handed: bool) -> list[dict[int, float]]:
        estimator, said = LoadEstimator(EstimatorPolicy(window_ms=100.0, half_life_ms=1_000.0, expiry_ms=4_000.0)), []
        estimator.set_hosts(dict.fromkeys(range(5), ListedStart(0.0, 0, 0.0)))
        for n in range(60):
            now = 1e6 + n * 50.0
            estimator.add_nonce(now, bytes([n]) * 8)
            for h in range(5 if n < 40 else 3):
                head = ReportHeader(h, 0, 0, n, now, 5.0, bytes([max(0, n - h)]) * 8)
                estimator.on_report(now, now, head, ReportedLoad(2.0 if h == 4 else 0.5 + 0.01 * (n % 2)))
                estimator.on_usage(h, 4, n % 2, 300.0 + h)
            estimator.update(now)
            said.append(estimator.factors())
            if handed and n == at:
                state = file.unpack(file.pack(capture_state(estimator, "x", 1, 2, b"half", {})), FeedState)
                assert (state.partial_message, state.process_id, state.port) == (b"half", 1, 2)
                estimator = LoadEstimator(estimator.policy)
                restore_state(estimator, state)
        return said

    assert play(True) == play(False)
    assert any(play(False))
