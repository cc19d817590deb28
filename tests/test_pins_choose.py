"""What is decided of releases, runs and hosts."""

from __future__ import annotations

from collections.abc import Callable

from corallanding.version_pinning.release_register import ReleaseRegister, unpack_register
from corallanding.version_pinning.rollout import next_register
from corallanding.version_pinning.routes import NoHostPolicy, RoutePlanner
from corallanding.version_pinning.version_selection import PinningHost, choose_set, select_hosts, serving_capacity

# ---- what is decided ---------------------------------------------------------------------------------------


def test_registers_go_through_one_number() -> None:
    for register in (
        ReleaseRegister(1, 1, (1,)),
        ReleaseRegister(7, 1_023, (1_023, 4, 9), 2),
        ReleaseRegister(2, 5, (3, 5), 1),
    ):
        assert unpack_register(register.pack()) == register
        assert register.pack() < 1 << 63
    for value in (
        0,
        3,
        ReleaseRegister(1, 2, (3,)).pack(),
        ReleaseRegister(1, 3, (3, 3), 1).pack(),
        ReleaseRegister(1, 3, (3,), 3).pack(),
    ):
        assert unpack_register(value) is None


def test_a_release_opens_beside_the_old_set_and_closes_it_once_it_is_as_strong() -> None:
    one = ReleaseRegister(1, 1, (1,))
    assert next_register(one, 2, {1, 2}, {1: 10.0, 2: 0.0}, ()) == (None, "no host serves set 2 whole")
    assert next_register(one, 2, {1}, {1: 10.0, 2: 1.0}, ()) == (None, "set 2 is not configured here")
    both, _ = next_register(one, 2, {1, 2}, {1: 10.0, 2: 1.0}, ())
    assert both == ReleaseRegister(2, 2, (2, 1), 2)
    assert next_register(both, 2, {1, 2}, {1: 10.0, 2: 9.0}, ()) == (None, "")
    closed, _ = next_register(both, 2, {1, 2}, {1: 9.0, 2: 9.0}, ())
    assert closed == ReleaseRegister(3, 2, (2, 1), 1)
    back, _ = next_register(closed, 1, {1, 2}, {1: 9.0, 2: 9.0}, ())
    assert back == ReleaseRegister(4, 2, (1, 2), 2), "taken back while both are alive"
    gone, _ = next_register(closed, 2, {1, 2}, {2: 9.0}, (1,))
    assert gone == ReleaseRegister(4, 2, (2,), 1)
    assert next_register(gone, 1, {1, 2}, {1: 9.0, 2: 9.0}, ()) == (None, "set 1 is retired")
    full = ReleaseRegister(9, 3, (3, 2, 1), 1)
    assert next_register(full, 4, {4}, {4: 1.0}, ()) == (None, "3 sets are alive")


def test_runs_are_drawn_in_the_shares_of_what_hosts_can_do() -> None:
    drawn = [choose_set(key, (2, 1), (1.0, 3.0)) for key in range(4_000)]
    assert 0.22 < drawn.count(2) / 4_000 < 0.28
    assert {choose_set(key, (2, 1), (0.0, 3.0)) for key in range(100)} == {1}
    assert {choose_set(key, (2, 1), (0.0, 0.0)) for key in range(100)} == {2}


def server(host: int, versions: int, able: float = 1.0, sound: bool = True, used: bool = True) -> PinningHost:
    return PinningHost(host, 1.0, able, sound, {"quote": [versions], "claim": [versions]}, used)


def test_a_pinned_invocation_goes_to_hosts_that_serve_it_warm_ones_first() -> None:
    servers = {s.host: s for s in (server(1, 1), server(2, 2), server(3, 2, 0.4), server(4, 1, sound=False))}
    never: Callable[[int], bool] = lambda host: False  # noqa: E731
    assert select_hosts(5, "quote", 1, {1: 1.0}, servers, never) is None, "all its lines serve it"
    assert select_hosts(5, "quote", 1, {1: 0.7, 2: 0.3}, servers, never) == {1: 0.7}
    assert select_hosts(5, "quote", 2, {1: 1.0}, servers, never) == {2: 1.0}, "a warm one elsewhere"
    assert select_hosts(5, "quote", 2, {3: 0.2, 1: 0.8}, servers, never) == {3: 0.2, 2: 1.0}, (
        "the cold one keeps its part"
    )
    cold = {3: servers[3], 1: servers[1]}
    assert select_hosts(5, "quote", 2, {1: 1.0}, cold, never) == {}, "a cold one only within its part"
    assert select_hosts(5, "quote", 2, {1: 1.0}, cold, lambda host: True) == {3: 1.0}
    assert select_hosts(5, "quote", 1, {4: 1.0}, servers, never) == {1: 1.0}, "rule 3: a draining host is left"
    found_dead = {1: server(1, 1, used=False), 7: server(7, 1)}
    assert select_hosts(5, "quote", 1, {}, found_dead, never) == {7: 1.0}, "one that no table names is the last resort"
    assert serving_capacity({"quote": 2, "claim": 2}, servers.values()) == 1.4


def test_routes_name_what_the_table_cannot_serve_and_what_becomes_of_the_rest() -> None:
    servers = {1: server(1, 1), 2: server(2, 2)}
    sets = {1: {"quote": 1, "claim": 1}, 2: {"quote": 2, "claim": 2}, 3: {"quote": 3, "claim": 2}}
    no = {"quote": NoHostPolicy(0.0, True), "claim": NoHostPolicy(900.0)}
    asked: list[int] = []
    routes = RoutePlanner(("quote", "claim"), sets, {2: [3]}, no, lambda host: asked.append(host) is None)
    rows = routes.plan((2, 1, 3), {7: {2: 1.0}}, servers)
    assert rows[2] == []
    assert rows[1] == [(7, 0, 1, [(1, 1.0)], 0.0), (7, 1, 1, [(1, 1.0)], 900.0)]
    assert rows[3] == [(7, 0, 2, [(2, 1.0)], 0.0)], "quote goes over to set 2, whose claim is its own"
    assert (routes.unserved_count, routes.carried_over_count) == (0, 1)
    assert asked == []
    rows = routes.plan((1,), {7: {2: 1.0}}, {2: servers[2]})
    assert rows[1] == [(7, 0, 1, [], 0.0), (7, 1, 1, [], 900.0)]
    assert routes.unserved_count == 2
    cold = {1: server(1, 1, 0.3), 2: servers[2]}
    for _ in range(3):
        assert routes.plan((1,), {7: {2: 1.0}}, cold)[1][0][3] == [(1, 1.0)]
    assert asked == [1, 1], "a cold host's part is asked for once for each slice and operation"
