"""Tasks that one controller does for all: which shards this one holds, and its acts on them. The core is `lease`."""

from __future__ import annotations

from typing import Any, ClassVar

from ..config import ControllerConfig
from ..lease import messages
from ..lease.core import TaskLeases
from ..lease.lease_holder import LeaseChange
from ..lease.limits import LeaseTimings
from ..lease.messages import ActionRejected, FencedAction, LeaseGrant, LeaseRequest
from ..lease.tasks import TaskCatalog, TaskSpec
from ..telemetry import log
from ..wire.peer_messages import OutgoingMessage
from .action_journal import ActionJournal, JournalEvent
from .cluster_service import ClusterService, ServiceContext, Tick

UPGRADE = "upgrade"  # the task that a controller holds while it hands over to a new process
MAX_LOGGED_SHARDS = 4  # that a log line names; it counts the rest


def configured_tasks(config: ControllerConfig) -> TaskCatalog:
    """The tasks and groups of the configuration, as the core takes them."""
    found = {}
    for name, block in config.task.items():
        found[name] = TaskSpec(name, 1, block.work_most_ms, block.idle_ms, name != UPGRADE)
    for name, group in config.task_group.items():
        found[name] = TaskSpec(name, group.count, group.work_most_ms, group.idle_ms)
    return TaskCatalog(found)


class TaskService(ClusterService):
    """Acts on the shards that it holds, each time their `beat_ms` has passed, and tells the other controllers.

    Each of them is a fenced resource: it rejects an act whose fencing token is below the highest that it has seen.
    Raises OSError if the journal cannot be written.
    """

    message_types: ClassVar[tuple[type, ...]] = (LeaseRequest, LeaseGrant, FencedAction, ActionRejected)

    def __init__(self, config: ControllerConfig, context: ServiceContext) -> None:
        self.context = context
        block, budgets, election = config.tasks, config.budgets, context.election
        terms = LeaseTimings(
            vote_lease_ms=budgets.office_ms,
            max_clock_drift=budgets.drift,
            lease_ms=block.lease_ms,
            barred_leases=block.turn_leases,
        )
        self.core = TaskLeases(
            election,
            configured_tasks(config),
            terms,
            context.clock(),
            is_election_shared=True,
            max_messages_per_second=budgets.words_per_s,
        )
        self.core.holder.on_change = self.on_task_change
        self.heartbeat_ms = {name: one.beat_ms for name, one in [*config.task.items(), *config.task_group.items()]}
        self.next_heartbeat: dict[int, float] = {}  # shard: when its next act is due
        self.changes: dict[tuple[str, str], list[int]] = {}  # task and change: shards, since the last log line
        self.journal = ActionJournal(block.witness)
        self.leader_since: float | None = None  # as last logged

    @staticmethod
    def is_valid(message: Any) -> bool:
        """Whether the fields of a message lie within what a correct controller sends."""
        return messages.is_valid(message)

    def on_task_change(self, change: LeaseChange, shard: int) -> None:
        """A shard was taken up, given up or lost; it is logged with the others of this tick."""
        self.changes.setdefault((self.core.tasks.spec(shard).name, change.value), []).append(shard)

    def log_changes(self) -> None:
        """Log one line for each task or group that changed hands since the last, not one for each of its shards."""
        for (name, change), shards in self.changes.items():
            self.context.metrics.task_changes.labels(change).inc(len(shards))
            first = [self.core.tasks.label(shard) for shard in shards[:MAX_LOGGED_SHARDS]]
            token = self.core.holder.fencing_token
            log.info("task", task=name, change=change, count=len(shards), first=first, fencing_token=token)
        self.changes.clear()

    def on_tick(self, tick: Tick) -> None:
        """Send what is due, act on the shards that are held, and log what changed."""
        core = self.core
        core.wall_clock_ms = tick.wall_ms
        self.context.send(core.tick(tick.now, tick.alive))
        since = core.allocator.leader_since  # it may have changed with a vote, between two ticks
        if since != self.leader_since:
            self.leader_since = since
            log.info("task leadership gained" if since else "task leadership lost")
        if tick.now < core.holder.leased_until and any(self.heartbeat_ms.values()):
            for shard in core.tasks.tasks_in(core.holder.shards):
                self.send_heartbeat(tick.now, shard)
        if self.changes:
            self.log_changes()

    def send_heartbeat(self, now: float, shard: int) -> None:
        """Begin an act of this controller's own if one is due.

        It counts as under way for the stated longest time of an act: so long its messages may be on their way.
        """
        interval_ms = self.heartbeat_ms[self.core.tasks.spec(shard).name]
        if not interval_ms or now < self.next_heartbeat.get(shard, 0.0):
            return
        if token := self.begin_act(now, shard):
            self.next_heartbeat[shard] = now + interval_ms
            self.context.send(self.core.action_notices(shard, token))
            self.core.holder.record_progress(now, shard)

    def begin_act(self, now: float, shard: int) -> int:
        """The fencing token of an act that may begin now, written down before it does; 0 if none may."""
        core = self.core
        token = core.begin_action(now, shard)
        if token:
            begun_at = ActionJournal.now()
            ends_by = begun_at + core.tasks.spec(shard).max_work_ms
            self.journal.write(
                JournalEvent.ACT_BEGUN, begun_at, ends_by, shard, core.controller_id, core.incarnation, token
            )
        return token

    def begin_act_on(self, name: str) -> int:
        """Request a task that is not always wanted; the fencing token of an act on it, 0 until one may begin."""
        shard = self.core.tasks.number(name)
        if shard not in self.core.holder.requested_tasks:
            self.core.request_task(shard)
        return self.begin_act(self.context.clock(), shard)

    def release_task(self, name: str) -> None:
        """Give back a task that `begin_act_on` requested; nothing if it is not configured."""
        if name in self.core.tasks.specs:
            shard = self.core.tasks.number(name)
            self.core.end_action(self.context.clock(), shard)
            self.core.give_back_task(shard)

    def on_message(self, sender: int, message: LeaseRequest | LeaseGrant | FencedAction | ActionRejected) -> None:
        """Take a request, a grant, an act or its rejection."""
        accepted_before = self.core.fenced_resource.accepted
        self.context.send(self.core.on_message(self.context.clock(), sender, message))
        if isinstance(message, FencedAction) and message.round < self.core.tasks.count:
            self._note_act(sender, message, is_accepted=self.core.fenced_resource.accepted > accepted_before)

    def _note_act(self, sender: int, act: FencedAction, *, is_accepted: bool) -> None:
        resource = f"steward {self.core.controller_id} {self.core.incarnation}"
        event, now = JournalEvent.ACT_RECEIVED, ActionJournal.now()
        self.journal.write(event, now, resource, act.round, sender, act.incarnation, act.fencing_token, is_accepted)
        if not is_accepted:
            self.context.metrics.stale_fencing_tokens.inc()
            label = self.core.tasks.label(act.round)
            self.context.rate_limited_log.warn("stale fencing token rejected", task=label, controller=sender)

    def on_election_change(self) -> None:
        """Begin or end the allocation of shards with the leadership."""
        self.core.update_leadership(self.context.clock())

    @property
    def rejected(self) -> int:
        """How many messages of other controllers were rejected."""
        return self.core.rejected + self.core.allocator.mismatched_requests

    def update_metrics(self) -> None:
        """Set how many shards are held, and under which fencing token."""
        holder, now = self.core.holder, self.context.clock()
        held = len(self.core.tasks.tasks_in(holder.shards)) if now < holder.leased_until else 0
        self.context.metrics.tasks_held.set(held)
        self.context.metrics.task_fencing_token.set(holder.fencing_token)

    def leave(self) -> list[OutgoingMessage]:
        """Give back the shards on which nothing is under way."""
        return self.core.resign(self.context.clock())

    def close(self) -> None:
        """Log the last changes and close the journal."""
        self.log_changes()
        self.journal.close()
