"""The task leases of one controller: which tasks it holds, whether an action may begin, and what it requests."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from .limits import LeaseTimings
from .messages import LeaseGrant, LeaseRequest
from .tasks import TaskCatalog, pack, unpack

NEVER = float("-inf")


class LeaseChange(StrEnum):
    """How the lease of a task changed. The values are labels of a metric."""

    ACQUIRED = "taken up"
    RELEASED = "given up"
    LOST = "lost"
    NO_PROGRESS = "turn lost"  # held without progress for `max_idle_ms`


def ignore_change(change: LeaseChange, task: int) -> None:
    """Ignore the change: the default `on_change`."""


@dataclass
class LeaseHolder:
    """The leases of this process. All times are in ms by this controller's clock.

    `incarnation` is drawn when the process starts. `on_change` is called for each task whose lease changes.
    """

    incarnation: int
    timings: LeaseTimings
    tasks: TaskCatalog
    started_at_ms: float
    shards: int = 0  # bit set of the granted shards
    fencing_token: int = 0
    leased_until: float = NEVER
    applied_round: int = 0  # round of the last applied grant; grants up to this round are ignored
    round: int = 0
    requested_at_ms: dict[int, float] = field(default_factory=dict)  # send times, by round
    last_request_at_ms: float = NEVER
    busy_until_ms: dict[int, float] = field(default_factory=dict)  # latest end of the running action, by task
    progressed_at_ms: dict[int, float] = field(default_factory=dict)  # last progress, by task with `max_idle_ms`
    requested_tasks: set[int] = field(default_factory=set)  # requested tasks that are not always wanted
    cooldown_until_ms: dict[int, float] = field(default_factory=dict)  # by task that was held without progress
    highest_token: int = 0  # highest token in a rejection by a fenced resource
    is_leaving: bool = False
    stale_grants: int = 0  # grants that arrived too late or match no request
    rejected_actions: int = 0
    on_change: Callable[[LeaseChange, int], None] = ignore_change

    def holds(self, now_ms: float, task: int) -> bool:
        """Return whether this process holds the task at this time."""
        is_granted = bool(self.shards >> self.tasks.shard_of(task) & 1)
        return now_ms < self.leased_until and is_granted and task not in self.cooldown_until_ms

    def begin_action(self, now_ms: float, task: int) -> int:
        """Begin an action and return its fencing token; 0 if no action may begin.

        An action may begin only if its maximum duration ends within the lease.
        """
        ends_at_ms = now_ms + self.timings.expiry_ms(self.tasks.spec(task).max_work_ms)
        if not self.holds(now_ms, task) or ends_at_ms > self.leased_until:
            return 0
        if self.busy_until_ms.get(task, 0.0) > now_ms or self.fencing_token <= self.highest_token:
            return 0
        self.busy_until_ms[task] = ends_at_ms
        return self.fencing_token

    def end_action(self, now_ms: float, task: int, *, made_progress: bool = True) -> None:
        """Record that the action has ended and none of its effects is still in flight."""
        self.busy_until_ms.pop(task, None)
        if made_progress:
            self.record_progress(now_ms, task)

    def record_progress(self, now_ms: float, task: int) -> None:
        """Record that the task has made progress."""
        if task in self.progressed_at_ms:
            self.progressed_at_ms[task] = now_ms

    def on_action_rejected(self, highest_token: int) -> None:
        """Handle a rejected action: request a token above the one that the fenced resource has accepted."""
        self.rejected_actions += 1
        if highest_token > self.highest_token:
            self.highest_token = highest_token
            self.request_soon()

    def request_soon(self) -> None:
        """Send the next request without waiting for the interval between two requests."""
        self.last_request_at_ms = NEVER

    def busy_shards(self, now_ms: float) -> int:
        """Return the shards on which actions may still be running."""
        self.busy_until_ms = {
            task: ends_at_ms for task, ends_at_ms in self.busy_until_ms.items() if ends_at_ms > now_ms
        }
        return self.tasks.shard_set(self.busy_until_ms)

    def wanted_shards(self, now_ms: float) -> int:
        """Return the shards to request."""
        if self.is_leaving:
            return 0
        self.cooldown_until_ms = {
            task: ends_at_ms for task, ends_at_ms in self.cooldown_until_ms.items() if ends_at_ms > now_ms
        }
        wanted = self.tasks.always_wanted_shards | self.tasks.shard_set(self.requested_tasks)
        return wanted & ~self.tasks.shard_set(self.cooldown_until_ms)

    def check_progress(self, now_ms: float) -> None:
        """Drop the shards of an expired lease, and stop requesting tasks held without progress.

        Another controller may then try these tasks.
        """
        if now_ms >= self.leased_until:
            if self.shards:
                self._drop_shards(self.shards, LeaseChange.LOST)
            return
        for task, progressed_at_ms in list(self.progressed_at_ms.items()):
            max_idle_ms = self.tasks.spec(task).max_idle_ms
            if max_idle_ms and now_ms - progressed_at_ms > max_idle_ms and task not in self.cooldown_until_ms:
                self.cooldown_until_ms[task] = now_ms + self.timings.cooldown_ms
                del self.progressed_at_ms[task]
                self.request_soon()
                self.on_change(LeaseChange.NO_PROGRESS, task)

    def next_request(self, now_ms: float, leader_epoch: int, leader_round: int) -> LeaseRequest | None:
        """Return the request to the leader if one is due: one message for all tasks."""
        self.check_progress(now_ms)
        if now_ms - self.last_request_at_ms < self.timings.request_interval_ms:
            return None
        wanted = self.wanted_shards(now_ms)
        held = (self.shards if now_ms < self.leased_until else 0) | self.busy_shards(now_ms)
        if not wanted and not held:
            return None
        self.round += 1
        self.requested_at_ms = {
            r: at for r, at in self.requested_at_ms.items() if now_ms - at < 2 * self.timings.lease_ms
        }
        self.requested_at_ms[self.round] = now_ms
        self.last_request_at_ms = now_ms
        return LeaseRequest(
            incarnation=self.incarnation,
            round=self.round,
            leader_epoch=leader_epoch,
            leader_round=leader_round,
            wanted_shards=pack(wanted),
            held_shards=pack(held),
            applied_round=self.applied_round,
            tasks_digest=self.tasks.digest,
            highest_token=self.highest_token,
        )

    def on_grant(self, now_ms: float, grant: LeaseGrant) -> bool:
        """Apply a grant, which is valid from the send time of its request.

        Return whether it covers fewer shards than before: the leader waits for a request that confirms this.
        """
        requested_at_ms = self.requested_at_ms.get(grant.round)
        if grant.incarnation != self.incarnation or requested_at_ms is None or grant.round <= self.applied_round:
            self.stale_grants += 1
            return False
        before = self.shards if now_ms < self.leased_until else 0
        self.applied_round = grant.round
        self.leased_until = requested_at_ms + self.timings.usable_ms(self.timings.lease_ms)
        granted = unpack(grant.granted_shards) if now_ms < self.leased_until else 0
        if self.is_leaving:
            granted &= before
        released = before & ~granted
        self._drop_shards(released, LeaseChange.RELEASED)
        self.shards = granted
        self.fencing_token = max(self.fencing_token, grant.fencing_token)
        self._add_shards(now_ms, granted & ~before)
        if released:
            self.request_soon()
        return bool(released)

    def _add_shards(self, now_ms: float, shards: int) -> None:
        for task in self.tasks.tasks_in(shards) if shards else ():
            if self.tasks.spec(task).max_idle_ms:
                self.progressed_at_ms[task] = now_ms
            self.on_change(LeaseChange.ACQUIRED, task)

    def _drop_shards(self, shards: int, change: LeaseChange) -> None:
        self.shards &= ~shards
        for task in self.tasks.tasks_in(shards) if shards else ():
            self.progressed_at_ms.pop(task, None)
            self.on_change(change, task)
