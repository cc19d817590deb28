"""Worlds of workflow runs under faults, and mistakes that tests plant in the code."""

from __future__ import annotations

import itertools
import random
from dataclasses import replace
from typing import Any

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


def play_world(seed: int, until: float = 16_000.0) -> RunWorld:
    """Releases forward and back, all faults, files lost and put back."""
    world = RunWorld(seed, 5, 5, per_s=60, runs=25)
    chance = random.Random(f"goal {seed}")
    troubled(world, until - 3_000.0, 2_500.0)
    newest = itertools.count(2)

    def release_one() -> None:
        top = min(8, next(newest))
        world.goal = chance.randint(max(1, top - 2), top)
        world.at(world.now + chance.uniform(600.0, 2_500.0), release_one)

    world.at(2_500.0, release_one)
    world.disk_faults(chance)
    world.run(until)
    return world


def accept_without_fencing(patch: Any) -> None:
    real = Replica.acceptance_status

    def acceptance_status(self: Replica, word: Any) -> int:
        seen = self.highest_tokens.pop(word.group, 0)
        out = real(self, word)
        self.highest_tokens[word.group] = seen
        return out

    patch.setattr(Replica, "acceptance_status", acceptance_status)


def forget_promises(patch: Any) -> None:
    real = Replica.on_prepare

    def on_prepare(self: Replica, now: float, word: Any) -> Any:
        seen = dict(self.highest_tokens)
        out = real(self, now, word)
        self.highest_tokens = seen
        return out

    patch.setattr(Replica, "on_prepare", on_prepare)


def skip_reading(patch: Any) -> None:
    real = QuorumRecords.acquire_group

    def acquire_group(self: QuorumRecords, group: int, fence: int) -> None:
        real(self, group, fence)
        self.proposers[group].is_ready = True

    patch.setattr(QuorumRecords, "acquire_group", acquire_group)


def keep_first_read(patch: Any) -> None:
    def merge_read(self: Proposer, keeper: int, key: int, value: int, born: float, order: tuple[int, int]) -> None:
        record = self.records.get(key)
        if record is None:
            self.records[key] = ProposedRecord(value, born, order, votes=self.vote_bits[keeper])
        elif order == record.read_ballot:
            record.votes |= self.vote_bits[keeper]

    patch.setattr(Proposer, "merge_read", merge_read)


def deny_on_one_refusal(patch: Any) -> None:
    def reject_undecidable(self: Proposer, o: Any, why: int) -> None:
        self.rejected_keys.update((k, why) for k in o.keys if (e := self.records.get(k)) and not e.is_decided)

    patch.setattr(Proposer, "reject_undecidable", reject_undecidable)


def send_before_writing(patch: Any) -> None:
    for world in (RunWorld, Walk):
        real = world.carry

        def carry(self: Any, *rest: Any, real: Any = real) -> None:
            real(self, *rest[:-1], [a for a in rest[-1] if not isinstance(a, Persist)])

        patch.setattr(world, "carry", carry)


def reopen_retired_set(patch: Any) -> None:
    real = rollout.open_set

    def open_set(register: ReleaseRegister, wanted_set: int, configured_sets: Any, capacities: Any) -> RolloutDecision:
        found, reason = real(replace(register, highest_set=0), wanted_set, configured_sets, capacities)
        if found is None:
            return RolloutDecision(None, reason)
        return RolloutDecision(replace(found, highest_set=max(register.highest_set, wanted_set)), reason)

    patch.setattr(rollout, "open_set", open_set)


def count_any_report(patch: Any) -> None:
    def is_unused(self: ReleaseCoordinator, packed_register: int, release_set: int) -> bool:
        reports = self.run_counts.runs_by_replica.values()
        return len(reports) > len(self.records.replica_ids) // 2 and not any(runs.get(release_set) for runs in reports)

    patch.setattr(ReleaseCoordinator, "is_unused", is_unused)


def begin_runs(world: RunWorld) -> RunWorld:
    world.run(4_000.0)
    assert any(row[3] == RunStatus.PINNED for row in world.told)
    return world
