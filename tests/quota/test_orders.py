"""In each dangerous order of events the capacity is not exceeded, and there is one leader."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from tests.quota.orders import ORDERS


@pytest.mark.parametrize("order", ORDERS, ids=lambda order: order.__name__)
def test_capacity_when_events_occur_in_a_dangerous_order_then_it_is_not_exceeded(order: Callable[[], float]) -> None:
    assert order() == 0
