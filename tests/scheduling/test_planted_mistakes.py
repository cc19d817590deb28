"""Mutations of the scheduler: the simulation of faults must detect each of them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from corallanding.lab.stewards.waits import WaitWorld
from corallanding.lab.uses import most
from corallanding.scheduling.actions import Dispatch
from corallanding.scheduling.core import Scheduler
from corallanding.scheduling.limits import JobClass
from corallanding.scheduling.peer_queues import PeerQueues
from corallanding.scheduling.queue import JobQueue
from tests.scheduling.support import ORDER_BOUND_MS, run_simulation


def forget_ages(patch: Any) -> None:
    real = Scheduler.admit
    patch.setattr(
        Scheduler,
        "admit",
        lambda self, now_ms, alive_peers, proxy, ticket, class_number, waited_ms, *rest: real(
            self, now_ms, alive_peers, proxy, ticket, class_number, 0.0, *rest
        ),
    )


def stop_aging_of_peers(patch: Any) -> None:
    real = PeerQueues.effective_priority
    patch.setattr(
        PeerQueues,
        "effective_priority",
        lambda self, now_ms, queue, row: real(self, queue.received_at_ms, queue, row) - 1.5,
    )


def lose_when_moved(self: WaitWorld, job: Any, real: Any = WaitWorld.hand) -> None:
    if job.begun and job.at < 0:
        job.done = True
    else:
        real(self, job)


def with_wide_slack(self: Scheduler) -> Scheduler:
    self.order_slack = 9.0
    return self


def dispatch_without_permits(self: Scheduler, now_ms: float, alive_peers: list[int], real: Any) -> Any:
    take_permit = self.take_permit
    self.take_permit = lambda: True
    try:
        return real(self, now_ms, alive_peers)
    finally:
        self.take_permit = take_permit


MISTAKES: dict[str, Callable[[Any], None]] = {
    "peers are not taken into account": lambda patch: patch.setattr(
        PeerQueues, "watermark", lambda self, now_ms, alive_peers: float("-inf")
    ),
    "ages are lost on resubmission": forget_ages,
    "priority does not age": lambda patch: patch.setattr(
        JobClass, "effective_priority", lambda self, waited_ms, boost=0.0: self.priority
    ),
    "the lowest priority first": lambda patch: patch.setattr(
        JobQueue,
        "highest",
        lambda self, now_ms: min(self.oldest_by_group(now_ms), key=lambda row: row[0], default=None),
    ),
    "a dispatched job stays queued": lambda patch: patch.setattr(
        Scheduler, "dispatch", lambda self, now_ms, job, priority, observed: Dispatch(job, priority, observed)
    ),
    "all classes age alike": lambda patch: patch.setattr(
        JobClass, "effective_priority", lambda self, waited_ms, boost=0.0: self.priority + waited_ms / 1_000.0
    ),
    "the order slack is seconds": lambda patch: patch.setattr(
        Scheduler,
        "dispatch_ready",
        lambda self, now_ms, alive_peers, real=Scheduler.dispatch_ready: real(
            with_wide_slack(self), now_ms, alive_peers
        ),
    ),
    "jobs of peers are underrated": stop_aging_of_peers,
    "jobs of a lost link are dropped": lambda patch: patch.setattr(WaitWorld, "hand", lose_when_moved),
    "permits are not taken": lambda patch: patch.setattr(
        Scheduler,
        "dispatch_ready",
        lambda self, now_ms, alive_peers, real=Scheduler.dispatch_ready: dispatch_without_permits(
            self, now_ms, alive_peers, real
        ),
    ),
}


@pytest.mark.parametrize("name", MISTAKES)
def test_simulation_when_a_mistake_is_planted_then_finds_it(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    MISTAKES[name](monkeypatch)
    for seed in range(6):
        world = run_simulation(seed)
        audit = world.found(ORDER_BOUND_MS)
        is_faulty = audit["doubled"] or audit["lost"] or audit["inversions_over_bound"]
        lacks_permits = len(world.uses) < len(world.went)
        if is_faulty or lacks_permits or world.again or most(world.uses, {"releases": 20})[0]["over_ms"]:
            return
    pytest.fail(f"{name}: not detected")
