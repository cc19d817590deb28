"""Routes of pinned runs."""

from __future__ import annotations

from corallanding.version_pinning.routes import NoHostPolicy, RoutePlanner
from tests.version_pinning.support_hosts import make_host


def test_routes_when_planned_then_cover_only_slices_whose_tables_do_not_serve() -> None:
    hosts = {1: make_host(1, 1), 2: make_host(2, 2)}
    release_sets = {1: {"quote": 1, "claim": 1}, 2: {"quote": 2, "claim": 2}, 3: {"quote": 3, "claim": 2}}
    no_host_policies = {"quote": NoHostPolicy(0.0, True), "claim": NoHostPolicy(900.0)}
    permission_requests: list[int] = []
    planner = RoutePlanner(
        ("quote", "claim"),
        release_sets,
        {2: [3]},
        no_host_policies,
        lambda host: permission_requests.append(host) is None,
    )
    routes = planner.plan((2, 1, 3), {7: {2: 1.0}}, hosts)
    assert routes[2] == []
    assert routes[1] == [(7, 0, 1, [(1, 1.0)], 0.0), (7, 1, 1, [(1, 1.0)], 900.0)]
    assert routes[3] == [(7, 0, 2, [(2, 1.0)], 0.0)], "quote uses set 2, which has the same version of claim"
    assert (planner.unserved_count, planner.carried_over_count) == (0, 1)
    assert permission_requests == []
    routes = planner.plan((1,), {7: {2: 1.0}}, {2: hosts[2]})
    assert routes[1] == [(7, 0, 1, [], 0.0), (7, 1, 1, [], 900.0)]
    assert planner.unserved_count == 2
    warming = {1: make_host(1, 1, 0.3), 2: hosts[2]}
    for _ in range(3):
        assert planner.plan((1,), {7: {2: 1.0}}, warming)[1][0][3] == [(1, 1.0)]
    assert permission_requests == [1, 1], "requested once for each slice and request class of a warming host"
