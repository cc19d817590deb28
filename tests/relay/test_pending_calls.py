"""Batching of orders into calls, and the handling of call outcomes.

Guards against lost, reordered or outdated orders after failed calls.
"""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from platform_samples import HOSTS

from corallanding import interface as api
from corallanding.relay.call import MAX_CALL_BYTES
from tests.relay.calls import answer_call, decode_orders, make_channel, make_pending_calls

A, B, C = HOSTS[:3]


def test_orders_when_encoded_then_they_are_in_the_relays_format() -> None:
    pending = make_pending_calls()
    pending.add(
        [
            api.PublishVersion(905, True),
            api.SetAdmission(4, 1, 0.9, api.RetryMode.PROVEN_UNRUN),
            api.SetAdmission(api.ALL_TABLES, 0, 1.0, api.RetryMode.NEVER),
            api.SetWeight(4, A, 1.5),
            api.SetWeight(4, B, 0.0),
            api.Cordon(B, True),
            api.Cordon(C, False),
            api.ResetTable(7),
        ]
    )
    assert decode_orders(pending.next_call(0.0)) == [
        {"op": "DEL", "table": 7},
        {"op": "OUT", "endpoint": "s-1"},
        {"op": "SET", "table": 4, "endpoint": "s-0", "w": 1.5},
        {"op": "SET", "table": 4, "endpoint": "s-1", "w": 0.0},
        {"op": "IN", "endpoint": "s-2"},
        {"op": "LIMIT", "table": 4, "for": ["lookup"], "gate": 0.9, "again": 1},
        {"op": "LIMIT", "table": "*", "for": "*", "gate": 1.0, "again": 0},
        {"op": "SYNC", "stamp": 905, "set": 1},
    ]


def test_orders_when_a_call_is_in_flight_then_the_latest_of_each_key_waits() -> None:
    pending = make_pending_calls()
    pending.add([api.SetWeight(1, A, 1.0), api.PublishVersion(1)])
    assert len(decode_orders(pending.next_call(0.0))) == 2
    pending.add([api.SetWeight(1, B, 1.0), api.SetWeight(1, A, 0.0), api.PublishVersion(2)])
    pending.add([api.SetWeight(1, B, 0.0), api.SetWeight(1, C, 1.0), api.PublishVersion(3)])
    assert pending.next_call(0.0) is None
    assert answer_call(pending, result={"taken": 2}) == [api.SetWeight(1, A, 1.0), api.PublishVersion(1)]
    assert [(o.get("endpoint"), o.get("w"), o.get("stamp")) for o in decode_orders(pending.next_call(0.0))] == [
        ("s-2", 1.0, None),
        ("s-0", 0.0, None),
        ("s-1", 0.0, None),
        (None, None, 3),
    ]


@pytest.mark.parametrize(
    "line",
    [
        b"{",
        b'{"id":1}',
        b'{"id":9,"result":{"taken":1}}',
        b'{"id":1,"result":{"taken":7}}',
        b'{"id":1,"result":{"taken":"1"}}',
        b'{"id":true,"result":{"taken":1}}',
        b"\xff\xfe",
        b'{"id":1,"result":1}',
        b'{"id":1,"error":{"message":"odd"}}',
    ],
)
def test_call_when_its_outcome_is_unknown_then_it_is_sent_again(line: bytes) -> None:
    pending = make_pending_calls()
    pending.add([api.SetWeight(1, A, 1.0), api.SetWeight(1, B, 0.0), api.PublishVersion(1)])
    pending.next_call(0.0)
    pending.add([api.SetWeight(1, B, 1.0), api.PublishVersion(2)])
    assert pending.on_answer(0.0, line) is None
    assert pending.in_flight
    pending.on_outcome_unknown(0.0)
    assert [(o.get("endpoint"), o.get("w"), o.get("stamp")) for o in decode_orders(pending.next_call(0.0))] == [
        ("s-0", 1.0, None),
        ("s-1", 1.0, None),
        (None, None, 2),
    ]


def test_calls_when_they_fail_repeatedly_then_they_back_off() -> None:
    pending, now, gaps = make_pending_calls(), 0.0, []
    pending.add([api.SetWeight(1, A, 1.0)])
    for _ in range(9):
        at = pending.next_send_ms(now)
        assert at is not None
        gaps.append(at - now)
        now = at
        assert pending.next_call(now)
        pending.on_outcome_unknown(now)
    assert gaps == [0.0, 0.0, 40.0, 160.0, 500.0, 500.0, 500.0, 500.0, 500.0]


def test_order_when_rejected_then_it_is_dropped_and_the_rest_is_sent() -> None:
    pending = make_pending_calls()
    pending.add([api.SetWeight(1, A, 1.0), api.SetWeight(2, B, 1.0), api.SetWeight(3, C, 1.0), api.PublishVersion(1)])
    pending.next_call(0.0)
    assert answer_call(pending, result={"taken": 1}) == [api.SetWeight(1, A, 1.0)]
    assert [o.get("table") for o in decode_orders(pending.next_call(0.0))] == [3, None]
    assert "s-1" in pending.warnings[0]


def test_call_when_over_the_size_limit_then_it_is_split_and_the_version_is_sent_last() -> None:
    pending = make_pending_calls()
    orders = [api.SetWeight(t, A, 1.0) for t in range(1_500)] + [api.SetWeight(t, B, 0.0) for t in range(1_500)]
    pending.add([*orders, api.Cordon(C, True), api.PublishVersion(5)])
    sent: list[dict[str, Any]] = []
    call_count = 0
    while call := pending.next_call(0.0):
        decoded = decode_orders(call)
        assert sum(len(msgspec.json.encode(o)) + 1 for o in decoded) <= MAX_CALL_BYTES
        sent += decoded
        call_count += 1
        answer_call(pending, result={"taken": len(decoded)})
    assert call_count > 1
    assert len(sent) == 3_002
    assert sent[0]["op"] == "OUT"
    assert sent[-1]["op"] == "SYNC"
    assert [o["w"] for o in sent if o["op"] == "SET"] == [1.0] * 1_500 + [0.0] * 1_500


def test_orders_when_their_slice_is_lost_then_they_are_dropped() -> None:
    pending = make_pending_calls()
    pending.add([api.SetWeight(1, A, 1.0), api.SetWeight(2, A, 1.0), api.PublishVersion(1)])
    pending.forget_slice(1)
    assert [o.get("table") for o in decode_orders(pending.next_call(0.0))] == [2, None]
    assert [o.slice for o in pending.unconfirmed_table_orders()] == [2]


def test_reset_when_entries_of_its_table_wait_then_they_are_dropped() -> None:
    pending = make_pending_calls()
    pending.add([api.SetWeight(1, A, 1.0)])
    pending.next_call(0.0)
    pending.add([api.SetWeight(1, B, 1.0), api.ResetTable(1), api.SetWeight(1, C, 1.0)])
    pending.on_outcome_unknown(0.0)
    assert [(o["op"], o.get("endpoint")) for o in decode_orders(pending.next_call(0.0))] == [
        ("DEL", None),
        ("SET", "s-2"),
    ]


def test_version_when_applied_then_its_unconfirmed_call_counts_as_carried_out() -> None:
    pending = make_pending_calls(channel=make_channel())
    orders = [*(api.SetWeight(n, A, 1.0) for n in range(200)), api.PublishVersion(5)]
    pending.add(orders)
    pending.next_call(0.0)
    pending.on_outcome_unknown(10.0)
    pending.add([api.SetWeight(3, A, 0.0)])
    assert pending.next_call(10.0) is None, "the queue has no room for a second copy of the call"
    assert pending.on_version_applied(4) == []
    assert pending.on_version_applied(5) == orders
    assert pending.on_version_applied(5) == []
    assert list(pending.waiting.values()) == [api.SetWeight(3, A, 0.0)], (
        "only the order added after the call is left to send"
    )
