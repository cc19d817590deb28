"""Tasks of a fleet in simulated time: the very `lease` core under `World`'s faults, and a place that outlives all."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from ...lease.core import TaskLeases
from ...lease.election import VotedElection
from ...lease.fenced_resource import FencedResource
from ...lease.limits import LeaseTimings
from ...lease.tasks import TaskCatalog
from ..fences import Act, Taking
from .world import Process, World

WALL = 1.7e12  # ms: the wall clock at the world's beginning


class TaskWorld(World):
    """acting: of the tasks that it holds, how many a steward acts on at each tick. wall: what the wall clock says, by
    real time; it may step. lag: mean ms from the look at the clock to the place."""

    def __init__(
        self,
        seed: int,
        numbers: int,
        voters: int,
        tasks: TaskCatalog,
        terms: LeaseTimings,
        acting: int = 3,
        first: int | None = None,
        wall: Callable[[float], float] = lambda t: WALL + t,
        lag: float = 5.0,
    ) -> None:
        self.tasks, self.task_terms, self.acting, self.wall, self.lag = tasks, terms, acting, wall, lag
        self.place = FencedResource(tasks.count)
        self.acts: list[Act] = []
        self.takings: list[Taking] = []
        self.picks = random.Random(f"picks {seed}")
        super().__init__(seed, numbers, voters, {}, terms, lambda t, n: [], first)  # type: ignore[arg-type]

    def core(self, n: int, others: tuple[int, ...], life: int, born: float, chance: Callable[[], float]) -> Any:
        election = VotedElection(n, others, self.voters, self.task_terms, life, born, chance)
        wall = self.wall(self.now)
        return TaskLeases(election, self.tasks, self.task_terms, born, is_election_shared=False, wall_clock_ms=wall)

    def tick(self, n: int, p: Process) -> None:
        p.quota.wall_clock_ms = self.wall(self.now)
        super().tick(n, p)

    def work(self, n: int, p: Process) -> None:
        core, now = p.quota, p.clock(self.now)
        held = core.tasks.tasks_in(core.holder.shards) if now < core.holder.leased_until else []
        for task in self.picks.sample(held, min(self.acting, len(held))):
            if fence := core.begin_action(now, task):
                work = core.tasks.spec(task).max_work_ms
                # It takes all of its time, and ends wherever its process then is.
                self.acts.append((self.now, self.now + work, task, n, core.incarnation, fence))
                late = min(work, self.picks.expovariate(1.0 / self.lag))
                self.at(self.now + late, lambda t=task, f=fence: self.effect(n, p, t, f))  # type: ignore[misc]
                self.at(self.now + work, lambda t=task: self.over(p, t))  # type: ignore[misc]

    def effect(self, n: int, p: Process, task: int, fence: int) -> None:
        """At the place, which outlives all stewards. One that is stopped after its look writes when it wakes."""
        if p.stopped and p.alive:
            p.held.append(("call", lambda: self.effect(n, p, task, fence)))
            return
        if not p.alive:
            return
        taken = self.place.accept(task, fence)
        self.takings.append((self.now, "place", task, n, p.quota.incarnation, fence, taken))
        if not taken:
            p.quota.holder.on_action_rejected(self.place.highest_tokens[task])

    def over(self, p: Process, task: int) -> None:
        if p.alive and not p.stopped:
            p.quota.end_action(p.clock(self.now), task)
