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
from tests.lease.support_exploration import after, explore

DRIFT = LeaseTimings(vote_lease_ms=200.0, max_clock_drift=0.1)


class SmallElectionWorld:
    """Two candidates, the first with a slow clock, the second with a fast one, and three voters, two of them they.
    A vote is asked of one voter at a time: others' words are lost."""

    def __init__(self) -> None:
        self.now, self.starts = 0.0, 0
        self.voters = [Voter(DRIFT, -1e6, electorate_digest((0, 1, 2))) for _ in range(3)]
        self.candidates = [Candidate(n, n + 1, (0, 1, 2), DRIFT, lambda: 0.0, -1e6) for n in range(2)]
        self.stands: list[VoteRequest | None] = [None, None]
        self.votes: list[tuple[int, int, VoteReply]] = []
        self.wrong = ""

    def clock(self, who: int) -> float:
        return self.now * (0.9, 1.1, 1.0)[who]

    def moves(self) -> list[tuple[str, int, int]]:
        out = [("time", 0, 0)] + [("stand", c, 0) for c in range(2)]
        out += [("ask", c, v) for c in range(2) for v in range(3) if self.stands[c]]
        out += [("vote", k, 0) for k in range(len(self.votes))]
        return out + ([("start", v, 0) for v in range(3)] if self.starts < 1 else [])

    def play(self, move: tuple[str, int, int]) -> bool:
        kind, n, v = move
        match kind:
            case "time":
                self.now += 55.0
            case "stand":
                self.candidates[n].next_request_at_ms = float("-inf")
                message = self.candidates[n].tick(self.clock(n), 0)
                if not isinstance(message, VoteRequest):
                    return False
                self.stands[n] = message
            case "ask":
                message = self.stands[n]
                assert message
                vote = self.voters[v].on_vote_request(self.clock(v), n, message)
                if not vote.is_granted or len(self.votes) > 2:
                    return False
                self.votes.append((n, v, vote))
            case "vote":
                to, voter, vote = self.votes.pop(n)
                self.candidates[to].on_vote_reply(self.clock(to), voter, vote)
            case "start":
                self.starts += 1
                self.voters[n] = Voter(DRIFT, self.clock(n), electorate_digest((0, 1, 2)))
        if all(c.is_leader(self.clock(k)) for k, c in enumerate(self.candidates)):
            self.wrong = "two hold the office"
        return True

    def key(self) -> str:
        voters = [
            (v.started_at, v.voted_for, v.voted_until_ms, v.voted_round, sorted(v.unsuccessful_since_ms.items()))
            for v in self.voters
        ]
        candidates = [
            (
                c.round,
                sorted(c.requested_at_ms.items()),
                sorted(c.votes_until.items()),
                c.leader_since,
                c.candidate_since_ms,
                c.next_request_at_ms,
            )
            for c in self.candidates
        ]
        return repr((self.now, voters, candidates, self.stands, self.votes, self.starts))


ELECTED: tuple[tuple[str, int, int], ...] = (
    ("stand", 0, 0),
    ("ask", 0, 0),
    ("ask", 0, 2),
    ("vote", 0, 0),
    ("vote", 0, 0),
    ("time", 0, 0),
    ("time", 0, 0),
)


ENDING = (*ELECTED, ("time", 0, 0), ("time", 0, 0), ("stand", 1, 0), ("ask", 1, 1))
ANEW = (*ELECTED, ("start", 2, 0), ("stand", 1, 0), ("ask", 1, 1))


@pytest.mark.parametrize("start", [ELECTED, ENDING, ANEW], ids=["held", "ending", "a voter anew"])
def test_election_when_events_come_in_any_order_then_two_never_lead(start: Any) -> None:
    worlds, wrong = explore(5, after(SmallElectionWorld(), *start))
    assert not wrong, (worlds, wrong)
    assert worlds > 300, (worlds, wrong)


def clock_drift_ignored(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(LeaseTimings, "usable_ms", lambda self, span: span)
    monkeypatch.setattr(LeaseTimings, "expiry_ms", lambda self, span: span)


def voter_votes_right_after_its_start(monkeypatch: pytest.MonkeyPatch) -> None:
    real = voting.Voter.on_vote_request

    def on_request(self: Any, now_ms: float, candidate: int, message: VoteRequest) -> VoteReply:
        self.started_at = -1e12
        return real(self, now_ms, candidate, message)

    monkeypatch.setattr(voting.Voter, "on_vote_request", on_request)


FOUND_BY: dict[Callable[..., None], Any] = {
    clock_drift_ignored: ENDING,
    voter_votes_right_after_its_start: ANEW,
    mistakes.half_of_the_votes_is_enough: ELECTED,
}


@pytest.mark.parametrize("mistake", FOUND_BY, ids=lambda f: f.__name__)
def test_planted_mistake_when_election_orders_are_explored_then_is_found(
    mistake: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    mistake(monkeypatch)
    assert explore(5, after(SmallElectionWorld(), *FOUND_BY[mistake]))[1]
