"""Mistakes that tests plant in the code, each to be found by a scene or a simulated day."""

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


def lease_counted_from_the_answer(monkeypatch: pytest.MonkeyPatch) -> None:
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


def former_process_forgotten(monkeypatch: pytest.MonkeyPatch) -> None:
    real = ShardAllocator.on_request

    def on_request(self: ShardAllocator, now_ms: float, sender: int, message: LeaseRequest) -> LeaseGrant | None:
        for who in [w for w in self.leases if w[0] == sender and w[1] != message.incarnation]:
            del self.leases[who]
        return real(self, now_ms, sender, message)

    monkeypatch.setattr(ShardAllocator, "on_request", on_request)


def grants_applied_in_any_order(monkeypatch: pytest.MonkeyPatch) -> None:
    real = LeaseHolder.on_grant

    def on_grant(self: LeaseHolder, now_ms: float, message: LeaseGrant) -> bool:
        self.applied_round = -1
        return real(self, now_ms, message)

    monkeypatch.setattr(LeaseHolder, "on_grant", on_grant)


def actions_outlast_the_lease(monkeypatch: pytest.MonkeyPatch) -> None:
    def begin(self: LeaseHolder, now_ms: float, task: int) -> int:
        return self.fencing_token if self.holds(now_ms, task) else 0

    monkeypatch.setattr(LeaseHolder, "begin_action", begin)


def running_actions_not_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(LeaseHolder, "busy_shards", lambda self, now_ms: 0)


def grants_on_their_way_forgotten(monkeypatch: pytest.MonkeyPatch) -> None:
    real = ShardAllocator.settle_grants

    def settle(self: ShardAllocator, now_ms: float, leases: Any, applied_round: int, held: int) -> None:
        real(self, now_ms, leases, applied_round, held)
        leases.grants = [grant for grant in leases.grants if grant.round <= applied_round]

    monkeypatch.setattr(ShardAllocator, "settle_grants", settle)


def request_to_a_former_term_counts(monkeypatch: pytest.MonkeyPatch) -> None:
    real = ShardAllocator.on_request

    def on_request(self: ShardAllocator, now_ms: float, sender: int, message: LeaseRequest) -> LeaseGrant | None:
        to = (self.epoch, self.first_round)
        return real(
            self,
            now_ms,
            sender,
            LeaseRequest(
                message.incarnation,
                message.round,
                *to,
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


def new_leader_begins_tokens_from_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    real = ShardAllocator.begin_term
    monkeypatch.setattr(
        ShardAllocator, "begin_term", lambda self, now_ms, first, token: real(self, now_ms, first, 1 << 12)
    )


def resource_accepts_any_token(monkeypatch: pytest.MonkeyPatch) -> None:
    def takes(self: FencedResource, task: int, token: int) -> bool:
        self.highest_tokens[task] = max(token, self.highest_tokens.get(task, 0))
        return True

    monkeypatch.setattr(FencedResource, "accept", takes)


MISTAKES: list[Callable[[pytest.MonkeyPatch], None]] = [
    lease_counted_from_the_answer,
    clock_margin_on_the_wrong_side,
    grants_without_learning,
    former_process_forgotten,
    grants_applied_in_any_order,
    actions_outlast_the_lease,
    running_actions_not_reported,
    grants_on_their_way_forgotten,
    request_to_a_former_term_counts,
    half_of_the_votes_is_enough,
    only_the_last_grant_counts,
    tokens_do_not_rise,
    new_leader_begins_tokens_from_nothing,
    resource_accepts_any_token,
]
