"""The rules of a handover, explored: any process dies or stands still at any point, messages in any order."""

from __future__ import annotations

from typing import Any

import pytest

from corallanding.upgrade.state_machine import HandoverCommand, Phase, Predecessor, Successor
from tests.upgrade.simulation import TIMEOUT_MS, explore


@pytest.mark.parametrize(("faults", "min_states"), [(0, 20), (1, 500), (2, 3_000)])
def test_handover_when_processes_die_or_stand_still_then_exactly_one_controls(faults: int, min_states: int) -> None:
    found = explore(faults=faults)
    assert found.states > min_states
    assert found.ends > 0


class ResumesTooEarly(Predecessor):
    """Resumes without making sure that the other process has ended."""

    def abort(self, failure: str) -> list[HandoverCommand]:
        return [command for command in super().abort(failure) if command is not HandoverCommand.END_OTHER]


class NeverTakesOver(Successor):
    """Ends when the old process is gone."""

    def on_peer_lost(self) -> list[HandoverCommand]:
        self.phase = Phase.OVER
        return [HandoverCommand.EXIT]


@pytest.mark.parametrize(
    ("variant", "reason"),
    [
        ({"old": ResumesTooEarly}, "both control|store"),
        ({"new": NeverTakesOver}, "nobody controls"),
        ({"has_lock": False}, "nobody controls"),
    ],
    ids=["resumes too early", "never takes over", "no lock"],
)
def test_exploration_when_a_side_has_a_fault_then_it_is_found(variant: Any, reason: str) -> None:
    with pytest.raises(AssertionError, match=reason):
        explore(**variant)


def test_predecessor_when_the_protocol_differs_then_refuses_with_its_number() -> None:
    predecessor = Predecessor(TIMEOUT_MS)
    predecessor.start(0.0)
    assert predecessor.on_message(0.0, "ready", "7") == [HandoverCommand.END_OTHER, HandoverCommand.RESUME]
    assert "protocol 7" in predecessor.failure
