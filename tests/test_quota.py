"""Budgets of the fleet: the sum in use at any instant, under every fault; and that mistakes planted there are found."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from corallanding.lab.stewards.world import Way, World, troubled
from corallanding.lab.uses import most
from corallanding.lease import voting as vote_module
from corallanding.quota import (
    Budget,
    CapacityGrant,
    CapacityRequest,
    QuotaAllocator,
    QuotaClient,
    QuotaLimits,
    QuotaManager,
    VoteReply,
    VoteRequest,
    decode,
    encode,
    share,
)
from corallanding.quota import quota_allocator as divider_module

TIGHT = QuotaLimits(lease_ms=500.0, vote_lease_ms=400.0)
WHOLES = {"moves": 7, "cold": 2}


def world(
    seed: int, stewards: int = 4, static: bool = False, terms: QuotaLimits = TIGHT, until: float = 20_000.0
) -> World:
    """Few rights and many who want them, with short leases, so that much happens in little time."""
    budgets = {
        "moves": Budget("moves", 7, 1, stewards, 300.0),
        "cold": Budget("cold", 2, 0, stewards, 900.0, "host"),
    }
    chance = random.Random(f"wishes {seed}")

    def wish(t: float, n: int) -> list[tuple[str, int]]:
        greedy = random.Random(f"{seed} {int(t // 2000.0)} {n}").random()
        wishes = [("moves", 0)] * (chance.random() < greedy) + [("cold", chance.randrange(2))] * (chance.random() < 0.3)
        return wishes * (1 + (greedy > 0.7))

    w = World(seed, stewards, stewards, budgets, terms, wish, static=static)
    if seed % 2:  # a way that is bad all day long: words come later than some grants last, twice, or not
        w.usual = w.rest = Way(loss=0.1, repeat=0.3, mean=chance.choice((20.0, 60.0, 120.0)))
    troubled(w, until, longest=2_500.0)
    w.run(until)
    return w


def over(w: World) -> float:
    return sum(row["over_ms"] for row in most(w.uses, WHOLES))


@pytest.mark.parametrize("first", range(0, 40, 10))
def test_no_instant_sees_more_than_the_whole_whatever_fails(first: int) -> None:
    reached = dict.fromkeys(WHOLES, 0)
    for seed in range(first, first + 10):
        w = world(seed)
        for row in most(w.uses, WHOLES):
            assert row["over_ms"] == 0, (seed, row)
            reached[row["name"]] = max(reached[row["name"]], row["most"])
    assert reached == WHOLES, "the whole is of use, not a floor alone"


@given(st.integers(0, 50), st.dictionaries(st.integers(0, 20), st.integers(0, 60), max_size=9), st.integers(0, 9))
def test_shares_are_even_whole_and_never_more_than_wanted(pool: int, wants: dict[int, int], turn: int) -> None:
    parts = share(pool, wants, turn)
    assert sum(parts.values()) == min(pool, sum(wants.values()))
    assert all(0 <= parts[k] <= wants[k] for k in wants)
    short = [parts[k] for k in wants if parts[k] < wants[k]]
    assert all(parts[k] <= min(short) + 1 for k in wants) if short else True, "nobody has more than one that lacks"


def test_seven_among_five_then_among_nine() -> None:
    assert sorted(share(7, dict.fromkeys(range(5), 7)).values()) == [1, 1, 1, 2, 2]
    assert sorted(share(7, dict.fromkeys(range(9), 7)).values()) == [0, 0, 1, 1, 1, 1, 1, 1, 1]
    greedy = share(7, {0: 10**6, 1: 2, 2: 2})
    assert greedy == {0: 3, 1: 2, 2: 2}, "one that asks for everything gets what the others leave"


@given(st.binary(max_size=64))
def test_nonsense_is_no_word(data: bytes) -> None:
    word = decode(data)
    assert word is None or decode(encode(word)) == word


def test_a_wide_word_fits_a_datagram() -> None:
    big = 2**32 - 1
    want = CapacityRequest(2**62, big, 2**62, big, [(big, 2**20, 2**15, 2**15, 2**15, big)] * QuotaLimits().max_rows)
    give = CapacityGrant(2**62, big, [(big, 2**20, 2**15)] * QuotaLimits().max_rows)
    assert len(encode(want)) <= 255
    assert len(encode(give)) <= 255


def test_a_floor_for_each_of_all_must_fit_the_whole() -> None:
    with pytest.raises(ValueError, match="floor for each of 5 stewards is more than whole"):
        Budget("moves", 7, 2, 5)


def test_one_that_says_too_much_gets_its_rate_through_and_no_more() -> None:
    q = QuotaManager(0, (1,), (0, 1), {}, TIGHT, 1, 0.0, random.Random(1).random, words_per_s=100.0)
    for k in range(4_000):  # twice the rate for twenty seconds, and the first second's worth at once
        q.on_message(5.0 * k, 1, CapacityGrant(1, k))
    assert abs(q.rejected_count - (4_000 - 20 * 100 - 100)) <= 2
    q.on_message(20_000.0, 7, CapacityGrant(1, 1))
    assert abs(q.rejected_count - 1_901) <= 2, "a number that nobody has"


def test_a_whole_made_smaller_than_what_is_in_use_is_kept_once_that_has_ended() -> None:
    w = World(3, 3, 3, {"moves": Budget("moves", 9, 0, 3, 300.0)}, TIGHT, lambda t, n: [("moves", 0)] * 3)
    w.run(5_000.0)
    for p in w.processes.values():
        p.quota.resize(p.clock(w.now), {"moves": 4})
    w.run(10_000.0)
    late = [u for u in w.uses if u[0] > 5_000.0 + 2 * (TIGHT.grant_lifetime_ms(BUDGET) + 300.0)]
    assert most(w.uses, {"moves": 9})[0]["most"] == 9
    assert most(late, {"moves": 4})[0]["most"] == 4
    assert most(w.uses, {"moves": 9})[0]["over_ms"] == 0


def test_rights_of_the_dead_come_back_within_the_stated_time() -> None:
    """The divider itself and another, of five: theirs are in use by the rest within lease, span and office."""
    w = World(5, 5, 5, {"moves": BUDGET5}, TIGHT, lambda t, n: [("moves", 0)] * 3)
    w.run(6_000.0)
    divider = next(n for n, p in w.processes.items() if p.quota.is_allocating(p.clock(w.now)))
    w.kill(divider)
    w.kill((divider + 1) % 5)
    w.run(12_000.0)
    bound = TIGHT.expiry_ms(TIGHT.grant_lifetime_ms(BUDGET5)) * 2 + TIGHT.vote_lease_ms * 3
    after = [u for u in w.uses if u[0] > 6_000.0 + bound]
    row = most(after, {"moves": 7})[0]
    assert row["most"] == 7
    assert row["used_share"] > 0.8
    assert most(w.uses, {"moves": 7})[0]["over_ms"] == 0


BUDGET5 = Budget("moves", 7, 0, 5, 300.0)


# ---- scenes: one order of events each, played without chance -----------------------------------------------------

BUDGET = Budget("moves", 7, 0, 3, 300.0)


class Desk:
    """Holders and a divider by hand: who says what when, and which answer arrives."""

    def __init__(self) -> None:
        self.divider = QuotaAllocator(TIGHT, {BUDGET.id: BUDGET})
        self.divider.begin_term(-1e6)
        self.holders = [QuotaClient(n + 1, TIGHT, -1e6) for n in range(2)]
        self.uses: list[Any] = []

    def elect(self, now: float) -> None:
        """Another divider, whose first word all have heard."""
        self.divider = QuotaAllocator(TIGHT, {BUDGET.id: BUDGET}, self.divider.incarnation + 1)
        self.divider.begin_term(now, 1)

    def ask(self, now: float, n: int, wish: int = 7) -> CapacityRequest:
        h = self.holders[n]
        if wish:
            h.record_unmet(now, BUDGET, 0, wish)
        for a in h.accounts.values():
            a.requested_at_ms = float("-inf")
        return h.due_requests(now, self.divider.incarnation, self.divider.first_round)[0]

    def answer(self, now: float, n: int, want: CapacityRequest) -> CapacityGrant:
        return self.divider.on_request(now, n, want)

    def use(self, now: float, n: int) -> None:
        while self.holders[n].acquire(now, BUDGET):
            self.uses.append((now, now + BUDGET.hold_ms, "moves", 0, 1))

    def over(self) -> float:
        return float(most(self.uses, {"moves": 7})[0]["over_ms"])


def an_answer_that_comes_late() -> float:
    d = Desk()
    give = d.answer(1.0, 0, d.ask(0.0, 0))
    d.holders[0].on_grant(500.0, give)
    for now in range(500, 1_400, 20):
        d.use(now, 0)
        d.holders[1].on_grant(now, d.answer(now, 1, d.ask(now, 1)))
        d.use(now, 1)
    return d.over()


def a_use_that_would_outlast_its_grant() -> float:
    d = Desk()
    d.holders[0].on_grant(1.0, d.answer(0.0, 0, d.ask(0.0, 0)))
    d.use(700.0, 0)
    for now in range(820, 1_000, 20):
        d.holders[1].on_grant(now, d.answer(now, 1, d.ask(now, 1)))
        d.use(now, 1)
    return d.over()


def an_older_answer_after_a_newer() -> float:
    d = Desk()
    late = d.answer(1.0, 0, d.ask(0.0, 0))
    d.answer(2.0, 1, d.ask(2.0, 1))
    d.holders[0].on_grant(4.0, d.answer(3.0, 0, d.ask(3.0, 0)))
    d.answer(6.0, 0, d.ask(5.0, 0))  # says that the second answer was taken up
    for now in range(10, 400, 20):
        d.holders[1].on_grant(now, d.answer(now, 1, d.ask(now, 1)))
        d.use(now, 1)
    d.holders[0].on_grant(400.0, late)
    d.use(400.0, 0)
    return d.over()


def a_renewal_of_what_was_over() -> float:
    d = Desk()
    d.holders[0].on_grant(1.0, d.answer(0.0, 0, d.ask(0.0, 0)))
    late = d.ask(780.0, 0)
    d.holders[1].on_grant(830.0, d.answer(829.0, 1, d.ask(828.0, 1)))
    d.elect(831.0)
    give = d.answer(840.0, 0, late)
    d.holders[0].on_grant(845.0, give)
    d.use(850.0, 0)
    d.use(850.0, 1)
    return d.over()


def a_divider_that_goes_on_with_what_holders_have() -> float:
    """It divides those rights anew before its predecessor's other grants have ended, and no more than those."""
    d = Desk()
    d.holders[0].on_grant(1.0, d.answer(0.0, 0, d.ask(0.0, 0, 3)))
    lost = d.answer(3.0, 1, d.ask(2.0, 1))  # lent to one that the new divider does not hear of yet
    d.holders[1].on_grant(4.0, lost)
    d.elect(5.0)
    d.use(6.0, 1)
    for now in range(10, 300, 10):
        d.holders[0].on_grant(now, d.answer(now, 0, d.ask(now, 0)))
        d.use(now, 0)
    assert {u[0] < 300.0 for u in d.uses} == {True}
    return d.over()


def a_grant_made_smaller_while_in_use() -> float:
    d = Desk()
    d.holders[0].on_grant(1.0, d.answer(0.0, 0, d.ask(0.0, 0)))
    d.use(200.0, 0)
    for now in range(210, 1_000, 10):
        d.holders[1].on_grant(now, d.answer(now, 1, d.ask(now, 1)))
        d.use(now, 1)
        d.holders[0].on_grant(now, d.answer(now, 0, d.ask(now, 0)))
    return d.over()


class Booth:
    """Three voters, two candidates, words by hand."""

    def __init__(self) -> None:
        self.voters = {v: self.voter(-1e6) for v in range(3)}
        self.a, self.b = (vote_module.Candidate(n, n + 1, (0, 1, 2), TIGHT, lambda: 0.0, -1e6) for n in range(2))

    @staticmethod
    def voter(born: float) -> Any:
        return vote_module.Voter(TIGHT, born, vote_module.electorate_digest((0, 1, 2)))

    def stand(self, now: float, c: Any, voters: tuple[int, ...], answered: float | None = None) -> None:
        word = c.tick(now, 0)
        assert isinstance(word, VoteRequest)
        votes = {v: self.voters[v].on_vote_request(now, c.controller_id, word) for v in voters}
        for v, vote in votes.items():
            c.on_vote_reply(now if answered is None else answered, v, vote)

    def both(self, now: float) -> float:
        return float(self.a.is_leader(now) and self.b.is_leader(now))


def a_voter_that_starts_anew() -> float:
    b = Booth()
    b.stand(0.0, b.a, (0, 2))
    b.voters[2] = b.voter(100.0)
    b.stand(110.0, b.b, (1, 2))
    return b.both(120.0)


def votes_that_come_late() -> float:
    b = Booth()
    b.stand(0.0, b.a, (0, 1, 2), answered=350.0)
    b.stand(415.0, b.b, (0, 1, 2))
    return b.both(420.0)


def votes_behind_a_quit() -> float:
    b = Booth()
    word = b.a.tick(0.0, 0)
    assert isinstance(word, VoteRequest)
    votes = {v: b.voters[v].on_vote_request(0.0, 0, word) for v in (1, 2)}
    quit = b.a.give_up_candidacy()
    for v in (1, 2):
        b.voters[v].on_vote_release(0, quit)
    b.stand(10.0, b.b, (1, 2))
    for v, vote in votes.items():
        b.a.on_vote_reply(20.0, v, vote)
    return b.both(20.0)


SCENES = [
    an_answer_that_comes_late,
    a_use_that_would_outlast_its_grant,
    an_older_answer_after_a_newer,
    a_renewal_of_what_was_over,
    a_divider_that_goes_on_with_what_holders_have,
    a_grant_made_smaller_while_in_use,
    a_voter_that_starts_anew,
    votes_that_come_late,
    votes_behind_a_quit,
]


@pytest.mark.parametrize("scene", SCENES, ids=lambda f: f.__name__)
def test_a_scene_keeps_the_sum(scene: Callable[[], float]) -> None:
    assert scene() == 0


# ---- planted mistakes ---------------------------------------------------------------------------------------


def counted_from_the_answer(m: pytest.MonkeyPatch) -> None:
    real = QuotaClient.on_grant

    def on_grant(self: QuotaClient, now: float, word: CapacityGrant) -> bool:
        if word.round in self.pending:
            self.pending[word.round] = (now, self.pending[word.round][1])
        return real(self, now, word)

    m.setattr(QuotaClient, "on_grant", on_grant)


def margin_on_the_wrong_side(m: pytest.MonkeyPatch) -> None:
    m.setattr(QuotaLimits, "usable_ms", lambda self, span: span * 1.3)


def lends_without_learning(m: pytest.MonkeyPatch) -> None:
    def begin_term(self: QuotaAllocator, now: float, first: int = 0) -> None:
        self.started_at_ms, self.first_round, self.ledgers, self.inherited = now - 1e6, first, {}, {}

    m.setattr(QuotaAllocator, "begin_term", begin_term)


def a_former_life_forgotten(m: pytest.MonkeyPatch) -> None:
    real = QuotaAllocator.grant_row

    def grant_row(self: QuotaAllocator, now: float, sender: int, word: CapacityRequest, row: Any) -> Any:
        book = self.ledgers.get((row[0], row[1]), {})
        for who in [w for w in book if w[0] == sender and w[1] != word.incarnation]:
            del book[who]
        return real(self, now, sender, word, row)

    m.setattr(QuotaAllocator, "grant_row", grant_row)


def floor_at_once(m: pytest.MonkeyPatch) -> None:
    m.setattr(QuotaClient, "floor", lambda self, now, budget: budget.floor)


def votes_at_once(m: pytest.MonkeyPatch) -> None:
    real = vote_module.Voter.on_vote_request

    def asked(self: Any, now: float, candidate: int, word: VoteRequest) -> VoteReply:
        self.started_at = -1e12
        return real(self, now, candidate, word)

    m.setattr(vote_module.Voter, "on_vote_request", asked)


def answers_in_any_order(m: pytest.MonkeyPatch) -> None:
    real = QuotaClient.on_grant

    def on_grant(self: QuotaClient, now: float, word: CapacityGrant) -> bool:
        for a in self.accounts.values():
            a.round = -1
        return real(self, now, word)

    m.setattr(QuotaClient, "on_grant", on_grant)


def uses_outlast_the_grant(m: pytest.MonkeyPatch) -> None:
    def available(self: QuotaClient, now: float, budget: Budget, subject: int = 0) -> int:
        a = self.account(now, budget, subject)
        assert a
        return max(0, self.floor(now, budget) + (a.granted if now < a.expires_at_ms else 0) - a.count(now, a.uses))

    m.setattr(QuotaClient, "available", available)


def what_is_in_use_not_said(m: pytest.MonkeyPatch) -> None:
    real = QuotaClient.request_row

    def request_row(self: QuotaClient, now: float, key: Any) -> Any:
        budget, subject, wanted, have, _, taken = real(self, now, key)
        return budget, subject, wanted, have, have, taken

    m.setattr(QuotaClient, "request_row", request_row)


def answers_on_their_way_forgotten(m: pytest.MonkeyPatch) -> None:
    real = QuotaAllocator.settle

    def settle(self: QuotaAllocator, now: float, life: Any, taken: int, held: int, learning: float | None) -> None:
        real(self, now, life, taken, held, learning)
        life.grants = [e for e in life.grants if e[0] <= taken]

    m.setattr(QuotaAllocator, "settle", settle)


def a_word_to_a_former_office_counts(m: pytest.MonkeyPatch) -> None:
    real = QuotaAllocator.on_request

    def on_request(self: QuotaAllocator, now: float, sender: int, word: CapacityRequest) -> CapacityGrant:
        return real(
            self,
            now,
            sender,
            CapacityRequest(word.incarnation, word.round, self.incarnation, self.first_round, word.rows),
        )

    m.setattr(QuotaAllocator, "on_request", on_request)


def what_a_predecessor_lent_counts_twice(m: pytest.MonkeyPatch) -> None:
    real = QuotaAllocator.grant_row

    def grant_row(self: QuotaAllocator, now: float, sender: int, word: CapacityRequest, row: Any) -> Any:
        self.ledgers.get((row[0], row[1]), {}).pop(
            (sender, word.incarnation), None
        )  # as if it were heard of anew each time
        return real(self, now, sender, word, row)

    m.setattr(QuotaAllocator, "grant_row", grant_row)


def half_is_enough(m: pytest.MonkeyPatch) -> None:
    m.setattr(vote_module.Candidate, "majority", property(lambda self: len(self.voters) // 2))


def office_kept_over_a_sleep(m: pytest.MonkeyPatch) -> None:
    m.setattr(
        QuotaManager,
        "is_allocating",
        lambda self, now: (
            self.allocator.started_at_ms is not None
            or (self.candidate.is_leader(now) and (self.allocator.begin_term(now) or True))
        ),
    )


def lent_again_by_the_new_figure(m: pytest.MonkeyPatch) -> None:
    m.setattr(divider_module.ClientState, "outstanding", lambda self, now: self.grants[-1][1] if self.grants else 0)


def votes_counted_after_a_quit(m: pytest.MonkeyPatch) -> None:
    def give_up(self: Any) -> Any:
        self.votes_until.clear()
        return vote_module.VoteRelease(self.incarnation, self.round)

    m.setattr(vote_module.Candidate, "give_up_candidacy", give_up)


def an_office_votes_come_late_for(m: pytest.MonkeyPatch) -> None:
    real = vote_module.Candidate.on_vote_reply

    def voted(self: Any, now: float, voter: int, word: VoteReply) -> None:
        real(self, now, voter, word)
        if word.is_granted and word.incarnation == self.incarnation:
            self.votes_until[voter] = now + self.timings.vote_lease_ms  # from the answer, not from the question

    m.setattr(vote_module.Candidate, "on_vote_reply", voted)


MISTAKES: list[Callable[[pytest.MonkeyPatch], None]] = [
    counted_from_the_answer,
    margin_on_the_wrong_side,
    lends_without_learning,
    a_former_life_forgotten,
    floor_at_once,
    votes_at_once,
    answers_in_any_order,
    uses_outlast_the_grant,
    what_is_in_use_not_said,
    answers_on_their_way_forgotten,
    a_word_to_a_former_office_counts,
    what_a_predecessor_lent_counts_twice,
    half_is_enough,
    office_kept_over_a_sleep,
    lent_again_by_the_new_figure,
    votes_counted_after_a_quit,
    an_office_votes_come_late_for,
]


@pytest.mark.parametrize("mistake", MISTAKES, ids=lambda f: f.__name__)
def test_a_planted_mistake_is_found(mistake: Callable[[pytest.MonkeyPatch], None], monkeypatch: Any) -> None:
    mistake(monkeypatch)
    assert any(scene() > 0 for scene in SCENES) or any(over(world(seed)) > 0 for seed in range(60))
