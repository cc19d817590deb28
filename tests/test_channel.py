"""The channel: pace, order, the queue's limit and the cap on messages, whatever comes and goes."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from corallanding.channel import Channel, Limits, Overrun


def test_messages_leave_in_order_at_the_rate() -> None:
    channel = Channel(Limits(rate=1000.0, head=8.0, queue_most=1000.0))
    for f in (1, 2):
        channel.join(f)
    channel.submit(0.0, b"a", 12, 1, (1, 2))
    channel.submit(0.0, b"b", 2, 2, (1,))
    log = []
    for now in range(0, 61, 5):
        log += [(now, f, m.frame) for f, m in channel.due(float(now))]
    # 20 lines take 20 ms each; the third waits for both.
    assert log == [(0, 1, b"a"), (20, 2, b"a"), (40, 1, b"b")] and channel.waiting == 0


def test_what_does_not_fit_names_its_forwarders_and_the_rest_goes() -> None:
    channel = Channel(Limits(rate=1000.0, head=8.0, queue_most=25.0))
    for f in (1, 2, 3):
        channel.join(f)
    with pytest.raises(Overrun) as over:
        channel.submit(0.0, b"a", 4, 1, (1, 2, 3, 9))
    assert over.value.forwarders == [3] and channel.waiting == 24


def test_the_cap_holds_a_message_back_until_the_span_is_over() -> None:
    channel = Channel(Limits(rate=1e6, head=0.0, queue_most=100.0, messages_most=2, span=1000.0))
    channel.join(1)
    for k in range(3):
        channel.submit(0.0, b"%d" % k, 1, k, (1,))
    assert [m.frame for _, m in channel.due(1.0)] == [b"0", b"1"]
    assert channel.next_at(1.0) == 1001.0
    assert channel.due(1000.0) == [] and [m.frame for _, m in channel.due(1001.0)] == [b"2"]


class Comings(RuleBasedStateMachine):
    """Forwarders join, leave and join again; messages of any size come; the clock runs on."""

    def __init__(self) -> None:
        super().__init__()
        self.limits = Limits(rate=2000.0, head=3.0, queue_most=60.0, messages_most=3, span=500.0)
        self.channel, self.now, self.number = Channel(self.limits), 0.0, 0
        self.got: dict[int, list[tuple[float, int]]] = {}
        self.joined_at: dict[int, float] = {}
        self.since: dict[int, int] = {}

    @rule(f=st.integers(0, 4))
    def join(self, f: int) -> None:
        self.channel.join(f)
        self.got[f], self.since[f] = [], self.number

    @rule(f=st.integers(0, 4))
    def leave(self, f: int) -> None:
        self.channel.leave(f)
        self.got.pop(f, None)

    @rule(lines=st.integers(0, 30), to=st.sets(st.integers(0, 4)))
    def submit(self, lines: int, to: set[int]) -> None:
        self.number += 1
        try:
            self.channel.submit(self.now, b"%d" % self.number, lines, self.number, tuple(to))
        except Overrun as over:
            assert set(over.forwarders) <= to & set(self.got)

    @rule(ms=st.floats(0.1, 300))
    def run(self, ms: float) -> None:
        self.now += ms
        for f, m in self.channel.due(self.now):
            assert m.mark > self.since[f], "a message of a former link"
            self.got[f].append((self.now, m.mark))

    @invariant()
    def bounds(self) -> None:
        assert -1e-6 <= self.channel.waiting <= self.limits.queue_most
        here = self.channel.ports
        waits = sum(self.limits.head + m.lines for p, m in self.channel.queue if here.get(p.forwarder) is p)
        waits += sum(self.limits.head + m.lines for p in here.values() for m in p.parked)
        assert abs(waits - self.channel.waiting) < 1e-6
        for rows in self.got.values():
            marks = [n for _, n in rows]
            assert marks == sorted(marks)
            for k in range(len(rows) - 3):
                assert rows[k + 3][0] - rows[k][0] >= self.limits.span - 1e-6


Comings.TestCase.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)
TestComings = Comings.TestCase
