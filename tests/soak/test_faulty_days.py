"""A short day with faults on real processes, from a fixed seed; `faulty_days` plays longer series by hand."""

from __future__ import annotations

import asyncio

import pytest

from tests.soak.faulty_days import FaultyDay

pytestmark = pytest.mark.processes

SMALL_FLEET = 40  # hosts: few enough for a machine that runs other tests beside


@pytest.mark.parametrize("seed", [301])
def test_rules_when_hosts_calls_clocks_and_a_controller_fail_in_series_then_they_are_kept(seed: int) -> None:
    outcome = asyncio.run(FaultyDay(seed, host_count=SMALL_FLEET).play())
    assert not outcome.broken, f"{outcome.summary}; stand-ins late by {outcome.lag_ms:.0f} ms at most"
