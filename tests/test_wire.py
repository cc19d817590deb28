"""The forwarder link as functions of bytes: frames, places, limits."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from corallanding.wire import frames
from corallanding.wire.frames import Ack, FrameReader, Goodbye, Heartbeat, HeldTables, Hello, LinkError, UsageReport
from corallanding.wire.link_state import LinkLimits, LinkState

HELLO = Hello(frames.PROTOCOL_VERSION, 3, "3-1", 1, 12.5, True)
SAID = st.one_of(
    st.builds(Hello, st.integers(0, 9), st.integers(0, 65535), st.text("ab", min_size=1, max_size=9)),
    st.builds(Ack, st.integers(0, 65535)),
    st.builds(UsageReport, st.floats(1, 1e6), st.lists(st.tuples(*[st.integers(0, 2**32 - 1)] * 3, st.floats(0, 1e9)))),
    st.builds(HeldTables, st.integers(0, 99), st.integers(0, 99), st.just([(1, [(2, 1.0)])])),
    st.builds(Heartbeat, st.floats(0, 1e9)),
    st.builds(Goodbye, st.text("xyz", max_size=50)),
)


@given(st.lists(SAID, max_size=8), st.data())
@settings(max_examples=150, deadline=None)
def test_frames_come_whole_however_the_bytes_are_cut(said: list, data: st.DataObject) -> None:
    stream = b"".join(frames.encode(f) for f in said)
    reader, got, at = FrameReader(frames.controller_decoder, 1 << 20), [], 0
    while at < len(stream):
        size = data.draw(st.integers(1, max(1, len(stream) - at)))
        got += reader.feed(stream[at : at + size])
        at += size
    assert got == said
    assert not reader.buffer


@given(st.binary(max_size=300))
@settings(max_examples=400, deadline=None)
def test_any_bytes_are_frames_or_a_named_fault(data: bytes) -> None:
    reader = FrameReader(frames.controller_decoder, 200)
    try:
        for k in range(0, len(data), 7):
            reader.feed(data[k : k + 7])
    except LinkError as fault:
        assert fault.code in ("malformed", "oversized")
    assert len(reader.buffer) <= 200 + frames.LENGTH_BYTES + 7


PLAIN = st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.floats() | st.binary(max_size=9)
ANY = st.recursive(PLAIN | st.text(max_size=9), lambda inner: st.lists(inner, max_size=5), max_leaves=20)


@given(st.sampled_from(["hello", "ack", "sums", "held", "read", "beat", "bye"]), st.lists(ANY, max_size=8))
@settings(max_examples=300, deadline=None)
def test_fields_of_any_shape_never_pass_their_bounds(tag: str, fields: list) -> None:
    body = msgspec.msgpack.encode([tag, *fields])
    link = LinkState(LinkLimits(), 0.0, hello=None if tag == "hello" else HELLO)
    try:
        found = link.receive(1.0, len(body).to_bytes(4, "big") + body)
    except LinkError as fault:
        assert fault.code != "protocol"
        return
    for f in found:
        if isinstance(f, Hello):
            assert f.version == frames.PROTOCOL_VERSION
            assert 0 <= f.proxy <= 65535
        if isinstance(f, UsageReport):
            assert f.span_ms > 0
            assert all(n >= 0 and m >= 0 for _, n, m, _ in f.hosts)


def fault(link: LinkState, *said: frames.Frame, now: float = 1.0) -> str:
    with pytest.raises(LinkError) as caught:
        link.receive(now, b"".join(frames.encode(f) for f in said))
    return f"{caught.value.code}: {caught.value}"


def test_every_breach_has_its_name() -> None:
    assert fault(LinkState(LinkLimits(), 0.0), Heartbeat()) == "out-of-place: beat before hello"
    assert fault(LinkState(LinkLimits(), 0.0), HELLO, HELLO) == "out-of-place: a second hello on one link"
    old = Hello(99, 3, "3-1")
    assert fault(LinkState(LinkLimits(), 0.0), old) == "unknown-version: version 99; this side speaks 1"
    link = LinkState(LinkLimits(), 0.0)
    link.receive(0.0, frames.encode(HELLO))
    link.add_unacked(0.0, 7)
    assert fault(link, Ack(8)) == "out-of-place: ack of mark 8, which is not out on this link"
    assert fault(link, HeldTables(1, 1, [])) == "out-of-place: held without a recall"
    assert (
        fault(LinkState(LinkLimits(frames_per_second=5), 0.0), HELLO, *[Heartbeat()] * 20)
        == "protocol: more than 5 frames a second"
    )
    with pytest.raises(frames.OversizedFrameError, match="2147483648 bytes"):
        LinkState(LinkLimits(), 0.0).receive(0.0, b"\x80\x00\x00\x00")


def test_an_ack_covers_the_marks_before_it_and_tells_since_when() -> None:
    link = LinkState(LinkLimits(), 0.0)
    link.receive(0.0, frames.encode(HELLO))
    for number, at in ((65535, 10.0), (0, 20.0), (1, 30.0)):
        link.add_unacked(at, number)
    link.receive(50.0, frames.encode(Ack(0)))
    assert list(link.acked) == [(0, 20.0)]
    assert list(link.unacked_versions) == [(1, 30.0)]


def test_silence_and_missing_hellos_end_a_link() -> None:
    link = LinkState(LinkLimits(hello_timeout_ms=100.0, silence_timeout_ms=300.0), 0.0)
    assert link.overdue(99.0) == ""
    assert link.overdue(101.0) == "no hello"
    link.receive(50.0, frames.encode(HELLO))
    assert link.overdue(349.0) == ""
    assert link.overdue(351.0) == "silent"


def test_a_frame_with_later_fields_is_understood() -> None:
    body = msgspec.msgpack.encode(["beat", 5.0, "a field of a later version"])
    assert FrameReader(frames.controller_decoder, 100).feed(len(body).to_bytes(4, "big") + body) == [Heartbeat(5.0)]
