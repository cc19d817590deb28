"""Steps of a release: open, close, roll back, retire."""

from __future__ import annotations

from corallanding.version_pinning.release_register import ReleaseRegister
from corallanding.version_pinning.rollout import next_register


def test_release_when_rolled_out_then_opens_beside_the_old_set_and_closes_it_at_equal_capacity() -> None:
    initial = ReleaseRegister(1, 1, (1,))
    assert next_register(initial, 2, {1, 2}, {1: 10.0, 2: 0.0}, ()) == (None, "no host serves all of set 2")
    assert next_register(initial, 2, {1}, {1: 10.0, 2: 1.0}, ()) == (None, "set 2 is not configured here")
    both_open, _ = next_register(initial, 2, {1, 2}, {1: 10.0, 2: 1.0}, ())
    assert both_open == ReleaseRegister(2, 2, (2, 1), 2)
    assert next_register(both_open, 2, {1, 2}, {1: 10.0, 2: 9.0}, ()) == (None, "")
    closed, _ = next_register(both_open, 2, {1, 2}, {1: 9.0, 2: 9.0}, ())
    assert closed == ReleaseRegister(3, 2, (2, 1), 1)
    rolled_back, _ = next_register(closed, 1, {1, 2}, {1: 9.0, 2: 9.0}, ())
    assert rolled_back == ReleaseRegister(4, 2, (1, 2), 2), "rolled back while both are live"
    retired, _ = next_register(closed, 2, {1, 2}, {2: 9.0}, (1,))
    assert retired == ReleaseRegister(4, 2, (2,), 1)
    assert next_register(retired, 1, {1, 2}, {1: 9.0, 2: 9.0}, ()) == (None, "set 1 is retired")
    full = ReleaseRegister(9, 3, (3, 2, 1), 1)
    assert next_register(full, 4, {4}, {4: 1.0}, ()) == (None, "3 sets are already live")
