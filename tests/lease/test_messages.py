"""Messages of the election and of leases: size and rejection of invalid values; the digest of tasks."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from corallanding.lease.messages import (
    SHARD_SET_BYTES,
    FencedAction,
    LeaseGrant,
    LeaseRequest,
    VoteReply,
    VoteRequest,
    decode,
    encode,
)
from corallanding.lease.tasks import TaskCatalog, TaskSpec, pack, unpack


@given(st.binary(max_size=96))
def test_random_bytes_when_decoded_then_are_rejected_or_round_trip(data: bytes) -> None:
    message = decode(data)
    assert message is None or decode(encode(message)) == message


def test_messages_when_encoded_then_fit_a_datagram_and_invalid_values_are_rejected() -> None:
    large_value = 2**62
    request = LeaseRequest(
        large_value,
        2**40,
        large_value,
        2**40,
        b"\xff" * SHARD_SET_BYTES,
        b"\xff" * SHARD_SET_BYTES,
        2**40,
        2**32 - 1,
        large_value,
    )
    assert len(encode(request)) <= 250
    assert decode(encode(request)) == request
    for invalid_message in (
        LeaseRequest(1, 1, 0, 0, b"x", b"x"),
        LeaseGrant(1, 1, b"\0" * (SHARD_SET_BYTES - 1), 1),
        FencedAction(1, 1, 0),
        VoteRequest(-1, 1),
        VoteReply(1, -1),
        LeaseGrant(1, 1, b"\0" * SHARD_SET_BYTES, 1 << 63),
    ):
        assert decode(encode(invalid_message)) is None, invalid_message
    assert unpack(pack(1 << 255 | 5)) == 1 << 255 | 5


def test_digest_of_tasks_when_computed_then_equals_that_of_earlier_versions() -> None:
    specs = {
        "ledger": TaskSpec("ledger", 7, max_work_ms=100.0, max_idle_ms=250.0),
        "upgrade": TaskSpec("upgrade", max_work_ms=200.0, is_always_wanted=False),
    }
    assert TaskCatalog(specs).digest == 2637530144
