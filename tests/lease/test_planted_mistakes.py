"""The scenarios pass on the real code, and a scenario or simulation detects each injected mistake."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from tests.lease.support import faulty_world, violations
from tests.lease.support_mistakes import MISTAKES
from tests.lease.support_scenes import SCENARIOS


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda function: function.__name__)
def test_scenario_when_run_then_has_one_holder(scenario: Callable[[], int]) -> None:
    assert scenario() == 0


@pytest.mark.parametrize("mistake", MISTAKES, ids=lambda function: function.__name__)
def test_planted_mistake_when_scenarios_and_simulations_run_then_is_found(
    mistake: Callable[[pytest.MonkeyPatch], None], monkeypatch: Any
) -> None:
    mistake(monkeypatch)
    assert any(scenario() > 0 for scenario in SCENARIOS) or any(violations(faulty_world(seed)) for seed in range(60))
