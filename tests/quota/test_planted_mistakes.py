"""Mutations are detected by a dangerous order of events, or by a simulation with faults."""

from __future__ import annotations

import pytest

from tests.quota.mistakes import MISTAKES, Mistake
from tests.quota.orders import ORDERS
from tests.quota.support import ms_over_capacity, run_simulation


@pytest.mark.parametrize("mistake", MISTAKES, ids=lambda mistake: mistake.__name__)
def test_capacity_when_a_mistake_is_planted_then_it_is_exceeded(
    mistake: Mistake, monkeypatch: pytest.MonkeyPatch
) -> None:
    mistake(monkeypatch)
    assert any(order() > 0 for order in ORDERS) or any(ms_over_capacity(run_simulation(seed)) > 0 for seed in range(60))
