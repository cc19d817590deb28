"""Task leases of simulated controllers under faults: one holder at any instant, few moves, an even spread."""

from __future__ import annotations

import pytest

from corallanding.lab.fences import judge
from corallanding.lab.stewards.tasks import WALL, TaskWorld
from corallanding.lease.tasks import SHARDS, TaskCatalog, TaskSpec
from tests.lease.support import TASKS, TIGHT, faulty_world, violations


@pytest.mark.parametrize("first", range(0, 24, 6))
def test_actions_when_anything_fails_then_never_overlap_and_tokens_rise(first: int) -> None:
    acts = takeovers = 0
    for seed in range(first, first + 6):
        w = faulty_world(seed)
        assert not violations(w), seed
        found = judge(w.acts, w.takings)
        acts, takeovers = acts + found["acts"], takeovers + found["takeovers"]
    assert acts > 2_500, "tasks are acted on, and change hands"
    assert takeovers > 25, "tasks are acted on, and change hands"


def test_tokens_when_all_restart_and_the_wall_clock_stepped_back_then_rise() -> None:
    """The place says what it has seen, and the holder stands again above it."""
    w = TaskWorld(7, 3, 3, TASKS, TIGHT, wall=lambda t: WALL + t - (3_600_000.0 if t > 5_000.0 else 0.0))
    w.run(5_000.0)
    for n in list(w.processes):
        w.kill(n)
    for n in range(3):
        w.start(n)
    w.run(12_000.0)
    after = [t for t in w.takings if t[0] > 5_000.0]
    assert any(not t[6] for t in after), "the first acts under a lower fence are refused"
    good = {t[2] for t in after if t[6]}
    assert good == set(range(TASKS.count))
    assert not judge([], w.takings)["late"]


def test_tasks_when_controllers_come_and_go_then_are_even_and_move_little() -> None:
    many = TaskCatalog({"group": TaskSpec("group", 10_000, max_work_ms=100.0)})
    w = TaskWorld(3, 9, 5, many, TIGHT, acting=0, first=8)
    w.run(6_000.0)

    def held() -> dict[int, int]:
        return {n: len(many.tasks_in(p.quota.holder.shards)) for n, p in w.processes.items()}

    assert sum(held().values()) == 10_000
    assert max(held().values()) <= 10_000 / 8 * 1.1
    allocator = next(p.quota.allocator for p in w.processes.values() if p.quota.update_leadership(p.clock(w.now)))
    before = allocator.moved_shards
    w.start(8)
    w.run(10_000.0)
    assert sum(held().values()) == 10_000
    assert max(held().values()) <= 10_000 / 9 * 1.1
    least = SHARDS // 9
    assert allocator.moved_shards - before <= least + 2, "only what the newcomer gets moves"


def test_messages_when_there_are_more_tasks_then_do_not_grow() -> None:
    sent = []
    for count in (10, 10_000):
        w = TaskWorld(4, 6, 5, TaskCatalog({"g": TaskSpec("g", count, max_work_ms=100.0)}), TIGHT, acting=0)
        w.weigh = True
        w.run(8_000.0)
        sent.append(sum(messages for messages, _ in w.by.values()))
    assert sent[1] <= 1.1 * sent[0]


def test_holder_when_it_makes_no_progress_then_loses_its_turn() -> None:
    tasks = TaskCatalog({"sweep": TaskSpec("sweep", max_work_ms=100.0, max_idle_ms=500.0)})
    w = TaskWorld(5, 3, 3, tasks, TIGHT, acting=0)
    holders = set()
    for t in range(1_000, 9_000, 100):
        w.run(float(t))
        holders |= {n for n, p in w.processes.items() if p.quota.holds(p.clock(w.now), 0)}
    assert len(holders) == 3, "each has had its turn and done nothing with it"


def test_task_on_demand_when_all_want_it_then_is_held_in_turns_until_given_back() -> None:
    tasks = TaskCatalog(
        {
            "upgrade": TaskSpec("upgrade", max_work_ms=200.0, is_always_wanted=False),
            "g": TaskSpec("g", 30, max_work_ms=100.0),
        }
    )
    w = TaskWorld(6, 4, 3, tasks, TIGHT, acting=0)
    number, turns = tasks.number("upgrade"), list[int]()
    w.run(2_000.0)
    for p in w.processes.values():
        p.quota.request_task(number)
    for t in range(2_050, 16_000, 50):
        w.run(float(t))
        has = [n for n, p in w.processes.items() if p.quota.holds(p.clock(w.now), number)]
        assert len(has) <= 1
        for n in has:
            if not turns or turns[-1] != n:
                turns.append(n)
            if t % 1_500 == 0:
                w.processes[n].quota.give_back_task(number)
    assert sorted(turns) == [0, 1, 2, 3], "each once, none twice, though one had it for a second and more"
