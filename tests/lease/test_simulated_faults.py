"""Task leases of simulated controllers under faults: one holder at a time, few moves, balanced load."""

from __future__ import annotations

import pytest

from corallanding.lab.fences import judge
from corallanding.lab.stewards.tasks import WALL, TaskWorld
from corallanding.lease.tasks import SHARDS, TaskCatalog, TaskSpec
from tests.lease.support import SHORT_LEASES, TASKS, faulty_world, violations


@pytest.mark.parametrize("first_seed", range(0, 24, 6))
def test_actions_when_faults_occur_then_never_overlap_and_tokens_increase(first_seed: int) -> None:
    action_count = takeovers = 0
    for seed in range(first_seed, first_seed + 6):
        world = faulty_world(seed)
        assert not violations(world), seed
        summary = judge(world.acts, world.takings)
        action_count, takeovers = action_count + summary["acts"], takeovers + summary["takeovers"]
    assert action_count > 2_500, "tasks are acted on and change their holder"
    assert takeovers > 25, "tasks are acted on and change their holder"


def test_tokens_when_all_restart_and_the_wall_clock_stepped_back_then_increase() -> None:
    """The fenced resource reports its highest token, and the holder gets a lease with a higher one."""
    world = TaskWorld(
        7, 3, 3, TASKS, SHORT_LEASES, wall=lambda at_ms: WALL + at_ms - (3_600_000.0 if at_ms > 5_000.0 else 0.0)
    )
    world.run(5_000.0)
    for controller in list(world.processes):
        world.kill(controller)
    for controller in range(3):
        world.start(controller)
    world.run(12_000.0)
    later_writes = [taking for taking in world.takings if taking[0] > 5_000.0]
    assert any(not taking[6] for taking in later_writes), "the first actions, under a lower token, are rejected"
    accepted_tasks = {taking[2] for taking in later_writes if taking[6]}
    assert accepted_tasks == set(range(TASKS.count))
    assert not judge([], world.takings)["late"]


def test_tasks_when_a_controller_joins_then_are_balanced_and_few_move() -> None:
    large_group = TaskCatalog({"group": TaskSpec("group", 10_000, max_work_ms=100.0)})
    world = TaskWorld(3, 9, 5, large_group, SHORT_LEASES, acting=0, first=8)
    world.run(6_000.0)

    def held() -> dict[int, int]:
        return {
            controller: len(large_group.tasks_in(process.quota.holder.shards))
            for controller, process in world.processes.items()
        }

    assert sum(held().values()) == 10_000
    assert max(held().values()) <= 10_000 / 8 * 1.1
    allocator = next(
        process.quota.allocator
        for process in world.processes.values()
        if process.quota.update_leadership(process.clock(world.now))
    )
    before = allocator.moved_shards
    world.start(8)
    world.run(10_000.0)
    assert sum(held().values()) == 10_000
    assert max(held().values()) <= 10_000 / 9 * 1.1
    even_share = SHARDS // 9
    assert allocator.moved_shards - before <= even_share + 2, "only the shards of the new controller move"


def test_message_count_when_there_are_more_tasks_then_does_not_grow() -> None:
    message_counts = []
    for count in (10, 10_000):
        world = TaskWorld(4, 6, 5, TaskCatalog({"g": TaskSpec("g", count, max_work_ms=100.0)}), SHORT_LEASES, acting=0)
        world.weigh = True
        world.run(8_000.0)
        message_counts.append(sum(messages for messages, _ in world.by.values()))
    assert message_counts[1] <= 1.1 * message_counts[0]


def test_holder_when_it_makes_no_progress_then_loses_the_task() -> None:
    tasks = TaskCatalog({"sweep": TaskSpec("sweep", max_work_ms=100.0, max_idle_ms=500.0)})
    world = TaskWorld(5, 3, 3, tasks, SHORT_LEASES, acting=0)
    holders = set()
    for at_ms in range(1_000, 9_000, 100):
        world.run(float(at_ms))
        holders |= {
            controller
            for controller, process in world.processes.items()
            if process.quota.holds(process.clock(world.now), 0)
        }
    assert len(holders) == 3, "each controller has held the task without progress"


def test_task_on_demand_when_all_request_it_then_each_holds_it_once_until_released() -> None:
    tasks = TaskCatalog(
        {
            "upgrade": TaskSpec("upgrade", max_work_ms=200.0, is_always_wanted=False),
            "g": TaskSpec("g", 30, max_work_ms=100.0),
        }
    )
    world = TaskWorld(6, 4, 3, tasks, SHORT_LEASES, acting=0)
    task, holder_order = tasks.number("upgrade"), list[int]()
    world.run(2_000.0)
    for process in world.processes.values():
        process.quota.request_task(task)
    for at_ms in range(2_050, 16_000, 50):
        world.run(float(at_ms))
        holders_now = [
            controller
            for controller, process in world.processes.items()
            if process.quota.holds(process.clock(world.now), task)
        ]
        assert len(holders_now) <= 1
        for controller in holders_now:
            if not holder_order or holder_order[-1] != controller:
                holder_order.append(controller)
            if at_ms % 1_500 == 0:
                world.processes[controller].quota.release_task(task)
    assert sorted(holder_order) == [0, 1, 2, 3], "each controller held it exactly once, some for more than a second"
