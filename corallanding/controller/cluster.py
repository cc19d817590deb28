"""What a steward has in common with its peers: members, an office, and the rooms that rest on it. What is decided
stands in the cores; here they get a clock, a way to say things, and their turn."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from .. import membership
from ..config import ControllerConfig
from ..config.scheduling import JOBS
from ..lease.election import LeaderElection, OutgoingMessage, VotedElection
from ..lease.limits import ElectionTimings
from ..lease.messages import VoteRelease, VoteReply, VoteRequest
from ..lease.messages import sound as is_valid_lease_message
from ..lease.registry_election import RegistryElection
from ..membership.messages import Ack, Ping, PingRequest
from ..membership.messages import sound as is_valid_membership_message
from ..quorum_records.limits import RecordLimits
from ..telemetry import Metrics, log
from ..version_pinning.core import RELEASE, RUNS, record_terms
from ..wire.frames import Enter, Unwait, Wait
from .fleet_view import FleetView
from .peer_dispatch import PeerDispatcher
from .pinning_service import PinningService, pinning_limits
from .quota_service import QuotaService
from .record_service import RecordService
from .scheduling_service import SchedulingService
from .task_service import TaskService

if TYPE_CHECKING:
    from ..registry.table_store import Keeper

TICK = 0.05  # s
STATES = ("unknown", "alive", "suspect", "dead", "left")


class Cluster:
    """Made only where a budget or a task is configured. halted: whether this process says nothing just now."""

    def __init__(
        self,
        c: ControllerConfig,
        door: PeerDispatcher,
        clock: Callable[[], float],
        halted: Callable[[], bool],
        metrics: Metrics,
        rate_limited_log: Any,
        sight: FleetView,
        keeper: Keeper | None = None,
    ) -> None:
        """sight: of hosts and forwarders.
        keeper: of the office in the registry, in place of votes. Raises OSError if a witness cannot be written."""
        self.clock, self.is_paused, self.metrics, self.dispatcher, self.rate_limited_log = (
            clock,
            halted,
            metrics,
            door,
            rate_limited_log,
        )
        b, me, now = c.budgets, c.steward.number, clock()
        others = tuple(sorted(int(n) for n in c.steward.peers))
        voters = tuple(sorted(b.voters)) or tuple(sorted([me, *others])[:5])
        # Of the system's own chance, not of the seed: a life must differ from all that were before it.
        life = random.SystemRandom().getrandbits(62)
        chance = random.Random(life).random
        words = membership.MembershipConfig(b.period_ms, b.timeout_ms, words_per_s=b.words_per_s)
        self.membership = membership.Membership(me, others, life, words, chance, now)
        self.keeper = keeper
        if keeper:
            self.election: LeaderElection = RegistryElection(me, others, life, keeper.charge)
            keeper.start()
        else:
            terms = ElectionTimings(b.office_ms, b.drift)
            self.election = VotedElection(me, others, voters, terms, life, now, chance, b.words_per_s)
        self.timer: asyncio.TimerHandle | None = None
        door.register((Ping, Ack, PingRequest), self.on_membership_message, is_valid_membership_message)
        door.register((VoteRequest, VoteReply, VoteRelease), self.on_election_message, is_valid_lease_message)
        self.quota = QuotaService(c, self.election, self.send, clock, metrics, rate_limited_log) if c.budget else None
        self.tasks = (
            TaskService(c, self.election, self.send, clock, metrics, rate_limited_log)
            if c.task or c.task_group
            else None
        )
        self.frame_handlers: dict[type, Callable[[int, Any], None]] = {}  # what forwarders say, by who takes it
        self.pinning: PinningService | None = None
        self.records: RecordService | None = None
        self.scheduling: SchedulingService | None = None
        if c.records and self.tasks:
            self.open_records(c, voters, sight)
        if self.quota and any(o.waits for o in c.operation.values()):
            self.scheduling = SchedulingService(
                c, self.election, self.quota, self.records, self.pinning, self.send, clock, metrics, sight
            )
            self.frame_handlers.update({Wait: self.scheduling.on_proxy_frame, Unwait: self.scheduling.on_proxy_frame})
        # Those that rest on records have their turn before them, and they after the tasks.
        rooms = (self.quota, self.tasks, self.pinning, self.scheduling, self.records)
        self.services: list[QuotaService | TaskService | PinningService | SchedulingService | RecordService] = [
            r for r in rooms if r
        ]
        for room in self.services:
            door.register(room.message_types, room.on_message, room.is_valid)
        tasks = sorted([*c.task, *c.task_group])
        log.info("shared", budgets=sorted(c.budget), tasks=tasks, voters=list(voters), life=life)

    def open_records(self, c: ControllerConfig, voters: tuple[int, ...], sight: FleetView) -> None:
        """Raises OSError if their file cannot be used."""
        assert self.tasks is not None
        assert c.records is not None
        budgets, now = self.quota, self.clock
        names = tuple(n for n in (RUNS, RELEASE, JOBS) if (n == JOBS or c.pins) and n in self.tasks.core.tasks.by_name)
        longest = max((o.waits.most_ms for o in c.operation.values() if o.waits), default=0.0)
        terms = RecordLimits(2.0 * longest, longest, c.records.most, c.records.again_ms)
        if c.pins:
            mine = record_terms(pinning_limits(c), c.records.most, c.records.again_ms)
            terms = replace(mine, keep=max(mine.keep, terms.keep))
        counted = (RUNS,) if c.pins else ()
        self.records = RecordService(
            c,
            self.tasks,
            voters,
            names,
            terms,
            counted,
            (RELEASE,) if c.pins else (),
            self.send,
            now,
            self.metrics,
            self.rate_limited_log,
        )
        if c.pins is None:
            return

        def may_cold(host: int) -> bool:
            return budgets is None or budgets.may_begin("cold_slices", host, True)

        self.pinning = PinningService(c, self.records, self.metrics, sight, may_cold)
        self.frame_handlers[Enter] = self.pinning.on_proxy_frame

    def on_proxy_frame(self, forwarder: int, frame: Any) -> None:
        """What a joined forwarder says to one of the rooms."""
        if take := self.frame_handlers.get(type(frame)):
            take(forwarder, frame)

    def on_proxy_joined(self, forwarder: int) -> None:
        for room in (self.pinning, self.scheduling):
            if room:
                room.on_proxy_joined(forwarder)

    def on_proxy_left(self, forwarder: int) -> None:
        if self.scheduling:
            self.scheduling.on_proxy_left(forwarder)

    def release_files(self) -> None:
        """Files are for another process now."""
        if self.records:
            self.records.store.close()

    def reopen_files(self) -> None:
        """Nothing came of a handover."""
        if self.records:
            self.records.reopen()

    def start(self) -> None:
        self.carry_out_membership(self.membership.greet(self.clock()))
        self.on_tick()

    def on_tick(self) -> None:
        """What is due, every TICK."""
        self.timer = asyncio.get_running_loop().call_later(TICK, self.on_tick)
        if self.is_paused():
            return
        now = self.clock()
        self.carry_out_membership(self.membership.tick(now))
        alive = self.membership.alive()
        self.send(self.election.tick(now, alive))
        for room in self.services:
            room.on_tick(now, alive, time.time() * 1000.0)

    def on_membership_message(self, sender: int, word: Ping | Ack | PingRequest) -> None:
        self.carry_out_membership(self.membership.heard(self.clock(), sender, word))

    def on_election_message(self, sender: int, word: VoteRequest | VoteReply | VoteRelease) -> None:
        now = self.clock()
        self.send(self.election.heard(now, sender, word))
        for room in self.services:
            room.on_election_change(now)

    def carry_out_membership(self, actions: Iterable[membership.Action]) -> None:
        for a in actions:
            if isinstance(a, membership.MemberStateChanged):
                log.info("steward", number=a.member, state=STATES[a.state])
            else:
                self.dispatcher.send(a.to, a.word)

    def send(self, actions: Iterable[OutgoingMessage]) -> None:
        for a in actions:
            self.dispatcher.send(a.to, a.word)

    def update_metrics(self) -> None:
        """For the page of metrics."""
        m, o = self.membership, self.election
        self.metrics.controllers_alive.set(len(m.alive()))
        self.metrics.quota_leader.set(-1 if o.holder[0] is None else o.holder[0])
        self.metrics.rejected_peer_messages.set(m.refused + o.refused + sum(room.rejected for room in self.services))
        for room in self.services:
            room.update_metrics()

    def status(self) -> dict[str, Any]:
        """For the door."""
        m, now = self.membership, self.clock()
        states = {str(n): STATES[m.state(n)] for n in sorted([m.me, *m.table])}
        return {
            "stewards": states,
            **({"tasks": self.tasks.core.page(now)} if self.tasks else {}),
            **({"pins": self.pinning.status()} if self.pinning else {}),
            **({"waiting": self.scheduling.status()} if self.scheduling else {}),
            **({"records": self.records.fleet.page()} if self.records else {}),
        }

    def reload(self, c: ControllerConfig) -> None:
        for room in (self.quota, self.pinning):
            if room:
                room.reload(c)

    def close(self, handed_over: bool) -> None:
        """The end of this process: what is held and not in use goes back, the office is free."""
        if self.timer:
            self.timer.cancel()
        now = self.clock()
        for room in self.services:
            if not handed_over:
                self.send(room.leave(now))
            room.close()
        if not handed_over:
            self.send(self.election.leave(now))
            self.carry_out_membership(self.membership.leave(now))
            if self.keeper:
                self.keeper.leave()
        if self.keeper:
            self.ending = asyncio.get_running_loop().create_task(self.keeper.stop())
