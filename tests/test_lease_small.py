"""Every order of events in two small worlds: one task among two holders and a dealer, one office among two candidates
and three voters. Words are lost, late, swapped, twice; processes start anew, or stop between look and act."""

from __future__ import annotations

import copy
from collections.abc import Callable
from typing import Any

import pytest
import test_lease
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from corallanding.lease import voting as vote_module
from corallanding.lease.fenced_resource import FencedResource
from corallanding.lease.lease_holder import LeaseHolder
from corallanding.lease.limits import LeaseTimings
from corallanding.lease.messages import LeaseGrant, LeaseRequest, VoteReply, VoteRequest
from corallanding.lease.shard_allocator import ShardAllocator
from corallanding.lease.tasks import TaskCatalog, TaskSpec
from corallanding.lease.voting import Candidate, Voter, electorate_digest

# A lease of three steps and an act of one and a half: a few steps see leases end, and acts that would outlast them.
TERMS = LeaseTimings(lease_ms=300.0, vote_lease_ms=200.0, max_clock_drift=0.0)
TASKS = TaskCatalog({"sweep": TaskSpec("sweep", max_work_ms=150.0)})
STEP = 100.0


class Small:
    """Two holders; each act is looked at, then written at the place, at any time after."""

    def __init__(self) -> None:
        self.now, self.lives = 0.0, 10
        self.dealer = ShardAllocator(TERMS, TASKS, 9, max_token=1 << 60)
        self.dealer.begin_term(-1e6, 1, 1 << 20)
        self.holders = [LeaseHolder(n + 1, TERMS, TASKS, -1e6) for n in range(2)]
        self.words: list[tuple[int, Any]] = []  # on their way: whose, what
        self.looks: list[tuple[int, int]] = []  # acts begun and not written: whose, fence
        self.ends: dict[tuple[int, int], float] = {}  # (steward, life): when its act has ended at the longest
        self.place, self.highest = FencedResource(1), 0
        self.wrong = ""

    def moves(self) -> list[tuple[str, int]]:
        out: list[tuple[str, int]] = [("time", 0)]
        if len(self.words) < 3:
            out += [("ask", 0), ("ask", 1)]
        out += [(kind, k) for kind in ("word", "again") for k in range(len(self.words))]
        out += [("look", n) for n in range(2)] if len(self.looks) < 2 else []
        out += [("write", k) for k in range(len(self.looks))]
        return [*out, ("start", 0)] if self.lives < 11 else out

    def play(self, move: tuple[str, int]) -> bool:
        """False if nothing came of it."""
        kind, n = move
        match kind:
            case "time":
                self.now += STEP
            case "ask":
                self.holders[n].last_request_at = float("-inf")
                word = self.holders[n].next_request(self.now, 9, 1)
                if word is None:
                    return False
                self.words.append((n, word))
            case "word" | "again":
                who, word = self.words[n]
                if kind == "word":
                    del self.words[n]
                if isinstance(word, LeaseRequest):
                    deal = self.dealer.on_request(self.now, who, word)
                    if deal:
                        self.words.append((who, deal))
                    return deal is not None or kind == "word"
                assert isinstance(word, LeaseGrant)
                self.holders[who].on_grant(self.now, word)
            case "look":
                h = self.holders[n]
                fence = h.begin_action(self.now, 0)
                if not fence:
                    return False
                if any(end > self.now for who, end in self.ends.items() if who != (n, h.incarnation)):
                    self.wrong = "two act at one instant"
                self.ends[n, h.incarnation] = self.now + 150.0
                self.looks.append((n, fence))
            case "write":
                _, fence = self.looks.pop(n)
                if self.place.accept(0, fence):
                    if fence < self.highest:
                        self.wrong = "an act behind a later one was taken"
                    self.highest = max(self.highest, fence)
            case "start":
                self.lives += 1
                self.holders[0] = LeaseHolder(self.lives, TERMS, TASKS, self.now)
        return True

    def key(self) -> str:
        """Two worlds of one key go on alike."""
        book = [
            (w, x.last_round, x.wanted_shards, x.requested_at, x.fencing_token, sorted(x.grants))
            for w, x in sorted(self.dealer.leases.items())
        ]
        holders = [
            (
                h.incarnation,
                h.shards,
                h.fencing_token,
                h.leased_until,
                h.applied_round,
                h.round,
                sorted(h.requested_at.items()),
                sorted(h.busy_until.items()),
            )
            for h in self.holders
        ]
        ends = sorted((w, e) for w, e in self.ends.items() if e > self.now)
        return repr(
            (self.now, book, self.dealer.last_token, holders, self.words, self.looks, ends, self.place.highest_tokens)
        )


def explore(deep: int, start: Any) -> tuple[int, str]:
    """Worlds seen, and what went wrong in the first that did."""
    seen, layer = {start.key()}, [start]
    for _ in range(deep):
        after: list[Any] = []
        for world in layer:
            for move in world.moves():
                new = copy.deepcopy(world)
                if not new.play(move):
                    continue
                if new.wrong:
                    return len(seen), new.wrong
                if (key := new.key()) not in seen:
                    seen.add(key)
                    after.append(new)
        layer = after
    return len(seen), ""


def after(start: Any, *moves: tuple[str, int]) -> Any:
    for move in moves:
        assert start.play(move), move
    return start


HELD = (("ask", 0), ("word", 0), ("word", 0))  # the first holds it
LATER = (("time", 0), ("time", 0))
STARTS: dict[str, tuple[tuple[str, int], ...]] = {
    "held": HELD,
    "a first answer late, a second taken up": (("ask", 0), ("word", 0), ("ask", 0), ("word", 1), ("word", 1)),
    "answered late": (("ask", 0), ("word", 0), *LATER, ("word", 0), ("time", 0), ("ask", 1)),
    "near its end": (*HELD, *LATER, ("ask", 1)),
    "started anew": (*HELD, ("look", 0), ("start", 0), ("ask", 0)),
    "looked and stopped": (*HELD, ("look", 0), *LATER, ("time", 0), ("ask", 1), ("word", 0), ("word", 0)),
}


@pytest.mark.parametrize("start", STARTS)
def test_no_order_of_events_lets_two_act_at_one_instant(start: str) -> None:
    worlds, wrong = explore(5, after(Small(), *STARTS[start]))
    assert not wrong and worlds > 500, (worlds, wrong)


FOUND: dict[Callable[..., None], str] = {
    test_lease.counted_from_the_answer: "answered late",
    test_lease.acts_outlast_the_lease: "near its end",
    test_lease.a_former_life_forgotten: "started anew",
    test_lease.a_place_takes_all: "looked and stopped",
}


@pytest.mark.parametrize("mistake", FOUND, ids=lambda f: f.__name__)
def test_the_small_world_finds_mistakes(mistake: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    mistake(monkeypatch)
    assert explore(5, after(Small(), *STARTS[FOUND[mistake]]))[1]


class Walk(RuleBasedStateMachine):
    """The same world by long walks that hypothesis draws and makes shorter."""

    def __init__(self) -> None:
        super().__init__()
        self.world = Small()

    @rule(data=st.data())
    def move(self, data: st.DataObject) -> None:
        kinds: dict[str, list[tuple[str, int]]] = {}
        for move in self.world.moves():
            kinds.setdefault(move[0], []).append(move)
        kind = data.draw(st.sampled_from(sorted(kinds)))
        self.world.play(data.draw(st.sampled_from(kinds[kind])))

    @invariant()
    def one_holder(self) -> None:
        assert not self.world.wrong, self.world.wrong


TestWalk = Walk.TestCase
TestWalk.settings = settings(max_examples=150, stateful_step_count=60, deadline=None)


# ---- the office -------------------------------------------------------------------------------------------------

DRIFT = LeaseTimings(vote_lease_ms=200.0, max_clock_drift=0.1)


class Booth:
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
                self.candidates[n].next_request_at = float("-inf")
                word = self.candidates[n].tick(self.clock(n), 0)
                if not isinstance(word, VoteRequest):
                    return False
                self.stands[n] = word
            case "ask":
                word = self.stands[n]
                assert word
                vote = self.voters[v].on_vote_request(self.clock(v), n, word)
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
            (v.started_at, v.voted_for, v.voted_until, v.voted_round, sorted(v.unsuccessful_since.items()))
            for v in self.voters
        ]
        candidates = [
            (
                c.round,
                sorted(c.requested_at.items()),
                sorted(c.votes_until.items()),
                c.leader_since,
                c.candidate_since,
                c.next_request_at,
            )
            for c in self.candidates
        ]
        return repr((self.now, voters, candidates, self.stands, self.votes, self.starts))


OFFICE: tuple[tuple[str, int, int], ...] = (
    ("stand", 0, 0),
    ("ask", 0, 0),
    ("ask", 0, 2),
    ("vote", 0, 0),
    ("vote", 0, 0),
    ("time", 0, 0),
    ("time", 0, 0),
)


ENDING = (*OFFICE, ("time", 0, 0), ("time", 0, 0), ("stand", 1, 0), ("ask", 1, 1))
ANEW = (*OFFICE, ("start", 2, 0), ("stand", 1, 0), ("ask", 1, 1))


@pytest.mark.parametrize("start", [OFFICE, ENDING, ANEW], ids=["held", "ending", "a voter anew"])
def test_no_order_of_events_gives_two_the_office(start: Any) -> None:
    worlds, wrong = explore(5, after(Booth(), *start))
    assert not wrong and worlds > 300, (worlds, wrong)


def no_drift(m: pytest.MonkeyPatch) -> None:
    m.setattr(LeaseTimings, "usable_ms", lambda self, span: span)
    m.setattr(LeaseTimings, "expiry_ms", lambda self, span: span)


def starts_at_once(m: pytest.MonkeyPatch) -> None:
    real = vote_module.Voter.on_vote_request

    def asked(self: Any, now: float, candidate: int, word: VoteRequest) -> VoteReply:
        self.started_at = -1e12
        return real(self, now, candidate, word)

    m.setattr(vote_module.Voter, "on_vote_request", asked)


OFFICES: dict[Callable[..., None], Any] = {no_drift: ENDING, starts_at_once: ANEW, test_lease.half_is_enough: OFFICE}


@pytest.mark.parametrize("mistake", OFFICES, ids=lambda f: f.__name__)
def test_the_small_office_finds_mistakes(mistake: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    mistake(monkeypatch)
    assert explore(5, after(Booth(), *OFFICES[mistake]))[1]
