"""The relay's news to events, through breaks."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from platform_samples import HOSTS, SETTINGS, ZONES, attach, entry, owner, told

from corallanding import interface as api
from corallanding.assignment import Assigner
from corallanding.relay.notifications import InvalidNotificationError, parse_notification
from corallanding.relay.orders import TableOrder
from corallanding.relay.subscription import InitialState, RelayView, apply_orders

Row = tuple[str, dict[str, Any]]


def say(news: RelayView, *rows: Row) -> list[api.Event]:
    out: list[api.Event] = []
    for method, params in rows:
        out += news.apply(parse_notification(msgspec.json.encode({"method": method, "params": params})))
    return out


def stand(news: RelayView, *rows: Row, under_way: Sequence[TableOrder] = ()) -> list[api.Event]:
    s = InitialState()
    told(news, s, *rows)
    return news.replace_state(s, under_way)


def begun() -> RelayView:
    news = RelayView(SETTINGS, ZONES)
    stand(news, attach(1), attach(2), owner(3), entry(3, 0), owner(4), entry(4, 1))
    return news


def test_view_when_the_first_connection_is_complete_then_everything_is_an_event() -> None:
    news = RelayView(SETTINGS, ZONES)
    assert stand(news, attach(1), owner(3), owner(4), entry(4, 1), entry(3, 0, 0.5)) == [
        api.ProxyJoined(1, 0, 2.5, True),
        api.SliceOwnershipChange(3, True),
        api.StoredWeight(3, HOSTS[0], 0.5),
        api.SliceOwnershipChange(4, True),
        api.StoredWeight(4, HOSTS[1], 1.0),
    ]


def test_view_when_state_is_repeated_unchanged_then_there_is_no_event() -> None:
    assert stand(begun(), attach(2), attach(1), owner(4), entry(4, 1), owner(3), entry(3, 0)) == []


def test_view_when_state_differs_then_the_difference_is_delivered() -> None:
    assert stand(begun(), attach(2), attach(5), owner(4), entry(4, 1), owner(6)) == [
        api.ProxyLeft(1),
        api.ProxyJoined(5, 0, 2.5, True),
        api.SliceOwnershipChange(3, False),
        api.SliceOwnershipChange(6, True),
    ]


def test_tables_when_they_differ_then_the_relay_counts_except_for_unconfirmed_orders() -> None:
    rows = (attach(1), attach(2), owner(3), entry(3, 2), owner(4), entry(4, 1))
    move = [api.SetWeight(3, HOSTS[2], 1.0), api.SetWeight(3, HOSTS[0], 0.0)]
    assert stand(begun(), *rows, under_way=move) == []
    assert stand(begun(), *rows) == [api.SliceOwnershipChange(3, True), api.StoredWeight(3, HOSTS[2], 1.0)]
    assert stand(begun(), *rows, entry(4, 5), under_way=[*move, api.SetWeight(4, HOSTS[1], 0.0)]) == [
        api.SliceOwnershipChange(4, True),
        api.StoredWeight(4, HOSTS[5], 1.0),
    ]
    news = begun()
    for o in move:
        news.on_order_confirmed(o)
    assert stand(news, *rows) == []


ORDERS = st.lists(
    st.one_of(
        st.builds(api.SetWeight, st.sampled_from([3, 4]), st.sampled_from(HOSTS), st.sampled_from([0.0, 1.0])),
        st.builds(api.ResetTable, st.sampled_from([3, 4])),
    ),
    max_size=12,
)


@given(ORDERS, st.lists(st.integers(0, 12), min_size=3, max_size=3))
def test_tables_when_orders_are_confirmed_during_the_initial_state_then_they_hold_them(
    orders: list[TableOrder], at: list[int]
) -> None:
    """The relay tells the lines as they were at one moment after the opening: incident of the moves forgotten."""
    opened, told_at, confirmed = sorted(min(x, len(orders)) for x in at)
    news, store = begun(), {3: {HOSTS[0]: 1.0}, 4: {HOSTS[1]: 1.0}}
    s, said = InitialState(), list[Row]()
    for n, o in enumerate([*orders, None]):
        if n == opened:
            s = news.begin_initial_state()
        if n == told_at:
            said = [row for t in store for row in (owner(t), *(entry(t, HOSTS.index(h)) for h in store[t]))]
        if o:
            store[o.slice] = apply_orders(store[o.slice], [o])
            if n < confirmed:
                news.on_order_confirmed(o)
    told(news, s, attach(1), attach(2), *said)
    assert news.replace_state(s, orders[confirmed:]) == []
    for o in orders[confirmed:]:
        news.on_order_confirmed(o)
    assert news.tables == store


def test_slice_when_given_then_it_waits_for_its_entries() -> None:
    news = begun()
    assert say(news, owner(5), entry(5, 0), entry(5, 1)) == []
    assert news.complete_slices() == [
        api.SliceOwnershipChange(5, True),
        api.StoredWeight(5, HOSTS[0], 1.0),
        api.StoredWeight(5, HOSTS[1], 1.0),
    ]
    assert news.complete_slices() == []
    assert say(news, owner(5, False), owner(5, False)) == [api.SliceOwnershipChange(5, False)]


def test_slice_when_lost_before_its_entries_came_then_it_is_never_delivered() -> None:
    news = begun()
    assert say(news, owner(5), entry(5, 0), owner(5, False)) == []
    assert news.complete_slices() == []


def test_acks_when_the_proxy_has_not_joined_then_they_do_not_count() -> None:
    done = ("done", {"node": 1, "nonce": 905, "latency": 310.4})
    assert say(begun(), done, ("detach", {"node": 1}), done) == [api.VersionAcked(1, 905, 310.4), api.ProxyLeft(1)]


@pytest.mark.parametrize(
    ("method", "params"),
    [
        ("attach", {"node": 20, "locality": "a"}),
        ("attach", {"node": 1, "locality": "z"}),
        ("done", {"node": 1}),
        ("done", {"node": 1, "nonce": 70_000}),
        ("owner", {"shard": 8}),
        ("entry", {"shard": 1, "endpoint": ""}),
        ("entry", {"shard": 1, "endpoint": "s-1", "w": -1}),
    ],
)
def test_notification_when_invalid_then_the_error_names_the_field(method: str, params: dict[str, Any]) -> None:
    with pytest.raises(InvalidNotificationError):
        say(begun(), (method, params))


def test_acks_when_lost_in_an_interruption_then_drains_are_not_delayed_for_good() -> None:
    """A full queue by the module's own count, and nothing that would clear it: incident of a silent relay."""
    proxies, hosts = range(20), [api.HostEntry(h) for h in HOSTS]
    settings = replace(SETTINGS, max_queued_lines=20 * 30.0)
    news, module = RelayView(settings, ZONES), Assigner(settings, 1)
    events = stand(news, *(attach(p) for p in proxies), *(owner(s) for s in range(8)))
    module.step(1e9, [api.HostListUpdate(api.HostListKind.FULL, 1, tuple(hosts)), *events])
    gone = [replace(h, state="draining") for h in hosts[:2]]
    drain = api.HostListUpdate(api.HostListKind.CHANGES, 2, tuple(gone))
    assert not [a for a in module.step(1e9 + 2_000, [drain]) if isinstance(a, api.SetWeight | api.Cordon)]
    said = module.step(1e9 + 2_001, [*news.assume_acked(module.pending_versions.last_version), api.TimerFired(0)])
    assert [a for a in said if isinstance(a, api.SetWeight | api.Cordon)]
