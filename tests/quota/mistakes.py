"""Mistakes to be planted in quotas and in the election: each takes away one step on which the capacity rests."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import pytest

from corallanding.lease import voting
from corallanding.quota import (
    Budget,
    BudgetKey,
    CapacityGrant,
    CapacityRequest,
    GrantRow,
    QuotaAllocator,
    QuotaClient,
    QuotaLimits,
    QuotaManager,
    RequestRow,
    VoteRelease,
    VoteReply,
    VoteRequest,
    quota_allocator,
)
from corallanding.quota.quota_allocator import ClientState

Mistake = Callable[[pytest.MonkeyPatch], None]


def count_grants_from_the_answer(patch: pytest.MonkeyPatch) -> None:
    real = QuotaClient.on_grant

    def on_grant(self: QuotaClient, now: float, message: CapacityGrant) -> bool:
        if message.round in self.pending:
            self.pending[message.round] = replace(self.pending[message.round], sent_at_ms=now)
        return real(self, now, message)

    patch.setattr(QuotaClient, "on_grant", on_grant)


def add_the_drift_where_it_is_subtracted(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(QuotaLimits, "usable_ms", lambda self, span_ms: span_ms * 1.3)


def grant_without_learning(patch: pytest.MonkeyPatch) -> None:
    real = QuotaAllocator.begin_term
    patch.setattr(QuotaAllocator, "begin_term", lambda self, now, first_round=0: real(self, now - 1e6, first_round))


def forget_former_incarnations(patch: pytest.MonkeyPatch) -> None:
    real = QuotaAllocator.grant_row

    def grant_row(
        self: QuotaAllocator, now: float, sender: int, message: CapacityRequest, row: RequestRow
    ) -> GrantRow | None:
        ledger = self.ledgers.get(BudgetKey(row.budget_id, row.subject), {})
        for client in [
            known for known in ledger if known.controller == sender and known.incarnation != message.incarnation
        ]:
            del ledger[client]
        return real(self, now, sender, message, row)

    patch.setattr(QuotaAllocator, "grant_row", grant_row)


def use_the_floor_at_once(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(QuotaClient, "floor", lambda self, now, budget: budget.floor)


def vote_at_once_after_a_start(patch: pytest.MonkeyPatch) -> None:
    real = voting.Voter.on_vote_request

    def on_vote_request(self: voting.Voter, now: float, candidate: int, message: VoteRequest) -> VoteReply:
        self.started_at_ms = -1e12
        return real(self, now, candidate, message)

    patch.setattr(voting.Voter, "on_vote_request", on_vote_request)


def take_grants_in_any_order(patch: pytest.MonkeyPatch) -> None:
    real = QuotaClient.on_grant

    def on_grant(self: QuotaClient, now: float, message: CapacityGrant) -> bool:
        for account in self.accounts.values():
            account.round = -1
        return real(self, now, message)

    patch.setattr(QuotaClient, "on_grant", on_grant)


def let_uses_outlast_the_grant(patch: pytest.MonkeyPatch) -> None:
    def available(self: QuotaClient, now: float, budget: Budget, subject: int = 0) -> int:
        account = self.account(now, budget, subject)
        assert account
        return max(0, self.floor(now, budget) + account.granted_at(now) - account.uses.count(now))

    patch.setattr(QuotaClient, "available", available)


def report_no_use(patch: pytest.MonkeyPatch) -> None:
    real = QuotaClient.request_row

    def request_row(self: QuotaClient, now: float, key: BudgetKey) -> RequestRow:
        row = real(self, now, key)
        return row._replace(in_use=row.granted)

    patch.setattr(QuotaClient, "request_row", request_row)


def forget_grants_on_their_way(patch: pytest.MonkeyPatch) -> None:
    real = QuotaAllocator.settle

    def settle(
        self: QuotaAllocator, now: float, state: ClientState, taken: int, in_use: int, learning_until: float | None
    ) -> None:
        real(self, now, state, taken, in_use, learning_until)
        state.grants = [grant for grant in state.grants if grant.round <= taken]

    patch.setattr(QuotaAllocator, "settle", settle)


def answer_requests_of_a_former_term(patch: pytest.MonkeyPatch) -> None:
    real = QuotaAllocator.on_request

    def on_request(self: QuotaAllocator, now: float, sender: int, message: CapacityRequest) -> CapacityGrant:
        renamed = CapacityRequest(message.incarnation, message.round, self.incarnation, self.first_round, message.rows)
        return real(self, now, sender, renamed)

    patch.setattr(QuotaAllocator, "on_request", on_request)


def count_inherited_capacity_again(patch: pytest.MonkeyPatch) -> None:
    real = QuotaAllocator.grant_row

    def grant_row(
        self: QuotaAllocator, now: float, sender: int, message: CapacityRequest, row: RequestRow
    ) -> GrantRow | None:
        ledger = self.ledgers.get(BudgetKey(row.budget_id, row.subject), {})
        ledger.pop(quota_allocator.ClientId(sender, message.incarnation), None)  # as if it reported for the first time
        return real(self, now, sender, message, row)

    patch.setattr(QuotaAllocator, "grant_row", grant_row)


def lead_with_half_the_votes(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(voting.Candidate, "majority", property(lambda self: len(self.voters) // 2))


def stay_leader_over_a_pause(patch: pytest.MonkeyPatch) -> None:
    def is_allocating(self: QuotaManager, now: float) -> bool:
        if self.allocator.started_at_ms is not None:
            return True
        if not self.election.is_leader(now):
            return False
        self.allocator.begin_term(now)
        return True

    patch.setattr(QuotaManager, "is_allocating", is_allocating)


def count_only_the_last_grant(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(ClientState, "outstanding", lambda self, now: self.grants[-1].amount if self.grants else 0)


def count_votes_after_a_release(patch: pytest.MonkeyPatch) -> None:
    def give_up_candidacy(self: voting.Candidate) -> VoteRelease:
        self.votes_until_ms.clear()
        return VoteRelease(self.incarnation, self.round)

    patch.setattr(voting.Candidate, "give_up_candidacy", give_up_candidacy)


def count_votes_from_the_answer(patch: pytest.MonkeyPatch) -> None:
    real = voting.Candidate.on_vote_reply

    def on_vote_reply(self: voting.Candidate, now: float, voter: int, message: VoteReply) -> None:
        real(self, now, voter, message)
        if message.is_granted and message.incarnation == self.incarnation:
            self.votes_until_ms[voter] = now + self.timings.vote_lease_ms  # from the answer, not from the request

    patch.setattr(voting.Candidate, "on_vote_reply", on_vote_reply)


MISTAKES: list[Mistake] = [
    count_grants_from_the_answer,
    add_the_drift_where_it_is_subtracted,
    grant_without_learning,
    forget_former_incarnations,
    use_the_floor_at_once,
    vote_at_once_after_a_start,
    take_grants_in_any_order,
    let_uses_outlast_the_grant,
    report_no_use,
    forget_grants_on_their_way,
    answer_requests_of_a_former_term,
    count_inherited_capacity_again,
    lead_with_half_the_votes,
    stay_leader_over_a_pause,
    count_only_the_last_grant,
    count_votes_after_a_release,
    count_votes_from_the_answer,
]
