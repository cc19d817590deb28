"""When a lease holder may begin an action."""

from __future__ import annotations

from corallanding.lease.lease_holder import LeaseHolder
from corallanding.lease.messages import (
    LeaseGrant,
)
from corallanding.lease.tasks import pack
from tests.lease.support import TASKS, TIGHT


def test_action_when_it_could_outlast_the_lease_then_does_not_begin() -> None:
    h = LeaseHolder(1, TIGHT, TASKS, 0.0)
    request = h.next_request(0.0, 9, 1)
    assert request
    assert not h.on_grant(10.0, LeaseGrant(1, request.round, pack(1), 5))
    assert h.leased_until == TIGHT.usable_ms(600.0), "counted from when it was asked for"
    assert h.begin_action(100.0, 0) == 5, "one act on a task at a time"
    assert h.begin_action(150.0, 0) == 0, "one act on a task at a time"
    h.end_action(160.0, 0)
    assert h.begin_action(h.leased_until - 101.0, 0) == 0
    assert h.holds(h.leased_until - 101.0, 0)
    h.on_action_rejected(7)
    assert h.begin_action(200.0, 0) == 0, "a place has seen more: not before a higher fence"
