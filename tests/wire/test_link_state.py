"""State of a link: valid order of frames, acknowledgements, timeouts."""

from __future__ import annotations

import pytest

from corallanding.wire import frames
from corallanding.wire.frames import Ack, Heartbeat, HeldTables, Hello, LinkError
from corallanding.wire.link_state import LinkLimits, LinkState
from tests.wire.support import HELLO


def error_text(link: LinkState, *sent: frames.Frame, now: float = 1.0) -> str:
    """Return the code and text of the error that the frames raise."""
    with pytest.raises(LinkError) as caught:
        link.receive(now, b"".join(frames.encode(frame) for frame in sent))
    return f"{caught.value.code}: {caught.value}"


def test_link_when_the_protocol_is_violated_then_each_violation_has_its_code() -> None:
    assert error_text(LinkState(LinkLimits(), 0.0), Heartbeat()) == "out-of-place: beat before hello"
    assert error_text(LinkState(LinkLimits(), 0.0), HELLO, HELLO) == "out-of-place: a second hello on one link"
    old = Hello(99, 3, "3-1")
    assert error_text(LinkState(LinkLimits(), 0.0), old) == "unknown-version: version 99; this side speaks 1"
    link = LinkState(LinkLimits(), 0.0)
    link.receive(0.0, frames.encode(HELLO))
    link.add_unacked(0.0, 7)
    assert error_text(link, Ack(8)) == "out-of-place: ack of mark 8, which is not out on this link"
    assert error_text(link, HeldTables(1, 1, [])) == "out-of-place: held without a recall"
    slow = LinkState(LinkLimits(frames_per_second=5), 0.0)
    assert error_text(slow, HELLO, *[Heartbeat()] * 20) == "protocol: more than 5 frames a second"
    with pytest.raises(frames.OversizedFrameError, match="2147483648 bytes"):
        LinkState(LinkLimits(), 0.0).receive(0.0, b"\x80\x00\x00\x00")


def test_ack_when_received_then_earlier_versions_are_covered_and_the_sending_time_is_recorded() -> None:
    link = LinkState(LinkLimits(), 0.0)
    link.receive(0.0, frames.encode(HELLO))
    for version, sent_at_ms in ((65535, 10.0), (0, 20.0), (1, 30.0)):
        link.add_unacked(sent_at_ms, version)
    link.receive(50.0, frames.encode(Ack(0)))
    assert list(link.acked) == [(0, 20.0)]
    assert list(link.unacked_versions) == [(1, 30.0)]


def test_link_when_silent_or_without_hello_then_it_is_overdue() -> None:
    link = LinkState(LinkLimits(hello_timeout_ms=100.0, silence_timeout_ms=300.0), 0.0)
    assert link.close_reason(99.0) == ""
    assert link.close_reason(101.0) == "no hello"
    link.receive(50.0, frames.encode(HELLO))
    assert link.close_reason(349.0) == ""
    assert link.close_reason(351.0) == "silent"


def test_link_when_no_hello_has_arrived_then_frames_must_be_small() -> None:
    """Guards against connections that each hold a whole frame before anything is known of them."""
    link = LinkState(LinkLimits(), 0.0)
    with pytest.raises(frames.OversizedFrameError, match="5000 bytes; 4096 are allowed"):
        link.receive(0.0, (5_000).to_bytes(4, "big"))
    link = LinkState(LinkLimits(), 0.0)
    report = frames.UsageReport(1_000.0, [(1, 1, 0, 5.0)] * 1_000)
    assert link.receive(0.0, frames.encode(HELLO) + frames.encode(report)) == [HELLO, report]
