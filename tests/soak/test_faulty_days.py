"""Short days with faults on real processes, from fixed seeds; `faulty_days` plays longer series by hand."""

from __future__ import annotations

import asyncio

import pytest

from tests.soak.faulty_days import MAX_LAG_MS, FaultyDay

pytestmark = pytest.mark.processes


@pytest.mark.parametrize("seed", [13])
def test_rules_when_hosts_and_a_controller_restart_in_series_then_they_are_kept(seed: int) -> None:
    outcome = asyncio.run(FaultyDay(seed).play())
    assert outcome.lag_ms < MAX_LAG_MS, "the machine is too busy for a verdict"
    assert not outcome.broken, outcome.summary
