"""Task leases as one controller takes part in them: its leases, the allocation if it leads, and its fenced resource."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from ..rate_limit import PeerRateLimiter
from ..wire.peer_messages import OutgoingMessage
from .election import LeaderElection
from .fenced_resource import FencedResource
from .lease_holder import LeaseHolder
from .limits import LeaseTimings
from .messages import (
    ActionRejected,
    ElectionMessage,
    FencedAction,
    LeaseGrant,
    LeaseMessage,
    LeaseRequest,
    VoteRelease,
    VoteReply,
    VoteRequest,
)
from .shard_allocator import ShardAllocator
from .tasks import TaskCatalog

MAX_LISTED_TASKS = 1_000  # of the tasks held, in the status


class TaskLeases:
    """The task leases of one controller, without input or output of its own. All times are in ms by its clock.

    The owner sets `wall_clock_ms` before each tick: a new leader's fencing tokens begin there, or above all that it has
    heard of, so that they rise through a restart of all controllers. An election that others rest on too is shared:
    whoever made it ticks it and hands it its messages.
    """

    def __init__(
        self,
        election: LeaderElection,
        tasks: TaskCatalog,
        timings: LeaseTimings,
        started_at: float,
        *,
        is_election_shared: bool,
        wall_clock_ms: float = 0.0,
        max_messages_per_second: float = 200.0,
    ) -> None:
        peer_ids, incarnation = election.peer_ids, election.incarnation
        self.controller_id = election.controller_id
        self.peer_ids = peer_ids
        self.incarnation = incarnation
        self.tasks = tasks
        self.wall_clock_ms = wall_clock_ms
        self.election = election
        self.is_election_shared = is_election_shared
        self.rate_limiter = PeerRateLimiter(peer_ids, max_messages_per_second, started_at)
        self.holder = LeaseHolder(incarnation, timings, tasks, started_at)
        self.allocator = ShardAllocator(timings, tasks, incarnation)
        self.fenced_resource = FencedResource(tasks.count)
        self.rejected = 0  # messages of unknown senders, too many, or of unknown tasks

    def holds(self, now: float, task: int) -> bool:
        """Whether this controller holds the task at this instant."""
        return self.holder.holds(now, task)

    def begin_action(self, now: float, task: int) -> int:
        """The fencing token of an action that begins now, to be told by `action_notices`; 0 if none may begin."""
        fencing_token = self.holder.begin_action(now, task)
        if fencing_token and not self.fenced_resource.accept(task, fencing_token):
            self.holder.on_action_rejected(self.fenced_resource.highest_tokens[task])
            self.holder.end_action(now, task, made_progress=False)
            return 0
        return fencing_token

    def action_notices(self, task: int, fencing_token: int) -> list[OutgoingMessage]:
        """Messages by which the other controllers, each a fenced resource, learn of an action."""
        return [OutgoingMessage(peer, FencedAction(self.incarnation, task, fencing_token)) for peer in self.peer_ids]

    def end_action(self, now: float, task: int, *, made_progress: bool = True) -> None:
        """The action has ended, and nothing of it is on its way any more."""
        self.holder.end_action(now, task, made_progress=made_progress)

    def request_task(self, task: int) -> None:
        """Request a task that is not always wanted."""
        self.holder.requested_tasks.add(task)
        self.holder.request_soon()

    def give_back_task(self, task: int) -> None:
        """Give back a task that is not always wanted."""
        self.holder.requested_tasks.discard(task)
        self.holder.request_soon()

    def update_leadership(self, now: float) -> bool:
        """Whether this controller grants leases at this instant. Each new term begins without any accounts."""
        term = self.election.term if self.election.is_leader(now) else None
        if term is None:
            self.allocator.leader_since = None
            self.election.reserve_tokens(0)
            return False
        if self.allocator.leader_since is None or self.allocator.leader_since < term.leader_since:
            self.allocator.epoch = self.election.epoch
            self.allocator.begin_term(now, term.first_round, self.election.first_token(self.wall_clock_ms))
        self.election.reserve_tokens(self.allocator.wanted_max_token)
        self.allocator.max_token = self.election.max_token
        return True

    def tick(self, now: float, alive: Iterable[int]) -> list[OutgoingMessage]:
        """The messages that are due; to be called every 50 ms or so. `alive` is what the membership counts as alive."""
        self.update_leadership(now)
        messages = [] if self.is_election_shared else self.election.tick(now, alive)
        self.update_leadership(now)
        return messages + self.send_request(now)

    def send_request(self, now: float) -> list[OutgoingMessage]:
        """Request leases of the leader, if that is due; of ourselves at once, if we lead."""
        leader = self.election.leader
        request = self.holder.next_request(now, leader.epoch, leader.round)
        if request is None:
            return []
        if leader.controller is None:
            return []
        if leader.controller != self.controller_id:
            return [OutgoingMessage(leader.controller, request)]
        if not self.update_leadership(now):
            return []
        grant = self.allocator.on_request(now, self.controller_id, request)
        return self._apply_grant(now, grant) if grant else []

    def on_message(self, now: float, sender: int, message: ElectionMessage | LeaseMessage) -> list[OutgoingMessage]:
        """Take a message of another controller; returns the answers."""
        if isinstance(message, VoteRequest | VoteReply | VoteRelease):
            answers = self.election.on_message(now, sender, message)
            self.update_leadership(now)
            return answers
        if not self.rate_limiter.try_take(sender, now):
            self.rejected += 1
            return []
        match message:
            case LeaseRequest():
                return self._on_request(now, sender, message)
            case LeaseGrant():
                return self._apply_grant(now, message)
            case FencedAction():
                return self._on_action(sender, message)
            case ActionRejected():
                if message.incarnation == self.incarnation:
                    self.holder.on_action_rejected(message.highest_token)
        return []

    def _on_request(self, now: float, sender: int, request: LeaseRequest) -> list[OutgoingMessage]:
        if not self.update_leadership(now):
            return []
        grant = self.allocator.on_request(now, sender, request)
        return [OutgoingMessage(sender, grant)] if grant else []

    def _apply_grant(self, now: float, grant: LeaseGrant) -> list[OutgoingMessage]:
        """Apply a grant; one that granted less than before is confirmed at once."""
        return self.send_request(now) if self.holder.on_grant(now, grant) else []

    def _on_action(self, sender: int, action: FencedAction) -> list[OutgoingMessage]:
        if action.task >= self.tasks.count:
            self.rejected += 1
            return []
        if self.fenced_resource.accept(action.task, action.fencing_token):
            return []
        highest_token = self.fenced_resource.highest_tokens[action.task]
        return [OutgoingMessage(sender, ActionRejected(action.incarnation, action.task, highest_token))]

    def resign(self, now: float) -> list[OutgoingMessage]:
        """Before a planned end: give back everything but the tasks that are acted on, and the leadership too."""
        self.holder.is_leaving = True
        self.holder.request_soon()
        messages = self.send_request(now)
        return messages if self.is_election_shared else messages + self.election.resign(now)

    def status(self, now: float) -> dict[str, Any]:
        """What the status page shows; its keys are part of the interface."""
        holder = self.holder
        tasks = self.tasks.tasks_in(holder.shards) if now < holder.leased_until else []
        barred = {task: until for task, until in holder.barred_until.items() if until > now}
        return {
            "dealer": self.election.leader.controller,
            "held": [self.tasks.label(task) for task in tasks[:MAX_LISTED_TASKS]],
            "held_count": len(tasks),
            "fence": holder.fencing_token,
            "lease_left_ms": max(0.0, round(holder.leased_until - now, 1)),
            "behind": holder.rejected_actions,
            "stale": holder.stale_grants,
            "turns_lost": {self.tasks.label(task): round(until - now) for task, until in barred.items()},
        }
