"""The election by the registry: leadership ends with the lease, and tokens increase with the revision."""

from __future__ import annotations

from corallanding.lease.core import TaskLeases
from corallanding.lease.messages import (
    LeaseRequest,
)
from corallanding.lease.registry_election import RegistryElection
from corallanding.lease.tasks import pack
from corallanding.registry.controller_lease import OwnershipTimings
from corallanding.registry.slice_ownership import SliceOwnership
from tests.lease.support import SHORT_LEASES, TASKS


def test_registry_leadership_when_its_lease_ends_then_ends_and_tokens_increase_with_the_revision() -> None:
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
    assert not election.is_leader(760.0), "a safety margin before the registry lease expires"
    assert election.term is None, "a safety margin before the registry lease expires"
    ownership.on_lease_lost()
    ownership.lease.requested_at_ms = 2_000.0
    ownership.on_lease_granted(2_010.0, 6)
    ownership.on_claim_result(2_020.0, 0, 6, 58)
    assert election.is_leader(2_030.0), "independent of the wall clock"
    assert election.first_token(1e15) > before, "independent of the wall clock"
    core = TaskLeases(election, TASKS, SHORT_LEASES, 2_030.0, is_election_shared=True)
    assert core.update_leadership(2_030.0)
    assert core.allocator.epoch == 58
    grant = core.allocator.on_request(2_031.0, 0, LeaseRequest(1, 1, 41, 41, pack(1), pack(0), 0, TASKS.digest))
    assert grant is None, "the request names the previous term"
    assert core.allocator.stale_requests == 1, "the request names the previous term"
