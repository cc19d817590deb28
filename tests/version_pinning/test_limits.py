"""Limits of workflow runs: rate per client, number of records, age."""

from __future__ import annotations

from corallanding.lab.stewards.runs import RunWorld
from corallanding.version_pinning.messages import RunStatus
from tests.version_pinning.support import begin_runs


def test_client_when_it_starts_too_many_runs_then_is_rejected_and_displaces_no_run() -> None:
    world = begin_runs(RunWorld(9, 3, 3, groups=1))
    running = [row[1] for row in world.told if row[3] == RunStatus.PINNED][-5:]
    controller, process = next(
        (controller, process)
        for controller, process in world.processes.items()
        if world.pins[controller].records.proposers.get(world.pins[controller].workflow_runs.groups[0])
    )
    pins = world.pins[controller]
    numbers = []
    for offset in range(400):
        numbers.append(pins.request_run(process.clock(world.now), 10**9 + offset, "one client"))
        world.asked[controller, pins.queries.incarnation, numbers[-1]] = (10**9 + offset, world.now)
    world.carry(controller, process, world.fleets[controller].send_new_queries(process.clock(world.now)))
    world.run(world.now + 300.0)
    results = [row[3] for row in world.told if row[1] >= 10**9 and row[1] < 10**9 + 400]
    assert results.count(RunStatus.REJECTED) >= 300
    assert 0 < results.count(RunStatus.PINNED) <= 80
    for key in running:
        world.ask(key)
    world.run(world.now + 300.0)
    assert {row[3] for row in world.told[-5:]} <= {RunStatus.PINNED, RunStatus.OVER}


def test_replica_when_full_then_rejects_new_runs_and_keeps_the_others() -> None:
    world = begin_runs(RunWorld(11, 3, 3))
    for pins in world.pins.values():
        pins.records.replica.limits = type(pins.records.replica.limits)(max_records=pins.records.replica.record_count)
    row_count = len(world.told)
    for offset in range(20):
        world.ask(10**9 + offset)
    world.run(world.now + 1_200.0)
    new_rows = [row for row in world.told[row_count:] if 10**9 <= row[1] < 10**9 + 20]
    assert new_rows
    assert {row[3] for row in new_rows} <= {RunStatus.REJECTED, RunStatus.UNAVAILABLE}
    assert any(row[3] == RunStatus.REJECTED for row in new_rows)


def test_run_when_older_than_the_limit_then_is_over_and_its_set_is_retired() -> None:
    world = RunWorld(13, 3, 3, per_s=0.0)
    world.run(4_000.0)
    key = 777
    world.ask(key)
    world.run(world.now + 500.0)
    world.goal = 2
    for _ in range(16):
        world.run(world.now + 500.0)
        world.ask(key)
    rows = [row for row in world.told if row[1] == key]
    assert rows[0][3] == RunStatus.PINNED
    assert rows[-1][3] == RunStatus.OVER
    assert not world.split()
    world.run(world.now + 2_000.0)
    assert 1 in world.retired_at
