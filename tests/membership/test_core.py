"""How the membership protocol takes messages and claims."""

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
from tests.membership.support import members


def test_message_when_it_is_nonsense_flood_or_unknown_then_is_rejected_and_counted() -> None:
    protocol = members()
    assert protocol.on_message(0.0, 9, Ping(1, 5, 1, [])) == [], "a number that nobody has"
    assert protocol.rejected == 1, "a number that nobody has"
    assert protocol.on_message(0.0, 1, Ping(1, 5, 0, [])) == [], "an incarnation that cannot be"
    assert protocol.rejected == 2, "an incarnation that cannot be"
    assert protocol.on_message(0.0, 1, Ping(1, 5, 1 << 40, [])) == []
    assert protocol.rejected == 3
    assert not [
        a for a in protocol.on_message(0.0, 1, Ping(1, 5, 1, [], target=2)) if isinstance(a, OutgoingMessage)
    ], "meant for another"
    before = protocol.rejected
    for _ in range(1_000):
        protocol.on_message(1.0, 2, Ping(1, 5, 1, []))
    assert protocol.rejected - before > 900
    assert protocol.state_of(2) == MemberState.ALIVE
    for message in (Ping(1, 2, 3, [(1, 2, 3)] * (MAX_UPDATES + 1)), Ack(1, 2, 3, [])):
        assert (decode(encode(message)) is None) == bool(message.updates)
    wide = PingRequest(2**32, 2**62, 2**32 - 1, [(65_535, 4, 2**32 - 1)] * MAX_UPDATES, 65_535)
    assert len(encode(wide)) <= 255


def test_claim_on_ourselves_when_it_is_false_then_is_refuted_once() -> None:
    protocol = members()
    protocol.on_message(0.0, 1, Ping(1, 5, 1, [(0, MemberState.DEAD, 1)]))
    assert protocol.view.incarnation == 2
    protocol.on_message(1.0, 1, Ping(2, 5, 1, [(0, MemberState.SUSPECT, 1)]))
    assert protocol.view.incarnation == 2, "that was answered already"
    protocol.on_message(2.0, 1, Ping(3, 5, 1, [(0, MemberState.ALIVE, 9)]))
    assert protocol.view.incarnation == 10, "another process speaks under our number, or our former life did"
    assert protocol.view.duplicates_seen == 1, "another process speaks under our number, or our former life did"


def test_claim_when_its_incarnation_is_old_then_changes_nothing() -> None:
    protocol = members()
    protocol.on_message(0.0, 1, Ping(1, 5, 1, [(2, MemberState.ALIVE, 7)]))
    assert MemberStateChanged(2, MemberState.SUSPECT) in protocol.on_message(
        1.0, 1, Ping(2, 5, 1, [(2, MemberState.SUSPECT, 7)])
    )
    assert MemberStateChanged(2, MemberState.ALIVE) in protocol.on_message(
        2.0, 1, Ping(3, 5, 1, [(2, MemberState.ALIVE, 8)])
    )
    protocol.on_message(3.0, 1, Ping(4, 5, 1, [(2, MemberState.DEAD, 7), (2, MemberState.SUSPECT, 6)]))
    assert protocol.state_of(2) == MemberState.ALIVE
