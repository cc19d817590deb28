"""Selection of the release set of a new run and of the hosts for its requests."""

from __future__ import annotations

from collections.abc import Callable

from corallanding.version_pinning.version_selection import choose_set, select_hosts, serving_capacity
from tests.version_pinning.support_hosts import make_host


def test_release_set_when_chosen_then_is_drawn_in_proportion_to_capacity() -> None:
    drawn = [choose_set(key, (2, 1), (1.0, 3.0)) for key in range(4_000)]
    assert 0.22 < drawn.count(2) / 4_000 < 0.28
    assert {choose_set(key, (2, 1), (0.0, 3.0)) for key in range(100)} == {1}
    assert {choose_set(key, (2, 1), (0.0, 0.0)) for key in range(100)} == {2}


def test_pinned_request_when_hosts_are_selected_then_prefers_warm_hosts_that_serve_it() -> None:
    hosts = {
        host.host: host
        for host in (make_host(1, 1), make_host(2, 2), make_host(3, 2, 0.4), make_host(4, 1, is_eligible=False))
    }
    never: Callable[[int], bool] = lambda host: False  # noqa: E731
    assert select_hosts(5, "quote", 1, {1: 1.0}, hosts, never) is None, "all hosts of the table serve it"
    assert select_hosts(5, "quote", 1, {1: 0.7, 2: 0.3}, hosts, never) == {1: 0.7}
    assert select_hosts(5, "quote", 2, {1: 1.0}, hosts, never) == {2: 1.0}, "a warm host outside the table"
    assert select_hosts(5, "quote", 2, {3: 0.2, 1: 0.8}, hosts, never) == {3: 0.2, 2: 1.0}, (
        "the warming host keeps its share"
    )
    warming_only = {3: hosts[3], 1: hosts[1]}
    assert select_hosts(5, "quote", 2, {1: 1.0}, warming_only, never) == {}, (
        "a warming host serves only within its share"
    )
    assert select_hosts(5, "quote", 2, {1: 1.0}, warming_only, lambda host: True) == {3: 1.0}
    assert select_hosts(5, "quote", 1, {4: 1.0}, hosts, never) == {1: 1.0}, (
        "a draining host is not selected (rule 3 of docs/pins.md)"
    )
    not_in_tables = {1: make_host(1, 1, is_in_tables=False), 7: make_host(7, 1)}
    assert select_hosts(5, "quote", 1, {}, not_in_tables, never) == {7: 1.0}, "a host in no table is the last choice"
    assert serving_capacity({"quote": 2, "claim": 2}, hosts.values()) == 1.4
