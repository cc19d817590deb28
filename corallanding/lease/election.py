"""The election of one leader among the controllers, as seen by one of them.

Users of the leadership (quotas, task leases) call `is_leader` before each action, and reset their state when `term` has
changed.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol

from ..rate_limit import PeerRateLimiter
from ..wire.peer_messages import OutgoingMessage
from .limits import TOKEN_SALT_BITS, ElectionTimings
from .messages import ElectionMessage, VoteRelease, VoteReply, VoteRequest
from .voting import Candidate, Voter, electorate_digest


class Term(NamedTuple):
    """The current leadership of this controller: its start (ms) and the lowest round by which others can name it."""

    leader_since_ms: float
    first_round: int


class Leader(NamedTuple):
    """The known leader: its number, its epoch, and the round in which it claimed the leadership."""

    controller: int | None
    epoch: int
    round: int


class LeaderElection(Protocol):
    """An election decided by votes of a majority (`VotedElection`) or by the registry (`RegistryElection`)."""

    controller_id: int
    peer_ids: tuple[int, ...]
    incarnation: int

    def is_leader(self, now_ms: float) -> bool:
        """Return whether this controller leads at this time; call it before each action."""
        ...

    @property
    def term(self) -> Term | None:
        """The current leadership of this controller, as of the last call of `is_leader`; None without one."""
        ...

    @property
    def epoch(self) -> int:
        """The number that identifies the leadership of this controller to others."""
        ...

    @property
    def leader(self) -> Leader:
        """The known leader."""
        ...

    def first_token(self, wall_clock_ms: float) -> int:
        """Return the fencing token above which a new leader starts."""
        ...

    @property
    def max_token(self) -> int:
        """The highest fencing token that may be granted now."""
        ...

    def reserve_tokens(self, max_token: int) -> None:
        """Request that fencing tokens up to `max_token` may be granted."""
        ...

    @property
    def rejected(self) -> int:
        """The number of rejected messages."""
        ...

    def tick(self, now_ms: float, alive: Iterable[int]) -> list[OutgoingMessage]:
        """Return the messages that are due. `alive` are the controllers that are alive according to the membership."""
        ...

    def on_message(self, now_ms: float, sender: int, message: ElectionMessage) -> list[OutgoingMessage]:
        """Handle a message of another controller and return the replies."""
        ...

    def resign(self, now_ms: float) -> list[OutgoingMessage]:
        """Give up the leadership before a planned shutdown and return the messages to send."""
        ...


class VotedElection:
    """An election by a majority of `voters`. All times are in ms by this controller's clock."""

    def __init__(
        self,
        controller_id: int,
        peer_ids: tuple[int, ...],
        voters: tuple[int, ...],
        timings: ElectionTimings,
        incarnation: int,
        started_at_ms: float,
        random_fraction: Callable[[], float],
        max_messages_per_second: float = 200.0,
    ) -> None:
        self.controller_id = controller_id
        self.peer_ids = peer_ids
        self.voters = voters
        self.incarnation = incarnation
        self.voter = Voter(timings, started_at_ms, electorate_digest(voters))
        self.candidate = Candidate(controller_id, incarnation, voters, timings, random_fraction, started_at_ms)
        self.rate_limiter = PeerRateLimiter(peer_ids, max_messages_per_second, started_at_ms)
        self.dropped_messages = 0  # messages of unknown senders, or above the rate limit

    def is_leader(self, now_ms: float) -> bool:
        """Return whether this controller leads at this time; call it before each action."""
        return self.candidate.is_leader(now_ms)

    @property
    def term(self) -> Term | None:
        """The current leadership of this controller, as of the last call of `is_leader`; None without one."""
        candidate = self.candidate
        return None if candidate.leader_since_ms is None else Term(candidate.leader_since_ms, candidate.round + 1)

    @property
    def epoch(self) -> int:
        """The number that identifies the leadership of this controller to others: its incarnation."""
        return self.incarnation

    @property
    def leader(self) -> Leader:
        """The known leader; its epoch is its incarnation."""
        return Leader(self.candidate.leader, self.candidate.leader_epoch, self.candidate.leader_round)

    def first_token(self, wall_clock_ms: float) -> int:
        """Return the fencing token above which a new leader starts: the wall clock or the highest known token."""
        clock_token = int(wall_clock_ms) << TOKEN_SALT_BITS
        return max(self.candidate.highest_known_token, self.voter.max_token, clock_token)

    @property
    def max_token(self) -> int:
        """The highest fencing token that may be granted now: the highest one that a majority knows."""
        return self.candidate.max_token

    def reserve_tokens(self, max_token: int) -> None:
        """Announce `max_token` to the voters, or the highest known token if that is higher."""
        candidate = self.candidate
        known = max(candidate.announced_token, candidate.highest_known_token, self.voter.max_token)
        candidate.announced_token = max(known, max_token)

    @property
    def rejected(self) -> int:
        """The number of rejected messages."""
        return self.dropped_messages + self.voter.rejected

    def tick(self, now_ms: float, alive: Iterable[int]) -> list[OutgoingMessage]:
        """Return the messages that are due; call it about every 50 ms."""
        known = {self.controller_id, *alive}
        live_voters = [voter for voter in self.voters if voter in known]
        rank = live_voters.index(self.controller_id) if self.controller_id in live_voters else len(live_voters)
        message = self.candidate.tick(now_ms, rank)
        return self.broadcast(now_ms, message) if message else []

    def broadcast(self, now_ms: float, message: VoteRequest | VoteRelease) -> list[OutgoingMessage]:
        """Pass a message to the local voter, and return it for all peers."""
        if self.controller_id in self.voters:
            if isinstance(message, VoteRequest):
                reply = self.voter.on_vote_request(now_ms, self.controller_id, message)
                self.candidate.on_vote_reply(now_ms, self.controller_id, reply)
            else:
                self.voter.on_vote_release(self.controller_id, message)
        return [OutgoingMessage(peer, message) for peer in self.peer_ids]

    def on_message(self, now_ms: float, sender: int, message: ElectionMessage) -> list[OutgoingMessage]:
        """Handle a message of another controller and return the replies."""
        if not self.rate_limiter.try_take(sender, now_ms):
            self.dropped_messages += 1
            return []
        match message:
            case VoteRequest():
                self.candidate.on_vote_request(now_ms, sender, message)
                if self.controller_id in self.voters and sender in self.voters:
                    return [OutgoingMessage(sender, self.voter.on_vote_request(now_ms, sender, message))]
            case VoteReply():
                self.candidate.on_vote_reply(now_ms, sender, message)
            case VoteRelease():
                self.voter.on_vote_release(sender, message)
        return []

    def resign(self, now_ms: float) -> list[OutgoingMessage]:
        """Give up the leadership before a planned shutdown and return the messages to send."""
        return self.broadcast(now_ms, self.candidate.resign())
