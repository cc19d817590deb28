"""Runs keep the versions that they began with: faulty worlds, walks with leases that exclude nobody, mistakes planted
in the code that one or the other must find, and what is decided of releases and hosts."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from corallanding.lab.stewards.runs import RunWorld
from corallanding.lab.stewards.walk import Walk
from corallanding.lab.stewards.world import troubled
from corallanding.quorum_records.core import Persist, QuorumRecords
from corallanding.quorum_records.proposer import ProposedRecord, Proposer
from corallanding.quorum_records.replica import Replica
from corallanding.version_pinning import rollout
from corallanding.version_pinning.messages import RunStatus
from corallanding.version_pinning.release_register import ReleaseRegister
from corallanding.version_pinning.releases import ReleaseCoordinator
from corallanding.version_pinning.rollout import RolloutDecision

SETS = {n: {"quote": n, "claim": (n + 1) // 2} for n in range(1, 5)}


def played(seed: int, until: float = 16_000.0) -> RunWorld:
    """Releases forward and back, all faults, files lost and put back."""
    w, c = RunWorld(seed, 5, 5, per_s=60, runs=25), random.Random(f"goal {seed}")
    troubled(w, until - 3_000.0, 2_500.0)
    newest = itertools.count(2)

    def release_one() -> None:
        top = min(8, next(newest))
        w.goal = c.randint(max(1, top - 2), top)
        w.at(w.now + c.uniform(600.0, 2_500.0), release_one)

    w.at(2_500.0, release_one)
    w.disk_faults(c)
    w.run(until)
    return w


@pytest.mark.parametrize("seeds", [range(k, k + 4) for k in range(0, 16, 4)])
def test_faulty_worlds_split_no_run_and_revive_no_set(seeds: range) -> None:
    pinned = retired = 0
    for seed in seeds:
        w = played(seed)
        assert not w.split() and not w.revived(), seed
        pinned += sum(row[3] == RunStatus.PINNED for row in w.told)
        retired += len(w.retired_at)
    assert pinned > 1_000
    assert retired >= 4


@pytest.mark.parametrize("seeds", [range(k, k + 25) for k in range(0, 100, 25)])
def test_walks_with_leases_that_exclude_nobody_split_no_run(seeds: range) -> None:
    answers = 0
    for seed in seeds:
        w = Walk(seed, keepers=3 + 2 * (seed % 2))
        assert w.run(4_000) == [], seed
        answers += w.answers
    assert answers > 250


# ---- mistakes that must be found ---------------------------------------------------------------------------


def no_fences(patch: Any) -> None:
    real = Replica.takes

    def takes(self: Replica, word: Any) -> int:
        seen = self.seen.pop(word.group, 0)
        out = real(self, word)
        self.seen[word.group] = seen
        return out

    patch.setattr(Replica, "takes", takes)


def no_promise(patch: Any) -> None:
    real = Replica.fetch

    def fetch(self: Replica, now: float, word: Any) -> Any:
        seen = dict(self.seen)
        out = real(self, now, word)
        self.seen = seen
        return out

    patch.setattr(Replica, "fetch", fetch)


def no_reading(patch: Any) -> None:
    real = QuorumRecords.hold

    def hold(self: QuorumRecords, group: int, fence: int) -> None:
        real(self, group, fence)
        self.held[group].open = True

    patch.setattr(QuorumRecords, "hold", hold)


def first_read_wins(patch: Any) -> None:
    def read(self: Proposer, keeper: int, key: int, value: int, born: float, order: tuple[int, int]) -> None:
        e = self.rows.get(key)
        if e is None:
            self.rows[key] = ProposedRecord(value, born, order, votes=self.bit[keeper])
        elif order == e.order:
            e.votes |= self.bit[keeper]

    patch.setattr(Proposer, "read", read)


def one_refusal_denies(patch: Any) -> None:
    def no(self: Proposer, o: Any, why: int) -> None:
        self.denied.update((k, why) for k in o.rows if (e := self.rows.get(k)) and not e.decided)

    patch.setattr(Proposer, "no", no)


def words_before_the_file(patch: Any) -> None:
    for world in (RunWorld, Walk):
        real = world.carry

        def carry(self: Any, *rest: Any, real: Any = real) -> None:
            real(self, *rest[:-1], [a for a in rest[-1] if not isinstance(a, Persist)])

        patch.setattr(world, "carry", carry)


def a_retired_set_opens_again(patch: Any) -> None:
    real = rollout.open_set

    def open_set(register: ReleaseRegister, wanted_set: int, configured_sets: Any, capacities: Any) -> RolloutDecision:
        found, reason = real(replace(register, highest_set=0), wanted_set, configured_sets, capacities)
        if found is None:
            return RolloutDecision(None, reason)
        return RolloutDecision(replace(found, highest_set=max(register.highest_set, wanted_set)), reason)

    patch.setattr(rollout, "open_set", open_set)


def any_tally_counts(patch: Any) -> None:
    def is_unused(self: ReleaseCoordinator, packed_register: int, release_set: int) -> bool:
        reports = self.run_counts.runs_by_replica.values()
        return len(reports) > len(self.records.keepers) // 2 and not any(runs.get(release_set) for runs in reports)

    patch.setattr(ReleaseCoordinator, "is_unused", is_unused)


MISTAKES: dict[str, tuple[Callable[[Any], None], str, int]] = {
    # name: the mistake, where it is looked for, the seed from which on
    "told before a majority has it": (lambda p: p.setattr(Proposer, "needed", property(lambda s: 1)), "world", 0),
    "a new holder does not read": (no_reading, "walk", 0),
    "what was read is told unconfirmed": (
        lambda p: p.setattr(Proposer, "confirm", lambda self, now, key: True),
        "world",
        2,
    ),
    "the first that is read wins": (first_read_wins, "world", 10),
    "one refusal counts for all": (one_refusal_denies, "world", 10),
    "retired without a tally": (
        lambda p: p.setattr(ReleaseCoordinator, "is_unused", lambda self, value, set: True),
        "world",
        0,
    ),
    "words go before the file is written": (words_before_the_file, "world", 1),
    "a retired set opens again": (a_retired_set_opens_again, "walk", 0),
}


@pytest.mark.parametrize("name", MISTAKES)
def test_a_planted_mistake_is_found(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    plant, where, first = MISTAKES[name]
    plant(monkeypatch)
    for seed in range(first, first + (6 if where == "world" else 40)):
        if where == "world":
            w = played(seed)
            if w.split() or w.revived():
                return
        elif Walk(seed, keepers=3 + 2 * (seed % 2)).run(4_000):
            return
    pytest.fail(f"{name}: not found")
