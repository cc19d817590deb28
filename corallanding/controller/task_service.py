"""Tasks that one controller performs for all: the shards held here, and the actions on them. The core is `lease`."""

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
MAX_LOGGED_SHARDS = 4  # per log line, which also has the total count


def configured_tasks(config: ControllerConfig) -> TaskCatalog:
    """Return the configured tasks and groups, as parameters of the core."""
    specs = {}
    for name, block in config.task.items():
        specs[name] = TaskSpec(name, 1, block.work_most_ms, block.idle_ms, name != UPGRADE)
    for name, group in config.task_group.items():
        specs[name] = TaskSpec(name, group.count, group.work_most_ms, group.idle_ms)
    return TaskCatalog(specs)


class TaskService(ClusterService):
    """Performs an action on each held shard every `beat_ms`, and notifies the other controllers of it.

    Each controller is a fenced resource: it rejects an action whose fencing token is below the highest it has seen.
    Raises OSError if the journal cannot be written.
    """

    message_types: ClassVar[tuple[type, ...]] = (LeaseRequest, LeaseGrant, FencedAction, ActionRejected)

    def __init__(self, config: ControllerConfig, context: ServiceContext) -> None:
        self.context = context
        settings, budgets, election = config.tasks, config.budgets, context.election
        timings = LeaseTimings(
            vote_lease_ms=budgets.office_ms,
            max_clock_drift=budgets.drift,
            lease_ms=settings.lease_ms,
            cooldown_leases=settings.turn_leases,
        )
        self.core = TaskLeases(
            election,
            configured_tasks(config),
            timings,
            context.clock(),
            is_election_shared=True,
            max_messages_per_second=budgets.words_per_s,
        )
        self.core.holder.on_change = self.on_task_change
        self.heartbeat_ms = {name: task.beat_ms for name, task in [*config.task.items(), *config.task_group.items()]}
        self.next_heartbeat_ms: dict[int, float] = {}  # shard: due time of its next action, ms
        self.changes: dict[tuple[str, str], list[int]] = {}  # task and change: shards since the last log line
        self.journal = ActionJournal(settings.witness)
        self.leader_since_ms: float | None = None  # as last logged, ms

    @staticmethod
    def is_valid(message: Any) -> bool:
        """Return whether the fields of a message are within the ranges that a correct controller sends."""
        return messages.is_valid(message)

    def on_task_change(self, change: LeaseChange, shard: int) -> None:
        """Record that a shard was acquired, released or lost; it is logged with the other changes of this tick."""
        self.changes.setdefault((self.core.tasks.spec(shard).name, change.value), []).append(shard)

    def log_changes(self) -> None:
        """Log the changes since the last call: one line per task or group and change, not per shard."""
        for (name, change), shards in self.changes.items():
            self.context.metrics.task_changes.labels(change).inc(len(shards))
            first_labels = [self.core.tasks.label(shard) for shard in shards[:MAX_LOGGED_SHARDS]]
            token = self.core.holder.fencing_token
            log.info("task", task=name, change=change, count=len(shards), first=first_labels, fencing_token=token)
        self.changes.clear()

    def on_tick(self, tick: Tick) -> None:
        """Send due messages, perform due actions on held shards, and log changes."""
        core = self.core
        core.wall_clock_ms = tick.wall_ms
        self.context.send(core.tick(tick.now_ms, tick.alive))
        leader_since_ms = core.allocator.leader_since_ms  # it may have changed with a vote, between two ticks
        if leader_since_ms != self.leader_since_ms:
            self.leader_since_ms = leader_since_ms
            log.info("task leadership gained" if leader_since_ms else "task leadership lost")
        if tick.now_ms < core.holder.leased_until and any(self.heartbeat_ms.values()):
            for shard in core.tasks.tasks_in(core.holder.shards):
                self.send_heartbeat(tick.now_ms, shard)
        if self.changes:
            self.log_changes()

    def send_heartbeat(self, now_ms: float, shard: int) -> None:
        """Start the periodic action on a shard if it is due.

        It counts as in progress for the configured maximum duration, because its messages may arrive until then.
        """
        interval_ms = self.heartbeat_ms[self.core.tasks.spec(shard).name]
        if not interval_ms or now_ms < self.next_heartbeat_ms.get(shard, 0.0):
            return
        if token := self.begin_action(now_ms, shard):
            self.next_heartbeat_ms[shard] = now_ms + interval_ms
            self.context.send(self.core.action_notices(shard, token))
            self.core.holder.record_progress(now_ms, shard)

    def begin_action(self, now_ms: float, shard: int) -> int:
        """Return the fencing token of an action that may start now, after journaling it; 0 if none may."""
        core = self.core
        token = core.begin_action(now_ms, shard)
        if token:
            started_at_ms = ActionJournal.now_ms()
            ends_by_ms = started_at_ms + core.tasks.spec(shard).max_work_ms
            self.journal.write(
                JournalEvent.ACT_BEGUN, started_at_ms, ends_by_ms, shard, core.controller_id, core.incarnation, token
            )
        return token

    def begin_action_on(self, name: str) -> int:
        """Request a task that is held only on request; return an action's fencing token, or 0 until one may start."""
        shard = self.core.tasks.number(name)
        if shard not in self.core.holder.requested_tasks:
            self.core.request_task(shard)
        return self.begin_action(self.context.clock(), shard)

    def release_task(self, name: str) -> None:
        """Release a task that `begin_action_on` requested; does nothing if it is not configured."""
        if name in self.core.tasks.specs:
            shard = self.core.tasks.number(name)
            self.core.end_action(self.context.clock(), shard)
            self.core.release_task(shard)

    def on_message(self, sender: int, message: LeaseRequest | LeaseGrant | FencedAction | ActionRejected) -> None:
        """Handle a request, a grant, an action or the rejection of one."""
        accepted_before = self.core.fenced_resource.accepted
        self.context.send(self.core.on_message(self.context.clock(), sender, message))
        if isinstance(message, FencedAction) and message.round < self.core.tasks.count:
            self._record_action(sender, message, is_accepted=self.core.fenced_resource.accepted > accepted_before)

    def _record_action(self, sender: int, action: FencedAction, *, is_accepted: bool) -> None:
        resource = f"steward {self.core.controller_id} {self.core.incarnation}"
        event, now_ms = JournalEvent.ACT_RECEIVED, ActionJournal.now_ms()
        self.journal.write(
            event, now_ms, resource, action.round, sender, action.incarnation, action.fencing_token, is_accepted
        )
        if not is_accepted:
            self.context.metrics.stale_fencing_tokens.inc()
            label = self.core.tasks.label(action.round)
            self.context.rate_limited_log.warn("stale fencing token rejected", task=label, controller=sender)

    def on_election_change(self) -> None:
        """Start or stop allocating shards when the leadership changes."""
        self.core.update_leadership(self.context.clock())

    @property
    def rejected(self) -> int:
        """Return the number of rejected messages of other controllers."""
        return self.core.rejected + self.core.allocator.mismatched_requests

    def update_metrics(self) -> None:
        """Set the number of held shards, and their fencing token."""
        holder, now_ms = self.core.holder, self.context.clock()
        held = len(self.core.tasks.tasks_in(holder.shards)) if now_ms < holder.leased_until else 0
        self.context.metrics.tasks_held.set(held)
        self.context.metrics.task_fencing_token.set(holder.fencing_token)

    def leave(self) -> list[OutgoingMessage]:
        """Release the shards on which no action is in progress."""
        return self.core.resign(self.context.clock())

    def close(self) -> None:
        """Log the last changes and close the journal."""
        self.log_changes()
        self.journal.close()
