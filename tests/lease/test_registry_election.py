"""The election by the registry: it ends with the lease, and its tokens rise with the revision."""

from __future__ import annotations

from corallanding.lease.core import TaskLeases
from corallanding.lease.messages import (
    LeaseRequest,
)
from corallanding.lease.registry_election import RegistryElection
from corallanding.lease.tasks import pack
from corallanding.registry.controller_lease import OwnershipTimings
from corallanding.registry.slice_ownership import SliceOwnership
from tests.lease.support import TASKS, TIGHT


def test_registry_election_when_its_lease_ends_then_ends_and_tokens_rise_with_the_revision() -> None:
    ownership = SliceOwnership(2, range(1), OwnershipTimings(lease_ttl_ms=1_000.0))
    election = RegistryElection(2, (0, 1), 77, ownership)
    assert not election.is_leader(0.0)
    assert election.term is None
    assert election.leader == (None, 0, 0)
    ownership.on_connection_change(is_connected=True)
    ownership.lease.requested_at_ms = 0.0
    ownership.on_lease_granted(10.0, 5)
    ownership.on_claim_result(20.0, 0, 5, 41)
    assert election.is_leader(30.0)
    assert election.term == (30.0, 41)
    assert election.leader == (2, 41, 41)
    assert election.epoch == 41
    before = election.max_token
    assert not election.is_leader(760.0), "a margin before the registry could end it"
    assert election.term is None, "a margin before the registry could end it"
    ownership.on_lease_lost()
    ownership.lease.requested_at_ms = 2_000.0
    ownership.on_lease_granted(2_010.0, 6)
    ownership.on_claim_result(2_020.0, 0, 6, 58)
    assert election.is_leader(2_030.0), "whatever the wall clock says"
    assert election.first_token(1e15) > before, "whatever the wall clock says"
    core = TaskLeases(election, TASKS, TIGHT, 2_030.0, is_election_shared=True)
    assert core.update_leadership(2_030.0)
    assert core.allocator.epoch == 58
    late = core.allocator.on_request(2_031.0, 0, LeaseRequest(1, 1, 41, 41, pack(1), pack(0), 0, TASKS.digest))
    assert late is None, "it was meant for the term before"
    assert core.allocator.stale_requests == 1, "it was meant for the term before"
