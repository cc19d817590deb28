"""The services that controllers provide together: membership, leader election, and the services based on them.

All decisions are made in the cores. This module provides their clock, message transport and regular tick.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any

from .. import membership
from ..config import ControllerConfig
from ..lease.election import LeaderElection, VotedElection
from ..lease.limits import ElectionTimings
from ..lease.messages import VoteRelease, VoteReply, VoteRequest
from ..lease.messages import is_valid as is_valid_election_message
from ..lease.registry_election import RegistryElection
from ..membership.messages import Ack, Ping, PingRequest
from ..membership.messages import is_valid as is_valid_membership_message
from ..telemetry import Metrics, RateLimitedLogger, log
from ..wire.frames import JobSubmission, JobWithdrawal, RunQuery
from ..wire.peer_messages import OutgoingMessage
from .cluster_service import ClusterService, ServiceContext, Tick
from .fleet_view import FleetView
from .peer_dispatch import PeerDispatcher
from .pinning_service import PinningService
from .quota_service import COLD_SLICES, QuotaService
from .record_groups import record_groups
from .record_service import RecordService
from .scheduling_service import SchedulingService
from .task_service import TaskService

if TYPE_CHECKING:
    from ..registry.table_store import TableStore

TICK_S = 0.05
MAX_DEFAULT_VOTERS = 5  # the controllers with the lowest numbers, if no voters are configured
INCARNATION_BITS = 62
NO_LEADER = -1  # value of the metric of the leader's number


class Cluster:
    """The cluster services of one controller; created only if a budget or a task is configured.

    dispatcher: receives and sends messages between controllers. is_paused: returns whether this process must not send.
    table_store: for the election in the registry; None for votes. Raises OSError if a file cannot be used.
    """

    def __init__(
        self,
        config: ControllerConfig,
        dispatcher: PeerDispatcher,
        clock: Callable[[], float],
        is_paused: Callable[[], bool],
        metrics: Metrics,
        rate_limited_log: RateLimitedLogger,
        fleet_view: FleetView,
        table_store: TableStore | None = None,
    ) -> None:
        self.dispatcher = dispatcher
        self.clock = clock
        self.is_paused = is_paused
        self.metrics = metrics
        self.table_store = table_store
        self.timer: asyncio.TimerHandle | None = None
        self.stop_task: asyncio.Task[None] | None = None
        peers = tuple(sorted(int(number) for number in config.steward.peers))
        controllers = sorted([config.steward.number, *peers])
        voters = tuple(sorted(config.budgets.voters)) or tuple(controllers[:MAX_DEFAULT_VOTERS])
        # From the system's entropy, not from the seed: an incarnation must differ from all earlier ones.
        incarnation = random.SystemRandom().getrandbits(INCARNATION_BITS)
        self._join(config, peers, voters, incarnation)
        self.context = ServiceContext(self.election, self.send, clock, metrics, rate_limited_log)
        self._create_services(config, voters, fleet_view)
        tasks = sorted([*config.task, *config.task_group])
        budgets = sorted(config.budget)
        log.info("cluster", budgets=budgets, tasks=tasks, voters=list(voters), incarnation=incarnation)

    def _join(
        self, config: ControllerConfig, peers: tuple[int, ...], voters: tuple[int, ...], incarnation: int
    ) -> None:
        """Create the membership and the election, and register their messages."""
        block, number, now_ms = config.budgets, config.steward.number, self.clock()
        draw = random.Random(incarnation).random
        limits = membership.MembershipConfig(
            block.period_ms, block.timeout_ms, max_messages_per_second=block.words_per_s
        )
        self.membership = membership.Membership(number, peers, incarnation, limits, draw, now_ms)
        self.election: LeaderElection
        if self.table_store:
            self.election = RegistryElection(number, peers, incarnation, self.table_store.ownership)
            self.table_store.start()
        else:
            timings = ElectionTimings(block.office_ms, block.drift)
            self.election = VotedElection(number, peers, voters, timings, incarnation, now_ms, draw, block.words_per_s)
        self.dispatcher.register((Ping, Ack, PingRequest), self.on_membership_message, is_valid_membership_message)
        self.dispatcher.register(
            (VoteRequest, VoteReply, VoteRelease), self.on_election_message, is_valid_election_message
        )

    def _create_services(self, config: ControllerConfig, voters: tuple[int, ...], fleet_view: FleetView) -> None:
        """Create the configured services, and register their messages."""
        context = self.context
        self.quota = QuotaService(config, context) if config.budget else None
        self.tasks = TaskService(config, context) if config.task or config.task_group else None
        self.records: RecordService | None = None
        self.pinning: PinningService | None = None
        self.scheduling: SchedulingService | None = None
        self.frame_handlers: dict[type, Callable[[int, Any], None]] = {}  # by frame type
        if config.records and self.tasks:
            groups = record_groups(config, config.records, self.tasks.core.tasks, voters)
            self.records = RecordService(config.records, self.tasks.core, groups, context)
            if config.pins:
                self.pinning = PinningService(
                    config, config.pins, context, self.records, fleet_view, self._may_use_cold_host
                )
                self.frame_handlers[RunQuery] = self.pinning.on_proxy_frame
        if self.quota and any(operation.waits for operation in config.operation.values()):
            self.scheduling = SchedulingService(config, context, self.quota, self.records, self.pinning, fleet_view)
            self.frame_handlers[JobSubmission] = self.scheduling.on_proxy_frame
            self.frame_handlers[JobWithdrawal] = self.scheduling.on_proxy_frame
        # Services that depend on records come before them, and records come after the tasks.
        services = (self.quota, self.tasks, self.pinning, self.scheduling, self.records)
        self.services: list[ClusterService] = [service for service in services if service]
        self.proxy_services = [service for service in (self.pinning, self.scheduling) if service]
        for service in self.services:
            self.dispatcher.register(service.message_types, service.on_message, service.is_valid)

    def _may_use_cold_host(self, host: int) -> bool:
        """Return whether a host that warms up may take one more slice; always if no quota is configured for it."""
        return self.quota is None or self.quota.may_begin(COLD_SLICES, host, True)

    def on_proxy_frame(self, proxy: int, frame: Any) -> None:
        """Pass a frame of a joined proxy to the service that handles its type; others are ignored."""
        if handler := self.frame_handlers.get(type(frame)):
            handler(proxy, frame)

    def on_proxy_joined(self, proxy: int) -> None:
        """Notify services that a proxy has received its tables."""
        for service in self.proxy_services:
            service.on_proxy_joined(proxy)

    def on_proxy_left(self, proxy: int) -> None:
        """Notify services that the connection to a proxy has ended."""
        for service in self.proxy_services:
            service.on_proxy_left(proxy)

    def release_files(self) -> None:
        """Close the files that the successor process opens."""
        if self.records:
            self.records.store.close()

    def reopen_files(self) -> None:
        """Reopen the files after a failed handover."""
        if self.records:
            self.records.reopen()

    def start(self) -> None:
        """Announce this controller to the others, and start the regular tick."""
        self._execute_membership(self.membership.announce())
        self.on_tick()

    def on_tick(self) -> None:
        """Execute due work of all services, every `TICK_S`."""
        self.timer = asyncio.get_running_loop().call_later(TICK_S, self.on_tick)
        if self.is_paused():
            return
        now_ms = self.clock()
        self._execute_membership(self.membership.tick(now_ms))
        alive = self.membership.alive_members()
        self.send(self.election.tick(now_ms, alive))
        for service in self.services:
            service.on_tick(Tick(now_ms, alive, time.time() * 1000.0))

    def on_membership_message(self, sender: int, message: Ping | Ack | PingRequest) -> None:
        """Handle a message of the membership protocol."""
        self._execute_membership(self.membership.on_message(self.clock(), sender, message))

    def on_election_message(self, sender: int, message: VoteRequest | VoteReply | VoteRelease) -> None:
        """Handle a message of the leader election."""
        self.send(self.election.on_message(self.clock(), sender, message))
        for service in self.services:
            service.on_election_change()

    def _execute_membership(self, actions: Iterable[membership.Action]) -> None:
        """Send the messages of the membership protocol, and log state changes of controllers."""
        for action in actions:
            if isinstance(action, membership.MemberStateChanged):
                log.info("controller", number=action.member, state=action.state.label)
            else:
                self.dispatcher.send(action.to, action.message)

    def send(self, actions: Iterable[OutgoingMessage]) -> None:
        """Send messages to other controllers."""
        for action in actions:
            self.dispatcher.send(action.to, action.message)

    def update_metrics(self) -> None:
        """Set the gauges; called before metrics are exported."""
        leader = self.election.leader.controller
        rejected = self.membership.rejected_count + self.election.rejected
        self.metrics.controllers_alive.set(len(self.membership.alive_members()))
        self.metrics.quota_leader.set(NO_LEADER if leader is None else leader)
        self.metrics.rejected_peer_messages.set(rejected + sum(service.rejected for service in self.services))
        for service in self.services:
            service.update_metrics()

    def status(self) -> dict[str, Any]:
        """Return the status page of the controllers and services, for the admin server."""
        members, now_ms = self.membership, self.clock()
        numbers = sorted([members.controller_id, *members.members])
        page: dict[str, Any] = {"stewards": {str(number): members.state_of(number).label for number in numbers}}
        if self.tasks:
            page["tasks"] = self.tasks.core.status(now_ms)
        if self.pinning:
            page["pins"] = self.pinning.status()
        if self.scheduling:
            page["waiting"] = self.scheduling.status()
        if self.records:
            page["records"] = self.records.fleet.status()
        return page

    def reload(self, config: ControllerConfig) -> None:
        """Apply the settings that may change while the controller runs."""
        for service in (self.quota, self.pinning):
            if service:
                service.reload(config)

    def close(self, is_handed_over: bool) -> None:
        """Stop the services: unused grants are given back, and the leadership is resigned.

        is_handed_over: a successor process keeps both.
        """
        if self.timer:
            self.timer.cancel()
        now_ms = self.clock()
        for service in self.services:
            if not is_handed_over:
                self.send(service.leave())
            service.close()
        if not is_handed_over:
            self.send(self.election.resign(now_ms))
            self._execute_membership(self.membership.leave())
            if self.table_store:
                self.table_store.start_leaving()
        if self.table_store:
            self.stop_task = asyncio.get_running_loop().create_task(self.table_store.stop())
