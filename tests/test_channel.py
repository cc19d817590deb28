"""The channel: pace, order, the queue's limit and the cap on messages, whatever comes and goes."""

from __future__ import annotations

import copy
from typing import Any

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test
from msgspec import structs

from corallanding.channel import Channel, ChannelLimits, QueueFullError
from corallanding.channel.merge import cost_lines, merge_ahead
from corallanding.channel.proxy_queue import Message
from corallanding.wire.frames import Orders, encode, proxy_decoder


def test_messages_leave_in_order_at_the_rate() -> None:
    channel = Channel(ChannelLimits(lines_per_second=1000.0, message_overhead_lines=8.0, max_queued_lines=1000.0))
    for f in (1, 2):
        channel.join(f)
    channel.submit(Message(b"a", 12, 1, 0.0), (1, 2))
    channel.submit(Message(b"b", 2, 2, 0.0), (1,))
    log = []
    for now in range(0, 61, 5):
        log += [(now, f, m.frame) for f, m in channel.take_due(float(now))]
    # 20 lines take 20 ms each; the third waits for both.
    assert log == [(0, 1, b"a"), (20, 2, b"a"), (40, 1, b"b")]
    assert channel.queued_lines == 0


def test_what_does_not_fit_names_its_forwarders_and_the_rest_goes() -> None:
    channel = Channel(ChannelLimits(lines_per_second=1000.0, message_overhead_lines=8.0, max_queued_lines=25.0))
    for f in (1, 2, 3):
        channel.join(f)
    with pytest.raises(QueueFullError) as over:
        channel.submit(Message(b"a", 4, 1, 0.0), (1, 2, 3, 9))
    assert over.value.proxies == [3]
    assert channel.queued_lines == 24


def test_the_cap_holds_a_message_back_until_the_span_is_over() -> None:
    channel = Channel(
        ChannelLimits(
            lines_per_second=1e6,
            message_overhead_lines=0.0,
            max_queued_lines=100.0,
            max_messages=2,
            message_window_ms=1000.0,
        )
    )
    channel.join(1)
    for k in range(3):
        channel.submit(Message(b"%d" % k, 1, k, 0.0), (1,))
    assert [m.frame for _, m in channel.take_due(1.0)] == [b"0", b"1"]
    assert channel.next_due_at(1.0) == 1001.0
    assert channel.take_due(1000.0) == []
    assert [m.frame for _, m in channel.take_due(1001.0)] == [b"2"]


class Comings(RuleBasedStateMachine):
    """Forwarders join, leave and join again; messages of any size come; the clock runs on."""

    def __init__(self) -> None:
        super().__init__()
        self.limits = ChannelLimits(
            lines_per_second=2000.0,
            message_overhead_lines=3.0,
            max_queued_lines=60.0,
            max_messages=3,
            message_window_ms=500.0,
        )
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
            self.channel.submit(Message(b"%d" % self.number, lines, self.number, self.now), tuple(to))
        except QueueFullError as over:
            assert set(over.proxies) <= to & set(self.got)

    @rule(ms=st.floats(0.1, 300))
    def run(self, ms: float) -> None:
        self.now += ms
        for f, m in self.channel.take_due(self.now):
            assert m.version > self.since[f], "a message of a former link"
            self.got[f].append((self.now, m.version))

    @invariant()
    def bounds(self) -> None:
        assert -1e-6 <= self.channel.queued_lines <= self.limits.max_queued_lines
        here = self.channel.queues
        waits = sum(
            self.limits.message_overhead_lines + m.cost_lines for p in here.values() for m in (*p.urgent, *p.ordinary)
        )
        assert abs(waits - self.channel.queued_lines) < 1e-6
        for rows in self.got.values():
            marks = [n for _, n in rows]
            assert marks == sorted(marks)
            for k in range(len(rows) - 3):
                assert rows[k + 3][0] - rows[k][0] >= self.limits.message_window_ms - 1e-6


Comings.TestCase.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)
TestComings = Comings.TestCase


# ---- urgent orders -----------------------------------------------------------------------------------------


def order(seq: int, mark: int, *lines: tuple[int, int, float], **more: Any) -> Orders:
    return Orders(seq, mark, lines=list(lines), addresses={h: f"a{seq}" for _, h, w in lines if w > 0}, **more)


def hand(channel: Channel, now: float, o: Orders, to: tuple[int, ...], urgent: bool = False) -> None:
    channel.submit(Message(encode(o), cost_lines(o), o.version, now, o), to, is_urgent=urgent)


class Holder:
    """A forwarder's tables, as orders leave them."""

    def __init__(self, tables: dict[int, dict[int, float]]) -> None:
        self.tables = {t: dict(row) for t, row in tables.items()}
        self.cordons: set[int] = set()
        self.addresses: dict[int, str] = {}
        self.levels: dict[tuple[int, int], float] = {}
        self.seq, self.mark = 0, -1

    def apply(self, o: Orders) -> None:
        for t, h, w in o.lines:
            self.tables[t].pop(h, None)
            if w > 0:
                self.tables[t][h] = w
        self.levels.update({(t, b): a for t, b, a, _ in o.levels})
        for h, on in o.cordons:
            (self.cordons.add if on else self.cordons.discard)(h)
        self.addresses.update(o.addresses)
        assert o.seq >= self.seq
        self.seq = o.seq
        if o.version >= 0:
            assert self.mark < 0 or (o.version - self.mark) % 65536 < 32768
            self.mark = o.version

    def without(self) -> list[int]:
        return [t for t, row in self.tables.items() if not set(row) - self.cordons]


def test_a_drain_overtakes_what_waits_and_takes_its_tables_lines_along() -> None:
    channel = Channel(ChannelLimits(lines_per_second=1000.0, message_overhead_lines=0.0, max_queued_lines=1000.0))
    for f in (1, 2):
        channel.join(f)
    hand(channel, 0.0, order(1, 1, (7, 70, 1.0), (8, 80, 1.0)), (1, 2))
    assert [f for f, _ in channel.take_due(0.0)] == [1], "the second forwarder's still waits"
    hand(channel, 0.0, order(2, 2, (7, 71, 1.0), (7, 69, 0.0)), (1, 2), urgent=True)
    sent = []
    for now in range(1, 30):
        sent += [(f, m.orders.seq, m.version, m.orders.lines) for f, m in channel.take_due(float(now)) if m.orders]
    assert sent == [
        (1, 2, 2, [(7, 71, 1.0), (7, 69, 0.0)]),
        (2, 1, -1, [(7, 70, 1.0), (7, 71, 1.0), (7, 69, 0.0)]),
        (2, 2, 2, [(8, 80, 1.0)]),  # and with it the ack for both
    ]
    assert channel.queued_lines == 0
    assert channel.messages_overtaken == 1


def test_a_cordon_takes_every_waiting_line_along_and_the_mark() -> None:
    channel = Channel(ChannelLimits(lines_per_second=1000.0, message_overhead_lines=0.0, max_queued_lines=1000.0))
    channel.join(1)
    channel.join(2)
    for n in (1, 2, 3):
        hand(channel, 0.0, order(n, n, (n, 70 + n, 1.0)), (1, 2))
    channel.take_due(0.0)
    hand(channel, 0.0, Orders(4, 4, cordons=[(9, True)]), (1, 2), urgent=True)
    sent = [x for now in range(1, 40) for x in channel.take_due(float(now))]
    whole = [(1, 71, 1.0), (2, 72, 1.0), (3, 73, 1.0)]
    assert [(f, m.version, sorted(m.orders.lines)) for f, m in sent if m.orders] == [(1, 4, whole), (2, 4, whole)]
    assert channel.queued_lines == 0


def test_one_that_joined_between_waiting_orders_gets_mark_number_and_newest_address() -> None:
    """Found by the search below: what the oldest says, or nothing at all, went to one that never waited for it."""
    channel = Channel(ChannelLimits(lines_per_second=1000.0, message_overhead_lines=0.0, max_queued_lines=1000.0))
    channel.join(1)
    hand(channel, 0.0, order(1, 1, (1, 71, 1.0)), (1,))
    channel.take_due(0.0)
    hand(channel, 0.0, order(2, 2, (1, 72, 1.0), (2, 73, 1.0)), (1,))
    hand(channel, 0.0, Orders(3, addresses={72: "newer"}), (1,))
    channel.join(2)  # its tables are those of number 3
    hand(channel, 0.0, order(4, 4, (1, 74, 1.0)), (1, 2))
    hand(channel, 0.0, order(5, 5, (1, 75, 1.0), (1, 71, 0.0)), (1, 2), urgent=True)
    got: dict[int, list[Orders]] = {1: [], 2: []}
    for now in range(1, 60):
        for f, m in channel.take_due(float(now)):
            assert m.orders
            got[f].append(m.orders)
    assert [o.seq for o in got[2]] == [4, 5]
    assert got[2][-1].version == 5
    assert [o.seq for o in got[1]] == [4, 4, 5]
    assert got[1][-1].version == 5
    assert all(o.addresses.get(72, "newer") == "newer" for o in (*got[1], *got[2]))


def test_tables_given_anew_are_not_overtaken() -> None:
    channel = Channel(ChannelLimits(lines_per_second=1000.0, message_overhead_lines=0.0, max_queued_lines=1000.0))
    channel.join(1)
    hand(channel, 0.0, order(1, 1, (1, 71, 1.0)), (1,))
    channel.submit(Message(b"tables", 9, -1, 0.0), (1,))
    hand(channel, 0.0, order(3, 3, (1, 72, 1.0), (1, 71, 0.0)), (1,), urgent=True)
    marks = [m.version for now in range(40) for _, m in channel.take_due(float(now))]
    assert marks == [1, -1, 3]


def test_a_socket_that_takes_no_more_holds_its_share_and_no_more() -> None:
    channel = Channel(ChannelLimits(lines_per_second=1e6, message_overhead_lines=0.0, max_queued_lines=100.0))
    for f in range(4):
        channel.join(f)
    channel.set_blocked(3, is_blocked=True)
    got: dict[int, list[int]] = {f: [] for f in range(4)}
    cut = None
    for n in range(1, 9):
        try:
            hand(channel, float(n), order(n, n, (n, 1, 1.0), (n, 2, 1.0), (n, 3, 1.0), (n, 4, 1.0)), (0, 1, 2, 3))
        except QueueFullError as over:
            cut = (n, over.proxies)
            channel.leave(3)
        for k in range(5):
            for f, m in channel.take_due(n + k / 10):
                got[f].append(m.version)
    assert cut == (6, [3]), "five messages of five lines are its quarter of the queue"
    assert all(got[f] == list(range(1, 9)) for f in (0, 1, 2))
    assert got[3] == []
    assert channel.queued_lines == 0


def test_a_socket_that_takes_more_again_gets_the_urgent_one_first() -> None:
    channel = Channel(ChannelLimits(lines_per_second=1e6, message_overhead_lines=0.0, max_queued_lines=100.0))
    channel.join(1)
    channel.set_blocked(1, is_blocked=True)
    hand(channel, 0.0, order(1, 1, (1, 71, 1.0)), (1,))
    assert channel.take_due(1.0) == []
    assert channel.next_due_at(1.0) is None
    hand(channel, 2.0, order(2, 2, (2, 72, 1.0), (2, 71, 0.0)), (1,), urgent=True)
    assert channel.take_due(3.0) == []
    channel.set_blocked(1, is_blocked=False)
    assert [m.orders.lines[0][0] for _, m in channel.take_due(4.0) if m.orders] == [2, 1]


class Overtaking(RuleBasedStateMachine):
    """Orders of every kind, ordinary and urgent, to forwarders that join, leave, block and are capped.

    The model applies orders in the order in which they were given. Whenever nothing waits for a forwarder it holds what
    the model holds; and as long as the model never leaves a table without a host, no forwarder has one, at any time.
    """

    TABLES, HOSTS = range(4), range(6)

    def __init__(self) -> None:
        super().__init__()
        self.channel = Channel(
            ChannelLimits(
                lines_per_second=300.0,
                message_overhead_lines=2.0,
                max_queued_lines=400.0,
                max_messages=4,
                message_window_ms=300.0,
            )
        )
        self.model = Holder({t: {t % 3: 1.0} for t in self.TABLES})
        self.here: dict[int, Holder] = {}
        self.now, self.seq = 0.0, 0

    def joined(self, f: int) -> None:
        self.channel.join(f)
        self.here[f] = copy.deepcopy(self.model)

    @rule(f=st.integers(0, 3))
    def join(self, f: int) -> None:
        self.joined(f)

    @rule(f=st.integers(0, 3))
    def leave(self, f: int) -> None:
        self.channel.leave(f)
        self.here.pop(f, None)

    @rule(f=st.integers(0, 3), on=st.booleans())
    def block(self, f: int, on: bool) -> None:
        self.channel.set_blocked(f, is_blocked=on)

    @rule(
        rows=st.lists(st.tuples(st.integers(0, 3), st.integers(0, 5), st.booleans()), max_size=6),
        cordon=st.one_of(st.none(), st.tuples(st.integers(0, 5), st.booleans())),
        level=st.floats(0.1, 1.0),
        urgent=st.booleans(),
        moved=st.integers(0, 5),
    )
    def give(self, rows: Any, cordon: Any, level: float, urgent: bool, moved: int) -> None:
        self.seq += 1
        after = copy.deepcopy(self.model)
        lines = []
        for t, h, on in rows:
            if (h in after.tables[t]) != on:
                o = Orders(after.seq, lines=[(t, h, float(on))])
                trial = copy.deepcopy(after)
                trial.apply(o)
                if not trial.without():
                    after = trial
                    lines += o.lines
        cordons = []
        if cordon and (cordon[0] in after.cordons) != cordon[1]:
            trial = copy.deepcopy(after)
            trial.apply(Orders(after.seq, cordons=[cordon]))
            if not trial.without():
                cordons = [cordon]
        lines = list({(t, h): (t, h, w) for t, h, w in lines}.values())
        lines.sort(key=lambda row: row[2] <= 0)
        levels = [(65535, 0, level, 1)] if self.seq % 5 == 0 else []
        addresses = dict.fromkeys((*(h for _, h, w in lines if w > 0), moved), f"{self.seq}")
        o = Orders(self.seq, self.seq, lines=lines, cordons=cordons, levels=levels, addresses=addresses)
        self.model.apply(o)
        try:
            hand(self.channel, self.now, o, tuple(self.here), urgent)
        except QueueFullError as over:
            for f in over.proxies:
                self.leave(f)

    @rule(ms=st.floats(0.1, 200))
    def run(self, ms: float) -> None:
        self.now += ms
        for f, m in self.channel.take_due(self.now):
            assert m.orders
            assert cost_lines(m.orders) == m.cost_lines
            assert proxy_decoder.decode(m.frame[4:]) == m.orders
            self.here[f].apply(m.orders)
            assert not self.here[f].without(), "a table without a host"

    @invariant()
    def same_where_nothing_waits(self) -> None:
        queues = self.channel.queues
        for f, holder in self.here.items():
            if not queues[f].message_count:
                for name in ("tables", "cordons", "addresses", "levels", "seq", "mark"):
                    assert getattr(holder, name) == getattr(self.model, name), name

    @invariant()
    def bounds(self) -> None:
        waits = sum(self.channel.cost(m) for p in self.channel.queues.values() for m in (*p.urgent, *p.ordinary))
        assert abs(waits - self.channel.queued_lines) < 1e-6
        assert waits <= self.channel.limits.max_queued_lines
        assert all(
            abs(p.queued_lines - sum(self.channel.cost(m) for m in (*p.urgent, *p.ordinary))) < 1e-6
            for p in self.channel.queues.values()
        )


Overtaking.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True, phases=[Phase.generate]
)
TestOvertaking = Overtaking.TestCase


@pytest.mark.parametrize("mistake", ["lines stay", "cordon alone", "old address"])
def test_the_search_finds_a_planted_mistake(mistake: str, monkeypatch: pytest.MonkeyPatch) -> None:
    def wrong(urgent: Orders, waiting: Any, base: int) -> Any:
        ahead, left = merge_ahead(urgent, waiting, base)
        if mistake == "lines stay":
            return structs.replace(urgent, seq=ahead.seq, version=ahead.version), left
        if mistake == "cordon alone" and urgent.cordons:
            return structs.replace(ahead, lines=urgent.lines), left
        if mistake == "old address":
            left = [o and structs.replace(o, addresses=w.addresses) for o, w in zip(left, waiting, strict=True)]
        return ahead, left

    monkeypatch.setattr("corallanding.channel.overtaking.merge_ahead", wrong)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(  # type: ignore[no-untyped-call]
            Overtaking,
            settings=settings(
                max_examples=3000,
                stateful_step_count=40,
                deadline=None,
                derandomize=True,
                database=None,
                phases=[Phase.generate],
                report_multiple_bugs=False,
            ),
        )
