"""Rate, order, the limit on queued lines and the limit on messages, also while proxies join and leave."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from corallanding.channel import Channel, ChannelLimits, QueueFullError
from corallanding.channel.proxy_queue import Message


def test_messages_when_queued_then_they_are_sent_in_order_at_the_rate() -> None:
    channel = Channel(ChannelLimits(lines_per_second=1000.0, message_overhead_lines=8.0, max_queued_lines=1000.0))
    for proxy in (1, 2):
        channel.join(proxy)
    channel.submit(Message(b"a", 12, 1, 0.0), (1, 2))
    channel.submit(Message(b"b", 2, 2, 0.0), (1,))
    log = []
    for now in range(0, 61, 5):
        log += [(now, proxy, message.frame) for proxy, message in channel.take_due(float(now))]
    # Each of the first two messages costs 20 lines, which take 20 ms; the third is sent after both.
    assert log == [(0, 1, b"a"), (20, 2, b"a"), (40, 1, b"b")]
    assert channel.queued_lines == 0


def test_message_when_it_does_not_fit_then_the_error_has_its_proxies_and_others_get_it() -> None:
    channel = Channel(ChannelLimits(lines_per_second=1000.0, message_overhead_lines=8.0, max_queued_lines=25.0))
    for proxy in (1, 2, 3):
        channel.join(proxy)
    with pytest.raises(QueueFullError) as caught:
        channel.submit(Message(b"a", 4, 1, 0.0), (1, 2, 3, 9))
    assert caught.value.proxies == [3]
    assert channel.queued_lines == 24


def test_message_when_the_message_limit_is_reached_then_it_waits_until_the_window_ends() -> None:
    limits = ChannelLimits(
        lines_per_second=1e6,
        message_overhead_lines=0.0,
        max_queued_lines=100.0,
        max_messages=2,
        message_window_ms=1000.0,
    )
    channel = Channel(limits)
    channel.join(1)
    for number in range(3):
        channel.submit(Message(b"%d" % number, 1, number, 0.0), (1,))
    assert [message.frame for _, message in channel.take_due(1.0)] == [b"0", b"1"]
    assert channel.next_due_at_ms(1.0) == 1001.0
    assert channel.take_due(1000.0) == []
    assert [message.frame for _, message in channel.take_due(1001.0)] == [b"2"]


class JoinsAndMessages(RuleBasedStateMachine):
    """Proxies join, leave and join again; messages of any size are submitted; the clock advances."""

    def __init__(self) -> None:
        super().__init__()
        self.limits = ChannelLimits(
            lines_per_second=2000.0,
            message_overhead_lines=3.0,
            max_queued_lines=60.0,
            max_messages=3,
            message_window_ms=500.0,
        )
        self.channel = Channel(self.limits)
        self.now = 0.0
        self.number = 0
        self.received: dict[int, list[tuple[float, int]]] = {}
        self.joined_at_number: dict[int, int] = {}

    @rule(proxy=st.integers(0, 4))
    def join(self, proxy: int) -> None:
        self.channel.join(proxy)
        self.received[proxy] = []
        self.joined_at_number[proxy] = self.number

    @rule(proxy=st.integers(0, 4))
    def leave(self, proxy: int) -> None:
        self.channel.leave(proxy)
        self.received.pop(proxy, None)

    @rule(lines=st.integers(0, 30), to=st.sets(st.integers(0, 4)))
    def submit(self, lines: int, to: set[int]) -> None:
        self.number += 1
        rejected: set[int] = set()
        try:
            self.channel.submit(Message(b"%d" % self.number, lines, self.number, self.now), tuple(to))
        except QueueFullError as error:
            rejected = set(error.proxies)
        assert rejected <= to & set(self.received)

    @rule(ms=st.floats(0.1, 300))
    def advance(self, ms: float) -> None:
        self.now += ms
        for proxy, message in self.channel.take_due(self.now):
            assert message.version > self.joined_at_number[proxy], "a message submitted before the proxy joined"
            self.received[proxy].append((self.now, message.version))

    @invariant()
    def limits_are_kept(self) -> None:
        assert -1e-6 <= self.channel.queued_lines <= self.limits.max_queued_lines
        lines = sum(
            self.limits.message_overhead_lines + message.cost_lines
            for queue in self.channel.queues.values()
            for message in (*queue.urgent, *queue.ordinary)
        )
        assert abs(lines - self.channel.queued_lines) < 1e-6
        for rows in self.received.values():
            versions = [version for _, version in rows]
            assert versions == sorted(versions)
            for first, fourth in zip(rows, rows[3:], strict=False):
                assert fourth[0] - first[0] >= self.limits.message_window_ms - 1e-6


JoinsAndMessages.TestCase.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)
TestJoinsAndMessages = JoinsAndMessages.TestCase
