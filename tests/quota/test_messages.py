"""Messages on quotas, their bounds, and the limit on messages of one sender."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from corallanding.quota import (
    Budget,
    CapacityGrant,
    CapacityRequest,
    GrantRow,
    QuotaLimits,
    QuotaManager,
    RequestRow,
    decode,
    encode,
)
from tests.quota.support import LIMITS

MAX_DATAGRAM_BYTES = 255
MAX_UINT32 = 2**32 - 1


@given(st.binary(max_size=64))
def test_bytes_when_random_then_they_are_rejected_or_decode_again_to_the_same(data: bytes) -> None:
    message = decode(data)
    assert message is None or decode(encode(message)) == message


def test_message_when_it_has_max_rows_of_large_values_then_it_fits_a_datagram() -> None:
    max_rows = QuotaLimits().max_rows
    request = CapacityRequest(
        2**62,
        MAX_UINT32,
        2**62,
        MAX_UINT32,
        [RequestRow(MAX_UINT32, 2**20, 2**15, 2**15, 2**15, MAX_UINT32)] * max_rows,
    )
    grant = CapacityGrant(2**62, MAX_UINT32, [GrantRow(MAX_UINT32, 2**20, 2**15)] * max_rows)
    assert len(encode(request)) <= MAX_DATAGRAM_BYTES
    assert len(encode(grant)) <= MAX_DATAGRAM_BYTES


def test_budget_when_its_floors_exceed_the_capacity_then_it_is_rejected() -> None:
    with pytest.raises(ValueError, match="floor for each of 5 stewards is more than whole"):
        Budget("moves", 7, 2, 5)


def test_sender_when_it_sends_twice_its_rate_then_messages_over_the_rate_are_rejected() -> None:
    manager = QuotaManager(0, (1,), (0, 1), {}, LIMITS, 1, 0.0, random.Random(1).random, words_per_s=100.0)
    for count in range(4_000):  # twice the rate for 20 s; the burst is one second of the rate
        manager.on_message(5.0 * count, 1, CapacityGrant(1, count))
    assert abs(manager.rejected_count - (4_000 - 20 * 100 - 100)) <= 2
    manager.on_message(20_000.0, 7, CapacityGrant(1, 1))
    assert abs(manager.rejected_count - 1_901) <= 2, "an unknown sender is rejected"
