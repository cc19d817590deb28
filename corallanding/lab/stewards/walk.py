"""Version pinning under random orders of events, with leases that exclude nobody.

Two controllers may hold one task at the same time, for any time. So only fencing tokens and majorities keep the runs
consistent. Pending messages are delivered in any order, repeatedly or never. Files are lost or restored one at a time.
"""

from __future__ import annotations

import copy
import random
from typing import Any

from ...lease.tasks import TaskCatalog, TaskSpec
from ...quorum_records.core import Persist, ReplicaFile
from ...quorum_records.fleet import FleetRecords, RecordTaskGroups
from ...quorum_records.queries import QueryLimits
from ...version_pinning.core import (
    RELEASE_TASK,
    RUNS_TASK_GROUP,
    VersionPinning,
    build_version_pinning,
    run_record_limits,
)
from ...version_pinning.limits import PinningLimits
from ...version_pinning.messages import RunStatus
from .runs import SETS, ControllerFile

TERMS = PinningLimits(max_run_ms=1e9, announce_interval_ms=60.0)
QUERY_LIMITS = QueryLimits(timeout_ms=300.0, retry_ms=60.0)
TASKS = TaskCatalog(
    {
        RELEASE_TASK: TaskSpec(RELEASE_TASK, max_work_ms=50.0),
        RUNS_TASK_GROUP: TaskSpec(RUNS_TASK_GROUP, 1, max_work_ms=50.0),
    }
)
MAX_PENDING_MESSAGES = 120


class FenceHolder:
    """The fencing token under which a controller acts, and the highest that it has seen."""

    def __init__(self) -> None:
        self.fencing_token = self.highest_token = 0

    def on_action_rejected(self, token: int) -> None:
        self.highest_token = max(self.highest_token, token)


class UnsafeLeases:
    """Replaces `TaskLeases` for version pinning; the walk grants tasks without exclusion."""

    def __init__(self, me: int, others: tuple[int, ...], incarnation: int) -> None:
        self.controller_id, self.peer_ids, self.incarnation, self.tasks = me, others, incarnation, TASKS
        self.holder, self.held = FenceHolder(), set[int]()

    def holds(self, now: float, task: int) -> bool:
        """Return whether the walk has granted the task."""
        return task in self.held


class Walk:
    """A random walk over events. keepers: number of voters; keys: number of runs at a time."""

    def __init__(self, seed: int, keepers: int = 3, keys: int = 6) -> None:
        self.chance, self.keepers = random.Random(seed), tuple(range(keepers))
        self.keys = [1 + 2 * k for k in range(keys)]
        self.now, self.fence, self.goal = 1e6, 1 << 20, 1
        self.disks = [ControllerFile() for _ in self.keepers]
        self.saved_files = copy.deepcopy(self.disks)
        self.bag: list[tuple[int, int, Any]] = []
        self.told: dict[int, set[int]] = {}
        self.answers = 0
        self.over: list[int] = []  # runs that have ended, according to their clients
        self.gone: set[int] = set()  # releases that some controller knows to be retired
        self.broken: list[str] = []
        self.asked: dict[tuple[int, int], int] = {}
        self.leases: dict[int, UnsafeLeases] = {}
        self.pins: dict[int, VersionPinning] = {}
        self.fleets: dict[int, FleetRecords] = {}
        for n in self.keepers:
            self.start(n)

    def start(self, n: int) -> None:
        """Start a process of controller `n` from its file."""
        incarnation, disk = self.chance.getrandbits(50), self.disks[n]
        disk.open_count += 1
        leases = self.leases[n] = UnsafeLeases(n, tuple(k for k in self.keepers if k != n), incarnation)
        fleet = self.fleets[n] = FleetRecords(
            leases,  # type: ignore[arg-type]
            self.keepers,
            run_record_limits(TERMS, retry_ms=QUERY_LIMITS.retry_ms),
            QUERY_LIMITS,
            self.now,
            ReplicaFile(disk.open_count, disk.is_blank),
            RecordTaskGroups((RUNS_TASK_GROUP, RELEASE_TASK), (RUNS_TASK_GROUP,), (RELEASE_TASK,)),
            1e9,
        )
        pins = self.pins[n] = build_version_pinning(fleet, TERMS, SETS, self.goal, lambda s: 1.0)
        pins.records.peer_files.update(disk.peers)
        disk.load(pins.records.replica, lambda stored_time: stored_time)

    def carry(self, n: int, actions: list[Any]) -> None:
        """Carry out actions and check all answers."""
        for a in actions:
            if isinstance(a, Persist):
                self.disks[n].write(a.changes, lambda created_at: created_at)
            elif len(self.bag) < MAX_PENDING_MESSAGES:
                self.bag.append((n, a.to, a.message))
        for answer in self.pins[n].take_answers():
            key = self.asked.pop((n, answer.number), None)
            if key is not None and answer.result == RunStatus.PINNED:
                self.answers += 1
                self.told.setdefault(key, set()).add(answer.value)
                if len(self.told[key]) > 1:
                    self.broken.append(f"run {key}: sets {sorted(self.told[key])}")
                if answer.value in self.gone:
                    self.broken.append(f"run {key}: set {answer.value} is retired")
        register = self.pins[n].releases.register
        if register:
            self.gone |= {s for s in range(1, register.highest_set + 1) if s not in register.live_sets}

    def deliver_message(self, index: int) -> None:
        """Deliver a pending message; keep it with a probability of 10 % to repeat it."""
        row = self.bag[index]
        if self.chance.random() > 0.1:
            self.bag.pop(index)
        self.hand(*row)

    def hand(self, sender: int, to: int, message: Any) -> None:
        """Pass a message to the core that it is for."""
        if type(message).__module__.startswith("corallanding.quorum_records"):
            self.carry(to, self.fleets[to].on_message(self.now, sender, message))
        else:
            self.carry(to, self.fleets[to].in_send_order(self.now, list(self.pins[to].on_message(sender, message))))

    def ask(self, n: int, key: int) -> None:
        """Query a run at controller `n`."""
        number = self.pins[n].request_run(self.now, key)
        self.asked[n, number] = key
        self.carry(n, self.fleets[n].send_new_queries(self.now))

    def tick(self, n: int) -> None:
        """Advance the time and run the cores of controller `n`."""
        self.now += self.chance.uniform(0.0, 20.0)
        self.pins[n].wanted_set = self.goal
        self.carry(n, self.fleets[n].tick(self.now, self.pins[n].tick(self.now)))

    def grant(self) -> None:
        """Grant a task to a controller under a higher token; previous holders may keep it."""
        n, task = self.chance.choice(self.keepers), self.chance.randrange(TASKS.count)
        self.fence += 1
        if self.chance.random() < 0.3:
            for other in self.leases.values():
                other.held.discard(task)
        self.leases[n].held.add(task)
        self.leases[n].holder.fencing_token = self.fence

    def file(self) -> None:
        """Lose or restore one file, if all voters have theirs and have recovered; or save copies of all."""
        n = self.chance.choice(self.keepers)
        if all(not self.disks[k].is_blank and self.pins[k].records.recovery.is_ready for k in self.keepers):
            self.disks[n] = copy.deepcopy(self.saved_files[n]) if self.chance.random() < 0.5 else ControllerFile()
            self.restart(n)
        elif self.chance.random() < 0.3:
            self.saved_files = copy.deepcopy(self.disks)

    def restart(self, n: int) -> None:
        """Replace the process of controller `n`; its pending queries are lost."""
        self.asked = {k: v for k, v in self.asked.items() if k[0] != n}
        self.start(n)

    def step(self) -> None:
        """Run one random event."""
        chance = self.chance
        draw = chance.random()
        if draw < 0.78 and self.bag:
            self.deliver_message(chance.randrange(len(self.bag)))
        elif draw < 0.80 and self.bag:
            self.bag.pop(chance.randrange(len(self.bag)))
        elif draw < 0.95:
            self.tick(chance.choice(self.keepers))
        elif draw < 0.98:
            self.ask(chance.choice(self.keepers), chance.choice(self.keys))
        elif draw < 0.985:
            self.grant()
        elif draw < 0.995:
            self.goal = chance.randrange(max(1, self.goal - 1), min(max(SETS), self.goal + 1) + 1)
        elif draw < 0.998:
            self.restart(chance.choice(self.keepers))
        else:
            self.file()
        if not chance.randrange(40):
            index = chance.randrange(len(self.keys))
            self.over.append(self.keys[index])
            self.keys[index] = chance.getrandbits(40) | 1
        if self.over and not chance.randrange(15):
            n, key = chance.choice(self.keepers), chance.choice(self.over[-8:])
            self.pins[n].request_run(self.now, key, has_ended=True)

    def run(self, steps: int) -> list[str]:
        """Run up to `steps` events; return the violations, after the first of which the walk ends."""
        for _ in range(steps):
            self.step()
            if self.broken:
                break
        return self.broken
