"""Workflow runs during partitions, restarts and outages of controllers."""

from __future__ import annotations

from corallanding.lab.stewards.runs import RunWorld
from corallanding.version_pinning.messages import RunStatus
from tests.version_pinning.support import begin_runs


def test_run_when_started_in_both_halves_of_a_partition_then_has_at_most_one_set() -> None:
    world = begin_runs(RunWorld(3, 5, 5))
    world.part({0, 1})
    key = 12_345
    for controller in range(5):
        process = world.processes[controller]
        pins = world.pins[controller]
        number = pins.request_run(process.clock(world.now), key)
        world.asked[controller, pins.queries.incarnation, number] = (key, world.now)
        world.carry(controller, process, world.fleets[controller].send_new_queries(process.clock(world.now)))
    world.run(world.now + 3_000.0)
    rows = [row for row in world.told if row[1] == key]
    assert len(rows) == 5
    assert len({row[4] for row in rows if row[3] == RunStatus.PINNED}) == 1, "all answers with a set name the same one"
    assert {row[3] for row in rows if row[2] in (0, 1)} <= {RunStatus.UNAVAILABLE, RunStatus.PINNED}
    world.heal()
    world.run(world.now + 2_000.0)
    world.ask(key)
    world.run(world.now + 1_500.0)
    assert not world.split()


def test_runs_when_all_controllers_restart_then_are_restored_from_files() -> None:
    world = begin_runs(RunWorld(5, 5, 5))
    before = {row[1]: row[4] for row in world.told if row[3] == RunStatus.PINNED}
    world.goal = 2
    for controller in range(5):
        world.kill(controller)
    for controller in range(5):
        world.start(controller)
    world.run(world.now + 2_500.0)
    world.strong[1] = 0.0  # no host serves set 1 any more: new runs start in set 2
    world.run(world.now + 1_000.0)
    for key in list(before)[-10:]:
        world.ask(key)
    world.run(world.now + 1_000.0)
    after = {row[1]: row[4] for row in world.told[-60:] if row[3] == RunStatus.PINNED and row[1] in before}
    assert after
    assert all(before[key] == number for key, number in after.items())


def test_replicas_when_started_one_after_the_other_then_all_recover() -> None:
    """The first recovery requests of earlier replicas are lost; they are repeated, and their replies are accepted."""
    world = RunWorld(1, 5, 5)
    for controller in range(1, 5):
        world.kill(controller)
    for controller in range(1, 5):
        world.run(1_000.0 * controller)
        world.start(controller)
    world.run(7_000.0)
    assert [fleet.records.recovery.is_ready for fleet in world.fleets.values()] == [True] * 5
    assert [fleet.status()["waits_for"] for fleet in world.fleets.values()] == [[]] * 5


def test_controller_when_stopped_during_a_retirement_then_does_not_reopen_the_set() -> None:
    world = begin_runs(RunWorld(7, 5, 5))
    world.stop(4)
    world.goal = 2
    world.run(world.now + 16_000.0)
    assert 1 in world.retired_at
    world.wake(4)
    world.goal = 1
    world.run(world.now + 3_000.0)
    assert not world.revived()
    assert all(
        process.releases.register.current_set == 2 for process in world.pins.values() if process.releases.register
    )
    assert any("set 1 is retired" in process.releases.obstacle for process in world.pins.values())
