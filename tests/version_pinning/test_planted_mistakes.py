"""Mistakes planted in the code: the simulations of faults must find each of them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from corallanding.lab.stewards.walk import Walk
from corallanding.quorum_records.proposer import Proposer
from corallanding.version_pinning.releases import ReleaseCoordinator
from tests.version_pinning.support import (
    deny_on_one_refusal,
    keep_first_read,
    play_world,
    reopen_retired_set,
    send_before_writing,
    skip_reading,
)

MISTAKES: dict[str, tuple[Callable[[Any], None], str, int]] = {
    # name: the mistake, where it is looked for, the seed from which on
    "told before a majority has it": (
        lambda patch: patch.setattr(Proposer, "quorum_size", property(lambda s: 1)),
        "world",
        0,
    ),
    "a new holder does not read": (skip_reading, "walk", 0),
    "what was read is told unconfirmed": (
        lambda patch: patch.setattr(Proposer, "confirm", lambda self, now, key: True),
        "world",
        2,
    ),
    "the first that is read wins": (keep_first_read, "world", 10),
    "one refusal counts for all": (deny_on_one_refusal, "world", 10),
    "retired without a tally": (
        lambda patch: patch.setattr(ReleaseCoordinator, "is_unused", lambda self, packed_register, release_set: True),
        "world",
        0,
    ),
    "words go before the file is written": (send_before_writing, "world", 1),
    "a retired set opens again": (reopen_retired_set, "walk", 0),
}


@pytest.mark.parametrize("name", MISTAKES)
def test_simulation_when_a_mistake_is_planted_then_finds_it(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    plant, where, first = MISTAKES[name]
    plant(monkeypatch)
    for seed in range(first, first + (6 if where == "world" else 40)):
        if where == "world":
            world = play_world(seed)
            if world.split() or world.revived():
                return
        elif Walk(seed, keepers=3 + 2 * (seed % 2)).run(4_000):
            return
    pytest.fail(f"{name}: not found")
