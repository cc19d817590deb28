"""Leased tasks in simulated time: the real `lease` core under the faults of `World`, and a fenced resource."""

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

WALL = 1.7e12  # wall clock in ms at the start of a world


class TaskWorld(World):
    """Controllers that act on the tasks they hold.

    acting: number of held tasks that a controller acts on at each tick. wall: wall clock by real time; it may step.
    lag: mean ms between the check of the lease and the write to the resource.
    """

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

    def core(
        self, n: int, others: tuple[int, ...], incarnation: int, clock_at_start: float, chance: Callable[[], float]
    ) -> Any:
        election = VotedElection(n, others, self.voters, self.task_terms, incarnation, clock_at_start, chance)
        wall = self.wall(self.now)
        return TaskLeases(
            election, self.tasks, self.task_terms, clock_at_start, is_election_shared=False, wall_clock_ms=wall
        )

    def tick(self, n: int, p: Process) -> None:
        p.quota.wall_clock_ms = self.wall(self.now)
        super().tick(n, p)

    def work(self, n: int, p: Process) -> None:
        """Begin acts on some of the held tasks."""
        core, now = p.quota, p.clock(self.now)
        held = core.tasks.tasks_in(core.holder.shards) if now < core.holder.leased_until else []
        for task in self.picks.sample(held, min(self.acting, len(held))):
            if token := core.begin_action(now, task):
                work = core.tasks.spec(task).max_work_ms
                # The act takes its longest time, even if its process is suspended or killed meanwhile.
                self.acts.append((self.now, self.now + work, task, n, core.incarnation, token))
                delay_ms = min(work, self.picks.expovariate(1.0 / self.lag))
                self.at(self.now + delay_ms, lambda t=task, f=token: self.effect(n, p, t, f))  # type: ignore[misc]
                self.at(self.now + work, lambda t=task: self.over(p, t))  # type: ignore[misc]

    def effect(self, n: int, p: Process, task: int, token: int) -> None:
        """Write to the resource; a process that is suspended after its check writes when it resumes."""
        if p.stopped and p.alive:
            p.held.append(("call", lambda: self.effect(n, p, task, token)))
            return
        if not p.alive:
            return
        is_accepted = self.place.accept(task, token)
        self.takings.append((self.now, "place", task, n, p.quota.incarnation, token, is_accepted))
        if not is_accepted:
            p.quota.holder.on_action_rejected(self.place.highest_tokens[task])

    def over(self, p: Process, task: int) -> None:
        """End an act at its holder, if the process still runs."""
        if p.alive and not p.stopped:
            p.quota.end_action(p.clock(self.now), task)
