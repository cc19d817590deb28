"""The audit that checks the order in which jobs are dispatched."""

from __future__ import annotations

from corallanding.lab.order import judge


def test_order_audit_when_jobs_are_mishandled_then_finds_inversions_duplicates_and_losses() -> None:
    classes = [(0.0, 1_000.0, 1e9)]
    arrivals = {1: (0.0, 0), 2: (5_000.0, 0), 3: (0.0, 0)}
    held = [(1, 0, 0.0, 9_000.0)]
    good = judge(
        classes, arrivals, [*held, (2, 1, 5_000.0, 9_100.0)], [(9_000.0, 1, 0, [1]), (9_100.0, 2, 1, [0])], 500.0
    )
    assert (good["inversions_over_bound"], good["doubled"], good["lost"]) == (0, 0, 1)
    wrong = judge(classes, arrivals, held, [(8_000.0, 2, 1, [0]), (9_000.0, 1, 0, []), (9_050.0, 1, 0, [])], 500.0)
    assert (wrong["inversions_over_bound"], wrong["worst_inversion_ms"], wrong["doubled"]) == (1, 5_000.0, 1)
    unobserved = judge(classes, arrivals, held, [(8_000.0, 2, 1, [])], 500.0)
    assert (unobserved["inversions_over_bound"], unobserved["apart"]) == (0, 1), (
        "a controller cannot take a queue into account that it does not observe"
    )
