"""The RESP reader: messages from bytes, limits, and streams that cannot be parsed."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from corallanding.resp import Reader, encode

WORDS = st.lists(st.text(max_size=12), min_size=1, max_size=6)


@given(st.lists(WORDS, max_size=5), st.lists(st.integers(0, 400), max_size=8))
def test_reader_when_a_stream_is_cut_anywhere_then_messages_are_the_same(
    messages: list[list[str]], cuts: list[int]
) -> None:
    stream = b"".join(encode(words) for words in messages)
    reader, out, at = Reader(1_000), [], 0
    for cut in [*sorted(c for c in cuts if c < len(stream)), len(stream)]:
        out += reader.feed(stream[at:cut])
        at = cut
    assert out == [[w.encode() for w in words] for words in messages]
    assert not reader.error
    assert not reader.buffer


@given(st.binary(max_size=200), st.integers(1, 50))
def test_reader_when_fed_any_bytes_then_it_raises_nothing_and_its_buffer_is_bounded(data: bytes, size: int) -> None:
    reader = Reader(64)
    for at in range(0, len(data), size):
        reader.feed(data[at : at + size])
        assert len(reader.buffer) <= 64 + size


@pytest.mark.parametrize(
    "data",
    [
        b"GET /v1/servers HTTP/1.1\r\n",
        b"*99999999999999\r\n",
        b"*0\r\n",
        b"*-1\r\n",
        b"*1\r\n$999999999\r\n",
        b"*1\r\n$-1\r\n",
        b"*1\r\n$2\r\nabcd",
        b"*65\r\n",
        b"*1\r\n:5\r\n",
        b"*+1\r\n",
        b"*1\r\n$60\r\n" + b"x" * 60 + b"\r\n",
        b"*1\r\n+abc\r\n",
        b"+abc\r\n",
        b"$2\r\nab\r\n",
        b":1\r\n",
        b"*1\r\n*1\r\n$1\r\na\r\n",
        b"*4000000000\r\n",
        b"*1\r\n$02\r\nab\r\n",
    ],
)
def test_reader_when_bytes_are_malformed_then_the_stream_ends_at_once(data: bytes) -> None:
    reader = Reader(64)
    good = encode(["hb"])
    assert reader.feed(good + data) == [[b"hb"]]
    assert reader.error
    assert reader.feed(good) == []


def test_reader_when_a_message_exceeds_the_limit_then_it_is_not_buffered() -> None:
    reader = Reader(64)
    reader.feed(b"*2\r\n$40\r\n" + b"x" * 40 + b"\r\n$40\r\n")
    assert reader.error
    assert not reader.buffer
