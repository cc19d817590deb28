"""The audit that judges the order of jobs."""

from __future__ import annotations

from corallanding.lab.order import judge


def test_order_audit_when_jobs_go_wrong_then_finds_inversions_doubles_and_losses() -> None:
    kinds = [(0.0, 1_000.0, 1e9)]
    came = {1: (0.0, 0), 2: (5_000.0, 0), 3: (0.0, 0)}
    one = [(1, 0, 0.0, 9_000.0)]
    good = judge(kinds, came, [*one, (2, 1, 5_000.0, 9_100.0)], [(9_000.0, 1, 0, [1]), (9_100.0, 2, 1, [0])], 500.0)
    assert (good["inversions_over_bound"], good["doubled"], good["lost"]) == (0, 0, 1)
    wrong = judge(kinds, came, one, [(8_000.0, 2, 1, [0]), (9_000.0, 1, 0, []), (9_050.0, 1, 0, [])], 500.0)
    assert (wrong["inversions_over_bound"], wrong["worst_inversion_ms"], wrong["doubled"]) == (1, 5_000.0, 1)
    apart = judge(kinds, came, one, [(8_000.0, 2, 1, [])], 500.0)
    assert (apart["inversions_over_bound"], apart["apart"]) == (0, 1), "nobody can order what it cannot hear of"
