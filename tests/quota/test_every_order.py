"""Exhaustive search over orders of events with two clients, an allocator and two units.

Messages are lost, delayed or reordered.
"""

from __future__ import annotations

import copy
from enum import Enum
from typing import NamedTuple

import pytest

from corallanding.quota import Budget, CapacityGrant, CapacityRequest, QuotaAllocator, QuotaClient, QuotaLimits
from tests.quota import mistakes

# A grant lasts two steps and a use one and a half, so within a few steps grants expire, and uses could outlast them.
LIMITS = QuotaLimits(lease_ms=50.0, vote_lease_ms=100.0, max_clock_drift=0.0)
BUDGET = Budget("moves", 2, 0, 2, 150.0)
STEP_MS = 100.0
DEPTH = 8
MAX_REQUESTS = 2  # requests in transit at once


class Event(Enum):
    """What can happen next to a client, or to a message in transit."""

    TIME = "time"
    REQUEST = "request"
    REQUEST_ARRIVES = "request arrives"
    GRANT_ARRIVES = "grant arrives"
    USE = "use"


class Move(NamedTuple):
    """An event, and the number of its client or index of its message."""

    event: Event
    number: int


class SmallModel:
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
        """Return the number of units in use now."""
        return sum(end > self.now_ms for end in self.use_ends)

    def moves(self) -> list[Move]:
        """Return all possible moves. The loss of a message needs no move: it is a message that never arrives."""
        moves = [Move(Event.TIME, 0)]
        moves += [Move(Event.REQUEST, client) for client in range(2) if len(self.requests) < MAX_REQUESTS]
        moves += [Move(Event.REQUEST_ARRIVES, index) for index in range(len(self.requests))]
        moves += [Move(Event.GRANT_ARRIVES, index) for index in range(len(self.grants))]
        return moves + [Move(Event.USE, client) for client in range(2)]

    def apply(self, move: Move) -> bool:
        """Apply a move; return False if it has no effect."""
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

    def state_key(self) -> str:
        """Return a key that is equal only for models that behave alike from now on."""
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
                sorted((number, request.sent_at_ms) for number, request in client.pending.items()),
            )
            for client in self.clients
        ]
        return repr((self.now_ms, ledgers, clients, self.requests, self.grants, sorted(self.use_ends)))


class Explored(NamedTuple):
    """Result of a search: the number of distinct states, and the most units in use in any of them."""

    state_count: int
    most_in_use: int


def explore(depth: int, start: SmallModel) -> Explored:
    """Search all states reached by up to `depth` moves; stop at the first that exceeds the capacity."""
    seen = {start.state_key()}
    most_in_use = 0
    states = [start]
    for _ in range(depth):
        next_states: list[SmallModel] = []
        for model in states:
            for move in model.moves():
                changed = copy.deepcopy(model)
                if not changed.apply(move):
                    continue
                most_in_use = max(most_in_use, changed.in_use())
                if most_in_use > BUDGET.capacity:
                    return Explored(len(seen), most_in_use)
                state_key = changed.state_key()
                if state_key not in seen:
                    seen.add(state_key)
                    next_states.append(changed)
        states = next_states
    return Explored(len(seen), most_in_use)


def model_after(moves: tuple[Move, ...]) -> SmallModel:
    model = SmallModel()
    for move in moves:
        assert model.apply(move), move
    return model


FIRST_GRANT_IN_TRANSIT = (Move(Event.REQUEST, 0), Move(Event.REQUEST_ARRIVES, 0))
# The first client has both units, and the second wants some.
BOTH_GRANTED = (
    *FIRST_GRANT_IN_TRANSIT,
    Move(Event.GRANT_ARRIVES, 0),
    Move(Event.REQUEST, 1),
    Move(Event.REQUEST_ARRIVES, 0),
)
# The first client's first grant is late; it accepted a second one, of fewer units, and the allocator knows.
FIRST_GRANT_LATE = (
    *FIRST_GRANT_IN_TRANSIT,
    Move(Event.REQUEST, 1),
    Move(Event.REQUEST_ARRIVES, 0),
    Move(Event.REQUEST, 0),
    Move(Event.REQUEST_ARRIVES, 0),
    Move(Event.GRANT_ARRIVES, 2),
    Move(Event.REQUEST, 0),
    Move(Event.REQUEST_ARRIVES, 0),
)
STARTS = {"in transit": FIRST_GRANT_IN_TRANSIT, "both granted": BOTH_GRANTED, "late": FIRST_GRANT_LATE}


@pytest.mark.parametrize("start", STARTS)
def test_use_when_events_come_in_any_order_then_the_capacity_is_reached_and_not_exceeded(start: str) -> None:
    explored = explore(DEPTH - 1, model_after(STARTS[start]))
    assert explored.most_in_use == BUDGET.capacity, "some order uses both units, and none uses three"
    assert explored.state_count > 2_000


START_BY_MISTAKE = {
    mistakes.start_grant_lifetime_at_the_answer: "in transit",
    mistakes.let_uses_outlast_the_grant: "in transit",
    mistakes.accept_grants_in_any_order: "late",
    mistakes.count_only_the_last_grant: "both granted",
}


@pytest.mark.parametrize("mistake", START_BY_MISTAKE, ids=lambda mistake: mistake.__name__)
def test_use_when_a_mistake_is_planted_then_some_order_exceeds_the_capacity(
    mistake: mistakes.Mistake, monkeypatch: pytest.MonkeyPatch
) -> None:
    mistake(monkeypatch)
    assert explore(DEPTH, model_after(STARTS[START_BY_MISTAKE[mistake]])).most_in_use > BUDGET.capacity
