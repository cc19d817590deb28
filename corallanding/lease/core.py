"""Task leases at one controller: its own leases, the allocation while it leads, and its fenced resource."""

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

MAX_LISTED_TASKS = 1_000  # maximum number of held tasks that the status lists


class TaskLeases:
    """The task leases of one controller. Performs no I/O. All times are in ms by its clock.

    The owner sets `wall_clock_ms` before each tick. The fencing tokens of a new leader start at the wall clock or above
    the highest known token, so that they increase across a restart of all controllers. An election that has other users
    too is shared: its creator calls its `tick` and passes it its messages.
    """

    def __init__(
        self,
        election: LeaderElection,
        tasks: TaskCatalog,
        timings: LeaseTimings,
        started_at_ms: float,
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
        self.rate_limiter = PeerRateLimiter(peer_ids, max_messages_per_second, started_at_ms)
        self.holder = LeaseHolder(incarnation, timings, tasks, started_at_ms)
        self.allocator = ShardAllocator(timings, tasks, incarnation)
        self.fenced_resource = FencedResource(tasks.count)
        self.rejected = 0  # messages of unknown senders, above the rate limit, or for unknown tasks

    def holds(self, now_ms: float, task: int) -> bool:
        """Return whether this controller holds the task at this time."""
        return self.holder.holds(now_ms, task)

    def begin_action(self, now_ms: float, task: int) -> int:
        """Begin an action and return its fencing token, to be sent with `action_notices`; 0 if no action may begin."""
        fencing_token = self.holder.begin_action(now_ms, task)
        if fencing_token and not self.fenced_resource.accept(task, fencing_token):
            self.holder.on_action_rejected(self.fenced_resource.highest_tokens[task])
            self.holder.end_action(now_ms, task, made_progress=False)
            return 0
        return fencing_token

    def action_notices(self, task: int, fencing_token: int) -> list[OutgoingMessage]:
        """Return the messages that notify the other controllers, each a fenced resource, of an action."""
        return [OutgoingMessage(peer, FencedAction(self.incarnation, task, fencing_token)) for peer in self.peer_ids]

    def end_action(self, now_ms: float, task: int, *, made_progress: bool = True) -> None:
        """Record that the action has ended and none of its effects is still in flight."""
        self.holder.end_action(now_ms, task, made_progress=made_progress)

    def request_task(self, task: int) -> None:
        """Request a task that is not always wanted."""
        self.holder.requested_tasks.add(task)
        self.holder.request_soon()

    def release_task(self, task: int) -> None:
        """Release a task that is not always wanted."""
        self.holder.requested_tasks.discard(task)
        self.holder.request_soon()

    def update_leadership(self, now_ms: float) -> bool:
        """Return whether this controller grants leases at this time. A new term starts without any lease records."""
        term = self.election.term if self.election.is_leader(now_ms) else None
        if term is None:
            self.allocator.leader_since_ms = None
            self.election.reserve_tokens(0)
            return False
        if self.allocator.leader_since_ms is None or self.allocator.leader_since_ms < term.leader_since_ms:
            self.allocator.epoch = self.election.epoch
            self.allocator.begin_term(now_ms, term.first_round, self.election.first_token(self.wall_clock_ms))
        self.election.reserve_tokens(self.allocator.wanted_max_token)
        self.allocator.max_token = self.election.max_token
        return True

    def tick(self, now_ms: float, alive: Iterable[int]) -> list[OutgoingMessage]:
        """Return the messages that are due; call it about every 50 ms.

        `alive` are the controllers that are alive according to the membership.
        """
        self.update_leadership(now_ms)
        messages = [] if self.is_election_shared else self.election.tick(now_ms, alive)
        self.update_leadership(now_ms)
        return messages + self.send_request(now_ms)

    def send_request(self, now_ms: float) -> list[OutgoingMessage]:
        """Return the lease request to the leader if one is due; apply it at once if this controller leads."""
        leader = self.election.leader
        request = self.holder.next_request(now_ms, leader.epoch, leader.round)
        if request is None:
            return []
        if leader.controller is None:
            return []
        if leader.controller != self.controller_id:
            return [OutgoingMessage(leader.controller, request)]
        if not self.update_leadership(now_ms):
            return []
        grant = self.allocator.on_request(now_ms, self.controller_id, request)
        return self._apply_grant(now_ms, grant) if grant else []

    def on_message(self, now_ms: float, sender: int, message: ElectionMessage | LeaseMessage) -> list[OutgoingMessage]:
        """Handle a message of another controller and return the replies."""
        if isinstance(message, VoteRequest | VoteReply | VoteRelease):
            answers = self.election.on_message(now_ms, sender, message)
            self.update_leadership(now_ms)
            return answers
        if not self.rate_limiter.try_take(sender, now_ms):
            self.rejected += 1
            return []
        match message:
            case LeaseRequest():
                return self._on_request(now_ms, sender, message)
            case LeaseGrant():
                return self._apply_grant(now_ms, message)
            case FencedAction():
                return self._on_action(sender, message)
            case ActionRejected():
                if message.incarnation == self.incarnation:
                    self.holder.on_action_rejected(message.highest_token)
        return []

    def _on_request(self, now_ms: float, sender: int, request: LeaseRequest) -> list[OutgoingMessage]:
        if not self.update_leadership(now_ms):
            return []
        grant = self.allocator.on_request(now_ms, sender, request)
        return [OutgoingMessage(sender, grant)] if grant else []

    def _apply_grant(self, now_ms: float, grant: LeaseGrant) -> list[OutgoingMessage]:
        """Apply a grant; if it covers fewer shards than before, return a request that confirms it."""
        return self.send_request(now_ms) if self.holder.on_grant(now_ms, grant) else []

    def _on_action(self, sender: int, action: FencedAction) -> list[OutgoingMessage]:
        if action.task >= self.tasks.count:
            self.rejected += 1
            return []
        if self.fenced_resource.accept(action.task, action.fencing_token):
            return []
        highest_token = self.fenced_resource.highest_tokens[action.task]
        return [OutgoingMessage(sender, ActionRejected(action.incarnation, action.task, highest_token))]

    def resign(self, now_ms: float) -> list[OutgoingMessage]:
        """Release all tasks without a running action, and the leadership, before a planned shutdown.

        Return the messages to send.
        """
        self.holder.is_leaving = True
        self.holder.request_soon()
        messages = self.send_request(now_ms)
        return messages if self.is_election_shared else messages + self.election.resign(now_ms)

    def status(self, now_ms: float) -> dict[str, Any]:
        """Return the entries of the status page. Their keys are part of the interface."""
        holder = self.holder
        tasks = self.tasks.tasks_in(holder.shards) if now_ms < holder.leased_until else []
        cooldowns = {task: until for task, until in holder.cooldown_until_ms.items() if until > now_ms}
        return {
            "dealer": self.election.leader.controller,
            "held": [self.tasks.label(task) for task in tasks[:MAX_LISTED_TASKS]],
            "held_count": len(tasks),
            "fence": holder.fencing_token,
            "lease_left_ms": max(0.0, round(holder.leased_until - now_ms, 1)),
            "behind": holder.rejected_actions,
            "stale": holder.stale_grants,
            "turns_lost": {self.tasks.label(task): round(until - now_ms) for task, until in cooldowns.items()},
        }
