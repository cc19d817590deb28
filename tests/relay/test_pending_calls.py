"""Orders to calls, and what becomes of them."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from platform_samples import HOSTS

from corallanding import interface as api
from corallanding.relay.call import MAX_CALL_BYTES, Call
from corallanding.relay.channel import ChannelEstimate
from corallanding.relay.pending_calls import PendingCalls

A, B, C = HOSTS[:3]


def calls(**over: Any) -> PendingCalls:
    return PendingCalls(["lookup", "claim"], **over)


def ops(call: Call | None) -> list[dict[str, Any]]:
    assert call
    said = msgspec.json.decode(call.line)
    assert said["method"] == "relay.apply"
    assert said["id"] == call.id
    assert call.line.endswith(b"\n")
    return list(said["params"]["ops"])


def answer(c: PendingCalls, at: float = 0.0, **said: Any) -> list[Any] | None:
    assert c.in_flight
    return c.on_answer(at, msgspec.json.encode({"jsonrpc": "2.0", "id": c.in_flight.id, **said}))


def test_order_when_encoded_then_it_is_in_the_relays_format() -> None:
    c = calls()
    c.add(
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
    assert ops(c.next_call(0.0)) == [
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
    c = calls()
    c.add([api.SetWeight(1, A, 1.0), api.PublishVersion(1)])
    assert len(ops(c.next_call(0.0))) == 2
    c.add([api.SetWeight(1, B, 1.0), api.SetWeight(1, A, 0.0), api.PublishVersion(2)])
    c.add([api.SetWeight(1, B, 0.0), api.SetWeight(1, C, 1.0), api.PublishVersion(3)])
    assert c.next_call(0.0) is None
    assert answer(c, result={"taken": 2}) == [api.SetWeight(1, A, 1.0), api.PublishVersion(1)]
    assert [(o.get("endpoint"), o.get("w"), o.get("stamp")) for o in ops(c.next_call(0.0))] == [
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
    c = calls()
    c.add([api.SetWeight(1, A, 1.0), api.SetWeight(1, B, 0.0), api.PublishVersion(1)])
    c.next_call(0.0)
    c.add([api.SetWeight(1, B, 1.0), api.PublishVersion(2)])
    assert c.on_answer(0.0, line) is None
    assert c.in_flight
    c.on_outcome_unknown(0.0)
    assert [(o.get("endpoint"), o.get("w"), o.get("stamp")) for o in ops(c.next_call(0.0))] == [
        ("s-0", 1.0, None),
        ("s-1", 1.0, None),
        (None, None, 2),
    ]


def test_calls_when_they_fail_repeatedly_then_they_back_off() -> None:
    c, now, gaps = calls(), 0.0, []
    c.add([api.SetWeight(1, A, 1.0)])
    for _ in range(9):
        at = c.next_send_ms(now)
        assert at is not None
        gaps.append(at - now)
        now = at
        assert c.next_call(now)
        c.on_outcome_unknown(now)
    assert gaps == [0.0, 0.0, 40.0, 160.0, 500.0, 500.0, 500.0, 500.0, 500.0]


def test_order_when_the_relay_cannot_use_it_then_it_is_left_out_and_the_rest_is_sent() -> None:
    c = calls()
    c.add([api.SetWeight(1, A, 1.0), api.SetWeight(2, B, 1.0), api.SetWeight(3, C, 1.0), api.PublishVersion(1)])
    c.next_call(0.0)
    assert answer(c, result={"taken": 1}) == [api.SetWeight(1, A, 1.0)]
    assert [o.get("table") for o in ops(c.next_call(0.0))] == [3, None]
    assert "s-1" in c.warnings[0]


def test_calls_when_throttled_then_nothing_is_lost_and_retries_are_paced() -> None:
    c = calls(max_messages=1)
    c.add([api.SetWeight(1, A, 1.0)])
    c.next_call(0.0)
    assert answer(c, error={"code": -1, "message": "Throttling"}) == []
    assert c.next_call(0.0) is None
    at = c.next_send_ms(0.0)
    assert at is not None
    assert 0.0 < at < 100.0
    assert len(ops(c.next_call(at))) == 1


def test_calls_when_the_message_cap_is_reached_then_none_is_sent() -> None:
    c = calls(max_messages=2, message_window_ms=10_000.0)
    c.add([api.SetWeight(1, A, 1.0)])
    for now in (0.0, 100.0):
        assert c.next_call(now)
        c.on_outcome_unknown(now)
    # The first became a message at 50 ms at the latest, and the span's last instant may count.
    assert c.next_send_ms(300.0) == 10_051.0
    assert c.next_call(10_050.9) is None
    assert c.next_call(10_051.0)


@given(st.lists(st.tuples(st.floats(0.0, 50.0), st.floats(0.0, 1.0), st.booleans()), max_size=40))
def test_messages_when_calls_take_any_time_then_the_cap_holds(
    story: list[tuple[float, float, bool]],
) -> None:
    """A call that becomes a message late is nearer to those after it than its sending was; and one whose connection
    breaks may become one after that still."""
    c, now, messages, span = calls(max_messages=3, message_window_ms=1_000.0), 0.0, list[float](), 1_000.0
    for n, (takes, part, broken) in enumerate(story):
        c.add([api.SetWeight(n, A, 1.0)])
        at = c.next_send_ms(now)
        assert at is not None
        now = max(now, at)
        call = c.next_call(now)
        assert call
        messages.append(now + takes)
        now += takes * part if broken else takes
        if broken:
            c.on_outcome_unknown(now)
        else:
            c.on_answer(now, msgspec.json.encode({"id": call.id, "result": {"taken": len(call.orders)}}))
        assert len([m for m in messages if m > messages[-1] - span]) <= 3


def test_call_when_over_the_size_limit_then_it_is_cut_and_the_version_goes_last() -> None:
    c = calls()
    lines = [api.SetWeight(t, A, 1.0) for t in range(1_500)] + [api.SetWeight(t, B, 0.0) for t in range(1_500)]
    c.add([*lines, api.Cordon(C, True), api.PublishVersion(5)])
    seen: list[dict[str, Any]] = []
    parts = 0
    while call := c.next_call(0.0):
        said = ops(call)
        assert sum(len(msgspec.json.encode(o)) + 1 for o in said) <= MAX_CALL_BYTES
        seen += said
        parts += 1
        answer(c, result={"taken": len(said)})
    assert parts > 1
    assert len(seen) == 3_002
    assert seen[0]["op"] == "OUT"
    assert seen[-1]["op"] == "SYNC"
    assert [o["w"] for o in seen if o["op"] == "SET"] == [1.0] * 1_500 + [0.0] * 1_500


def test_orders_when_their_slice_is_lost_then_they_are_void() -> None:
    c = calls()
    c.add([api.SetWeight(1, A, 1.0), api.SetWeight(2, A, 1.0), api.PublishVersion(1)])
    c.forget_slice(1)
    assert [o.get("table") for o in ops(c.next_call(0.0))] == [2, None]
    assert [o.slice for o in c.unconfirmed_table_orders()] == [2]


def test_reset_when_entries_of_its_table_wait_then_they_are_dropped() -> None:
    c = calls()
    c.add([api.SetWeight(1, A, 1.0)])
    c.next_call(0.0)
    c.add([api.SetWeight(1, B, 1.0), api.ResetTable(1), api.SetWeight(1, C, 1.0)])
    c.on_outcome_unknown(0.0)
    assert [(o["op"], o.get("endpoint")) for o in ops(c.next_call(0.0))] == [("DEL", None), ("SET", "s-2")]


PROXIES, MOST, RATE = 100, 30_000.0, 20.0  # lines a millisecond


def channel() -> ChannelEstimate:
    return ChannelEstimate(MOST, RATE * 1000.0, 8.0, lambda: PROXIES)


@given(st.lists(st.tuples(st.integers(1, 250), st.sampled_from(["answered", "lost", "twice"]), st.integers(1, 2_000))))
def test_channel_when_calls_are_sent_again_then_its_queue_is_not_exceeded(story: list[tuple[int, str, int]]) -> None:
    """Whatever was carried out, once or twice, at the stated rate: a wave of drains in a day of spoilt answers."""
    c = calls(channel=channel())
    now, held = 0.0, 0.0
    for mark, (lines, what, wait) in enumerate(story, 1):
        # The assigner orders what by its own count, which knows no copies, fits nine tenths of the queue.
        c.add([*(api.SetWeight(n, A, float(mark)) for n in range(lines)), api.PublishVersion(mark)])
        while (at := c.next_send_ms(now)) is not None:
            held, now = max(0.0, held - (max(at, now) - now) * RATE), max(at, now)
            call = c.next_call(now)
            assert call
            held += (len(call.orders) + 8) * PROXIES
            assert held <= MOST + 1e-6
            if what == "answered":
                assert answer(c, result={"taken": len(call.orders)}) is not None
            else:
                c.on_outcome_unknown(now)
                what = "answered" if what == "lost" else "lost"
        held, now = max(0.0, held - wait * RATE), now + wait


@given(st.lists(st.tuples(st.integers(1, 250), st.floats(0.0, 50.0), st.floats(0.0, 1.0), st.booleans()), max_size=20))
def test_channel_when_calls_take_any_time_then_its_queue_is_not_exceeded(
    story: list[tuple[int, float, float, bool]],
) -> None:
    """What the channel holds, by the instant in which each call became a message."""
    c = calls(channel=channel())
    now, held, counted = 0.0, 0.0, 0.0
    for n, (lines, takes, part, broken) in enumerate(story):
        c.add([*(api.SetWeight(k, A, float(n + 1)) for k in range(lines)), api.PublishVersion(n + 1)])
        while (at := c.next_send_ms(now)) is not None:
            now = max(at, now) + 1e-6  # or it is a rounding away
            call = c.next_call(now)
            assert call
            came = max(now + takes, counted)
            held, counted = max(0.0, held - (came - counted) * RATE) + (len(call.orders) + 8) * PROXIES, came
            assert held <= MOST + 1e-6
            now += takes * part if broken else takes
            if broken:
                c.on_outcome_unknown(now)
                broken = False
            else:
                assert answer(c, now, result={"taken": len(call.orders)}) is not None


def test_version_when_applied_then_its_unconfirmed_call_counts_as_carried_out() -> None:
    c = calls(channel=channel())
    orders = [*(api.SetWeight(n, A, 1.0) for n in range(200)), api.PublishVersion(5)]
    c.add(orders)
    c.next_call(0.0)
    c.on_outcome_unknown(10.0)
    c.add([api.SetWeight(3, A, 0.0)])
    assert c.next_call(10.0) is None, "a second copy does not fit beside the first"
    assert c.on_version_applied(4) == []
    assert c.on_version_applied(5) == orders
    assert c.on_version_applied(5) == []
    assert list(c.waiting.values()) == [api.SetWeight(3, A, 0.0)], "only what came since is left to send"
