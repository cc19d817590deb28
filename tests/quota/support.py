"""Simulations of quota clients and allocators, and single components that tests drive step by step."""

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
LONG_AGO_MS = -1e6
VOTERS = (0, 1, 2)


def run_simulation(seed: int, controllers: int = 4, until_ms: float = 20_000.0) -> World:
    """Run a simulation with faults, little capacity, high demand and short leases, so that many events occur."""
    budgets = {
        "moves": Budget("moves", 7, 1, controllers, 300.0),
        "cold": Budget("cold", 2, 0, controllers, 900.0, BudgetScope.HOST),
    }
    rng = random.Random(f"wishes {seed}")

    def demand(now_ms: float, controller: int) -> list[tuple[str, int]]:
        demand_level = random.Random(f"{seed} {int(now_ms // 2000.0)} {controller}").random()
        wanted = [("moves", 0)] * (rng.random() < demand_level) + [("cold", rng.randrange(2))] * (rng.random() < 0.3)
        return wanted * (1 + (demand_level > 0.7))

    world = World(seed, controllers, controllers, budgets, LIMITS, demand)
    if seed % 2:  # bad links throughout: messages are lost, repeated, or arrive after grants have expired
        world.usual = world.rest = Way(loss=0.1, repeat=0.3, mean=rng.choice((20.0, 60.0, 120.0)))
    troubled(world, until_ms, longest=2_500.0)
    world.run(until_ms)
    return world


def ms_over_capacity(world: World) -> float:
    """Return for how many ms more than the capacity of any budget was in use."""
    return float(sum(row["over_ms"] for row in most(world.uses, CAPACITIES)))


class Exchange:
    """Two clients and an allocator; a test decides who sends what at which time, and which answer arrives."""

    def __init__(self) -> None:
        self.allocator = QuotaAllocator(LIMITS, {BUDGET.id: BUDGET})
        self.allocator.begin_term(LONG_AGO_MS)
        self.clients = [QuotaClient(number + 1, LIMITS, LONG_AGO_MS) for number in range(2)]
        self.uses: list[Use] = []

    def elect(self, now_ms: float) -> None:
        """Begin the term of another allocator, whose first message all clients have received."""
        self.allocator = QuotaAllocator(LIMITS, {BUDGET.id: BUDGET}, self.allocator.incarnation + 1)
        self.allocator.begin_term(now_ms, 1)

    def request(self, now_ms: float, number: int, demand: int = 7) -> CapacityRequest:
        """Return a request of a client, whether or not one is due."""
        client = self.clients[number]
        if demand:
            client.record_unmet(now_ms, BUDGET, 0, demand)
        for account in client.accounts.values():
            account.requested_at_ms = float("-inf")
        return client.due_requests(now_ms, self.allocator.incarnation, self.allocator.first_round)[0]

    def answer(self, now_ms: float, number: int, request: CapacityRequest) -> CapacityGrant:
        """Return the answer of the allocator to a client."""
        return self.allocator.on_request(now_ms, number, request)

    def request_and_accept(self, now_ms: float, number: int) -> None:
        """Send a request of a client, which accepts the answer at once."""
        self.clients[number].on_grant(now_ms, self.answer(now_ms, number, self.request(now_ms, number)))

    def use(self, now_ms: float, number: int) -> None:
        """Let a client acquire all available units."""
        while self.clients[number].acquire(now_ms, BUDGET):
            self.uses.append((now_ms, now_ms + BUDGET.hold_ms, BUDGET.name, 0, 1))

    def ms_over_capacity(self) -> float:
        """Return for how many ms more than the capacity was in use."""
        return float(most(self.uses, {BUDGET.name: BUDGET.capacity})[0]["over_ms"])


class Election:
    """Three voters and two candidates, driven step by step by a test."""

    def __init__(self) -> None:
        self.voters = {number: self.new_voter(LONG_AGO_MS) for number in VOTERS}
        self.first, self.second = (
            voting.Candidate(number, number + 1, VOTERS, LIMITS, lambda: 0.0, LONG_AGO_MS) for number in range(2)
        )

    @staticmethod
    def new_voter(started_at_ms: float) -> voting.Voter:
        """Return a voter whose process started at that time."""
        return voting.Voter(LIMITS, started_at_ms, voting.electorate_digest(VOTERS))

    def request_votes(
        self, now_ms: float, candidate: voting.Candidate, voters: tuple[int, ...], answered_at_ms: float | None = None
    ) -> None:
        """Let a candidate request votes of some voters; their replies arrive at `answered_at_ms`, or at once."""
        request = candidate.tick(now_ms, 0)
        assert isinstance(request, VoteRequest)
        votes = {
            number: self.voters[number].on_vote_request(now_ms, candidate.controller_id, request) for number in voters
        }
        for number, vote in votes.items():
            candidate.on_vote_reply(now_ms if answered_at_ms is None else answered_at_ms, number, vote)

    def has_two_leaders(self, now_ms: float) -> float:
        """Return 1 if both candidates are leader at that instant."""
        return float(self.first.is_leader(now_ms) and self.second.is_leader(now_ms))


def instants_ms(step: int, first: int, end: int) -> Iterator[float]:
    """Yield the instants in ms from `first` to before `end`."""
    yield from map(float, range(first, end, step))
