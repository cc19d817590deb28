"""Routes of pinned runs."""

from __future__ import annotations

from corallanding.version_pinning.routes import NoHostPolicy, RoutePlanner
from tests.version_pinning.support_hosts import make_host


def test_routes_when_planned_then_name_only_what_tables_do_not_serve() -> None:
    hosts = {1: make_host(1, 1), 2: make_host(2, 2)}
    sets = {1: {"quote": 1, "claim": 1}, 2: {"quote": 2, "claim": 2}, 3: {"quote": 3, "claim": 2}}
    no = {"quote": NoHostPolicy(0.0, True), "claim": NoHostPolicy(900.0)}
    asked: list[int] = []
    routes = RoutePlanner(("quote", "claim"), sets, {2: [3]}, no, lambda host: asked.append(host) is None)
    rows = routes.plan((2, 1, 3), {7: {2: 1.0}}, hosts)
    assert rows[2] == []
    assert rows[1] == [(7, 0, 1, [(1, 1.0)], 0.0), (7, 1, 1, [(1, 1.0)], 900.0)]
    assert rows[3] == [(7, 0, 2, [(2, 1.0)], 0.0)], "quote goes over to set 2, whose claim is its own"
    assert (routes.unserved_count, routes.carried_over_count) == (0, 1)
    assert asked == []
    rows = routes.plan((1,), {7: {2: 1.0}}, {2: hosts[2]})
    assert rows[1] == [(7, 0, 1, [], 0.0), (7, 1, 1, [], 900.0)]
    assert routes.unserved_count == 2
    cold = {1: make_host(1, 1, 0.3), 2: hosts[2]}
    for _ in range(3):
        assert routes.plan((1,), {7: {2: 1.0}}, cold)[1][0][3] == [(1, 1.0)]
    assert asked == [1, 1], "a cold host's part is asked for once for each slice and operation"
