"""Workflow runs under all faults at once, and with leases that several controllers hold at a time."""

from __future__ import annotations

import pytest

from corallanding.lab.stewards.walk import Walk
from corallanding.version_pinning.messages import RunStatus
from tests.version_pinning.support import (
    run_faulty_world,
)


@pytest.mark.parametrize("seeds", [range(first_seed, first_seed + 4) for first_seed in range(0, 16, 4)])
def test_runs_when_all_faults_occur_then_keep_their_set_and_no_retired_set_reopens(seeds: range) -> None:
    pinned = retired = 0
    for seed in seeds:
        world = run_faulty_world(seed)
        assert not world.split(), seed
        assert not world.revived(), seed
        pinned += sum(row[3] == RunStatus.PINNED for row in world.told)
        retired += len(world.retired_at)
    assert pinned > 1_000
    assert retired >= 4


@pytest.mark.parametrize("seeds", [range(first_seed, first_seed + 25) for first_seed in range(0, 100, 25)])
def test_runs_when_leases_overlap_then_keep_their_set(seeds: range) -> None:
    answers = 0
    for seed in seeds:
        world = Walk(seed, keepers=3 + 2 * (seed % 2))
        assert world.run(4_000) == [], seed
        answers += world.answers
    assert answers > 250
