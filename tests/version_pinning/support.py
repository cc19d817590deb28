"""Simulated workflow runs under faults, and mistakes that tests inject into the code."""

from __future__ import annotations

import itertools
import random
from dataclasses import replace
from typing import Any

from corallanding.lab.stewards.runs import RunWorld
from corallanding.lab.stewards.walk import Walk
from corallanding.lab.stewards.world import troubled
from corallanding.quorum_records.core import Persist, QuorumRecords
from corallanding.quorum_records.progress import ProposedRecord
from corallanding.quorum_records.proposer import Proposer
from corallanding.quorum_records.replica import Replica
from corallanding.version_pinning import rollout
from corallanding.version_pinning.messages import RunStatus
from corallanding.version_pinning.release_register import ReleaseRegister
from corallanding.version_pinning.releases import ReleaseCoordinator
from corallanding.version_pinning.rollout import RolloutDecision


def run_faulty_world(seed: int, until: float = 16_000.0) -> RunWorld:
    """Run a world until `until` ms with releases to newer and older sets, all faults, and lost and restored files."""
    world = RunWorld(seed, 5, 5, per_s=60, runs=25)
    rng = random.Random(f"goal {seed}")
    troubled(world, until - 3_000.0, 2_500.0)
    set_numbers = itertools.count(2)

    def start_release() -> None:
        newest_set = min(8, next(set_numbers))
        world.goal = rng.randint(max(1, newest_set - 2), newest_set)
        world.at(world.now + rng.uniform(600.0, 2_500.0), start_release)

    world.at(2_500.0, start_release)
    world.disk_faults(rng)
    world.run(until)
    return world


def accept_without_fencing(patch: Any) -> None:
    real = Replica.acceptance_status

    def acceptance_status(self: Replica, message: Any) -> int:
        token_before = self.highest_tokens.pop(message.group, 0)
        reply = real(self, message)
        self.highest_tokens[message.group] = token_before
        return reply

    patch.setattr(Replica, "acceptance_status", acceptance_status)


def forget_promises(patch: Any) -> None:
    real = Replica.on_prepare

    def on_prepare(self: Replica, now_ms: float, message: Any) -> Any:
        token_before = dict(self.highest_tokens)
        reply = real(self, now_ms, message)
        self.highest_tokens = token_before
        return reply

    patch.setattr(Replica, "on_prepare", on_prepare)


def skip_reading(patch: Any) -> None:
    real = QuorumRecords.acquire_group

    def acquire_group(self: QuorumRecords, group: int, fencing_token: int) -> None:
        real(self, group, fencing_token)
        self.proposers[group].is_ready = True

    patch.setattr(QuorumRecords, "acquire_group", acquire_group)


def keep_first_read(patch: Any) -> None:
    def merge_read(
        self: Proposer, replica: int, key: int, value: int, created_at_ms: float, ballot: tuple[int, int]
    ) -> None:
        record = self.records.get(key)
        if record is None:
            self.records[key] = ProposedRecord(value, created_at_ms, ballot, votes=self.vote_bits[replica])
        elif ballot == record.read_ballot:
            record.votes |= self.vote_bits[replica]

    patch.setattr(Proposer, "merge_read", merge_read)


def deny_on_one_rejection(patch: Any) -> None:
    def reject_undecidable(self: Proposer, write: Any, status: int) -> None:
        self.rejected_keys.update(
            (key, status) for key in write.keys if (record := self.records.get(key)) and not record.is_decided
        )

    patch.setattr(Proposer, "reject_undecidable", reject_undecidable)


def send_before_writing(patch: Any) -> None:
    for world in (RunWorld, Walk):
        real = world.carry

        def carry(self: Any, *args: Any, real: Any = real) -> None:
            real(self, *args[:-1], [action for action in args[-1] if not isinstance(action, Persist)])

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
    """Run the world until some runs are pinned, and return it."""
    world.run(4_000.0)
    assert any(row[3] == RunStatus.PINNED for row in world.told)
    return world
