"""Version pinning in simulated time: the real core on the leased tasks of `TaskWorld`.

Each controller has a file that outlives its process and may be lost or restored from an old copy.
"""

from __future__ import annotations

import copy
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from ...lease.limits import LeaseTimings
from ...lease.tasks import TaskCatalog, TaskSpec
from ...quorum_records.core import Persist, ReplicaFile
from ...quorum_records.fleet import FleetRecords, RecordTaskGroups
from ...quorum_records.queries import QueryLimits, QueryResult
from ...quorum_records.replica import Replica, UnsavedChanges
from ...quorum_records.stored_rows import Ballot, PeerFile
from ...version_pinning.core import (
    RELEASE_TASK,
    RUNS_TASK_GROUP,
    VersionPinning,
    build_version_pinning,
    run_record_limits,
)
from ...version_pinning.limits import PinningLimits
from ...version_pinning.messages import RunStatus
from .tasks import TaskWorld
from .world import Process

LEASE_TIMINGS = LeaseTimings(lease_ms=600.0, vote_lease_ms=400.0)
TERMS = PinningLimits(max_run_ms=6_000.0, announce_interval_ms=150.0)
QUERY_LIMITS = QueryLimits(timeout_ms=900.0, retry_ms=60.0)
SETS = {n: {"quote": n, "claim": n} for n in range(1, 9)}


@dataclass
class ControllerFile:
    """The stored records of a controller; times are on the world's clock, on which ages continue."""

    rows: dict[tuple[int, int], tuple[int, int, int, float]] = field(default_factory=dict)
    highest_tokens: dict[int, int] = field(default_factory=dict)
    peers: dict[int, PeerFile] = field(default_factory=dict)
    open_count: int = 0
    write_count: int = 0
    is_blank: bool = True

    def write(self, changes: UnsavedChanges, to_world_time: Callable[[float], float]) -> None:
        """Store changes of a replica."""
        if changes.is_wiped:
            self.rows, self.highest_tokens, self.is_blank = {}, {}, True
        for deleted_key in changes.deleted_keys:
            self.rows.pop(deleted_key, None)
        for group, key, value, token, number, created_at in changes.rows:
            self.rows[group, key] = (value, token, number, to_world_time(created_at))
        self.highest_tokens.update(changes.highest_tokens)
        self.peers.update(changes.peer_files)
        self.open_count, self.write_count = max(self.open_count, changes.open_count), changes.write_count
        self.is_blank = self.is_blank and not changes.is_recovered

    def load(self, replica: Replica, to_local_time: Callable[[float], float]) -> None:
        """Load the stored records into a replica."""
        for (group, key), (value, token, number, created_at) in self.rows.items():
            replica.put(group, key, value, Ballot(token, number), to_local_time(created_at))
        replica.highest_tokens.update(self.highest_tokens)
        replica.take_unsaved()
        replica.write_count = self.write_count


class RunWorld(TaskWorld):
    """Clients that query runs at any controller. told: all answers as (time, run, controller, status, release)."""

    def __init__(
        self,
        seed: int,
        numbers: int,
        voters: int,
        groups: int = 4,
        per_s: float = 20.0,
        runs: int = 60,
        terms: PinningLimits = TERMS,
        lease: LeaseTimings = LEASE_TIMINGS,
    ) -> None:
        self.disks = [ControllerFile() for _ in range(numbers)]
        self.pins: dict[int, VersionPinning] = {}
        self.told: list[tuple[float, int, int, int, int]] = []
        self.asked: dict[tuple[int, int, int], tuple[int, float]] = {}  # (controller, incarnation, query): run, time
        self.goal, self.strong = 1, dict.fromkeys(SETS, 1.0)
        self.per_s, self.runs, self.pin_terms = per_s, runs, terms
        self.fleets: dict[int, FleetRecords] = {}
        self.keys: list[tuple[float, int]] = []  # time of the first query, run
        self.drawn = random.Random(f"runs {seed}")
        self.retired_at: dict[int, float] = {}  # release: time at which the first controller knew
        self.files = True  # whether files outlive processes
        tasks = TaskCatalog(
            {
                RELEASE_TASK: TaskSpec(RELEASE_TASK, max_work_ms=50.0),
                RUNS_TASK_GROUP: TaskSpec(RUNS_TASK_GROUP, groups, max_work_ms=50.0),
            }
        )
        super().__init__(seed, numbers, voters, tasks, lease, acting=0)
        if per_s:
            self.at(0.0, self.client)

    def core(
        self, n: int, others: tuple[int, ...], incarnation: int, clock_at_start: float, chance: Callable[[], float]
    ) -> Any:
        leases = super().core(n, others, incarnation, clock_at_start, chance)
        if not self.files:
            self.disks[n] = ControllerFile()
        disk = self.disks[n]
        disk.open_count += 1
        fleet = FleetRecords(
            leases,
            self.voters,
            run_record_limits(self.pin_terms, retry_ms=QUERY_LIMITS.retry_ms),
            QUERY_LIMITS,
            clock_at_start,
            ReplicaFile(disk.open_count, disk.is_blank),
            RecordTaskGroups((RUNS_TASK_GROUP, RELEASE_TASK), (RUNS_TASK_GROUP,), (RELEASE_TASK,)),
        )
        pins = build_version_pinning(fleet, self.pin_terms, SETS, self.goal, lambda s: self.strong[s])
        pins.records.peer_files.update(disk.peers)
        disk.load(pins.records.replica, lambda world_time: clock_at_start - (self.now - world_time))
        self.pins[n], self.fleets[n] = pins, fleet
        return leases

    def client(self) -> None:
        """Query a recent run again or a new one, at random controllers.

        Runs are not queried again after 1.8 times the longest duration, when their records may have been deleted.
        """
        recent = [key for began, key in self.keys[-self.runs :] if self.now - began < 1.8 * self.pin_terms.max_run_ms]
        if len(recent) < self.runs or self.drawn.random() < 0.2:
            recent.append(self.drawn.getrandbits(62) | 1)
            self.keys.append((self.now, recent[-1]))
        self.ask(self.drawn.choice(recent), twice=self.drawn.random() < 0.3)
        self.at(self.now + self.drawn.expovariate(self.per_s / 1000.0), self.client)

    def ask(self, key: int, twice: bool = False) -> None:
        """Query a run at one random controller, or at two."""
        running = [n for n, p in self.processes.items() if not p.stopped]
        for n in self.drawn.sample(running, min(len(running), 2 if twice else 1)):
            p, pins = self.processes[n], self.pins[n]
            number = pins.request_run(p.clock(self.now), key)
            self.asked[n, pins.queries.incarnation, number] = (key, self.now)
            self.carry(n, p, self.fleets[n].send_new_queries(p.clock(self.now)))

    def tick(self, n: int, p: Process) -> None:
        if p.alive and not p.stopped:
            pins = self.pins[n]
            pins.wanted_set = self.goal
        super().tick(n, p)

    def work(self, n: int, p: Process) -> None:
        now = p.clock(self.now)
        self.carry(n, p, self.fleets[n].tick(now, self.pins[n].tick(now)))
        register = self.pins[n].releases.register
        if register:
            for number in range(1, register.highest_set + 1):
                if number not in register.live_sets:
                    self.retired_at.setdefault(number, self.now)

    def carry(self, n: int, p: Process, actions: list[Any]) -> None:
        """Carry out actions in order, so that changes are stored before the messages that follow them."""
        for a in actions:
            if isinstance(a, Persist):
                self.disks[n].write(a.changes, lambda created_at: self.now - (p.clock(self.now) - created_at) / p.rate)
            else:
                self.send(n, a.to, a.message)
        pins = self.pins[n]
        for answer in pins.take_answers():
            self.answered(n, pins, answer)

    def answered(self, n: int, pins: VersionPinning, answer: QueryResult) -> None:
        """Record an answer."""
        key, _ = self.asked.pop((n, pins.queries.incarnation, answer.number))
        self.told.append((self.now, key, n, answer.result, answer.value))

    def take(self, n: int, p: Process, sender: int, message: Any) -> None:
        kind, now = type(message).__module__, p.clock(self.now)
        if kind.startswith("corallanding.quorum_records"):
            self.carry(n, p, self.fleets[n].on_message(now, sender, message))
        elif kind.startswith("corallanding.version_pinning"):
            self.carry(n, p, self.fleets[n].in_send_order(now, list(self.pins[n].on_message(sender, message))))
        else:
            super().take(n, p, sender, message)

    def disk_faults(self, chance: random.Random) -> None:
        """Lose or restore one file at a time, together with its process, while all other voters are healthy.

        Replication does not survive the loss of more than a minority at once.
        """
        saved = copy.deepcopy(self.disks)

        def inject_fault() -> None:
            nonlocal saved
            n = chance.choice(self.voters)
            is_healthy = all(
                not self.disks[k].is_blank
                and k in self.processes
                and not self.processes[k].stopped
                and self.pins[k].records.recovery.is_ready
                for k in self.voters
            )
            if is_healthy and not self.ways and self.usual is self.rest:
                self.kill(n)
                self.disks[n] = copy.deepcopy(saved[n]) if chance.random() < 0.5 else ControllerFile()
                self.at(self.now + 50.0, lambda: self.start(n) if n not in self.processes else None)
            elif chance.random() < 0.3:
                saved = copy.deepcopy(self.disks)
            self.at(self.now + chance.uniform(500.0, 2_500.0), inject_fault)

        self.at(chance.uniform(3_000.0, 6_000.0), inject_fault)

    # ---- results -------------------------------------------------------------------------------------------

    def split(self) -> list[int]:
        """Return the runs that were pinned to two releases."""
        sets: dict[int, set[int]] = {}
        for _, key, _, result, number in self.told:
            if result == RunStatus.PINNED:
                sets.setdefault(key, set()).add(number)
        return [key for key, found in sets.items() if len(found) > 1]

    def revived(self) -> list[tuple[int, int]]:
        """Return the runs that were pinned to a release after some controller knew that it was retired."""
        return [
            (key, number)
            for at, key, _, result, number in self.told
            if result == RunStatus.PINNED and at > self.retired_at.get(number, float("inf"))
        ]
