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
    """A walk in which messages arrive in order, as far as `passes` lets them; the others stay in the bag."""

    def __init__(self) -> None:
        super().__init__(0)
        self.passes: Callable[[int, int, Any], bool] = lambda a, b, word: True
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
                at = next((k for k, x in enumerate(self.bag) if self.passes(*x)), None)
                if at is None:
                    break
                self.hand(*self.bag.pop(at))

    def tick_at(self, controller: int) -> None:
        self.pins[controller].wanted_set = self.goal
        self.carry(controller, self.fleets[controller].tick(self.now, self.pins[controller].tick(self.now)))


def close_set_under_a_run(seen_by: set[int], counted: set[int]) -> ScriptedWalk:
    """A run begins in set 1 at one replica of three. Then set 1 closes, which the replicas `seen_by` accept, and the
    holder of the release task receives the run counts of `counted`. Last, the record of the run reaches the others."""
    world = ScriptedWalk()
    world.ask(0, 99)
    assert not world.told, "its records are on their way"
    run = lambda a, b, word: isinstance(word, Accept) and word.is_initial  # noqa: E731
    held = [x for x in world.bag if run(*x)]
    world.bag = [x for x in world.bag if not run(*x)]
    assert held
    world.goal = 2
    world.passes = lambda a, b, word: (
        not run(a, b, word)
        and not (isinstance(word, Accept) and b not in seen_by)
        and not (isinstance(word, RunCountQuery) and b not in counted)
    )
    world.pump(60)
    world.bag += held
    world.passes = lambda a, b, word: run(a, b, word) or isinstance(word, AcceptReply)
    world.pump(3)
    world.ask(0, 99)
    world.pump(6)
    return world


def test_run_when_its_set_was_counted_as_unused_then_is_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    world = close_set_under_a_run({0, 1, 2}, {1, 2})
    assert 1 in world.gone, "set 1 is retired"
    assert not world.broken, "the late messages of the run are refused"
    monkeypatch.setattr(ReleaseCoordinator, "may_accept", lambda self, value, begins: True)
    assert close_set_under_a_run({0, 1, 2}, {1, 2}).broken == ["run 99: set 1 is retired"], (
        "replicas that accept what is closed"
    )


def test_run_count_when_the_replica_still_accepts_new_runs_then_does_not_count(monkeypatch: pytest.MonkeyPatch) -> None:
    world = close_set_under_a_run({0, 1}, {1, 2})
    assert 1 not in world.gone, "replica 2 may yet accept the run: nobody retires its set"
    assert not world.broken
    count_any_report(monkeypatch)
    assert close_set_under_a_run({0, 1}, {1, 2}).broken == ["run 99: set 1 is retired"], "a run count by any register"
