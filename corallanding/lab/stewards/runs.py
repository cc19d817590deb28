"""Runs and releases of a fleet in simulated time: the very `pins` core on the tasks of `TaskWorld`, with a file for
each steward that outlives its process, may be lost, or put back from a copy."""

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

LEASE = LeaseTimings(lease_ms=600.0, vote_lease_ms=400.0)
TERMS = PinningLimits(max_run_ms=6_000.0, announce_interval_ms=150.0)
ASKS = QueryLimits(timeout_ms=900.0, retry_ms=60.0)
SETS = {n: {"quote": n, "claim": n} for n in range(1, 9)}


@dataclass
class Disk:
    """What a steward's file holds; ages go on by the world's own clock."""

    rows: dict[tuple[int, int], tuple[int, int, int, float]] = field(default_factory=dict)
    seen: dict[int, int] = field(default_factory=dict)
    peers: dict[int, PeerFile] = field(default_factory=dict)
    opened: int = 0
    writes: int = 0
    blank: bool = True

    def write(self, what: UnsavedChanges, real: Callable[[float], float]) -> None:
        if what.is_wiped:
            self.rows, self.seen, self.blank = {}, {}, True
        for gone in what.deleted_keys:
            self.rows.pop(gone, None)
        for group, key, value, fence, number, born in what.rows:
            self.rows[group, key] = (value, fence, number, real(born))
        self.seen.update(what.highest_tokens)
        self.peers.update(what.peer_files)
        self.opened, self.writes = max(self.opened, what.open_count), what.write_count
        self.blank = self.blank and not what.is_recovered

    def load(self, shelf: Replica, local: Callable[[float], float]) -> None:
        for (group, key), (value, fence, number, born) in self.rows.items():
            shelf.put(group, key, value, Ballot(fence, number), local(born))
        shelf.highest_tokens.update(self.seen)
        shelf.take_unsaved()
        shelf.write_count = self.writes


class RunWorld(TaskWorld):
    """Clients ask for runs at any steward; `told` has every answer: (at, run, steward, what, set)."""

    def __init__(
        self,
        seed: int,
        numbers: int,
        voters: int,
        groups: int = 4,
        per_s: float = 20.0,
        runs: int = 60,
        terms: PinningLimits = TERMS,
        lease: LeaseTimings = LEASE,
    ) -> None:
        self.disks = [Disk() for _ in range(numbers)]
        self.pins: dict[int, VersionPinning] = {}
        self.told: list[tuple[float, int, int, int, int]] = []
        self.asked: dict[tuple[int, int, int], tuple[int, float]] = {}  # (steward, life, ask): run, when
        self.goal, self.strong = 1, dict.fromkeys(SETS, 1.0)
        self.per_s, self.runs, self.pin_terms = per_s, runs, terms
        self.fleets: dict[int, FleetRecords] = {}
        self.keys: list[tuple[float, int]] = []  # when it began, run
        self.drawn = random.Random(f"runs {seed}")
        self.retired_at: dict[int, float] = {}  # set: when some steward first knew
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

    def core(self, n: int, others: tuple[int, ...], life: int, born: float, chance: Callable[[], float]) -> Any:
        leases = super().core(n, others, life, born, chance)
        if not self.files:
            self.disks[n] = Disk()
        disk = self.disks[n]
        disk.opened += 1
        fleet = FleetRecords(
            leases,
            self.voters,
            run_record_limits(self.pin_terms, retry_ms=ASKS.retry_ms),
            ASKS,
            born,
            ReplicaFile(disk.opened, disk.blank),
            RecordTaskGroups((RUNS_TASK_GROUP, RELEASE_TASK), (RUNS_TASK_GROUP,), (RELEASE_TASK,)),
        )
        pins = build_version_pinning(fleet, self.pin_terms, SETS, self.goal, lambda s: self.strong[s])
        pins.records.peer_files.update(disk.peers)
        disk.load(pins.records.replica, lambda real: born - (self.now - real))
        self.pins[n], self.fleets[n] = pins, fleet
        return leases

    def client(self) -> None:
        """A run's next step, or a new run; at stewards drawn anew. None comes back once nobody may remember it."""
        recent = [key for began, key in self.keys[-self.runs :] if self.now - began < 1.8 * self.pin_terms.max_run_ms]
        if len(recent) < self.runs or self.drawn.random() < 0.2:
            recent.append(self.drawn.getrandbits(62) | 1)
            self.keys.append((self.now, recent[-1]))
        self.ask(self.drawn.choice(recent), twice=self.drawn.random() < 0.3)
        self.at(self.now + self.drawn.expovariate(self.per_s / 1000.0), self.client)

    def ask(self, key: int, twice: bool = False) -> None:
        up = [n for n, p in self.processes.items() if not p.stopped]
        for n in self.drawn.sample(up, min(len(up), 2 if twice else 1)):
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
        """What must be on disk is, before anything that comes after it."""
        for a in actions:
            if isinstance(a, Persist):
                self.disks[n].write(a.changes, lambda born: self.now - (p.clock(self.now) - born) / p.rate)
            else:
                self.send(n, a.to, a.message)
        pins = self.pins[n]
        for answer in pins.take_answers():
            self.answered(n, pins, answer)

    def answered(self, n: int, pins: VersionPinning, answer: QueryResult) -> None:
        key, _ = self.asked.pop((n, pins.queries.incarnation, answer.number))
        self.told.append((self.now, key, n, answer.result, answer.value))

    def take(self, n: int, p: Process, sender: int, word: Any) -> None:
        kind, now = type(word).__module__, p.clock(self.now)
        if kind.startswith("corallanding.quorum_records"):
            self.carry(n, p, self.fleets[n].on_message(now, sender, word))
        elif kind.startswith("corallanding.version_pinning"):
            self.carry(n, p, self.fleets[n].in_send_order(now, list(self.pins[n].on_message(sender, word))))
        else:
            super().take(n, p, sender, word)

    def disk_faults(self, chance: random.Random) -> None:
        """Now and then one file, of a process that is killed there, is lost or put back from a copy made before. One at
        a time, and only while all others stand: more than a minority lost at once is beyond what copies can bear."""
        saved = copy.deepcopy(self.disks)

        def strike() -> None:
            nonlocal saved
            n = chance.choice(self.voters)
            whole = all(
                not self.disks[k].blank
                and k in self.processes
                and not self.processes[k].stopped
                and self.pins[k].records.recovery.is_ready
                for k in self.voters
            )
            if whole and not self.ways and self.usual is self.rest:
                self.kill(n)
                self.disks[n] = copy.deepcopy(saved[n]) if chance.random() < 0.5 else Disk()
                self.at(self.now + 50.0, lambda: self.start(n) if n not in self.processes else None)
            elif chance.random() < 0.3:
                saved = copy.deepcopy(self.disks)
            self.at(self.now + chance.uniform(500.0, 2_500.0), strike)

        self.at(chance.uniform(3_000.0, 6_000.0), strike)

    # ---- what is looked at afterwards ----------------------------------------------------------------------

    def split(self) -> list[int]:
        """Runs that were told two sets."""
        sets: dict[int, set[int]] = {}
        for _, key, _, what, number in self.told:
            if what == RunStatus.PINNED:
                sets.setdefault(key, set()).add(number)
        return [key for key, found in sets.items() if len(found) > 1]

    def revived(self) -> list[tuple[int, int]]:
        """Runs that were told a set after somebody knew that it was retired."""
        return [
            (key, number)
            for at, key, _, what, number in self.told
            if what == RunStatus.PINNED and at > self.retired_at.get(number, float("inf"))
        ]
