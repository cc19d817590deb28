"""Simulated worlds of quota clients and allocators, and parts of them that tests drive by hand."""

from __future__ import annotations

import random
from collections.abc import Iterator

from corallanding.lab.stewards.world import Way, World, troubled
from corallanding.lab.uses import Use, most
from corallanding.lease import voting
from corallanding.quota import (
    Budget,
    BudgetScope,
    CapacityGrant,
    CapacityRequest,
    QuotaAllocator,
    QuotaClient,
    QuotaLimits,
    VoteRequest,
)

LIMITS = QuotaLimits(lease_ms=500.0, vote_lease_ms=400.0)
CAPACITIES = {"moves": 7, "cold": 2}
BUDGET = Budget("moves", 7, 0, 3, 300.0)
LONG_AGO = -1e6
VOTERS = (0, 1, 2)


def play_world(seed: int, controllers: int = 4, until: float = 20_000.0) -> World:
    """A world of faults with little capacity, great demand and short leases, so that much happens in little time."""
    budgets = {
        "moves": Budget("moves", 7, 1, controllers, 300.0),
        "cold": Budget("cold", 2, 0, controllers, 900.0, BudgetScope.HOST),
    }
    chance = random.Random(f"wishes {seed}")

    def demand(now_ms: float, controller: int) -> list[tuple[str, int]]:
        greed = random.Random(f"{seed} {int(now_ms // 2000.0)} {controller}").random()
        wanted = [("moves", 0)] * (chance.random() < greed) + [("cold", chance.randrange(2))] * (chance.random() < 0.3)
        return wanted * (1 + (greed > 0.7))

    world = World(seed, controllers, controllers, budgets, LIMITS, demand)
    if seed % 2:  # links that are bad all day: messages are lost, repeated, or arrive after grants have expired
        world.usual = world.rest = Way(loss=0.1, repeat=0.3, mean=chance.choice((20.0, 60.0, 120.0)))
    troubled(world, until, longest=2_500.0)
    world.run(until)
    return world


def ms_over_capacity(world: World) -> float:
    """For how long more than the capacity of any budget was in use."""
    return float(sum(row["over_ms"] for row in most(world.uses, CAPACITIES)))


class Exchange:
    """Two clients and an allocator by hand: a test decides who sends what when, and which answer arrives."""

    def __init__(self) -> None:
        self.allocator = QuotaAllocator(LIMITS, {BUDGET.id: BUDGET})
        self.allocator.begin_term(LONG_AGO)
        self.clients = [QuotaClient(number + 1, LIMITS, LONG_AGO) for number in range(2)]
        self.uses: list[Use] = []

    def elect(self, now_ms: float) -> None:
        """Another allocator begins its term, and all have received its first message."""
        self.allocator = QuotaAllocator(LIMITS, {BUDGET.id: BUDGET}, self.allocator.incarnation + 1)
        self.allocator.begin_term(now_ms, 1)

    def request(self, now_ms: float, number: int, demand: int = 7) -> CapacityRequest:
        """What a client sends, whether or not it is due."""
        client = self.clients[number]
        if demand:
            client.record_unmet(now_ms, BUDGET, 0, demand)
        for account in client.accounts.values():
            account.requested_at_ms = float("-inf")
        return client.due_requests(now_ms, self.allocator.incarnation, self.allocator.first_round)[0]

    def answer(self, now_ms: float, number: int, request: CapacityRequest) -> CapacityGrant:
        """What the allocator answers to a client."""
        return self.allocator.on_request(now_ms, number, request)

    def exchange(self, now_ms: float, number: int) -> None:
        """A client requests, and takes the answer at once."""
        self.clients[number].on_grant(now_ms, self.answer(now_ms, number, self.request(now_ms, number)))

    def use(self, now_ms: float, number: int) -> None:
        """A client acquires all that it may."""
        while self.clients[number].acquire(now_ms, BUDGET):
            self.uses.append((now_ms, now_ms + BUDGET.hold_ms, BUDGET.name, 0, 1))

    def ms_over_capacity(self) -> float:
        """For how long more than the capacity was in use."""
        return float(most(self.uses, {BUDGET.name: BUDGET.capacity})[0]["over_ms"])


class Vote:
    """Three voters and two candidates by hand."""

    def __init__(self) -> None:
        self.voters = {number: self.new_voter(LONG_AGO) for number in VOTERS}
        self.first, self.second = (
            voting.Candidate(number, number + 1, VOTERS, LIMITS, lambda: 0.0, LONG_AGO) for number in range(2)
        )

    @staticmethod
    def new_voter(started_at: float) -> voting.Voter:
        """A voter whose process started then."""
        return voting.Voter(LIMITS, started_at, voting.electorate_digest(VOTERS))

    def stand(
        self, now_ms: float, candidate: voting.Candidate, voters: tuple[int, ...], answered_at: float | None = None
    ) -> None:
        """A candidate asks some voters; their votes arrive at `answered_at`, or at once."""
        request = candidate.tick(now_ms, 0)
        assert isinstance(request, VoteRequest)
        votes = {
            number: self.voters[number].on_vote_request(now_ms, candidate.controller_id, request) for number in voters
        }
        for number, vote in votes.items():
            candidate.on_vote_reply(now_ms if answered_at is None else answered_at, number, vote)

    def two_leaders(self, now_ms: float) -> float:
        """1 if both candidates hold the leadership at that instant."""
        return float(self.first.is_leader(now_ms) and self.second.is_leader(now_ms))


def every(step: int, first: int, end: int) -> Iterator[float]:
    """Instants from `first` to before `end`."""
    yield from map(float, range(first, end, step))
