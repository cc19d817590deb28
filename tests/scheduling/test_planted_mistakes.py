"""Mistakes planted in the code: the simulation of faults must find each of them."""

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
from tests.scheduling.support import BOUND, play_world


def forget_ages(patch: Any) -> None:
    real = Scheduler.admit
    patch.setattr(
        Scheduler,
        "admit",
        lambda self, now_ms, alive, proxy, ticket, kind, waited_ms, *rest: real(
            self, now_ms, alive, proxy, ticket, kind, 0.0, *rest
        ),
    )


def stop_aging_of_peers(patch: Any) -> None:
    real = PeerQueues.effective_priority
    patch.setattr(
        PeerQueues,
        "effective_priority",
        lambda self, now, other, row: real(self, other.received_at_ms, other, row) - 1.5,
    )


def lose_when_moved(self: WaitWorld, world: Any, real: Any = WaitWorld.hand) -> None:
    if world.begun and world.at < 0:
        world.done = True
    else:
        real(self, world)


def with_wide_slack(self: Scheduler) -> Scheduler:
    self.order_slack = 9.0
    return self


def dispatch_without_permits(self: Scheduler, now: float, alive: list[int], real: Any) -> Any:
    take_permit = self.take_permit
    self.take_permit = lambda: True
    try:
        return real(self, now, alive)
    finally:
        self.take_permit = take_permit


MISTAKES: dict[str, Callable[[Any], None]] = {
    "nobody else is looked at": lambda p: p.setattr(PeerQueues, "watermark", lambda self, now, alive: float("-inf")),
    "no age is carried along": forget_ages,
    "priority without patience": lambda p: p.setattr(
        JobClass, "effective_priority", lambda self, waited, rise=0.0: self.priority
    ),
    "the youngest first": lambda p: p.setattr(
        JobQueue, "highest", lambda self, now: min(self.oldest_by_group(now), key=lambda row: row[0], default=None)
    ),
    "released and kept": lambda p: p.setattr(
        Scheduler, "dispatch", lambda self, now, job, standing, counted: Dispatch(job, standing, counted)
    ),
    "patience is not compared": lambda p: p.setattr(
        JobClass, "effective_priority", lambda self, waited, rise=0.0: self.priority + waited / 1_000.0
    ),
    "a slack of seconds": lambda p: p.setattr(
        Scheduler,
        "dispatch_ready",
        lambda self, now, alive, real=Scheduler.dispatch_ready: real(with_wide_slack(self), now, alive),
    ),
    "what others have is taken for younger": stop_aging_of_peers,
    "jobs of a link that is gone are forgotten": lambda p: p.setattr(WaitWorld, "hand", lose_when_moved),
    "rights are not asked for": lambda p: p.setattr(
        Scheduler,
        "dispatch_ready",
        lambda self, now, alive, real=Scheduler.dispatch_ready: dispatch_without_permits(self, now, alive, real),
    ),
}


@pytest.mark.parametrize("name", MISTAKES)
def test_simulation_when_a_mistake_is_planted_then_finds_it(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    MISTAKES[name](monkeypatch)
    for seed in range(6):
        world = play_world(seed)
        found = world.found(BOUND)
        fault = found["doubled"] or found["lost"] or found["inversions_over_bound"]
        paid = len(world.uses) < len(world.went)
        if fault or paid or world.again or most(world.uses, {"releases": 20})[0]["over_ms"]:
            return
    pytest.fail(f"{name}: not found")
