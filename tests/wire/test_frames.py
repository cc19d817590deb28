"""Decoding of frames: bytes cut at any place, arbitrary bytes and arbitrary field values."""

from __future__ import annotations

from typing import Any

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from corallanding.wire import frames
from corallanding.wire.frames import Ack, FrameReader, Goodbye, Heartbeat, HeldTables, Hello, LinkError, UsageReport
from corallanding.wire.link_state import LinkLimits, LinkState
from tests.wire.support import HELLO

HOST_ROWS = st.lists(st.tuples(*[st.integers(0, 2**32 - 1)] * 3, st.floats(0, 1e9)))
PROXY_FRAMES = st.one_of(
    st.builds(Hello, st.integers(0, 9), st.integers(0, 65535), st.text("ab", min_size=1, max_size=9)),
    st.builds(Ack, st.integers(0, 65535)),
    st.builds(UsageReport, st.floats(1, 1e6), HOST_ROWS),
    st.builds(HeldTables, st.integers(0, 99), st.integers(0, 99), st.just([(1, [(2, 1.0)])])),
    st.builds(Heartbeat, st.floats(0, 1e9)),
    st.builds(Goodbye, st.text("xyz", max_size=50)),
)
SCALARS = st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.floats() | st.binary(max_size=9)
ANY_VALUES = st.recursive(SCALARS | st.text(max_size=9), lambda inner: st.lists(inner, max_size=5), max_leaves=20)


@given(st.lists(PROXY_FRAMES, max_size=8), st.data())
@settings(max_examples=150, deadline=None)
def test_frames_when_the_bytes_are_cut_anywhere_then_they_are_decoded_completely(
    sent: list[frames.Frame], data: st.DataObject
) -> None:
    stream = b"".join(frames.encode(frame) for frame in sent)
    reader = FrameReader(frames.controller_decoder, 1 << 20)
    received = []
    start = 0
    while start < len(stream):
        size = data.draw(st.integers(1, max(1, len(stream) - start)))
        received += reader.feed(stream[start : start + size])
        start += size
    assert received == sent
    assert not reader.buffer


@given(st.binary(max_size=300))
@settings(max_examples=400, deadline=None)
def test_bytes_when_arbitrary_then_they_are_frames_or_an_error_with_a_code(data: bytes) -> None:
    reader = FrameReader(frames.controller_decoder, 200)
    code = None
    try:
        for start in range(0, len(data), 7):
            reader.feed(data[start : start + 7])
    except LinkError as error:
        code = error.code
    assert code in (None, "malformed", "oversized")
    assert len(reader.buffer) <= 200 + frames.LENGTH_BYTES + 7


def receive(link: LinkState, data: bytes) -> list[frames.Frame] | str:
    """Return the received frames, or the code of the error."""
    try:
        return link.receive(1.0, data)
    except LinkError as error:
        return error.code


@given(st.sampled_from(["hello", "ack", "sums", "held", "read", "beat", "bye"]), st.lists(ANY_VALUES, max_size=8))
@settings(max_examples=300, deadline=None)
def test_fields_when_arbitrary_then_accepted_values_are_within_their_bounds(tag: str, fields: list[Any]) -> None:
    body = msgspec.msgpack.encode([tag, *fields])
    link = LinkState(LinkLimits(), 0.0, hello=None if tag == "hello" else HELLO)
    received = receive(link, len(body).to_bytes(4, "big") + body)
    assert received != "protocol"
    if isinstance(received, str):
        return
    for frame in received:
        if isinstance(frame, Hello):
            assert frame.version == frames.PROTOCOL_VERSION
            assert 0 <= frame.proxy <= 65535
        if isinstance(frame, UsageReport):
            assert frame.span_ms > 0
            assert all(attempts >= 0 and failed >= 0 for _, attempts, failed, _ in frame.hosts)


def test_frame_when_it_has_fields_of_a_later_version_then_they_are_ignored() -> None:
    body = msgspec.msgpack.encode(["beat", 5.0, "a field of a later version"])
    received = FrameReader(frames.controller_decoder, 100).feed(len(body).to_bytes(4, "big") + body)
    assert received == [Heartbeat(5.0)]
