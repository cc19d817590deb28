"""Mutations of the code of quotas and of the election, for `test_planted_mistakes`.

Each function patches the code so that it breaks one rule, named in its doc comment, without which the controllers
together could use more than the capacity.
"""

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


def start_grant_lifetime_at_the_answer(patch: pytest.MonkeyPatch) -> None:
    """Break: the lifetime of a grant begins when its request was sent, not when the grant arrives."""
    real = QuotaClient.on_grant

    def on_grant(self: QuotaClient, now_ms: float, message: CapacityGrant) -> bool:
        if message.round in self.pending:
            self.pending[message.round] = replace(self.pending[message.round], sent_at_ms=now_ms)
        return real(self, now_ms, message)

    patch.setattr(QuotaClient, "on_grant", on_grant)


def add_the_clock_drift_to_usable_time(patch: pytest.MonkeyPatch) -> None:
    """Break: a client uses a grant for less than its lifetime, by the maximum clock drift. 1.3: lengthened by 30 %."""
    patch.setattr(QuotaLimits, "usable_ms", lambda self, span_ms: span_ms * 1.3)


def grant_without_learning(patch: pytest.MonkeyPatch) -> None:
    """Break: a new leader grants only capacity reported to it until all grants of its predecessor have expired.

    Here the term seems to have begun 1e6 ms earlier, so that this learning period is over.
    """
    real = QuotaAllocator.begin_term
    patch.setattr(
        QuotaAllocator, "begin_term", lambda self, now_ms, first_round=0: real(self, now_ms - 1e6, first_round)
    )


def drop_former_incarnations(patch: pytest.MonkeyPatch) -> None:
    """Break: grants of earlier processes (incarnations) of a controller count until they expire."""
    real = QuotaAllocator.grant_row

    def grant_row(
        self: QuotaAllocator, now_ms: float, sender: int, message: CapacityRequest, row: RequestRow
    ) -> GrantRow | None:
        ledger = self.ledgers.get(BudgetKey(row.budget_id, row.subject), {})
        for client in [
            known for known in ledger if known.controller == sender and known.incarnation != message.incarnation
        ]:
            del ledger[client]
        return real(self, now_ms, sender, message, row)

    patch.setattr(QuotaAllocator, "grant_row", grant_row)


def use_the_floor_at_once(patch: pytest.MonkeyPatch) -> None:
    """Break: a client does not use its floor (units without a grant) while those of its previous process are in use."""
    patch.setattr(QuotaClient, "floor", lambda self, now_ms, budget: budget.floor)


def vote_at_once_after_a_start(patch: pytest.MonkeyPatch) -> None:
    """Break: a restarted voter grants no vote while a vote of its previous process may be valid."""
    real = voting.Voter.on_vote_request

    def on_vote_request(self: voting.Voter, now_ms: float, candidate: int, message: VoteRequest) -> VoteReply:
        self.started_at_ms = -1e12
        return real(self, now_ms, candidate, message)

    patch.setattr(voting.Voter, "on_vote_request", on_vote_request)


def accept_grants_in_any_order(patch: pytest.MonkeyPatch) -> None:
    """Break: a client ignores a grant whose request is not newer than that of the last accepted grant."""
    real = QuotaClient.on_grant

    def on_grant(self: QuotaClient, now_ms: float, message: CapacityGrant) -> bool:
        for account in self.accounts.values():
            account.round = -1
        return real(self, now_ms, message)

    patch.setattr(QuotaClient, "on_grant", on_grant)


def let_uses_outlast_the_grant(patch: pytest.MonkeyPatch) -> None:
    """Break: units that stay in use after the grant has expired must fit into the floor."""

    def available(self: QuotaClient, now_ms: float, budget: Budget, subject: int = 0) -> int:
        account = self.account(now_ms, budget, subject)
        assert account
        return max(0, self.floor(now_ms, budget) + account.granted_at(now_ms) - account.uses.count(now_ms))

    patch.setattr(QuotaClient, "available", available)


def report_no_use_beyond_the_grant(patch: pytest.MonkeyPatch) -> None:
    """Break: a client reports all units in use beyond its floor, also those above its current grant."""
    real = QuotaClient.request_row

    def request_row(self: QuotaClient, now_ms: float, key: BudgetKey) -> RequestRow:
        row = real(self, now_ms, key)
        return row._replace(in_use=row.granted)

    patch.setattr(QuotaClient, "request_row", request_row)


def drop_grants_in_transit(patch: pytest.MonkeyPatch) -> None:
    """Break: the allocator counts a grant that the client has not accepted yet, as it may still arrive."""
    real = QuotaAllocator.settle

    def settle(
        self: QuotaAllocator,
        now_ms: float,
        state: ClientState,
        accepted_round: int,
        in_use: int,
        learning_until_ms: float | None,
    ) -> None:
        real(self, now_ms, state, accepted_round, in_use, learning_until_ms)
        state.grants = [grant for grant in state.grants if grant.round <= accepted_round]

    patch.setattr(QuotaAllocator, "settle", settle)


def answer_requests_of_a_former_term(patch: pytest.MonkeyPatch) -> None:
    """Break: the allocator rejects requests that were sent to an earlier leader, or to its own earlier term."""
    real = QuotaAllocator.on_request

    def on_request(self: QuotaAllocator, now_ms: float, sender: int, message: CapacityRequest) -> CapacityGrant:
        current_request = CapacityRequest(
            message.incarnation, message.round, self.incarnation, self.first_round, message.rows
        )
        return real(self, now_ms, sender, current_request)

    patch.setattr(QuotaAllocator, "on_request", on_request)


def count_inherited_capacity_again(patch: pytest.MonkeyPatch) -> None:
    """Break: each client's grant from the previous leader is added once to the capacity that the new one divides."""
    real = QuotaAllocator.grant_row

    def grant_row(
        self: QuotaAllocator, now_ms: float, sender: int, message: CapacityRequest, row: RequestRow
    ) -> GrantRow | None:
        ledger = self.ledgers.get(BudgetKey(row.budget_id, row.subject), {})
        ledger.pop(
            quota_allocator.ClientId(sender, message.incarnation), None
        )  # as if the client reported for the first time
        return real(self, now_ms, sender, message, row)

    patch.setattr(QuotaAllocator, "grant_row", grant_row)


def lead_with_half_the_votes(patch: pytest.MonkeyPatch) -> None:
    """Break: a leader needs more than half of the votes. Here half is enough."""
    patch.setattr(voting.Candidate, "majority", property(lambda self: len(self.voters) // 2))


def stay_leader_over_a_pause(patch: pytest.MonkeyPatch) -> None:
    """Break: a leader whose votes have expired stops allocating, and begins its next term with empty ledgers."""

    def is_allocating(self: QuotaManager, now_ms: float) -> bool:
        if self.allocator.started_at_ms is not None:
            return True
        if not self.election.is_leader(now_ms):
            return False
        self.allocator.begin_term(now_ms)
        return True

    patch.setattr(QuotaManager, "is_allocating", is_allocating)


def count_only_the_last_grant(patch: pytest.MonkeyPatch) -> None:
    """Break: the largest grant of a client that has not expired counts, not only its last one."""
    patch.setattr(ClientState, "outstanding", lambda self, now_ms: self.grants[-1].amount if self.grants else 0)


def count_votes_after_a_release(patch: pytest.MonkeyPatch) -> None:
    """Break: a candidate that releases its votes ignores replies to its earlier requests, which may arrive later."""

    def give_up_candidacy(self: voting.Candidate) -> VoteRelease:
        self.votes_until_ms.clear()
        return VoteRelease(self.incarnation, self.round)

    patch.setattr(voting.Candidate, "give_up_candidacy", give_up_candidacy)


def start_vote_lease_at_the_answer(patch: pytest.MonkeyPatch) -> None:
    """Break: a vote is valid from the time when its request was sent, for less than its lease by the clock drift."""
    real = voting.Candidate.on_vote_reply

    def on_vote_reply(self: voting.Candidate, now_ms: float, voter: int, message: VoteReply) -> None:
        real(self, now_ms, voter, message)
        if message.is_granted and message.incarnation == self.incarnation:
            self.votes_until_ms[voter] = (
                now_ms + self.timings.vote_lease_ms
            )  # counted from the reply instead of the request

    patch.setattr(voting.Candidate, "on_vote_reply", on_vote_reply)


MISTAKES: list[Mistake] = [
    start_grant_lifetime_at_the_answer,
    add_the_clock_drift_to_usable_time,
    grant_without_learning,
    drop_former_incarnations,
    use_the_floor_at_once,
    vote_at_once_after_a_start,
    accept_grants_in_any_order,
    let_uses_outlast_the_grant,
    report_no_use_beyond_the_grant,
    drop_grants_in_transit,
    answer_requests_of_a_former_term,
    count_inherited_capacity_again,
    lead_with_half_the_votes,
    stay_leader_over_a_pause,
    count_only_the_last_grant,
    count_votes_after_a_release,
    start_vote_lease_at_the_answer,
]
