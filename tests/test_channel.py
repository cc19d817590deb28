"""The channel: pace, order, the queue's limit and the cap on messages, whatever comes and goes."""

from __future__ import annotations

import copy
from typing import Any

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test
from msgspec import structs

from corallanding.channel import Channel, Limits, Overrun
from corallanding.channel.merge import cost, overtake
from corallanding.wire.frames import Orders, encode, to_forwarder


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
    assert log == [(0, 1, b"a"), (20, 2, b"a"), (40, 1, b"b")]
    assert channel.waiting == 0


def test_what_does_not_fit_names_its_forwarders_and_the_rest_goes() -> None:
    channel = Channel(Limits(rate=1000.0, head=8.0, queue_most=25.0))
    for f in (1, 2, 3):
        channel.join(f)
    with pytest.raises(Overrun) as over:
        channel.submit(0.0, b"a", 4, 1, (1, 2, 3, 9))
    assert over.value.forwarders == [3]
    assert channel.waiting == 24


def test_the_cap_holds_a_message_back_until_the_span_is_over() -> None:
    channel = Channel(Limits(rate=1e6, head=0.0, queue_most=100.0, messages_most=2, span=1000.0))
    channel.join(1)
    for k in range(3):
        channel.submit(0.0, b"%d" % k, 1, k, (1,))
    assert [m.frame for _, m in channel.due(1.0)] == [b"0", b"1"]
    assert channel.next_at(1.0) == 1001.0
    assert channel.due(1000.0) == []
    assert [m.frame for _, m in channel.due(1001.0)] == [b"2"]


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
        waits = sum(self.limits.head + m.lines for p in here.values() for m in (*p.urgent, *p.plain))
        assert abs(waits - self.channel.waiting) < 1e-6
        for rows in self.got.values():
            marks = [n for _, n in rows]
            assert marks == sorted(marks)
            for k in range(len(rows) - 3):
                assert rows[k + 3][0] - rows[k][0] >= self.limits.span - 1e-6


Comings.TestCase.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)
TestComings = Comings.TestCase


# ---- urgent orders -----------------------------------------------------------------------------------------


def order(seq: int, mark: int, *lines: tuple[int, int, float], **more: Any) -> Orders:
    return Orders(seq, mark, lines=list(lines), addresses={h: f"a{seq}" for _, h, w in lines if w > 0}, **more)


def hand(channel: Channel, now: float, o: Orders, to: tuple[int, ...], urgent: bool = False) -> None:
    channel.submit(now, encode(o), cost(o), o.mark, to, o, urgent)


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
        if o.mark >= 0:
            assert self.mark < 0 or (o.mark - self.mark) % 65536 < 32768
            self.mark = o.mark

    def without(self) -> list[int]:
        return [t for t, row in self.tables.items() if not set(row) - self.cordons]


def test_a_drain_overtakes_what_waits_and_takes_its_tables_lines_along() -> None:
    channel = Channel(Limits(rate=1000.0, head=0.0, queue_most=1000.0))
    for f in (1, 2):
        channel.join(f)
    hand(channel, 0.0, order(1, 1, (7, 70, 1.0), (8, 80, 1.0)), (1, 2))
    assert [f for f, _ in channel.due(0.0)] == [1], "the second forwarder's still waits"
    hand(channel, 0.0, order(2, 2, (7, 71, 1.0), (7, 69, 0.0)), (1, 2), urgent=True)
    sent = []
    for now in range(1, 30):
        sent += [(f, m.orders.seq, m.mark, m.orders.lines) for f, m in channel.due(float(now)) if m.orders]
    assert sent == [
        (1, 2, 2, [(7, 71, 1.0), (7, 69, 0.0)]),
        (2, 1, -1, [(7, 70, 1.0), (7, 71, 1.0), (7, 69, 0.0)]),
        (2, 2, 2, [(8, 80, 1.0)]),  # and with it the ack for both
    ]
    assert channel.waiting == 0
    assert channel.overtaken == 1


def test_a_cordon_takes_every_waiting_line_along_and_the_mark() -> None:
    channel = Channel(Limits(rate=1000.0, head=0.0, queue_most=1000.0))
    channel.join(1)
    channel.join(2)
    for n in (1, 2, 3):
        hand(channel, 0.0, order(n, n, (n, 70 + n, 1.0)), (1, 2))
    channel.due(0.0)
    hand(channel, 0.0, Orders(4, 4, cordons=[(9, True)]), (1, 2), urgent=True)
    sent = [x for now in range(1, 40) for x in channel.due(float(now))]
    whole = [(1, 71, 1.0), (2, 72, 1.0), (3, 73, 1.0)]
    assert [(f, m.mark, sorted(m.orders.lines)) for f, m in sent if m.orders] == [(1, 4, whole), (2, 4, whole)]
    assert channel.waiting == 0


def test_one_that_joined_between_waiting_orders_gets_mark_number_and_newest_address() -> None:
    """Found by the search below: what the oldest says, or nothing at all, went to one that never waited for it."""
    channel = Channel(Limits(rate=1000.0, head=0.0, queue_most=1000.0))
    channel.join(1)
    hand(channel, 0.0, order(1, 1, (1, 71, 1.0)), (1,))
    channel.due(0.0)
    hand(channel, 0.0, order(2, 2, (1, 72, 1.0), (2, 73, 1.0)), (1,))
    hand(channel, 0.0, Orders(3, addresses={72: "newer"}), (1,))
    channel.join(2)  # its tables are those of number 3
    hand(channel, 0.0, order(4, 4, (1, 74, 1.0)), (1, 2))
    hand(channel, 0.0, order(5, 5, (1, 75, 1.0), (1, 71, 0.0)), (1, 2), urgent=True)
    got: dict[int, list[Orders]] = {1: [], 2: []}
    for now in range(1, 60):
        for f, m in channel.due(float(now)):
            assert m.orders
            got[f].append(m.orders)
    assert [o.seq for o in got[2]] == [4, 5]
    assert got[2][-1].mark == 5
    assert [o.seq for o in got[1]] == [4, 4, 5]
    assert got[1][-1].mark == 5
    assert all(o.addresses.get(72, "newer") == "newer" for o in (*got[1], *got[2]))


def test_tables_given_anew_are_not_overtaken() -> None:
    channel = Channel(Limits(rate=1000.0, head=0.0, queue_most=1000.0))
    channel.join(1)
    hand(channel, 0.0, order(1, 1, (1, 71, 1.0)), (1,))
    channel.submit(0.0, b"tables", 9, -1, (1,))
    hand(channel, 0.0, order(3, 3, (1, 72, 1.0), (1, 71, 0.0)), (1,), urgent=True)
    marks = [m.mark for now in range(40) for _, m in channel.due(float(now))]
    assert marks == [1, -1, 3]


def test_a_socket_that_takes_no_more_holds_its_share_and_no_more() -> None:
    channel = Channel(Limits(rate=1e6, head=0.0, queue_most=100.0))
    for f in range(4):
        channel.join(f)
    channel.block(3, True)
    got: dict[int, list[int]] = {f: [] for f in range(4)}
    cut = None
    for n in range(1, 9):
        try:
            hand(channel, float(n), order(n, n, (n, 1, 1.0), (n, 2, 1.0), (n, 3, 1.0), (n, 4, 1.0)), (0, 1, 2, 3))
        except Overrun as over:
            cut = (n, over.forwarders)
            channel.leave(3)
        for k in range(5):
            for f, m in channel.due(n + k / 10):
                got[f].append(m.mark)
    assert cut == (6, [3]), "five messages of five lines are its quarter of the queue"
    assert all(got[f] == list(range(1, 9)) for f in (0, 1, 2))
    assert got[3] == []
    assert channel.waiting == 0


def test_a_socket_that_takes_more_again_gets_the_urgent_one_first() -> None:
    channel = Channel(Limits(rate=1e6, head=0.0, queue_most=100.0))
    channel.join(1)
    channel.block(1, True)
    hand(channel, 0.0, order(1, 1, (1, 71, 1.0)), (1,))
    assert channel.due(1.0) == []
    assert channel.next_at(1.0) is None
    hand(channel, 2.0, order(2, 2, (2, 72, 1.0), (2, 71, 0.0)), (1,), urgent=True)
    assert channel.due(3.0) == []
    channel.block(1, False)
    assert [m.orders.lines[0][0] for _, m in channel.due(4.0) if m.orders] == [2, 1]


class Overtaking(RuleBasedStateMachine):
    """Orders of every kind, ordinary and urgent, to forwarders that join, leave, block and are capped.

    The model applies orders in the order in which they were given. Whenever nothing waits for a forwarder it holds what
    the model holds; and as long as the model never leaves a table without a host, no forwarder has one, at any time.
    """

    TABLES, HOSTS = range(4), range(6)

    def __init__(self) -> None:
        super().__init__()
        self.channel = Channel(Limits(rate=300.0, head=2.0, queue_most=400.0, messages_most=4, span=300.0))
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
        self.channel.block(f, on)

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
        except Overrun as over:
            for f in over.forwarders:
                self.leave(f)

    @rule(ms=st.floats(0.1, 200))
    def run(self, ms: float) -> None:
        self.now += ms
        for f, m in self.channel.due(self.now):
            assert m.orders
            assert cost(m.orders) == m.lines
            assert to_forwarder.decode(m.frame[4:]) == m.orders
            self.here[f].apply(m.orders)
            assert not self.here[f].without(), "a table without a host"

    @invariant()
    def same_where_nothing_waits(self) -> None:
        ports = self.channel.ports
        for f, holder in self.here.items():
            if not ports[f].count:
                for name in ("tables", "cordons", "addresses", "levels", "seq", "mark"):
                    assert getattr(holder, name) == getattr(self.model, name), name

    @invariant()
    def bounds(self) -> None:
        waits = sum(self.channel.cost(m) for p in self.channel.ports.values() for m in (*p.urgent, *p.plain))
        assert abs(waits - self.channel.waiting) < 1e-6
        assert waits <= self.channel.limits.queue_most
        assert all(
            abs(p.lines - sum(self.channel.cost(m) for m in (*p.urgent, *p.plain))) < 1e-6
            for p in self.channel.ports.values()
        )


Overtaking.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True, phases=[Phase.generate]
)
TestOvertaking = Overtaking.TestCase


@pytest.mark.parametrize("mistake", ["lines stay", "cordon alone", "old address"])
def test_the_search_finds_a_planted_mistake(mistake: str, monkeypatch: pytest.MonkeyPatch) -> None:
    def wrong(urgent: Orders, waiting: Any, base: int) -> Any:
        ahead, left = overtake(urgent, waiting, base)
        if mistake == "lines stay":
            return structs.replace(urgent, seq=ahead.seq, mark=ahead.mark), left
        if mistake == "cordon alone" and urgent.cordons:
            return structs.replace(ahead, lines=urgent.lines), left
        if mistake == "old address":
            left = [o and structs.replace(o, addresses=w.addresses) for o, w in zip(left, waiting, strict=True)]
        return ahead, left

    monkeypatch.setattr("corallanding.channel.core.overtake", wrong)
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
