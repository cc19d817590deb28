"""Every order of events with two candidates and three voters whose clocks drift."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from corallanding.lease import voting
from corallanding.lease.limits import LeaseTimings
from corallanding.lease.messages import VoteReply, VoteRequest
from corallanding.lease.voting import Candidate, Voter, electorate_digest
from tests.lease import support_mistakes as mistakes
from tests.lease.support_exploration import apply_moves, explore

DRIFTING_CLOCKS = LeaseTimings(vote_lease_ms=200.0, max_clock_drift=0.1)


class SmallElectionWorld:
    """Two candidates, the first with a slow clock, the second with a fast one, and three voters.

    Both candidates are voters too. A vote request is delivered to one voter at a time; the copies to others are lost.
    """

    def __init__(self) -> None:
        self.now_ms, self.restart_count = 0.0, 0
        self.voters = [Voter(DRIFTING_CLOCKS, -1e6, electorate_digest((0, 1, 2))) for _ in range(3)]
        self.candidates = [
            Candidate(number, number + 1, (0, 1, 2), DRIFTING_CLOCKS, lambda: 0.0, -1e6) for number in range(2)
        ]
        self.vote_requests: list[VoteRequest | None] = [None, None]
        self.votes: list[tuple[int, int, VoteReply]] = []
        self.violation = ""

    def clock(self, controller: int) -> float:
        return self.now_ms * (0.9, 1.1, 1.0)[controller]

    def moves(self) -> list[tuple[str, int, int]]:
        moves = [("advance_time", 0, 0)] + [("request_votes", candidate, 0) for candidate in range(2)]
        requesters = [candidate for candidate in range(2) if self.vote_requests[candidate]]
        moves += [("deliver_request", candidate, voter) for candidate in requesters for voter in range(3)]
        moves += [("deliver_vote", index, 0) for index in range(len(self.votes))]
        return moves + ([("restart_voter", voter, 0) for voter in range(3)] if self.restart_count < 1 else [])

    def apply(self, move: tuple[str, int, int]) -> bool:
        kind, number, voter = move
        match kind:
            case "advance_time":
                self.now_ms += 55.0
            case "request_votes":
                self.candidates[number].next_request_at_ms = float("-inf")
                message = self.candidates[number].tick(self.clock(number), 0)
                if not isinstance(message, VoteRequest):
                    return False
                self.vote_requests[number] = message
            case "deliver_request":
                message = self.vote_requests[number]
                assert message
                vote = self.voters[voter].on_vote_request(self.clock(voter), number, message)
                if not vote.is_granted or len(self.votes) > 2:
                    return False
                self.votes.append((number, voter, vote))
            case "deliver_vote":
                candidate_number, voter, vote = self.votes.pop(number)
                self.candidates[candidate_number].on_vote_reply(self.clock(candidate_number), voter, vote)
            case "restart_voter":
                self.restart_count += 1
                self.voters[number] = Voter(DRIFTING_CLOCKS, self.clock(number), electorate_digest((0, 1, 2)))
        if all(candidate.is_leader(self.clock(index)) for index, candidate in enumerate(self.candidates)):
            self.violation = "two controllers lead at the same time"
        return True

    def state_key(self) -> str:
        voters = [
            (
                voter.started_at_ms,
                voter.voted_for,
                voter.voted_until_ms,
                voter.voted_round,
                sorted(voter.unsuccessful_since_ms.items()),
            )
            for voter in self.voters
        ]
        candidates = [
            (
                candidate.round,
                sorted(candidate.requested_at_ms.items()),
                sorted(candidate.votes_until_ms.items()),
                candidate.leader_since_ms,
                candidate.candidate_since_ms,
                candidate.next_request_at_ms,
            )
            for candidate in self.candidates
        ]
        return repr((self.now_ms, voters, candidates, self.vote_requests, self.votes, self.restart_count))


ELECTED: tuple[tuple[str, int, int], ...] = (
    ("request_votes", 0, 0),
    ("deliver_request", 0, 0),
    ("deliver_request", 0, 2),
    ("deliver_vote", 0, 0),
    ("deliver_vote", 0, 0),
    ("advance_time", 0, 0),
    ("advance_time", 0, 0),
)


EXPIRING = (
    *ELECTED,
    ("advance_time", 0, 0),
    ("advance_time", 0, 0),
    ("request_votes", 1, 0),
    ("deliver_request", 1, 1),
)
VOTER_RESTARTED = (*ELECTED, ("restart_voter", 2, 0), ("request_votes", 1, 0), ("deliver_request", 1, 1))


@pytest.mark.parametrize(
    "start", [ELECTED, EXPIRING, VOTER_RESTARTED], ids=["leader elected", "votes near expiry", "voter restarted"]
)
def test_election_when_events_occur_in_any_order_then_at_most_one_candidate_leads(start: Any) -> None:
    world_count, violation = explore(5, apply_moves(SmallElectionWorld(), *start))
    assert not violation, (world_count, violation)
    assert world_count > 300, (world_count, violation)


def clock_drift_ignored(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(LeaseTimings, "usable_ms", lambda self, span: span)
    monkeypatch.setattr(LeaseTimings, "expiry_ms", lambda self, span: span)


def voter_votes_right_after_its_start(monkeypatch: pytest.MonkeyPatch) -> None:
    real = voting.Voter.on_vote_request

    def on_request(self: Any, now_ms: float, candidate: int, message: VoteRequest) -> VoteReply:
        self.started_at_ms = -1e12
        return real(self, now_ms, candidate, message)

    monkeypatch.setattr(voting.Voter, "on_vote_request", on_request)


START_BY_MISTAKE: dict[Callable[..., None], Any] = {
    clock_drift_ignored: EXPIRING,
    voter_votes_right_after_its_start: VOTER_RESTARTED,
    mistakes.half_of_the_votes_is_enough: ELECTED,
}


@pytest.mark.parametrize("mistake", START_BY_MISTAKE, ids=lambda mistake: mistake.__name__)
def test_planted_mistake_when_election_orders_are_explored_then_is_found(
    mistake: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    mistake(monkeypatch)
    assert explore(5, apply_moves(SmallElectionWorld(), *START_BY_MISTAKE[mistake]))[1]
