"""Who is a steward now: found, suspected, dead, back, left; one's own slowness; liars, floods and twins."""

from __future__ import annotations

import random
from typing import Any

import pytest

from corallanding.lab.stewards.world import Way, World
from corallanding.membership import (
    Ack,
    Membership,
    MembershipConfig,
    MemberState,
    MemberStateChanged,
    Ping,
    PingRequest,
    decode,
    encode,
)
from corallanding.membership.messages import MAX_UPDATES
from corallanding.quota import QuotaLimits
from corallanding.wire.peer_messages import OutgoingMessage


def world(seed: int, numbers: int, first: int | None = None) -> World:
    return World(seed, numbers, 3, {}, QuotaLimits(), lambda t, n: [], first, static=True)


def views(w: World) -> dict[int, list[int]]:
    return {n: p.members.alive_members() for n, p in w.processes.items()}


def until(w: World, wanted: Any, most: float) -> float:
    """ms until it is so."""
    begun = w.now
    while not wanted(views(w)):
        assert w.now - begun < most, views(w)
        w.run(w.now + 50.0)
    return w.now - begun


@pytest.mark.parametrize("numbers", [2, 5, 40])
def test_all_find_each_other_and_one_that_dies_is_missed(numbers: int) -> None:
    w = world(numbers, numbers)
    everyone = list(range(numbers))
    until(w, lambda v: all(x == everyone for x in v.values()), 20_000.0)
    w.kill(1)
    rest = [n for n in everyone if n != 1]
    until(w, lambda v: all(x == rest for x in v.values()), 30_000.0)
    w.start(1)
    until(w, lambda v: all(x == everyone for x in v.values()), 20_000.0)
    assert not any(p.members.view.duplicates_seen > 3 for p in w.processes.values()), "a restart is no twin"


def test_a_third_of_all_datagrams_lost_kills_nobody() -> None:
    w = world(1, 7)
    w.run(5_000.0)
    w.usual = Way(loss=0.3)
    w.run(65_000.0)
    dead = [row for row in w.seen if row[3] == MemberState.DEAD]
    assert not dead, dead


def test_one_that_slept_does_not_take_the_others_for_dead() -> None:
    w = world(2, 5)
    w.run(5_000.0)
    w.stop(0)
    w.run(35_000.0)
    assert all(0 not in v for n, v in views(w).items() if n), "the others did without it"
    at = w.now
    w.wake(0)
    until(w, lambda v: all(len(x) == 5 for x in v.values()), 15_000.0)
    assert not [row for row in w.seen if row[0] >= at and row[1] == 0 and row[3] == MemberState.DEAD]


def test_two_halves_find_together_again_and_one_way_is_not_two() -> None:
    w = world(3, 6)
    w.run(5_000.0)
    w.part({0, 1})
    until(w, lambda v: v[0] == [0, 1] and v[5] == [2, 3, 4, 5], 30_000.0)
    w.heal()
    until(w, lambda v: all(len(x) == 6 for x in v.values()), 30_000.0)
    for n in range(1, 6):  # nothing from 0 reaches the rest, but it hears all
        w.ways[0, n] = Way(cut=True)
    until(w, lambda v: all(0 not in x for n, x in v.items() if n), 30_000.0)
    w.heal()
    until(w, lambda v: all(len(x) == 6 for x in v.values()), 30_000.0)


def test_a_planned_end_is_known_at_once() -> None:
    w = world(4, 9)
    w.run(8_000.0)
    p = w.processes[3]
    w.act(3, p.members.leave())
    w.kill(3)
    took = until(w, lambda v: all(3 not in x for x in v.values()), 5_000.0)
    assert took < 2_500.0
    assert {row[3] for row in w.seen if row[2] == 3 and row[0] > 8_000.0} == {MemberState.LEFT}


def members(others: int = 3) -> Membership:
    return Membership(0, range(1, others + 1), 77, MembershipConfig(), random.Random(1).random, 0.0)


def test_nonsense_floods_and_strangers_cost_a_counted_refusal() -> None:
    m = members()
    assert m.on_message(0.0, 9, Ping(1, 5, 1, [])) == [] and m.rejected == 1, "a number that nobody has"
    assert m.on_message(0.0, 1, Ping(1, 5, 0, [])) == [] and m.rejected == 2, "an incarnation that cannot be"
    assert m.on_message(0.0, 1, Ping(1, 5, 1 << 40, [])) == []
    assert m.rejected == 3
    assert not [a for a in m.on_message(0.0, 1, Ping(1, 5, 1, [], target=2)) if isinstance(a, OutgoingMessage)], (
        "meant for another"
    )
    before = m.rejected
    for _ in range(1_000):
        m.on_message(1.0, 2, Ping(1, 5, 1, []))
    assert m.rejected - before > 900
    assert m.state_of(2) == MemberState.ALIVE
    for word in (Ping(1, 2, 3, [(1, 2, 3)] * (MAX_UPDATES + 1)), Ack(1, 2, 3, [])):
        assert (decode(encode(word)) is None) == bool(word.updates)
    wide = PingRequest(2**32, 2**62, 2**32 - 1, [(65_535, 4, 2**32 - 1)] * MAX_UPDATES, 65_535)
    assert len(encode(wide)) <= 255


def test_a_lie_on_us_is_outbid_and_an_old_one_passed_over() -> None:
    m = members()
    m.on_message(0.0, 1, Ping(1, 5, 1, [(0, MemberState.DEAD, 1)]))
    assert m.view.incarnation == 2
    m.on_message(1.0, 1, Ping(2, 5, 1, [(0, MemberState.SUSPECT, 1)]))
    assert m.view.incarnation == 2, "that was answered already"
    m.on_message(2.0, 1, Ping(3, 5, 1, [(0, MemberState.ALIVE, 9)]))
    assert m.view.incarnation == 10 and m.view.duplicates_seen == 1, (
        "another process speaks under our number, or our former life did"
    )


def test_late_news_of_a_former_incarnation_changes_nothing() -> None:
    m = members()
    m.on_message(0.0, 1, Ping(1, 5, 1, [(2, MemberState.ALIVE, 7)]))
    assert MemberStateChanged(2, MemberState.SUSPECT) in m.on_message(
        1.0, 1, Ping(2, 5, 1, [(2, MemberState.SUSPECT, 7)])
    )
    assert MemberStateChanged(2, MemberState.ALIVE) in m.on_message(2.0, 1, Ping(3, 5, 1, [(2, MemberState.ALIVE, 8)]))
    m.on_message(3.0, 1, Ping(4, 5, 1, [(2, MemberState.DEAD, 7), (2, MemberState.SUSPECT, 6)]))
    assert m.state_of(2) == MemberState.ALIVE


def test_same_seed_same_words() -> None:
    assert world(5, 5).seen == world(5, 5).seen
    a, b = world(6, 5), world(6, 5)
    a.run(9_000.0)
    b.run(9_000.0)
    assert a.seen == b.seen
    assert a.sent == b.sent
