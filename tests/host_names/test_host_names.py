"""Conversion between host names and numbers."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from corallanding.host_names import host_name, host_number


@given(st.text(min_size=1, max_size=16), st.text(min_size=1, max_size=16))
def test_number_when_computed_from_names_then_it_is_one_to_one(first: str, second: str) -> None:
    assert host_name(host_number(first)) == first
    assert (host_number(first) == host_number(second)) == (first == second)
