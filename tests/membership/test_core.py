"""Rejection of invalid messages by the membership protocol, and its handling of claims on members."""

from __future__ import annotations

from corallanding.membership import (
    Ack,
    MemberState,
    MemberStateChanged,
    Ping,
    PingRequest,
    decode,
    encode,
)
from corallanding.membership.messages import MAX_UPDATES
from corallanding.wire.peer_messages import OutgoingMessage
from tests.membership.support import make_membership


def test_message_when_invalid_or_over_the_rate_limit_then_is_rejected_and_counted() -> None:
    protocol = make_membership()
    assert protocol.on_message(0.0, 9, Ping(1, 5, 1, [])) == [], "unknown sender"
    assert protocol.rejected_count == 1, "unknown sender"
    assert protocol.on_message(0.0, 1, Ping(1, 5, 0, [])) == [], "incarnation out of bounds"
    assert protocol.rejected_count == 2, "incarnation out of bounds"
    assert protocol.on_message(0.0, 1, Ping(1, 5, 1 << 40, [])) == []
    assert protocol.rejected_count == 3
    assert not [
        action
        for action in protocol.on_message(0.0, 1, Ping(1, 5, 1, [], target=2))
        if isinstance(action, OutgoingMessage)
    ], "addressed to another member"
    rejected_before = protocol.rejected_count
    for _ in range(1_000):
        protocol.on_message(1.0, 2, Ping(1, 5, 1, []))
    assert protocol.rejected_count - rejected_before > 900
    assert protocol.state_of(2) == MemberState.ALIVE
    for message in (Ping(1, 2, 3, [(1, 2, 3)] * (MAX_UPDATES + 1)), Ack(1, 2, 3, [])):
        assert (decode(encode(message)) is None) == bool(message.updates)
    longest = PingRequest(2**32, 2**62, 2**32 - 1, [(65_535, 4, 2**32 - 1)] * MAX_UPDATES, 65_535)
    assert len(encode(longest)) <= 255


def test_claim_on_this_controller_when_false_then_is_refuted_once() -> None:
    protocol = make_membership()
    protocol.on_message(0.0, 1, Ping(1, 5, 1, [(0, MemberState.DEAD, 1)]))
    assert protocol.view.incarnation == 2
    protocol.on_message(1.0, 1, Ping(2, 5, 1, [(0, MemberState.SUSPECT, 1)]))
    assert protocol.view.incarnation == 2, "already refuted"
    protocol.on_message(2.0, 1, Ping(3, 5, 1, [(0, MemberState.ALIVE, 9)]))
    assert protocol.view.incarnation == 10, "claimed by another process with this number, or by the predecessor"
    assert protocol.view.duplicates_seen == 1, "claimed by another process with this number, or by the predecessor"


def test_claim_when_its_incarnation_is_old_then_changes_nothing() -> None:
    protocol = make_membership()
    protocol.on_message(0.0, 1, Ping(1, 5, 1, [(2, MemberState.ALIVE, 7)]))
    assert MemberStateChanged(2, MemberState.SUSPECT) in protocol.on_message(
        1.0, 1, Ping(2, 5, 1, [(2, MemberState.SUSPECT, 7)])
    )
    assert MemberStateChanged(2, MemberState.ALIVE) in protocol.on_message(
        2.0, 1, Ping(3, 5, 1, [(2, MemberState.ALIVE, 8)])
    )
    protocol.on_message(3.0, 1, Ping(4, 5, 1, [(2, MemberState.DEAD, 7), (2, MemberState.SUSPECT, 6)]))
    assert protocol.state_of(2) == MemberState.ALIVE
