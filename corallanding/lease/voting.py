"""Leader election by majority votes, each granted for a limited time: the voter and the candidate.

Nothing is logged or stored. A voter that has just started grants no vote for as long as a vote of its previous process
may still be valid. Two controllers can therefore lead at the same time only if a clock deviates by more than
`max_clock_drift`.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from .limits import ElectionTimings
from .messages import VoteRelease, VoteReply, VoteRequest
from .process_key import ProcessKey

HEARTBEATS_PER_VOTE = 4.0  # vote requests sent during one vote lease
DELAY_LEASES_PER_RANK = 0.5  # additional delay of a candidate, in vote leases, per live voter ranked before it
REFUSED_AFTER_LEASES = 2  # vote leases after which a candidate that has votes but does not lead is refused
ALLOWED_AGAIN_AFTER_LEASES = 4  # vote leases after which it may try again


def electorate_digest(voters: Collection[int]) -> int:
    """Return a number that identifies the set of voters."""
    return zlib.crc32(",".join(str(voter) for voter in sorted(voters)).encode())


@dataclass
class Voter:
    """One voter. All times are in ms by its own clock; `started_at_ms` is the start of this process."""

    timings: ElectionTimings
    started_at_ms: float
    electorate_digest: int
    voted_for: ProcessKey | None = None
    voted_until_ms: float = 0.0
    voted_round: int = -1  # last round that was granted a vote
    unsuccessful_since_ms: dict[int, float] = field(default_factory=dict)  # by candidate with votes that does not lead
    rejected: int = 0  # requests of candidates with a different set of voters
    max_token: int = 0  # highest token that a candidate announced

    def on_vote_request(self, now_ms: float, candidate: int, request: VoteRequest) -> VoteReply:
        """Return a reply that grants or refuses the vote."""
        key = ProcessKey(candidate, request.incarnation)
        if request.electorate_digest != self.electorate_digest:
            self.rejected += 1
            return VoteReply(request.incarnation, request.round, False)
        self.max_token = max(self.max_token, request.max_token)
        if not self._is_free_for(now_ms, key, request) or not self._may_continue(now_ms, candidate, request):
            return VoteReply(request.incarnation, request.round, False)
        self.voted_for = key
        self.voted_round = request.round
        self.voted_until_ms = now_ms + self.timings.expiry_ms(self.timings.vote_lease_ms)
        return VoteReply(request.incarnation, request.round, True, self.max_token)

    def on_vote_release(self, candidate: int, release: VoteRelease) -> None:
        """Release the vote of a candidate. A release that arrives after a newer round has no effect."""
        if self.voted_for == (candidate, release.incarnation) and release.round >= self.voted_round:
            self.voted_until_ms = 0.0
            self.voted_round = release.round

    def _is_free_for(self, now_ms: float, key: ProcessKey, request: VoteRequest) -> bool:
        """Return whether no earlier vote, including one of a previous process, conflicts with this request."""
        if now_ms < self.started_at_ms + self.timings.expiry_ms(self.timings.vote_lease_ms):
            return False
        if key == self.voted_for:
            return request.round > self.voted_round  # otherwise late or repeated: already answered or released
        return self.voted_for is None or now_ms >= self.voted_until_ms

    def _may_continue(self, now_ms: float, candidate: int, request: VoteRequest) -> bool:
        """Return whether the candidate leads, or has not yet been unsuccessful for too long.

        Without this limit a candidate that never receives its votes would block all other candidates forever.
        """
        if request.is_leader:
            self.unsuccessful_since_ms.pop(candidate, None)
            return True
        unsuccessful_ms = now_ms - self.unsuccessful_since_ms.setdefault(candidate, now_ms)
        if unsuccessful_ms <= REFUSED_AFTER_LEASES * self.timings.vote_lease_ms:
            return True
        if unsuccessful_ms > ALLOWED_AGAIN_AFTER_LEASES * self.timings.vote_lease_ms:
            del self.unsuccessful_since_ms[candidate]
        return False


@dataclass
class Candidate:
    """A controller that may become the leader.

    `tick`, `give_up_candidacy` and `resign` return a message for all voters. `random_fraction` returns a number in
    [0, 1). All times are in ms by the controller's own clock.
    """

    controller_id: int
    incarnation: int
    voters: tuple[int, ...]
    timings: ElectionTimings
    random_fraction: Callable[[], float]
    started_at_ms: float
    round: int = 0
    requested_at_ms: dict[int, float] = field(default_factory=dict)  # send times of vote requests, by round
    votes_until_ms: dict[int, float] = field(default_factory=dict)  # time until which its vote is valid, by voter
    announced_token: int = 0  # highest fencing token, as announced in vote requests
    announced_tokens: dict[int, int] = field(default_factory=dict)  # token announced in the request, by round
    acknowledged_tokens: dict[int, int] = field(default_factory=dict)  # highest acknowledged token, by voter
    highest_known_token: int = 0  # highest token in replies of voters
    leader_since_ms: float | None = None  # start of the current leadership of this controller
    candidate_since_ms: float | None = None  # start of the current candidacy
    leader_seen_at_ms: float = 0.0  # time of the last message of another leader
    leader: int | None = None  # last known leader; may be this controller
    leader_epoch: int = 0  # the leader's incarnation
    leader_round: int = 0  # round in which the leader claimed the leadership
    next_request_at_ms: float = 0.0
    backoff_until_ms: float = 0.0

    def __post_init__(self) -> None:
        self.leader_seen_at_ms = self.started_at_ms

    @property
    def majority(self) -> int:
        """The number of votes that a leader needs."""
        return len(self.voters) // 2 + 1

    @property
    def max_token(self) -> int:
        """The highest fencing token known to a majority of voters, and so to every later leader."""
        known = sorted((self.acknowledged_tokens.get(voter, 0) for voter in self.voters), reverse=True)
        return known[self.majority - 1]

    def leader_until_ms(self) -> float:
        """Return the time until which a majority of votes is certainly valid; minus infinity without a majority."""
        ends = sorted(self.votes_until_ms.values(), reverse=True)
        return ends[self.majority - 1] if len(ends) >= self.majority else float("-inf")

    def is_leader(self, now_ms: float) -> bool:
        """Return whether this controller leads at `now_ms`; call it before each action, with the time of the action."""
        has_majority = now_ms < self.leader_until_ms()
        if not has_majority:
            self.leader_since_ms = None
        elif self.leader_since_ms is None:
            self._begin_leadership(now_ms)
        return has_majority

    def _begin_leadership(self, now_ms: float) -> None:
        self.leader_since_ms = now_ms
        self.candidate_since_ms = None
        self.leader = self.controller_id
        self.leader_epoch = self.incarnation
        self.leader_round = self.round + 1
        self.next_request_at_ms = now_ms  # announce the leadership at once

    def on_vote_reply(self, now_ms: float, voter: int, reply: VoteReply) -> None:
        """Count a granted vote, valid from the send time of its request."""
        requested_at_ms = self.requested_at_ms.get(reply.round)
        if reply.incarnation != self.incarnation or not reply.is_granted or voter not in self.voters:
            return
        if requested_at_ms is None:
            return
        self.is_leader(now_ms)  # an expired leadership ends before the vote counts: another may have led since
        usable_until_ms = requested_at_ms + self.timings.usable_ms(self.timings.vote_lease_ms)
        self.votes_until_ms[voter] = max(self.votes_until_ms.get(voter, usable_until_ms), usable_until_ms)
        self.highest_known_token = max(self.highest_known_token, reply.max_token)
        acknowledged = self.announced_tokens.get(reply.round, 0)
        self.acknowledged_tokens[voter] = max(self.acknowledged_tokens.get(voter, 0), acknowledged)
        self.is_leader(now_ms)

    def on_vote_request(self, now_ms: float, sender: int, request: VoteRequest) -> None:
        """Record another controller as the leader if its vote request says that it leads."""
        if not request.is_leader:
            return
        if self.leader_epoch != request.incarnation or self.leader_round < request.round:
            self.leader_epoch = request.incarnation
            self.leader_round = request.round
        self.leader_seen_at_ms = now_ms
        self.leader = sender

    def tick(self, now_ms: float, rank: int) -> VoteRequest | VoteRelease | None:
        """Return the message for all voters, if one is due. `rank` is the number of live voters before this one."""
        if self.controller_id not in self.voters or now_ms < self.next_request_at_ms:
            return None
        is_leader = self.is_leader(now_ms)
        self.next_request_at_ms = now_ms + self.timings.vote_lease_ms / HEARTBEATS_PER_VOTE
        self.requested_at_ms = {
            r: at for r, at in self.requested_at_ms.items() if now_ms - at < self.timings.vote_lease_ms
        }
        if not is_leader:
            if not self._may_become_candidate(now_ms, rank):
                self.candidate_since_ms = None
                return None
            if self.candidate_since_ms is None:
                self.candidate_since_ms = now_ms
            if now_ms - self.candidate_since_ms > self.timings.vote_lease_ms:
                return self._back_off(now_ms)
        return self._next_vote_request(now_ms, is_leader=is_leader)

    def _may_become_candidate(self, now_ms: float, rank: int) -> bool:
        """Return whether no leader was seen for long enough and the backoff is over."""
        since_leader_ms = now_ms - self.leader_seen_at_ms
        return (
            since_leader_ms >= self.timings.vote_lease_ms * (1.0 + DELAY_LEASES_PER_RANK * rank)
            and now_ms >= self.backoff_until_ms
        )

    def _back_off(self, now_ms: float) -> VoteRelease:
        """Withdraw for a random time: votes are split or lost, so another candidate may try."""
        self.candidate_since_ms = None
        backoff_leases = 1.0 + self.random_fraction() * len(self.voters)
        self.backoff_until_ms = now_ms + self.timings.vote_lease_ms * backoff_leases
        return self.give_up_candidacy()

    def _next_vote_request(self, now_ms: float, *, is_leader: bool) -> VoteRequest:
        self.round += 1
        self.requested_at_ms[self.round] = now_ms
        self.announced_tokens[self.round] = self.announced_token
        self.announced_tokens = {r: token for r, token in self.announced_tokens.items() if r in self.requested_at_ms}
        digest = electorate_digest(self.voters)
        return VoteRequest(self.incarnation, self.round, is_leader, digest, self.announced_token)

    def give_up_candidacy(self) -> VoteRelease:
        """Release all votes, including those in flight, so that their voters may vote for another candidate."""
        self.votes_until_ms.clear()
        self.requested_at_ms.clear()
        self.leader_since_ms = None
        return VoteRelease(self.incarnation, self.round)

    def resign(self) -> VoteRelease:
        """Release all votes and never become a candidate again."""
        self.backoff_until_ms = float("inf")
        return self.give_up_candidacy()
