"""State search: orders of every kind overtake one another, and all proxies end with the same tables."""

from __future__ import annotations

import copy
from collections.abc import Sequence

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test
from msgspec import structs

from corallanding.channel import Channel, ChannelLimits, QueueFullError
from corallanding.channel.merge import MergedOrders, cost_lines, merge_overtaken
from corallanding.wire.frames import Orders, proxy_decoder
from tests.channel.support import ProxyModel, submit

Cordon = tuple[int, bool]
Line = tuple[int, int, float]
MODEL_FIELDS = ("tables", "cordons", "addresses", "levels", "seq", "version")


class Overtaking(RuleBasedStateMachine):
    """Ordinary and urgent orders of every kind, to proxies that join, leave, block and reach the message limit.

    The model applies orders in the order of submission. Whenever no message is queued for a proxy, its state equals the
    model's. As the model never has a table without a host, no proxy ever has one either.
    """

    TABLES = range(4)

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
        self.model = ProxyModel({table: {table % 3: 1.0} for table in self.TABLES})
        self.proxies: dict[int, ProxyModel] = {}
        self.now = 0.0
        self.seq = 0

    @rule(proxy=st.integers(0, 3))
    def join(self, proxy: int) -> None:
        self.channel.join(proxy)
        self.proxies[proxy] = copy.deepcopy(self.model)

    @rule(proxy=st.integers(0, 3))
    def leave(self, proxy: int) -> None:
        self.channel.leave(proxy)
        self.proxies.pop(proxy, None)

    @rule(proxy=st.integers(0, 3), is_blocked=st.booleans())
    def block(self, proxy: int, is_blocked: bool) -> None:
        self.channel.set_blocked(proxy, is_blocked=is_blocked)

    @rule(
        rows=st.lists(st.tuples(st.integers(0, 3), st.integers(0, 5), st.booleans()), max_size=6),
        cordon=st.one_of(st.none(), st.tuples(st.integers(0, 5), st.booleans())),
        level=st.floats(0.1, 1.0),
        is_urgent=st.booleans(),
        moved_host=st.integers(0, 5),
    )
    def submit_orders(
        self, rows: list[tuple[int, int, bool]], cordon: Cordon | None, level: float, is_urgent: bool, moved_host: int
    ) -> None:
        self.seq += 1
        after = copy.deepcopy(self.model)
        after, lines = self.possible_lines(after, rows)
        cordons = self.possible_cordons(after, cordon)
        lines = list({line[:2]: line for line in lines}.values())
        lines.sort(key=lambda line: line[2] <= 0)
        levels = [(65535, 0, level, 1)] if self.seq % 5 == 0 else []
        added_hosts = (host for _, host, weight in lines if weight > 0)
        addresses = dict.fromkeys((*added_hosts, moved_host), f"{self.seq}")
        orders = Orders(self.seq, self.seq, lines=lines, cordons=cordons, levels=levels, addresses=addresses)
        self.model.apply(orders)
        try:
            submit(self.channel, self.now, orders, tuple(self.proxies), is_urgent=is_urgent)
        except QueueFullError as error:
            for proxy in error.proxies:
                self.leave(proxy)

    def possible_lines(self, after: ProxyModel, rows: list[tuple[int, int, bool]]) -> tuple[ProxyModel, list[Line]]:
        """Return the model with those of the drawn lines that leave no table without a host, and these lines."""
        lines: list[Line] = []
        for table, host, is_present in rows:
            if (host in after.tables[table]) == is_present:
                continue
            orders = Orders(after.seq, lines=[(table, host, float(is_present))])
            candidate = copy.deepcopy(after)
            candidate.apply(orders)
            if not candidate.tables_without_host():
                after = candidate
                lines += orders.lines
        return after, lines

    def possible_cordons(self, after: ProxyModel, cordon: Cordon | None) -> list[Cordon]:
        """Return the drawn cordon if it has an effect and leaves no table without a host."""
        if not cordon or (cordon[0] in after.cordons) == cordon[1]:
            return []
        candidate = copy.deepcopy(after)
        candidate.apply(Orders(after.seq, cordons=[cordon]))
        return [] if candidate.tables_without_host() else [cordon]

    @rule(ms=st.floats(0.1, 200))
    def advance(self, ms: float) -> None:
        self.now += ms
        for proxy, message in self.channel.take_due(self.now):
            assert message.orders
            assert cost_lines(message.orders) == message.cost_lines
            assert proxy_decoder.decode(message.frame[4:]) == message.orders
            self.proxies[proxy].apply(message.orders)
            assert not self.proxies[proxy].tables_without_host(), "a table without a host"

    @invariant()
    def state_equals_model_if_queue_is_empty(self) -> None:
        for proxy, state in self.proxies.items():
            if not self.channel.queues[proxy].message_count:
                for name in MODEL_FIELDS:
                    assert getattr(state, name) == getattr(self.model, name), name

    @invariant()
    def queued_lines_are_consistent_and_limited(self) -> None:
        total = 0.0
        for queue in self.channel.queues.values():
            lines = sum(self.channel.cost(message) for message in (*queue.urgent, *queue.ordinary))
            assert abs(queue.queued_lines - lines) < 1e-6
            total += lines
        assert abs(total - self.channel.queued_lines) < 1e-6
        assert total <= self.channel.limits.max_queued_lines


Overtaking.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True, phases=[Phase.generate]
)
TestOvertaking = Overtaking.TestCase


@pytest.mark.parametrize("mistake", ["lines are not taken", "cordon takes no lines", "old address"])
def test_state_search_when_the_merge_has_a_defect_then_it_is_found(
    mistake: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    def merge_wrongly(urgent: Orders, waiting: Sequence[Orders], base_seq: int) -> MergedOrders:
        merged, remaining = merge_overtaken(urgent, waiting, base_seq)
        if mistake == "lines are not taken":
            merged = structs.replace(urgent, seq=merged.seq, version=merged.version)
        elif mistake == "cordon takes no lines" and urgent.cordons:
            merged = structs.replace(merged, lines=urgent.lines)
        elif mistake == "old address":
            remaining = [
                rest and structs.replace(rest, addresses=orders.addresses)
                for rest, orders in zip(remaining, waiting, strict=True)
            ]
        return MergedOrders(merged, remaining)

    monkeypatch.setattr("corallanding.channel.overtaking.merge_overtaken", merge_wrongly)
    search = settings(
        max_examples=3000,
        stateful_step_count=40,
        deadline=None,
        derandomize=True,
        database=None,
        phases=[Phase.generate],
        report_multiple_bugs=False,
    )
    with pytest.raises(AssertionError):
        run_state_machine_as_test(Overtaking, settings=search)  # type: ignore[no-untyped-call]
