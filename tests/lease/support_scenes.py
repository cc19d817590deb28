"""Scripted orders of events, each of which shows an overlap with one of the injected mistakes."""

from __future__ import annotations

from typing import Any

from corallanding.lab.fences import judge
from corallanding.lab.stewards.tasks import TaskWorld
from corallanding.lab.stewards.world import Way
from corallanding.lease.lease_holder import LeaseHolder
from corallanding.lease.messages import (
    LeaseGrant,
    LeaseRequest,
)
from corallanding.lease.shard_allocator import ShardAllocator
from tests.lease.support import LONG_LEASES, SHORT_LEASES, TASKS

ALL_TASK_SHARDS = (1 << 8) - 1


class ManualExchange:
    """Two holders and an allocator; the scenario decides when each message is sent and which reply arrives."""

    def __init__(self) -> None:
        self.allocator = self.start_term(-1e6, 9)
        self.holders = [LeaseHolder(number + 1, SHORT_LEASES, TASKS, -1e6) for number in range(2)]
        self.actions: list[Any] = []

    def start_term(self, now_ms: float, incarnation: int) -> ShardAllocator:
        self.allocator = ShardAllocator(SHORT_LEASES, TASKS, incarnation, max_token=1 << 60)
        self.allocator.begin_term(now_ms, 1, incarnation << 20)
        return self.allocator

    def request(self, now_ms: float, number: int, holder: LeaseHolder | None = None) -> LeaseRequest:
        chosen_holder = holder or self.holders[number]
        chosen_holder.last_request_at_ms = float("-inf")
        message = chosen_holder.next_request(now_ms, self.allocator.epoch, self.allocator.first_round)
        assert message
        return message

    def grant(self, now_ms: float, number: int, message: LeaseRequest) -> LeaseGrant:
        grant = self.allocator.on_request(now_ms, number, message)
        assert grant
        return grant

    def renew(self, now_ms: float, number: int) -> None:
        self.holders[number].on_grant(now_ms, self.grant(now_ms, number, self.request(now_ms, number)))

    def begin_actions(self, now_ms: float, number: int, holder: LeaseHolder | None = None) -> None:
        chosen_holder = holder or self.holders[number]
        for task in range(TASKS.count):
            if token := chosen_holder.begin_action(now_ms, task):
                end_ms = now_ms + TASKS.spec(task).max_work_ms
                self.actions.append((now_ms, end_ms, task, number, chosen_holder.incarnation, token))

    def overlaps(self) -> int:
        return int(judge(self.actions)["overlaps"])


def older_grant_after_a_newer() -> int:
    exchange = ManualExchange()
    late_message = exchange.grant(1.0, 0, exchange.request(0.0, 0))
    exchange.allocator.on_request(2.0, 1, exchange.request(2.0, 1))
    exchange.allocator.planned_at_ms = -1e9
    exchange.renew(3.0, 0)
    exchange.renew(4.0, 0)  # confirms the second grant
    assert exchange.holders[0].shards.bit_count() == 4
    exchange.renew(5.0, 1)
    exchange.holders[0].on_grant(6.0, late_message)
    exchange.begin_actions(10.0, 0)
    exchange.begin_actions(10.0, 1)
    assert exchange.actions
    return exchange.overlaps()


def process_that_replaces_another() -> int:
    exchange = ManualExchange()
    exchange.renew(0.0, 0)
    new = LeaseHolder(77, SHORT_LEASES, TASKS, 0.0)
    new.on_grant(10.0, exchange.grant(10.0, 0, exchange.request(10.0, 0, new)))
    exchange.begin_actions(20.0, 0)
    exchange.begin_actions(20.0, 0, new)
    return exchange.overlaps()


def request_to_a_previous_term() -> int:
    """A late request reports shards as held that were released since and granted to another holder."""
    exchange = ManualExchange()
    exchange.renew(0.0, 0)
    late_message = exchange.request(10.0, 0)
    exchange.holders[0].is_leaving = True
    exchange.holders[0].on_grant(21.0, exchange.grant(20.0, 0, exchange.request(20.0, 0)))
    holder = exchange.holders[0]
    exchange.allocator.on_request(22.0, 0, exchange.request(22.0, 0)) if holder.shards or holder.busy_until_ms else None
    exchange.holders[0].is_leaving = False
    exchange.allocator.leases.clear()  # as after its requests have reported that it holds nothing
    exchange.renew(30.0, 1)
    assert exchange.holders[1].shards == ALL_TASK_SHARDS
    exchange.start_term(40.0, 10)
    exchange.allocator.on_request(41.0, 0, late_message)
    exchange.renew(50.0, 0)
    exchange.begin_actions(60.0, 0)
    exchange.begin_actions(60.0, 1)
    return exchange.overlaps()


def leader_that_was_stopped() -> int:
    """A stopped leader resumes after another was elected, isolated with one controller that still sends it requests."""
    overlap_count = 0
    for seed in range(4):
        world = TaskWorld(seed, 5, 5, TASKS, LONG_LEASES, acting=8)
        world.usual = world.rest = Way(mean=60.0)
        world.run(4_000.0)
        stopped = next(
            (number for number, p in world.processes.items() if p.quota.update_leadership(p.clock(world.now))), None
        )
        if stopped is not None:
            world.stop(stopped)
            process = world.processes[stopped]
            world.at(4_600.0, lambda w=world, n=stopped, p=process: w.wake(n) if p.alive else None)  # type: ignore[misc]
            world.part({stopped, (stopped + 1) % 5})
            world.at(8_500.0, world.heal)
        world.run(9_000.0)
        overlap_count += judge(world.acts, world.takings)["overlaps"]
    return overlap_count


SCENARIOS = [
    older_grant_after_a_newer,
    process_that_replaces_another,
    request_to_a_previous_term,
    leader_that_was_stopped,
]
