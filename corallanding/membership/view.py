"""The states of all members in the view of one controller, and how claims on members change them."""

from __future__ import annotations

import math
from collections.abc import Iterable

from ..rate_limit import TokenBucket
from .config import MembershipConfig
from .dissemination import UpdateQueue
from .messages import MAX_UPDATES, MemberUpdate
from .table import ALIVE_STATES, REFUTABLE_STATES, Action, Member, MemberState, MemberStateChanged

MAX_INCARNATION = 1 << 32  # exclusive; higher claims are invalid, as no process refutes that many suspicions
INITIAL_TOKENS = 10.0  # initial burst of messages that a peer may send


class MembershipView:
    """The members, and the state of this controller that it reports to them.

    `local_health` is Lifeguard's: 0 is healthy; it rises, and timeouts with it, as health worsens. `duplicates_seen`
    counts claims made by another process with this controller's number.
    """

    def __init__(
        self, controller_id: int, peer_ids: Iterable[int], config: MembershipConfig, started_at_ms: float
    ) -> None:
        self.controller_id = controller_id
        self.config = config
        self.incarnation = 1
        self.local_health = 0
        self.duplicates_seen = 0
        self.is_leaving = False
        rate_per_second = config.max_messages_per_second
        self.members = {
            peer: Member(TokenBucket(rate_per_second, INITIAL_TOKENS, started_at_ms))
            for peer in peer_ids
            if peer != controller_id
        }
        self.updates = UpdateQueue()
        self.queue_update(controller_id)

    def alive_members(self) -> list[int]:
        """Return the members considered alive, including this controller and suspects."""
        return sorted(
            [self.controller_id, *(other for other, member in self.members.items() if member.state in ALIVE_STATES)]
        )

    def state_of(self, number: int) -> MemberState:
        """Return the state of a member, or of this controller."""
        return self._own_state() if number == self.controller_id else self.members[number].state

    def _own_state(self) -> MemberState:
        return MemberState.LEFT if self.is_leaving else MemberState.ALIVE

    def apply_update(self, now_ms: float, number: int, state: int, incarnation: int) -> list[Action]:
        """Apply a claim on a member, and return the change of its state if there is one.

        The higher incarnation wins; for equal ones, the higher state. A message of the member itself is passed as a
        claim of ALIVE with its own incarnation, which doesn't override DEAD of the same incarnation.
        """
        if not MemberState.ALIVE <= state <= MemberState.LEFT or not 0 < incarnation < MAX_INCARNATION:
            return []
        if number == self.controller_id:
            self._refute(state, incarnation)
            return []
        member = self.members.get(number)
        if member is None or (incarnation, state) <= (member.incarnation, member.state):
            return []
        member.incarnation = incarnation
        self.queue_update(number)
        if state == member.state:
            return []
        member.state = MemberState(state)
        is_suspect = member.state == MemberState.SUSPECT
        member.suspicion_deadline_ms = now_ms + self._suspicion_timeout_ms() if is_suspect else math.inf
        return [MemberStateChanged(number, member.state)]

    def _refute(self, state: int, incarnation: int) -> None:
        """Refute a claim on this controller by a higher incarnation, unless it is true or already refuted."""
        is_newer = incarnation > self.incarnation
        if is_newer and state == MemberState.ALIVE:
            self.duplicates_seen += 1  # the claim is of another process with this number, or of the predecessor
        if incarnation < self.incarnation or (state == MemberState.ALIVE and not is_newer):
            return
        if self.is_leaving and state == MemberState.LEFT:
            return
        self.incarnation = incarnation + 1
        if state == MemberState.SUSPECT:
            self.worsen_local_health()
        self.queue_update(self.controller_id)

    def _suspicion_timeout_ms(self) -> float:
        size_factor = max(1.0, math.log10(len(self.members) + 1))
        return self.config.suspicion_multiplier * size_factor * self.config.probe_interval_ms * (1 + self.local_health)

    def worsen_local_health(self) -> None:
        """Record a sign that this controller itself is slow, which lengthens its timeouts."""
        self.local_health = min(self.config.max_local_health, self.local_health + 1)

    def improve_local_health(self) -> None:
        """Record that a probe was answered in time, which shortens the timeouts."""
        self.local_health = max(0, self.local_health - 1)

    def queue_update(self, number: int) -> None:
        """Queue the state of a member for the next messages."""
        cluster_size = len(self.members) + 2
        self.updates.add(number, math.ceil(self.config.retransmit_multiplier * math.log2(cluster_size)))

    def collect_updates(self, receiver: int) -> list[MemberUpdate]:
        """Return the updates of one message, beginning with a claim on the receiver that it may refute."""
        updates: list[MemberUpdate] = []
        claimed = self.members.get(receiver)
        if claimed and claimed.state in REFUTABLE_STATES:
            updates.append(MemberUpdate(receiver, claimed.state, claimed.incarnation))
        for number in self.updates.take(MAX_UPDATES - 1):
            if number == self.controller_id:
                updates.append(MemberUpdate(number, self._own_state(), self.incarnation))
            elif number != receiver and self.members[number].state != MemberState.UNKNOWN:
                member = self.members[number]
                updates.append(MemberUpdate(number, member.state, member.incarnation))
        return updates
