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

    TAKEN_UP = "taken up"
    GIVEN_UP = "given up"
    LOST = "lost"
    TURN_LOST = "turn lost"  # held without progress


def ignore_change(change: LeaseChange, task: int) -> None:
    """Do nothing: nobody wants to know of changes."""


@dataclass
class LeaseHolder:
    """The leases of this process. All times are in ms by this controller's clock.

    `incarnation` is drawn at the start. `on_change` is called for each task whose lease changes.
    """

    incarnation: int
    timings: LeaseTimings
    tasks: TaskCatalog
    started_at: float
    shards: int = 0  # granted to us
    fencing_token: int = 0
    leased_until: float = NEVER
    applied_round: int = 0  # of the request that the last grant answered; answers up to it are void
    round: int = 0
    requested_at: dict[int, float] = field(default_factory=dict)  # by round
    last_request_at: float = NEVER
    busy_until: dict[int, float] = field(default_factory=dict)  # by task: when its action has ended at the latest
    progressed_at: dict[int, float] = field(default_factory=dict)  # by task with `max_idle_ms`
    requested_tasks: set[int] = field(default_factory=set)  # those that are not always wanted
    barred_until: dict[int, float] = field(default_factory=dict)  # by task that was held without progress
    highest_token: int = 0  # that a resource has shown to us
    is_leaving: bool = False
    stale_grants: int = 0  # that came too late or answered no request
    rejected_actions: int = 0
    on_change: Callable[[LeaseChange, int], None] = ignore_change

    def holds(self, now: float, task: int) -> bool:
        """Whether this process holds the task at this instant."""
        is_granted = bool(self.shards >> self.tasks.shard_of(task) & 1)
        return now < self.leased_until and is_granted and task not in self.barred_until

    def begin_action(self, now: float, task: int) -> int:
        """The fencing token of an action that begins now; 0 if none may.

        An action may begin only if the longest time that it can take ends within the lease.
        """
        ends_at = now + self.timings.expiry_ms(self.tasks.spec(task).max_work_ms)
        if not self.holds(now, task) or ends_at > self.leased_until:
            return 0
        if self.busy_until.get(task, 0.0) > now or self.fencing_token <= self.highest_token:
            return 0
        self.busy_until[task] = ends_at
        return self.fencing_token

    def end_action(self, now: float, task: int, *, made_progress: bool = True) -> None:
        """The action has ended, and nothing of it is on its way any more."""
        self.busy_until.pop(task, None)
        if made_progress:
            self.record_progress(now, task)

    def record_progress(self, now: float, task: int) -> None:
        """The task has made progress."""
        if task in self.progressed_at:
            self.progressed_at[task] = now

    def on_action_rejected(self, highest_token: int) -> None:
        """A resource has rejected an action and named the token that it has met: request one above that."""
        self.rejected_actions += 1
        if highest_token > self.highest_token:
            self.highest_token = highest_token
            self.request_soon()

    def request_soon(self) -> None:
        """Send the next request without waiting for the interval between two requests."""
        self.last_request_at = NEVER

    def busy_shards(self, now: float) -> int:
        """The shards on which actions may still take place."""
        self.busy_until = {task: ends_at for task, ends_at in self.busy_until.items() if ends_at > now}
        return self.tasks.shard_set(self.busy_until)

    def wanted_shards(self, now: float) -> int:
        """The shards to be requested."""
        if self.is_leaving:
            return 0
        self.barred_until = {task: ends_at for task, ends_at in self.barred_until.items() if ends_at > now}
        wanted = self.tasks.always_wanted_shards | self.tasks.shard_set(self.requested_tasks)
        return wanted & ~self.tasks.shard_set(self.barred_until)

    def check_progress(self, now: float) -> None:
        """Drop what the lease no longer covers, and bar tasks that are held without progress: another may try."""
        if now >= self.leased_until:
            if self.shards:
                self._drop_shards(self.shards, LeaseChange.LOST)
            return
        for task, progressed_at in list(self.progressed_at.items()):
            max_idle_ms = self.tasks.spec(task).max_idle_ms
            if max_idle_ms and now - progressed_at > max_idle_ms and task not in self.barred_until:
                self.barred_until[task] = now + self.timings.barred_ms
                del self.progressed_at[task]
                self.request_soon()
                self.on_change(LeaseChange.TURN_LOST, task)

    def next_request(self, now: float, leader_epoch: int, leader_round: int) -> LeaseRequest | None:
        """The request to the leader, if one is due: one message for all tasks."""
        self.check_progress(now)
        if now - self.last_request_at < self.timings.request_interval_ms:
            return None
        wanted = self.wanted_shards(now)
        held = (self.shards if now < self.leased_until else 0) | self.busy_shards(now)
        if not wanted and not held:
            return None
        self.round += 1
        self.requested_at = {r: at for r, at in self.requested_at.items() if now - at < 2 * self.timings.lease_ms}
        self.requested_at[self.round] = now
        self.last_request_at = now
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

    def on_grant(self, now: float, grant: LeaseGrant) -> bool:
        """Apply a grant, which is good from the time of its request.

        Returns whether it granted less than before: the leader waits until a request confirms that.
        """
        requested_at = self.requested_at.get(grant.round)
        if grant.incarnation != self.incarnation or requested_at is None or grant.round <= self.applied_round:
            self.stale_grants += 1
            return False
        before = self.shards if now < self.leased_until else 0
        self.applied_round = grant.round
        self.leased_until = requested_at + self.timings.usable_ms(self.timings.lease_ms)
        granted = unpack(grant.granted_shards) if now < self.leased_until else 0
        if self.is_leaving:
            granted &= before
        given_up = before & ~granted
        self._drop_shards(given_up, LeaseChange.GIVEN_UP)
        self.shards = granted
        self.fencing_token = max(self.fencing_token, grant.fencing_token)
        self._take_up(now, granted & ~before)
        if given_up:
            self.request_soon()
        return bool(given_up)

    def _take_up(self, now: float, shards: int) -> None:
        for task in self.tasks.tasks_in(shards) if shards else ():
            if self.tasks.spec(task).max_idle_ms:
                self.progressed_at[task] = now
            self.on_change(LeaseChange.TAKEN_UP, task)

    def _drop_shards(self, shards: int, change: LeaseChange) -> None:
        self.shards &= ~shards
        for task in self.tasks.tasks_in(shards) if shards else ():
            self.progressed_at.pop(task, None)
            self.on_change(change, task)
