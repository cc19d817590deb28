"""Tasks of the fleet: what this steward holds, acts on and says of it. Decided in `lease`."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import Any

from ..config import ControllerConfig
from ..lease.core import TaskLeases
from ..lease.election import LeaderElection, OutgoingMessage
from ..lease.limits import LeaseTimings
from ..lease.messages import ActionRejected, FencedAction, LeaseGrant, LeaseRequest, sound
from ..lease.tasks import TaskCatalog, TaskSpec
from ..telemetry import Metrics, log
from .action_journal import ActionJournal

UPGRADE = "upgrade"  # the task that a steward holds while it hands over to a new process


def tasks_of(c: ControllerConfig) -> TaskCatalog:
    """What the configuration asks for, as the core knows it."""
    found = {name: TaskSpec(name, 1, t.work_most_ms, t.idle_ms, name != UPGRADE) for name, t in c.task.items()} | {
        name: TaskSpec(name, g.count, g.work_most_ms, g.idle_ms) for name, g in c.task_group.items()
    }
    return TaskCatalog(found)


class TaskService:
    """Acts on what it holds each `beat_ms`: says so to the other stewards, each of them a place of effect that refuses
    a fence below the highest it has seen. Raises OSError if the witness cannot be written."""

    message_types: tuple[type, ...] = (LeaseRequest, LeaseGrant, FencedAction, ActionRejected)
    is_valid = staticmethod(sound)

    def __init__(
        self,
        c: ControllerConfig,
        office: LeaderElection,
        say: Callable[[Iterable[OutgoingMessage]], None],
        clock: Callable[[], float],
        metrics: Metrics,
        rate_limited_log: Any,
    ) -> None:
        self.send, self.clock, self.metrics, self.rate_limited_log = say, clock, metrics, rate_limited_log
        t, o = c.tasks, office
        terms = LeaseTimings(office=c.budgets.office_ms, drift=c.budgets.drift, lease=t.lease_ms, turn=t.turn_leases)
        self.core = TaskLeases(
            o.me,
            o.others,
            (),
            tasks_of(c),
            terms,
            o.life,
            clock(),
            random.random,
            words_per_s=c.budgets.words_per_s,
            chair=office,
        )
        self.core.holder.said = self.on_task_change
        self.heartbeat_ms = {
            **{n: b.beat_ms for n, b in c.task.items()},
            **{n: b.beat_ms for n, b in c.task_group.items()},
        }
        self.next_heartbeat_ms: dict[int, float] = {}
        self.changes: dict[tuple[str, str], list[int]] = {}
        self.journal = ActionJournal(t.witness)
        self.leader_since: float | None = None  # of the office, as last told

    def on_task_change(self, what: str, task: int) -> None:
        self.changes.setdefault((self.core.tasks.task(task).name, what), []).append(task)

    def log_changes(self) -> None:
        """A line for each task or group that changed hands since the last, not one for each of thousands."""
        for (name, what), which in self.changes.items():
            self.metrics.task_changes.labels(what).inc(len(which))
            few = [self.core.tasks.label(n) for n in which[:4]]
            log.info("task", task=name, what=what, count=len(which), first=few, fence=self.core.holder.fence)
        self.changes.clear()

    def on_tick(self, now: float, alive: Iterable[int], wall: float) -> None:
        core = self.core
        core.wall = wall
        self.send(core.tick(now, alive))
        if core.dealer.since != self.leader_since:  # it may have changed with a vote, between two ticks
            self.leader_since = core.dealer.since
            log.info("deals the tasks" if self.leader_since else "deals no more")
        if now < core.holder.until and any(self.heartbeat_ms.values()):
            for task in core.tasks.within(core.holder.bits):
                self.send_heartbeat(now, task)
        if self.changes:
            self.log_changes()

    def send_heartbeat(self, now: float, task: int) -> None:
        """An act of its own. It counts as under way for its stated longest time: so long its words may be on theirs."""
        every = self.heartbeat_ms[self.core.tasks.task(task).name]
        if not every or now < self.next_heartbeat_ms.get(task, 0.0):
            return
        if fence := self.begin_act(now, task):
            self.next_heartbeat_ms[task] = now + every
            self.send(self.core.acted(task, fence))
            self.core.holder.progress(now, task)

    def begin_act(self, now: float, task: int) -> int:
        """The fence of an act that may begin now, written down before it does; 0 if none may."""
        fence = self.core.begin(now, task)
        if fence:
            at, work, core = ActionJournal.now(), self.core.tasks.task(task).work, self.core
            self.journal.write("act", at, at + work, task, core.me, core.life, fence)
        return fence

    def begin_act_on(self, name: str) -> int:
        """Asks for a task that is not always wanted; the fence of an act on it, once one may begin."""
        number = self.core.tasks.number(name)
        if number not in self.core.holder.wishes:
            self.core.want(number, True)
        return self.begin_act(self.clock(), number)

    def release_task(self, name: str) -> None:
        if name in self.core.tasks.by_name:
            number = self.core.tasks.number(name)
            self.core.done(self.clock(), number)
            self.core.want(number, False)

    def on_message(self, sender: int, word: LeaseRequest | LeaseGrant | FencedAction | ActionRejected) -> None:
        taken = self.core.place.taken
        self.send(self.core.heard(self.clock(), sender, word))
        if isinstance(word, FencedAction) and word.round < self.core.tasks.count:
            good, me = self.core.place.taken > taken, f"steward {self.core.me} {self.core.life}"
            self.journal.write("took", ActionJournal.now(), me, word.round, sender, word.life, word.fence, good)
            if not good:
                self.metrics.stale_fencing_tokens.inc()
                self.rate_limited_log.warn(
                    "act behind its fence", task=self.core.tasks.label(word.round), steward=sender
                )

    def on_election_change(self, now: float) -> None:
        self.core.office(now)

    @property
    def rejected(self) -> int:
        return self.core.refused + self.core.dealer.strangers

    def update_metrics(self) -> None:
        h, now = self.core.holder, self.clock()
        self.metrics.tasks_held.set(len(self.core.tasks.within(h.bits)) if now < h.until else 0)
        self.metrics.task_fencing_token.set(h.fence)

    def leave(self, now: float) -> list[OutgoingMessage]:
        return self.core.leave(now)

    def close(self) -> None:
        self.log_changes()
        self.journal.close()
