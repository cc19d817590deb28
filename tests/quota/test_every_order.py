"""Every order of events in a small world: two clients, an allocator, two units; messages are lost, late or swapped."""

from __future__ import annotations

import copy
from enum import Enum
from typing import NamedTuple

import pytest

from corallanding.quota import Budget, CapacityGrant, CapacityRequest, QuotaAllocator, QuotaClient, QuotaLimits
from tests.quota import mistakes

# A grant of two steps and a use of one and a half: a few steps see grants expire, and uses that would outlast them.
LIMITS = QuotaLimits(lease_ms=50.0, vote_lease_ms=100.0, max_clock_drift=0.0)
BUDGET = Budget("moves", 2, 0, 2, 150.0)
STEP_MS = 100.0
DEPTH = 8
MAX_REQUESTS = 2  # on their way at once


class Event(Enum):
    """What can happen next; the number beside it is of a client, or of a message on its way."""

    TIME = "time"
    REQUEST = "request"
    REQUEST_ARRIVES = "request arrives"
    GRANT_ARRIVES = "grant arrives"
    USE = "use"


class Move(NamedTuple):
    """An event, and with which client or message."""

    event: Event
    number: int


class SmallWorld:
    """Two clients, an allocator, and the messages between them."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self.allocator = QuotaAllocator(LIMITS, {BUDGET.id: BUDGET})
        self.allocator.begin_term(-1e6)
        self.clients = [QuotaClient(1, LIMITS, -1e6), QuotaClient(2, LIMITS, -1e6)]
        self.requests: list[tuple[int, CapacityRequest]] = []
        self.grants: list[tuple[int, CapacityGrant]] = []
        self.use_ends: list[float] = []

    def in_use(self) -> int:
        """How many units are in use now."""
        return sum(end > self.now_ms for end in self.use_ends)

    def moves(self) -> list[Move]:
        """What can happen next. A message that never arrives is lost: that needs no move of its own."""
        moves = [Move(Event.TIME, 0)]
        moves += [Move(Event.REQUEST, client) for client in range(2) if len(self.requests) < MAX_REQUESTS]
        moves += [Move(Event.REQUEST_ARRIVES, index) for index in range(len(self.requests))]
        moves += [Move(Event.GRANT_ARRIVES, index) for index in range(len(self.grants))]
        return moves + [Move(Event.USE, client) for client in range(2)]

    def play(self, move: Move) -> bool:
        """Make it happen. False if nothing came of it."""
        match move.event:
            case Event.TIME:
                self.now_ms += STEP_MS
                self.use_ends = [end for end in self.use_ends if end > self.now_ms]
            case Event.REQUEST:
                return self._request(move.number)
            case Event.REQUEST_ARRIVES:
                sender, request = self.requests.pop(move.number)
                self.grants.append((sender, self.allocator.on_request(self.now_ms, sender, request)))
            case Event.GRANT_ARRIVES:
                receiver, grant = self.grants.pop(move.number)
                self.clients[receiver].on_grant(self.now_ms, grant)
            case Event.USE:
                return self._use(move.number)
        return True

    def _request(self, number: int) -> bool:
        client = self.clients[number]
        if not client.accounts:
            client.record_unmet(self.now_ms, BUDGET, 0, 2)
        for account in client.accounts.values():
            account.requested_at_ms = float("-inf")
        requests = client.due_requests(self.now_ms)
        self.requests += [(number, request) for request in requests]
        return bool(requests)

    def _use(self, number: int) -> bool:
        available = self.clients[number].available(self.now_ms, BUDGET)
        if not available:
            return False
        assert self.clients[number].acquire(self.now_ms, BUDGET, 0, available)
        self.use_ends += [self.now_ms + BUDGET.hold_ms] * available
        return True

    def key(self) -> str:
        """Two worlds of one key go on alike."""
        ledgers = [
            (client, state.round, state.wanted, state.reported_at_ms, sorted(state.grants))
            for ledger in self.allocator.ledgers.values()
            for client, state in sorted(ledger.items())
        ]
        clients = [
            (
                client.round,
                [
                    (a.granted, a.expires_at_ms, a.round, a.uses.buckets, a.unmet.buckets, a.peak, a.peak_at_ms)
                    for a in client.accounts.values()
                ],
                sorted((round_, request.sent_at_ms) for round_, request in client.pending.items()),
            )
            for client in self.clients
        ]
        return repr((self.now_ms, ledgers, clients, self.requests, self.grants, sorted(self.use_ends)))


class Explored(NamedTuple):
    """Worlds seen, and the most that was in use in any of them."""

    worlds: int
    most_in_use: int


def explore(depth: int, start: SmallWorld) -> Explored:
    """Every world that so many moves lead to; it stops at the first that exceeds the capacity."""
    seen = {start.key()}
    most_in_use = 0
    layer = [start]
    for _ in range(depth):
        next_layer: list[SmallWorld] = []
        for world in layer:
            for move in world.moves():
                changed = copy.deepcopy(world)
                if not changed.play(move):
                    continue
                most_in_use = max(most_in_use, changed.in_use())
                if most_in_use > BUDGET.capacity:
                    return Explored(len(seen), most_in_use)
                key = changed.key()
                if key not in seen:
                    seen.add(key)
                    next_layer.append(changed)
        layer = next_layer
    return Explored(len(seen), most_in_use)


def world_after(moves: tuple[Move, ...]) -> SmallWorld:
    world = SmallWorld()
    for move in moves:
        assert world.play(move), move
    return world


FIRST_GRANT_ON_ITS_WAY = (Move(Event.REQUEST, 0), Move(Event.REQUEST_ARRIVES, 0))
# The first client has both units, and the second wants some.
BOTH_GRANTED = (
    *FIRST_GRANT_ON_ITS_WAY,
    Move(Event.GRANT_ARRIVES, 0),
    Move(Event.REQUEST, 1),
    Move(Event.REQUEST_ARRIVES, 0),
)
# The first client's first grant is late; it took a second one, of fewer units, and the allocator has heard so.
FIRST_GRANT_LATE = (
    *FIRST_GRANT_ON_ITS_WAY,
    Move(Event.REQUEST, 1),
    Move(Event.REQUEST_ARRIVES, 0),
    Move(Event.REQUEST, 0),
    Move(Event.REQUEST_ARRIVES, 0),
    Move(Event.GRANT_ARRIVES, 2),
    Move(Event.REQUEST, 0),
    Move(Event.REQUEST_ARRIVES, 0),
)
STARTS = {"on its way": FIRST_GRANT_ON_ITS_WAY, "both granted": BOTH_GRANTED, "late": FIRST_GRANT_LATE}


@pytest.mark.parametrize("start", STARTS)
def test_use_when_events_come_in_any_order_then_the_capacity_is_reached_and_not_exceeded(start: str) -> None:
    explored = explore(DEPTH - 1, world_after(STARTS[start]))
    assert explored.most_in_use == BUDGET.capacity, "both units are used in some order, and never three"
    assert explored.worlds > 2_000


FOUND_FROM = {
    mistakes.count_grants_from_the_answer: "on its way",
    mistakes.let_uses_outlast_the_grant: "on its way",
    mistakes.take_grants_in_any_order: "late",
    mistakes.count_only_the_last_grant: "both granted",
}


@pytest.mark.parametrize("mistake", FOUND_FROM, ids=lambda mistake: mistake.__name__)
def test_use_when_a_mistake_is_planted_then_some_order_exceeds_the_capacity(
    mistake: mistakes.Mistake, monkeypatch: pytest.MonkeyPatch
) -> None:
    mistake(monkeypatch)
    assert explore(DEPTH, world_after(STARTS[FOUND_FROM[mistake]])).most_in_use > BUDGET.capacity
