"""Mistakes injected into the code: the simulations of faults must detect each of them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from corallanding.lab.stewards.walk import Walk
from corallanding.quorum_records.proposer import Proposer
from corallanding.version_pinning.releases import ReleaseCoordinator
from tests.version_pinning.support import (
    deny_on_one_rejection,
    keep_first_read,
    reopen_retired_set,
    run_faulty_world,
    send_before_writing,
    skip_reading,
)

MISTAKES: dict[str, tuple[Callable[[Any], None], str, int]] = {
    # name: (mistake, simulation that detects it, first seed)
    "answered before a majority has the record": (
        lambda patch: patch.setattr(Proposer, "quorum_size", property(lambda self: 1)),
        "world",
        0,
    ),
    "a new holder does not read the records": (skip_reading, "walk", 0),
    "a read record is answered without confirmation": (
        lambda patch: patch.setattr(Proposer, "confirm", lambda self, now_ms, key: True),
        "world",
        2,
    ),
    "the first record that is read wins": (keep_first_read, "world", 10),
    "one rejection counts as a majority": (deny_on_one_rejection, "world", 10),
    "retired without run counts": (
        lambda patch: patch.setattr(ReleaseCoordinator, "is_unused", lambda self, packed_register, release_set: True),
        "world",
        0,
    ),
    "messages are sent before the file is written": (send_before_writing, "world", 1),
    "a retired set opens again": (reopen_retired_set, "walk", 0),
}


@pytest.mark.parametrize("name", MISTAKES)
def test_simulation_when_a_mistake_is_planted_then_finds_it(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    inject_mistake, simulation, first_seed = MISTAKES[name]
    inject_mistake(monkeypatch)
    for seed in range(first_seed, first_seed + (6 if simulation == "world" else 40)):
        if simulation == "world":
            world = run_faulty_world(seed)
            if world.split() or world.revived():
                return
        elif Walk(seed, keepers=3 + 2 * (seed % 2)).run(4_000):
            return
    pytest.fail(f"{name}: not found")
