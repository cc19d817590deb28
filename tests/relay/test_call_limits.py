"""Calls keep within the relay's limits on messages and queued lines, also calls that are sent again."""

from __future__ import annotations

import msgspec
from hypothesis import given
from hypothesis import strategies as st
from platform_samples import HOSTS

from corallanding import interface as api
from corallanding.assignment.message_limit import WINDOW_MARGIN_MS, MessageLimit
from corallanding.relay.channel import LEVEL_LINES, ChannelEstimate
from tests.relay.calls import (
    LINES_PER_MS,
    MAX_QUEUED_LINES,
    PROXY_COUNT,
    answer_call,
    decode_orders,
    make_channel,
    make_pending_calls,
)

A, B, C = HOSTS[:3]


def unpaced_limit(max_messages: int, window_ms: float) -> MessageLimit:
    """Return a limit that may be used up at once."""
    return MessageLimit(max_messages, window_ms + WINDOW_MARGIN_MS, window_ms + WINDOW_MARGIN_MS)


def test_calls_when_the_message_cap_is_reached_then_none_is_sent() -> None:
    pending = make_pending_calls(message_limit=unpaced_limit(2, 10_000.0))
    pending.add([api.SetWeight(1, A, 1.0)])
    for now in (0.0, 100.0):
        assert pending.next_call(now)
        pending.on_outcome_unknown(now)
    # The first became a message at 50 ms at the latest, and the end of the window may be inclusive.
    assert pending.next_send_ms(300.0) == 10_051.0
    assert pending.next_call(10_050.9) is None
    assert pending.next_call(10_051.0)


@given(st.lists(st.tuples(st.floats(0.0, 50.0), st.floats(0.0, 1.0), st.booleans()), max_size=40))
def test_messages_when_calls_are_delayed_then_the_cap_is_kept(
    script: list[tuple[float, float, bool]],
) -> None:
    """Delays between calls and messages vary, so messages may be closer together than their calls.

    A call whose connection is lost may become a message after the loss. script: delay in ms, part of it until the
    connection is lost, and whether it is lost.
    """
    window_ms = 1_000.0
    pending = make_pending_calls(message_limit=unpaced_limit(3, window_ms))
    now, messages = 0.0, list[float]()
    for n, (delay_ms, part, is_lost) in enumerate(script):
        pending.add([api.SetWeight(n, A, 1.0)])
        at = pending.next_send_ms(now)
        assert at is not None
        now = max(now, at)
        call = pending.next_call(now)
        assert call
        messages.append(now + delay_ms)
        now += delay_ms * part if is_lost else delay_ms
        if is_lost:
            pending.on_outcome_unknown(now)
        else:
            pending.on_answer(now, msgspec.json.encode({"id": call.id, "result": {"taken": len(call.orders)}}))
        assert len([sent_ms for sent_ms in messages if sent_ms > messages[-1] - window_ms]) <= 3


def test_orders_when_calls_are_sent_again_then_none_waits_for_the_window_to_pass() -> None:
    """Guards against calls of unknown outcome that use up the messages which later drains need.

    Hosts drain every 400 ms, and two in five answers cannot be read. Former fault: after 20 calls within a few seconds
    the next drains waited until the first of them was 10 s old.
    """
    pending = make_pending_calls(message_limit=MessageLimit.for_drains(20, 10_000.0, drain_grace_ms=3_000.0))
    now, added_at = 0.0, dict[int, float]()
    for number in range(40):
        due = number * 400.0
        while (at := pending.next_send_ms(now)) is not None and at <= due:
            now = at
            call = pending.next_call(now)
            assert call
            for order in call.orders:
                assert isinstance(order, api.Cordon)
                assert now - added_at.pop(order.host, now) <= 1_000.0
            if call.id % 5 in (0, 2):
                pending.on_outcome_unknown(now)
            else:
                pending.on_answer(now, msgspec.json.encode({"id": call.id, "result": {"taken": len(call.orders)}}))
        now = due
        added_at[number] = now
        pending.add([api.Cordon(number, True)])
    assert pending.counts["unknown"] > 8


def test_calls_when_throttled_then_nothing_is_lost_and_retries_are_paced() -> None:
    pending = make_pending_calls(message_limit=unpaced_limit(1, 10_000.0))
    pending.add([api.SetWeight(1, A, 1.0)])
    pending.next_call(0.0)
    assert answer_call(pending, error={"code": -1, "message": "Throttling"}) == []
    assert pending.next_call(0.0) is None
    at = pending.next_send_ms(0.0)
    assert at is not None
    assert 0.0 < at < 100.0
    assert len(decode_orders(pending.next_call(at))) == 1


@given(st.lists(st.tuples(st.integers(1, 250), st.sampled_from(["answered", "lost", "twice"]), st.integers(1, 2_000))))
def test_channel_when_calls_are_sent_again_then_its_queue_is_not_exceeded(script: list[tuple[int, str, int]]) -> None:
    """Every call is carried out at once, also one whose answer is lost and that is sent again.

    script: orders of a batch, whether its answer arrives, is lost once or lost twice, and ms until the next batch.
    """
    pending = make_pending_calls(channel=make_channel())
    now, queued_lines = 0.0, 0.0
    for version, (order_count, outcome, pause_ms) in enumerate(script, 1):
        # The assigner limits a batch to nine tenths of the queue, and does not count calls sent again.
        pending.add([*(api.SetWeight(n, A, float(version)) for n in range(order_count)), api.PublishVersion(version)])
        while (at := pending.next_send_ms(now)) is not None:
            queued_lines, now = max(0.0, queued_lines - (max(at, now) - now) * LINES_PER_MS), max(at, now)
            call = pending.next_call(now)
            assert call
            queued_lines += (len(call.orders) + LEVEL_LINES + 8) * PROXY_COUNT
            assert queued_lines <= MAX_QUEUED_LINES + 1e-6
            if outcome == "answered":
                assert answer_call(pending, result={"taken": len(call.orders)}) is not None
            else:
                pending.on_outcome_unknown(now)
                outcome = "answered" if outcome == "lost" else "lost"
        queued_lines, now = max(0.0, queued_lines - pause_ms * LINES_PER_MS), now + pause_ms


@given(st.lists(st.tuples(st.integers(1, 250), st.floats(0.0, 50.0), st.floats(0.0, 1.0), st.booleans()), max_size=20))
def test_channel_when_calls_are_delayed_then_its_queue_is_not_exceeded(
    script: list[tuple[int, float, float, bool]],
) -> None:
    """The queue is filled at the time at which each call becomes a message, which is later than its sending.

    script: orders of a batch, delay in ms, part of it until the connection is lost, and whether it is lost.
    """
    pending = make_pending_calls(channel=make_channel())
    now, queued_lines, queued_at_ms = 0.0, 0.0, 0.0
    for n, (order_count, delay_ms, part, is_lost) in enumerate(script):
        pending.add([*(api.SetWeight(k, A, float(n + 1)) for k in range(order_count)), api.PublishVersion(n + 1)])
        while (at := pending.next_send_ms(now)) is not None:
            now = max(at, now) + 1e-6  # 1e-6 ms of margin for rounding
            call = pending.next_call(now)
            assert call
            message_at_ms = max(now + delay_ms, queued_at_ms)
            drained_lines = (message_at_ms - queued_at_ms) * LINES_PER_MS
            queued_lines = max(0.0, queued_lines - drained_lines) + (len(call.orders) + LEVEL_LINES + 8) * PROXY_COUNT
            queued_at_ms = message_at_ms
            assert queued_lines <= MAX_QUEUED_LINES + 1e-6
            now += delay_ms * part if is_lost else delay_ms
            if is_lost:
                pending.on_outcome_unknown(now)
                is_lost = False
            else:
                assert answer_call(pending, now, result={"taken": len(call.orders)}) is not None


def test_orders_of_several_steps_when_they_wait_together_then_no_message_exceeds_the_queue() -> None:
    """Guards against orders that wait for an unreachable relay and become one message, larger than the queue."""
    pending = make_pending_calls(channel=make_channel())
    for version in range(1, 6):
        orders = [api.SetWeight(1_000 * version + n, A, 1.0) for n in range(200)]
        pending.add([*orders, api.PublishVersion(version)])
    now, sent = 0.0, 0
    while (at := pending.next_send_ms(now)) is not None:
        now = max(now, at)
        call = pending.next_call(now)
        assert call
        assert pending.channel.queued_at(now) <= MAX_QUEUED_LINES
        sent += len(call.orders)
        assert answer_call(pending, now, result={"taken": len(call.orders)}) is not None
    assert sent == 5 * 200 + 1, "the versions replace one another"


def test_channel_when_proxies_join_during_a_call_then_its_lines_for_them_count() -> None:
    """Guards against the calls after a restart that overfill the queue, as the proxies join one after the other."""
    proxy_count = 10
    channel = ChannelEstimate(MAX_QUEUED_LINES, LINES_PER_MS * 1000.0, 8.0, lambda: proxy_count)
    pending = make_pending_calls(channel=channel)
    pending.add([api.SetWeight(slice_id, A, 1.0) for slice_id in range(50)])
    assert pending.next_call(0.0)
    proxy_count = 100
    assert answer_call(pending, 0.0, result={"taken": 50}) is not None
    assert channel.queued_at(0.0) == (50 + LEVEL_LINES + 8) * 100
