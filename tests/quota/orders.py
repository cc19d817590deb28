"""Orders of events that may violate the capacity or the uniqueness of the leader.

Each function returns for how many ms the capacity was exceeded, or 1 if there were two leaders.
"""

from __future__ import annotations

from collections.abc import Callable

from corallanding.quota import VoteRequest
from tests.quota.support import VOTERS, Election, Exchange, instants_ms


def grant_that_arrives_late() -> float:
    exchange = Exchange()
    grant = exchange.answer(1.0, 0, exchange.request(0.0, 0))
    exchange.clients[0].on_grant(500.0, grant)
    for now_ms in instants_ms(20, 500, 1_400):
        exchange.use(now_ms, 0)
        exchange.request_and_accept(now_ms, 1)
        exchange.use(now_ms, 1)
    return exchange.ms_over_capacity()


def use_that_would_outlast_its_grant() -> float:
    exchange = Exchange()
    exchange.clients[0].on_grant(1.0, exchange.answer(0.0, 0, exchange.request(0.0, 0)))
    exchange.use(700.0, 0)
    for now_ms in instants_ms(20, 820, 1_000):
        exchange.request_and_accept(now_ms, 1)
        exchange.use(now_ms, 1)
    return exchange.ms_over_capacity()


def older_grant_after_a_newer() -> float:
    exchange = Exchange()
    late = exchange.answer(1.0, 0, exchange.request(0.0, 0))
    exchange.answer(2.0, 1, exchange.request(2.0, 1))
    exchange.clients[0].on_grant(4.0, exchange.answer(3.0, 0, exchange.request(3.0, 0)))
    exchange.answer(6.0, 0, exchange.request(5.0, 0))  # reports that the second grant was taken
    for now_ms in instants_ms(20, 10, 400):
        exchange.request_and_accept(now_ms, 1)
        exchange.use(now_ms, 1)
    exchange.clients[0].on_grant(400.0, late)
    exchange.use(400.0, 0)
    return exchange.ms_over_capacity()


def renewal_of_an_expired_grant() -> float:
    exchange = Exchange()
    exchange.clients[0].on_grant(1.0, exchange.answer(0.0, 0, exchange.request(0.0, 0)))
    late = exchange.request(780.0, 0)
    exchange.clients[1].on_grant(830.0, exchange.answer(829.0, 1, exchange.request(828.0, 1)))
    exchange.elect(831.0)
    grant = exchange.answer(840.0, 0, late)
    exchange.clients[0].on_grant(845.0, grant)
    exchange.use(850.0, 0)
    exchange.use(850.0, 1)
    return exchange.ms_over_capacity()


def allocator_that_continues_from_reports() -> float:
    """A new allocator grants only the reported capacity before its predecessor's other grants have expired."""
    exchange = Exchange()
    exchange.clients[0].on_grant(1.0, exchange.answer(0.0, 0, exchange.request(0.0, 0, 3)))
    unreported = exchange.answer(
        3.0, 1, exchange.request(2.0, 1)
    )  # for a client that sends nothing to the new allocator
    exchange.clients[1].on_grant(4.0, unreported)
    exchange.elect(5.0)
    exchange.use(6.0, 1)
    for now_ms in instants_ms(10, 10, 300):
        exchange.request_and_accept(now_ms, 0)
        exchange.use(now_ms, 0)
    assert {use[0] < 300.0 for use in exchange.uses} == {True}
    return exchange.ms_over_capacity()


def grant_made_smaller_while_in_use() -> float:
    exchange = Exchange()
    exchange.clients[0].on_grant(1.0, exchange.answer(0.0, 0, exchange.request(0.0, 0)))
    exchange.use(200.0, 0)
    for now_ms in instants_ms(10, 210, 1_000):
        exchange.request_and_accept(now_ms, 1)
        exchange.use(now_ms, 1)
        exchange.request_and_accept(now_ms, 0)
    return exchange.ms_over_capacity()


def voter_that_restarts() -> float:
    election = Election()
    election.request_votes(0.0, election.first, (0, 2))
    election.voters[2] = election.new_voter(100.0)
    election.request_votes(110.0, election.second, (1, 2))
    return election.has_two_leaders(120.0)


def votes_that_arrive_late() -> float:
    election = Election()
    election.request_votes(0.0, election.first, VOTERS, answered_at_ms=350.0)
    election.request_votes(415.0, election.second, VOTERS)
    return election.has_two_leaders(420.0)


def votes_after_a_release() -> float:
    election = Election()
    request = election.first.tick(0.0, 0)
    assert isinstance(request, VoteRequest)
    votes = {number: election.voters[number].on_vote_request(0.0, 0, request) for number in (1, 2)}
    release = election.first.give_up_candidacy()
    for number in (1, 2):
        election.voters[number].on_vote_release(0, release)
    election.request_votes(10.0, election.second, (1, 2))
    for number, answer in votes.items():
        election.first.on_vote_reply(20.0, number, answer)
    return election.has_two_leaders(20.0)


ORDERS: list[Callable[[], float]] = [
    grant_that_arrives_late,
    use_that_would_outlast_its_grant,
    older_grant_after_a_newer,
    renewal_of_an_expired_grant,
    allocator_that_continues_from_reports,
    grant_made_smaller_while_in_use,
    voter_that_restarts,
    votes_that_arrive_late,
    votes_after_a_release,
]
