"""Orders of events that are played by hand, each of which a planted mistake breaks."""

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
from tests.lease.support import LONG, TASKS, TIGHT

ALL = (1 << 8) - 1


class ManualExchange:
    """Two holders and an allocator by hand: which message is sent when, and which answer arrives."""

    def __init__(self) -> None:
        self.allocator = self.elect(-1e6, 9)
        self.holders = [LeaseHolder(n + 1, TIGHT, TASKS, -1e6) for n in range(2)]
        self.acts: list[Any] = []

    def elect(self, now_ms: float, incarnation: int) -> ShardAllocator:
        self.allocator = ShardAllocator(TIGHT, TASKS, incarnation, max_token=1 << 60)
        self.allocator.begin_term(now_ms, 1, incarnation << 20)
        return self.allocator

    def request(self, now_ms: float, n: int, holder: LeaseHolder | None = None) -> LeaseRequest:
        h = holder or self.holders[n]
        h.last_request_at_ms = float("-inf")
        message = h.next_request(now_ms, self.allocator.epoch, self.allocator.first_round)
        assert message
        return message

    def answer(self, now_ms: float, n: int, message: LeaseRequest) -> LeaseGrant:
        grant = self.allocator.on_request(now_ms, n, message)
        assert grant
        return grant

    def both(self, now_ms: float, n: int) -> None:
        self.holders[n].on_grant(now_ms, self.answer(now_ms, n, self.request(now_ms, n)))

    def act(self, now_ms: float, n: int, holder: LeaseHolder | None = None) -> None:
        h = holder or self.holders[n]
        for task in range(TASKS.count):
            if token := h.begin_action(now_ms, task):
                self.acts.append((now_ms, now_ms + TASKS.spec(task).max_work_ms, task, n, h.incarnation, token))

    def overlaps(self) -> int:
        return int(judge(self.acts)["overlaps"])


def older_grant_after_a_newer() -> int:
    d = ManualExchange()
    late = d.answer(1.0, 0, d.request(0.0, 0))
    d.allocator.on_request(2.0, 1, d.request(2.0, 1))
    d.allocator.planned_at_ms = -1e9
    d.both(3.0, 0)
    d.both(4.0, 0)  # confirms the second answer
    assert d.holders[0].shards.bit_count() == 4
    d.both(5.0, 1)
    d.holders[0].on_grant(6.0, late)
    d.act(10.0, 0)
    d.act(10.0, 1)
    assert d.acts
    return d.overlaps()


def process_that_succeeds_another() -> int:
    d = ManualExchange()
    d.both(0.0, 0)
    new = LeaseHolder(77, TIGHT, TASKS, 0.0)
    new.on_grant(10.0, d.answer(10.0, 0, d.request(10.0, 0, new)))
    d.act(20.0, 0)
    d.act(20.0, 0, new)
    return d.overlaps()


def request_to_a_former_term() -> int:
    """It says that it holds what it has given back since, and another has."""
    d = ManualExchange()
    d.both(0.0, 0)
    late = d.request(10.0, 0)
    d.holders[0].is_leaving = True
    d.holders[0].on_grant(21.0, d.answer(20.0, 0, d.request(20.0, 0)))
    d.allocator.on_request(22.0, 0, d.request(22.0, 0)) if d.holders[0].shards or d.holders[0].busy_until_ms else None
    d.holders[0].is_leaving = False
    d.allocator.leases.clear()  # as once its messages have said that nothing is held
    d.both(30.0, 1)
    assert d.holders[1].shards == ALL
    d.elect(40.0, 10)
    d.allocator.on_request(41.0, 0, late)
    d.both(50.0, 0)
    d.act(60.0, 0)
    d.act(60.0, 1)
    return d.overlaps()


def leader_that_was_paused() -> int:
    """Its term has ended, another leads, and it wakes cut off with one controller that still sends it requests."""
    found = 0
    for seed in range(4):
        w = TaskWorld(seed, 5, 5, TASKS, LONG, acting=8)
        w.usual = w.rest = Way(mean=60.0)
        w.run(4_000.0)
        slept = next((n for n, p in w.processes.items() if p.quota.update_leadership(p.clock(w.now))), None)
        if slept is not None:
            w.stop(slept)
            p = w.processes[slept]
            w.at(4_600.0, lambda w=w, n=slept, p=p: w.wake(n) if p.alive else None)  # type: ignore[misc]
            w.part({slept, (slept + 1) % 5})
            w.at(8_500.0, w.heal)
        w.run(9_000.0)
        found += judge(w.acts, w.takings)["overlaps"]
    return found


SCENES = [
    older_grant_after_a_newer,
    process_that_succeeds_another,
    request_to_a_former_term,
    leader_that_was_paused,
]
