"""Runs and releases under orders of events drawn by a seed, with leases that exclude nobody: two stewards may hold one
task at one time, for as long as the walk likes. What keeps runs whole then is fences and majorities alone.

Words lie in a bag: any may come next, twice, or never. Files are lost or put back one at a time.
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
from .runs import SETS, Disk

TERMS = PinningLimits(max_run_ms=1e9, announce_interval_ms=60.0)
ASKS = QueryLimits(timeout_ms=300.0, retry_ms=60.0)
TASKS = TaskCatalog(
    {
        RELEASE_TASK: TaskSpec(RELEASE_TASK, max_work_ms=50.0),
        RUNS_TASK_GROUP: TaskSpec(RUNS_TASK_GROUP, 1, max_work_ms=50.0),
    }
)
BAG = 120


class Holder:
    def __init__(self) -> None:
        self.fencing_token = self.highest_token = 0

    def on_action_rejected(self, fence: int) -> None:
        self.highest_token = max(self.highest_token, fence)


class Anyone:
    """What `Pins` asks of leases: granted by the walk, to whomever it likes."""

    def __init__(self, me: int, others: tuple[int, ...], life: int) -> None:
        self.controller_id, self.peer_ids, self.incarnation, self.tasks = me, others, life, TASKS
        self.holder, self.held = Holder(), set[int]()

    def holds(self, now: float, task: int) -> bool:
        return task in self.held


class Walk:
    def __init__(self, seed: int, keepers: int = 3, keys: int = 6) -> None:
        self.chance, self.keepers = random.Random(seed), tuple(range(keepers))
        self.keys = [1 + 2 * k for k in range(keys)]
        self.now, self.fence, self.goal = 1e6, 1 << 20, 1
        self.disks = [Disk() for _ in self.keepers]
        self.saved = copy.deepcopy(self.disks)
        self.bag: list[tuple[int, int, Any]] = []
        self.told: dict[int, set[int]] = {}
        self.answers = 0
        self.over: list[int] = []  # runs that have ended, as their clients say
        self.gone: set[int] = set()  # sets that are retired, as some steward knows
        self.broken: list[str] = []
        self.asked: dict[tuple[int, int], int] = {}
        self.leases: dict[int, Anyone] = {}
        self.pins: dict[int, VersionPinning] = {}
        self.fleets: dict[int, FleetRecords] = {}
        for n in self.keepers:
            self.start(n)

    def start(self, n: int) -> None:
        life, disk = self.chance.getrandbits(50), self.disks[n]
        disk.opened += 1
        leases = self.leases[n] = Anyone(n, tuple(k for k in self.keepers if k != n), life)
        fleet = self.fleets[n] = FleetRecords(
            leases,  # type: ignore[arg-type]
            self.keepers,
            run_record_limits(TERMS, retry_ms=ASKS.retry_ms),
            ASKS,
            self.now,
            ReplicaFile(disk.opened, disk.blank),
            RecordTaskGroups((RUNS_TASK_GROUP, RELEASE_TASK), (RUNS_TASK_GROUP,), (RELEASE_TASK,)),
            1e9,
        )
        pins = self.pins[n] = build_version_pinning(fleet, TERMS, SETS, self.goal, lambda s: 1.0)
        pins.records.peer_files.update(disk.peers)
        disk.load(pins.records.replica, lambda real: real)

    def carry(self, n: int, actions: list[Any]) -> None:
        for a in actions:
            if isinstance(a, Persist):
                self.disks[n].write(a.changes, lambda born: born)
            elif len(self.bag) < BAG:
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

    def deliver(self, at: int) -> None:
        row = self.bag[at]
        if self.chance.random() > 0.1:
            self.bag.pop(at)
        self.hand(*row)

    def hand(self, sender: int, to: int, word: Any) -> None:
        if type(word).__module__.startswith("corallanding.quorum_records"):
            self.carry(to, self.fleets[to].on_message(self.now, sender, word))
        else:
            self.carry(to, self.fleets[to].in_send_order(self.now, list(self.pins[to].on_message(sender, word))))

    def ask(self, n: int, key: int) -> None:
        number = self.pins[n].request_run(self.now, key)
        self.asked[n, number] = key
        self.carry(n, self.fleets[n].send_new_queries(self.now))

    def tick(self, n: int) -> None:
        self.now += self.chance.uniform(0.0, 20.0)
        self.pins[n].wanted_set = self.goal
        self.carry(n, self.fleets[n].tick(self.now, self.pins[n].tick(self.now)))

    def grant(self) -> None:
        """A task to one more steward, under a higher fence; who had it may believe that it has it still."""
        n, task = self.chance.choice(self.keepers), self.chance.randrange(TASKS.count)
        self.fence += 1
        if self.chance.random() < 0.3:
            for other in self.leases.values():
                other.held.discard(task)
        self.leases[n].held.add(task)
        self.leases[n].holder.fencing_token = self.fence

    def file(self) -> None:
        """One is lost or put back, while all the others have theirs and count."""
        n = self.chance.choice(self.keepers)
        if all(not self.disks[k].blank and self.pins[k].records.recovery.is_ready for k in self.keepers):
            self.disks[n] = copy.deepcopy(self.saved[n]) if self.chance.random() < 0.5 else Disk()
            self.restart(n)
        elif self.chance.random() < 0.3:
            self.saved = copy.deepcopy(self.disks)

    def restart(self, n: int) -> None:
        self.asked = {k: v for k, v in self.asked.items() if k[0] != n}
        self.start(n)

    def step(self) -> None:
        c = self.chance
        what = c.random()
        if what < 0.78 and self.bag:
            self.deliver(c.randrange(len(self.bag)))
        elif what < 0.80 and self.bag:
            self.bag.pop(c.randrange(len(self.bag)))
        elif what < 0.95:
            self.tick(c.choice(self.keepers))
        elif what < 0.98:
            self.ask(c.choice(self.keepers), c.choice(self.keys))
        elif what < 0.985:
            self.grant()
        elif what < 0.995:
            self.goal = c.randrange(max(1, self.goal - 1), min(max(SETS), self.goal + 1) + 1)
        elif what < 0.998:
            self.restart(c.choice(self.keepers))
        else:
            self.file()
        if not c.randrange(40):
            at = c.randrange(len(self.keys))
            self.over.append(self.keys[at])
            self.keys[at] = c.getrandbits(40) | 1
        if self.over and not c.randrange(15):
            n, key = c.choice(self.keepers), c.choice(self.over[-8:])
            self.pins[n].request_run(self.now, key, has_ended=True)

    def run(self, steps: int) -> list[str]:
        """What broke, in words."""
        for _ in range(steps):
            self.step()
            if self.broken:
                break
        return self.broken
