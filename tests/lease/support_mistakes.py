"""Mistakes that tests inject into the code. A scenario or a simulation with faults must detect each of them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from corallanding.lease import shard_allocator, voting
from corallanding.lease.fenced_resource import FencedResource
from corallanding.lease.lease_holder import LeaseHolder
from corallanding.lease.limits import LeaseTimings
from corallanding.lease.messages import (
    LeaseGrant,
    LeaseRequest,
)
from corallanding.lease.shard_allocator import ShardAllocator
from corallanding.lease.tasks import unpack


def lease_starts_at_the_reply(monkeypatch: pytest.MonkeyPatch) -> None:
    real = LeaseHolder.on_grant

    def on_grant(self: LeaseHolder, now_ms: float, message: LeaseGrant) -> bool:
        if message.round in self.requested_at_ms:
            self.requested_at_ms[message.round] = now_ms
        return real(self, now_ms, message)

    monkeypatch.setattr(LeaseHolder, "on_grant", on_grant)


def clock_margin_on_the_wrong_side(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(LeaseTimings, "usable_ms", lambda self, span: span * 1.3)


def grants_without_learning(monkeypatch: pytest.MonkeyPatch) -> None:
    real = ShardAllocator.grant

    def grant(self: ShardAllocator, *args: Any) -> LeaseGrant:
        self.learned_shards = -1
        return real(self, *args)

    monkeypatch.setattr(ShardAllocator, "grant", grant)


def previous_process_forgotten(monkeypatch: pytest.MonkeyPatch) -> None:
    real = ShardAllocator.on_request

    def on_request(self: ShardAllocator, now_ms: float, sender: int, message: LeaseRequest) -> LeaseGrant | None:
        for process in [key for key in self.leases if key[0] == sender and key[1] != message.incarnation]:
            del self.leases[process]
        return real(self, now_ms, sender, message)

    monkeypatch.setattr(ShardAllocator, "on_request", on_request)


def grants_applied_in_any_order(monkeypatch: pytest.MonkeyPatch) -> None:
    real = LeaseHolder.on_grant

    def on_grant(self: LeaseHolder, now_ms: float, message: LeaseGrant) -> bool:
        self.applied_round = -1
        return real(self, now_ms, message)

    monkeypatch.setattr(LeaseHolder, "on_grant", on_grant)


def actions_outlast_the_lease(monkeypatch: pytest.MonkeyPatch) -> None:
    def begin_action(self: LeaseHolder, now_ms: float, task: int) -> int:
        return self.fencing_token if self.holds(now_ms, task) else 0

    monkeypatch.setattr(LeaseHolder, "begin_action", begin_action)


def running_actions_not_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(LeaseHolder, "busy_shards", lambda self, now_ms: 0)


def grants_in_flight_forgotten(monkeypatch: pytest.MonkeyPatch) -> None:
    real = ShardAllocator.settle_grants

    def settle_grants(self: ShardAllocator, now_ms: float, leases: Any, applied_round: int, held: int) -> None:
        real(self, now_ms, leases, applied_round, held)
        leases.grants = [grant for grant in leases.grants if grant.round <= applied_round]

    monkeypatch.setattr(ShardAllocator, "settle_grants", settle_grants)


def request_to_a_previous_term_is_accepted(monkeypatch: pytest.MonkeyPatch) -> None:
    real = ShardAllocator.on_request

    def on_request(self: ShardAllocator, now_ms: float, sender: int, message: LeaseRequest) -> LeaseGrant | None:
        current_term = (self.epoch, self.first_round)
        return real(
            self,
            now_ms,
            sender,
            LeaseRequest(
                message.incarnation,
                message.round,
                *current_term,
                message.wanted_shards,
                message.held_shards,
                message.applied_round,
                message.tasks_digest,
            ),
        )

    monkeypatch.setattr(ShardAllocator, "on_request", on_request)


def half_of_the_votes_is_enough(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(voting.Candidate, "majority", property(lambda self: len(self.voters) // 2))


def only_the_last_grant_counts(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        shard_allocator.ProcessLeases, "leased_shards", lambda self, now_ms: self.grants[-1][1] if self.grants else 0
    )


def tokens_do_not_rise(monkeypatch: pytest.MonkeyPatch) -> None:
    real = ShardAllocator.grant

    def grant(self: ShardAllocator, *args: Any) -> LeaseGrant:
        message = real(self, *args)
        return LeaseGrant(
            message.incarnation,
            message.round,
            message.granted_shards,
            self.last_token if not unpack(message.granted_shards) else 1 << 40,
        )

    monkeypatch.setattr(ShardAllocator, "grant", grant)


def new_leader_restarts_tokens(monkeypatch: pytest.MonkeyPatch) -> None:
    real = ShardAllocator.begin_term
    monkeypatch.setattr(
        ShardAllocator, "begin_term", lambda self, now_ms, first, token: real(self, now_ms, first, 1 << 12)
    )


def resource_accepts_any_token(monkeypatch: pytest.MonkeyPatch) -> None:
    def accept(self: FencedResource, task: int, token: int) -> bool:
        self.highest_tokens[task] = max(token, self.highest_tokens.get(task, 0))
        return True

    monkeypatch.setattr(FencedResource, "accept", accept)


MISTAKES: list[Callable[[pytest.MonkeyPatch], None]] = [
    lease_starts_at_the_reply,
    clock_margin_on_the_wrong_side,
    grants_without_learning,
    previous_process_forgotten,
    grants_applied_in_any_order,
    actions_outlast_the_lease,
    running_actions_not_reported,
    grants_in_flight_forgotten,
    request_to_a_previous_term_is_accepted,
    half_of_the_votes_is_enough,
    only_the_last_grant_counts,
    tokens_do_not_rise,
    new_leader_restarts_tokens,
    resource_accepts_any_token,
]
