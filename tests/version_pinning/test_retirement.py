"""Release sets are retired only when no run can have them: scripted orders of messages."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from corallanding.lab.stewards.walk import TASKS, Walk
from corallanding.quorum_records.messages import Accept, AcceptReply
from corallanding.version_pinning.messages import RunCountQuery
from corallanding.version_pinning.releases import ReleaseCoordinator
from tests.version_pinning.support import count_any_report

RELEASE_TASK = TASKS.number("release")

RUN_TASK = TASKS.number("runs", 0)


class ScriptedWalk(Walk):
    """A walk in which messages arrive in order if `passes` is true for them; the others stay in the bag."""

    def __init__(self) -> None:
        super().__init__(0)
        self.passes: Callable[[int, int, Any], bool] = lambda sender, receiver, message: True
        self.leases[0].held = {RUN_TASK}
        self.leases[1].held = {RELEASE_TASK}
        for lease in self.leases.values():
            lease.holder.fencing_token = 5 + lease.controller_id
        self.pump(20)

    def pump(self, rounds: int) -> None:
        for _ in range(rounds):
            for controller in self.keepers:
                self.now += 10.0
                self.tick_at(controller)
            for _ in range(200):
                position = next((index for index, entry in enumerate(self.bag) if self.passes(*entry)), None)
                if position is None:
                    break
                self.hand(*self.bag.pop(position))

    def tick_at(self, controller: int) -> None:
        self.pins[controller].wanted_set = self.goal
        self.carry(controller, self.fleets[controller].tick(self.now, self.pins[controller].tick(self.now)))


def close_set_under_a_run(seen_by: set[int], counted: set[int]) -> ScriptedWalk:
    """Start a run in set 1 at one replica of three, then close set 1 and deliver the run's record to the others.

    The replicas `seen_by` accept the register that closes the set. The holder of the release task receives the run
    counts of the replicas `counted`.
    """
    world = ScriptedWalk()
    world.ask(0, 99)
    assert not world.told, "its records are in flight"
    is_new_run = lambda sender, receiver, message: isinstance(message, Accept) and message.is_initial  # noqa: E731
    held = [entry for entry in world.bag if is_new_run(*entry)]
    world.bag = [entry for entry in world.bag if not is_new_run(*entry)]
    assert held
    world.goal = 2
    world.passes = lambda sender, receiver, message: (
        not is_new_run(sender, receiver, message)
        and not (isinstance(message, Accept) and receiver not in seen_by)
        and not (isinstance(message, RunCountQuery) and receiver not in counted)
    )
    world.pump(60)
    world.bag += held
    world.passes = lambda sender, receiver, message: (
        is_new_run(sender, receiver, message) or isinstance(message, AcceptReply)
    )
    world.pump(3)
    world.ask(0, 99)
    world.pump(6)
    return world


def test_run_when_its_set_was_counted_as_unused_then_is_rejected(monkeypatch: pytest.MonkeyPatch) -> None:
    world = close_set_under_a_run({0, 1, 2}, {1, 2})
    assert 1 in world.gone, "set 1 is retired"
    assert not world.broken, "the late messages of the run are rejected"
    monkeypatch.setattr(ReleaseCoordinator, "may_accept", lambda self, value, begins: True)
    assert close_set_under_a_run({0, 1, 2}, {1, 2}).broken == ["run 99: set 1 is retired"], (
        "replicas accept runs of closed sets"
    )


def test_run_count_when_the_replica_still_accepts_new_runs_then_does_not_count(monkeypatch: pytest.MonkeyPatch) -> None:
    world = close_set_under_a_run({0, 1}, {1, 2})
    assert 1 not in world.gone, "replica 2 may still accept the run: its set is not retired"
    assert not world.broken
    count_any_report(monkeypatch)
    assert close_set_under_a_run({0, 1}, {1, 2}).broken == ["run 99: set 1 is retired"], (
        "run counts of replicas with any register are used"
    )
