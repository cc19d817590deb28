"""When a lease holder may begin an action."""

from __future__ import annotations

from corallanding.lease.lease_holder import LeaseHolder
from corallanding.lease.messages import (
    LeaseGrant,
)
from corallanding.lease.tasks import pack
from tests.lease.support import SHORT_LEASES, TASKS


def test_action_when_it_could_outlast_the_lease_then_does_not_begin() -> None:
    holder = LeaseHolder(1, SHORT_LEASES, TASKS, 0.0)
    request = holder.next_request(0.0, 9, 1)
    assert request
    assert not holder.on_grant(10.0, LeaseGrant(1, request.round, pack(1), 5))
    assert holder.leased_until == SHORT_LEASES.usable_ms(600.0), "the lease starts at the send time of its request"
    assert holder.begin_action(100.0, 0) == 5, "one action on a task at a time"
    assert holder.begin_action(150.0, 0) == 0, "one action on a task at a time"
    holder.end_action(160.0, 0)
    assert holder.begin_action(holder.leased_until - 101.0, 0) == 0
    assert holder.holds(holder.leased_until - 101.0, 0)
    holder.on_action_rejected(7)
    assert holder.begin_action(200.0, 0) == 0, (
        "a resource has accepted a higher token: no action before a grant above it"
    )
