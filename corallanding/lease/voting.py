"""Leader election by votes of a majority, each given for a limited time: the voter and the candidate. Nothing is logged
or stored.

A voter that has just started gives no vote for as long as a vote of its former process may still be good. So two can
lead at the same time only if a clock is off by more than the stated drift.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from .limits import ElectionTimings
from .messages import VoteRelease, VoteReply, VoteRequest
from .process_key import ProcessKey

HEARTBEATS_PER_VOTE = 4.0  # vote requests that are sent while one vote is good
PATIENCE_PER_RANK = 0.5  # vote leases that a candidate waits longer for each able voter before it
MIN_FRUITLESS_LEASES = 2  # vote leases after which a candidate that has votes and no leadership gets none
MAX_FRUITLESS_LEASES = 4  # vote leases after which it may try again


def electorate_digest(voters: Collection[int]) -> int:
    """A number that identifies the set of voters."""
    return zlib.crc32(",".join(str(voter) for voter in sorted(voters)).encode())


@dataclass
class Voter:
    """One voter. `started_at` is when this process started, in ms by its own clock."""

    timings: ElectionTimings
    started_at: float
    electorate_digest: int
    voted_for: ProcessKey | None = None
    voted_until: float = 0.0
    voted_round: int = -1  # the last round that was voted for
    unsuccessful_since: dict[int, float] = field(default_factory=dict)  # by candidate that has votes and does not lead
    rejected: int = 0  # requests of candidates that know other voters
    max_token: int = 0  # the highest that a candidate announced

    def on_vote_request(self, now: float, candidate: int, request: VoteRequest) -> VoteReply:
        """Grant the vote, or refuse it."""
        key = ProcessKey(candidate, request.incarnation)
        if request.electorate_digest != self.electorate_digest:
            self.rejected += 1
            return VoteReply(request.incarnation, request.round, False)
        self.max_token = max(self.max_token, request.max_token)
        if not self._is_free_for(now, key, request) or not self._may_go_on(now, candidate, request):
            return VoteReply(request.incarnation, request.round, False)
        self.voted_for = key
        self.voted_round = request.round
        self.voted_until = now + self.timings.expiry_ms(self.timings.vote_lease_ms)
        return VoteReply(request.incarnation, request.round, True, self.max_token)

    def on_vote_release(self, candidate: int, release: VoteRelease) -> None:
        """The candidate gives back its votes. A release that arrives after a newer round has no effect."""
        if self.voted_for == (candidate, release.incarnation) and release.round >= self.voted_round:
            self.voted_until = 0.0
            self.voted_round = release.round

    def _is_free_for(self, now: float, key: ProcessKey, request: VoteRequest) -> bool:
        """Whether no earlier vote, also of a former process, keeps us from voting for this request."""
        if now < self.started_at + self.timings.expiry_ms(self.timings.vote_lease_ms):
            return False
        if key == self.voted_for:
            return request.round > self.voted_round  # else old or repeated: its vote was given, or given back
        return self.voted_for is None or now >= self.voted_until

    def _may_go_on(self, now: float, candidate: int, request: VoteRequest) -> bool:
        """Whether the candidate leads, or is not yet without success for too long.

        A candidate that does not receive its votes would otherwise keep all others from the leadership for good.
        """
        if request.is_leader:
            self.unsuccessful_since.pop(candidate, None)
            return True
        fruitless_ms = now - self.unsuccessful_since.setdefault(candidate, now)
        if fruitless_ms <= MIN_FRUITLESS_LEASES * self.timings.vote_lease_ms:
            return True
        if fruitless_ms > MAX_FRUITLESS_LEASES * self.timings.vote_lease_ms:
            del self.unsuccessful_since[candidate]
        return False


@dataclass
class Candidate:
    """A controller that may become the leader.

    `tick`, `give_up_candidacy` and `resign` return a message for all voters. `random_fraction` returns a number from 0
    to below 1. All times are in ms by the controller's own clock.
    """

    controller_id: int
    incarnation: int
    voters: tuple[int, ...]
    timings: ElectionTimings
    random_fraction: Callable[[], float]
    started_at: float
    round: int = 0
    requested_at: dict[int, float] = field(default_factory=dict)  # by round
    votes_until: dict[int, float] = field(default_factory=dict)  # by voter: until when its vote is surely good
    announced_token: int = 0  # what our requests announce as the highest fencing token
    announced_tokens: dict[int, int] = field(default_factory=dict)  # the same by round
    acknowledged_tokens: dict[int, int] = field(default_factory=dict)  # by voter: the highest of ours that it knows
    highest_known_token: int = 0  # the highest that replies of voters named
    leader_since: float | None = None  # when our present leadership began
    candidate_since: float | None = None  # since when we ask for votes without leading
    leader_heard_at: float = 0.0  # when another leader was last heard of
    leader: int | None = None  # who that was, or ourselves
    leader_epoch: int = 0  # the leader's incarnation
    leader_round: int = 0  # the round in which it claimed the leadership
    next_request_at: float = 0.0
    backoff_until: float = 0.0

    def __post_init__(self) -> None:
        self.leader_heard_at = self.started_at

    @property
    def majority(self) -> int:
        """How many votes make a leader."""
        return len(self.voters) // 2 + 1

    @property
    def max_token(self) -> int:
        """The highest fencing token that a majority of voters knows: any later leader will learn of it."""
        known = sorted((self.acknowledged_tokens.get(voter, 0) for voter in self.voters), reverse=True)
        return known[self.majority - 1]

    def leader_until(self) -> float:
        """Until when a majority's votes are surely good; minus infinity without a majority."""
        ends = sorted(self.votes_until.values(), reverse=True)
        return ends[self.majority - 1] if len(ends) >= self.majority else float("-inf")

    def is_leader(self, now: float) -> bool:
        """Whether we lead at this instant: to be asked at each action, with the time of that instant."""
        has_majority = now < self.leader_until()
        if not has_majority:
            self.leader_since = None
        elif self.leader_since is None:
            self._begin_leadership(now)
        return has_majority

    def _begin_leadership(self, now: float) -> None:
        self.leader_since = now
        self.candidate_since = None
        self.leader = self.controller_id
        self.leader_epoch = self.incarnation
        self.leader_round = self.round + 1
        self.next_request_at = now  # it is announced at once

    def on_vote_reply(self, now: float, voter: int, reply: VoteReply) -> None:
        """Count a vote, from the time of the request that it answers."""
        requested_at = self.requested_at.get(reply.round)
        if reply.incarnation != self.incarnation or not reply.is_granted or voter not in self.voters:
            return
        if requested_at is None:
            return
        self.is_leader(now)  # a leadership that ended while nobody asked begins anew: another may have led since
        usable_until = requested_at + self.timings.usable_ms(self.timings.vote_lease_ms)
        self.votes_until[voter] = max(self.votes_until.get(voter, usable_until), usable_until)
        self.highest_known_token = max(self.highest_known_token, reply.max_token)
        acknowledged = self.announced_tokens.get(reply.round, 0)
        self.acknowledged_tokens[voter] = max(self.acknowledged_tokens.get(voter, 0), acknowledged)
        self.is_leader(now)

    def on_vote_request(self, now: float, sender: int, request: VoteRequest) -> None:
        """Another controller asks for votes; if it leads, note that."""
        if not request.is_leader:
            return
        if self.leader_epoch != request.incarnation or self.leader_round < request.round:
            self.leader_epoch = request.incarnation
            self.leader_round = request.round
        self.leader_heard_at = now
        self.leader = sender

    def tick(self, now: float, rank: int) -> VoteRequest | VoteRelease | None:
        """The message for all voters, if one is due. `rank` is how many able voters come before us."""
        if self.controller_id not in self.voters or now < self.next_request_at:
            return None
        is_leader = self.is_leader(now)
        self.next_request_at = now + self.timings.vote_lease_ms / HEARTBEATS_PER_VOTE
        self.requested_at = {r: at for r, at in self.requested_at.items() if now - at < self.timings.vote_lease_ms}
        if not is_leader:
            if not self._may_stand(now, rank):
                self.candidate_since = None
                return None
            if self.candidate_since is None:
                self.candidate_since = now
            if now - self.candidate_since > self.timings.vote_lease_ms:
                return self._back_off(now)
        return self._next_vote_request(now, is_leader=is_leader)

    def _may_stand(self, now: float, rank: int) -> bool:
        """Whether no leader was heard of for long enough, and no backoff is left."""
        quiet_ms = now - self.leader_heard_at
        return quiet_ms >= self.timings.vote_lease_ms * (1.0 + PATIENCE_PER_RANK * rank) and now >= self.backoff_until

    def _back_off(self, now: float) -> VoteRelease:
        """Votes are split, or do not arrive: let another candidate try."""
        self.candidate_since = None
        backoff_leases = 1.0 + self.random_fraction() * len(self.voters)
        self.backoff_until = now + self.timings.vote_lease_ms * backoff_leases
        return self.give_up_candidacy()

    def _next_vote_request(self, now: float, *, is_leader: bool) -> VoteRequest:
        self.round += 1
        self.requested_at[self.round] = now
        self.announced_tokens[self.round] = self.announced_token
        self.announced_tokens = {r: token for r, token in self.announced_tokens.items() if r in self.requested_at}
        digest = electorate_digest(self.voters)
        return VoteRequest(self.incarnation, self.round, is_leader, digest, self.announced_token)

    def give_up_candidacy(self) -> VoteRelease:
        """Give back all votes, also those that are still on their way: who cast them may vote for another."""
        self.votes_until.clear()
        self.requested_at.clear()
        self.leader_since = None
        return VoteRelease(self.incarnation, self.round)

    def resign(self) -> VoteRelease:
        """Give back all votes and never stand again."""
        self.backoff_until = float("inf")
        return self.give_up_candidacy()
