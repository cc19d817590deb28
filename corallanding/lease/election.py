"""The election of one leader among the controllers, as one of them takes part in it.

What rests on the leadership (quotas, task leases) asks `is_leader` at the instant of each action, and begins anew when
`term` has changed.
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
    """Our present leadership: when it began (ms), and the lowest round by which others can name it."""

    leader_since: float
    first_round: int


class Leader(NamedTuple):
    """The leader as far as we know: its number, its epoch, and the round in which it claimed the leadership."""

    controller: int | None
    epoch: int
    round: int


class LeaderElection(Protocol):
    """An election, whatever decides it: votes of a majority (`VotedElection`) or the registry (`RegistryElection`)."""

    controller_id: int
    peer_ids: tuple[int, ...]
    incarnation: int

    def is_leader(self, now: float) -> bool:
        """Whether we lead at this instant; to be asked at each action."""
        ...

    @property
    def term(self) -> Term | None:
        """Our present leadership; None without one. True right after `is_leader`."""
        ...

    @property
    def epoch(self) -> int:
        """The number by which others name our leadership."""
        ...

    @property
    def leader(self) -> Leader:
        """The leader as far as we know."""
        ...

    def first_token(self, wall_clock_ms: float) -> int:
        """The fencing token above which a new leader begins."""
        ...

    @property
    def max_token(self) -> int:
        """The highest fencing token that may be granted now."""
        ...

    def reserve_tokens(self, max_token: int) -> None:
        """Ask that fencing tokens up to `max_token` may be granted."""
        ...

    @property
    def rejected(self) -> int:
        """How many messages were rejected."""
        ...

    def tick(self, now: float, alive: Iterable[int]) -> list[OutgoingMessage]:
        """The messages that are due. `alive` are the controllers that membership counts as alive."""
        ...

    def on_message(self, now: float, sender: int, message: ElectionMessage) -> list[OutgoingMessage]:
        """Take a message of another controller; returns the answers."""
        ...

    def resign(self, now: float) -> list[OutgoingMessage]:
        """Give the leadership back before a planned end."""
        ...


class VotedElection:
    """An election by the votes of a majority of `voters`. All times are in ms by this controller's clock."""

    def __init__(
        self,
        controller_id: int,
        peer_ids: tuple[int, ...],
        voters: tuple[int, ...],
        timings: ElectionTimings,
        incarnation: int,
        started_at: float,
        random_fraction: Callable[[], float],
        max_messages_per_second: float = 200.0,
    ) -> None:
        self.controller_id = controller_id
        self.peer_ids = peer_ids
        self.voters = voters
        self.incarnation = incarnation
        self.voter = Voter(timings, started_at, electorate_digest(voters))
        self.candidate = Candidate(controller_id, incarnation, voters, timings, random_fraction, started_at)
        self.rate_limiter = PeerRateLimiter(peer_ids, max_messages_per_second, started_at)
        self.dropped_messages = 0  # of unknown senders, or too many

    def is_leader(self, now: float) -> bool:
        """Whether we lead at this instant; to be asked at each action."""
        return self.candidate.is_leader(now)

    @property
    def term(self) -> Term | None:
        """Our present leadership; None without one. True right after `is_leader`."""
        candidate = self.candidate
        return None if candidate.leader_since is None else Term(candidate.leader_since, candidate.round + 1)

    @property
    def epoch(self) -> int:
        """The number by which others name our leadership: our incarnation."""
        return self.incarnation

    @property
    def leader(self) -> Leader:
        """The leader as far as we know; its epoch is its incarnation."""
        return Leader(self.candidate.leader, self.candidate.leader_epoch, self.candidate.leader_round)

    def first_token(self, wall_clock_ms: float) -> int:
        """The fencing token above which a new leader begins: above all that voters know, and by the wall clock."""
        clock_token = int(wall_clock_ms) << TOKEN_SALT_BITS
        return max(self.candidate.highest_known_token, self.voter.max_token, clock_token)

    @property
    def max_token(self) -> int:
        """The highest fencing token that may be granted now: one that a majority knows."""
        return self.candidate.max_token

    def reserve_tokens(self, max_token: int) -> None:
        """Announce `max_token` to the voters, or the highest that we know of others."""
        candidate = self.candidate
        known = max(candidate.announced_token, candidate.highest_known_token, self.voter.max_token)
        candidate.announced_token = max(known, max_token)

    @property
    def rejected(self) -> int:
        """How many messages were rejected."""
        return self.dropped_messages + self.voter.rejected

    def tick(self, now: float, alive: Iterable[int]) -> list[OutgoingMessage]:
        """The messages that are due; to be called every 50 ms or so."""
        known = {self.controller_id, *alive}
        able = [voter for voter in self.voters if voter in known]
        rank = able.index(self.controller_id) if self.controller_id in able else len(able)
        message = self.candidate.tick(now, rank)
        return self.broadcast(now, message) if message else []

    def broadcast(self, now: float, message: VoteRequest | VoteRelease) -> list[OutgoingMessage]:
        """Hand a message to our own voter, and return it for all others."""
        if self.controller_id in self.voters:
            if isinstance(message, VoteRequest):
                reply = self.voter.on_vote_request(now, self.controller_id, message)
                self.candidate.on_vote_reply(now, self.controller_id, reply)
            else:
                self.voter.on_vote_release(self.controller_id, message)
        return [OutgoingMessage(peer, message) for peer in self.peer_ids]

    def on_message(self, now: float, sender: int, message: ElectionMessage) -> list[OutgoingMessage]:
        """Take a message of another controller; returns the answers."""
        if not self.rate_limiter.try_take(sender, now):
            self.dropped_messages += 1
            return []
        match message:
            case VoteRequest():
                self.candidate.on_vote_request(now, sender, message)
                if self.controller_id in self.voters and sender in self.voters:
                    return [OutgoingMessage(sender, self.voter.on_vote_request(now, sender, message))]
            case VoteReply():
                self.candidate.on_vote_reply(now, sender, message)
            case VoteRelease():
                self.voter.on_vote_release(sender, message)
        return []

    def resign(self, now: float) -> list[OutgoingMessage]:
        """Give the leadership back before a planned end."""
        return self.broadcast(now, self.candidate.resign())
