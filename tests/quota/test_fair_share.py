"""Max-min fair division of units."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from corallanding.quota import share


@given(st.integers(0, 50), st.dictionaries(st.integers(0, 20), st.integers(0, 60), max_size=9), st.integers(0, 9))
def test_shares_when_drawn_at_random_then_they_are_max_min_fair_and_use_the_whole_pool(
    pool: int, wants: dict[int, int], rotation: int
) -> None:
    shares = share(pool, wants, rotation)
    assert sum(shares.values()) == min(pool, sum(wants.values()))
    assert all(0 <= shares[client] <= wants[client] for client in wants)
    short = [shares[client] for client in wants if shares[client] < wants[client]]
    if short:
        assert all(shares[client] <= min(short) + 1 for client in wants), (
            "no share exceeds that of an unsatisfied client by more than one"
        )


def test_shares_when_units_do_not_divide_evenly_then_they_differ_by_one_at_most() -> None:
    assert sorted(share(7, dict.fromkeys(range(5), 7)).values()) == [1, 1, 1, 2, 2]
    assert sorted(share(7, dict.fromkeys(range(9), 7)).values()) == [0, 0, 1, 1, 1, 1, 1, 1, 1]
    greedy = share(7, {0: 10**6, 1: 2, 2: 2})
    assert greedy == {0: 3, 1: 2, 2: 2}, "a client that wants everything gets the remainder"
