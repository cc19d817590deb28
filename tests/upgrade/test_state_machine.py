"""Tests of the handover state machines, with a crash or suspension of either process at any point."""

from __future__ import annotations

from typing import Any

import pytest

from corallanding.upgrade.state_machine import HandoverCommand, Phase, Predecessor, Successor
from tests.upgrade.simulation import TIMEOUT_MS, explore


@pytest.mark.parametrize(("max_faults", "min_states"), [(0, 20), (1, 500), (2, 3_000)])
def test_handover_when_processes_crash_or_are_suspended_then_exactly_one_is_active(
    max_faults: int, min_states: int
) -> None:
    exploration = explore(max_faults=max_faults)
    assert exploration.states > min_states
    assert exploration.final_states > 0


class ResumesTooEarly(Predecessor):
    """Resumes without ending the other process first."""

    def abort(self, failure: str) -> list[HandoverCommand]:
        return [command for command in super().abort(failure) if command is not HandoverCommand.KILL_PEER]


class NeverTakesOver(Successor):
    """Exits when the old process has exited."""

    def on_peer_lost(self) -> list[HandoverCommand]:
        self.phase = Phase.OVER
        return [HandoverCommand.EXIT]


@pytest.mark.parametrize(
    ("variant", "reason"),
    [
        ({"predecessor_type": ResumesTooEarly}, "both processes are active|store is open in the other process"),
        ({"successor_type": NeverTakesOver}, "no process is active"),
        ({"has_lock": False}, "no process is active"),
    ],
    ids=["resumes too early", "never takes over", "no lock"],
)
def test_exploration_when_a_side_is_defective_then_the_defect_is_found(variant: Any, reason: str) -> None:
    with pytest.raises(AssertionError, match=reason):
        explore(**variant)


def test_predecessor_when_the_protocol_differs_then_it_rejects_the_successor_with_the_number() -> None:
    predecessor = Predecessor(TIMEOUT_MS)
    predecessor.start(0.0)
    assert predecessor.on_message(0.0, "ready", "7") == [HandoverCommand.KILL_PEER, HandoverCommand.RESUME]
    assert "protocol 7" in predecessor.failure
