"""What is told of every decision step."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from .. import interface as api


@dataclass(frozen=True, slots=True)
class DecisionStep:
    """The events of one step and the actions that the assigner answered them with. now: ms of the clock."""

    now: float
    events: Sequence[api.Event]
    actions: Sequence[api.Action]


class StepObserver(Protocol):
    """Told of each step that had an event or an action, before its outputs are carried out."""

    def on_step(self, step: DecisionStep) -> None:
        """Take one step."""
        ...
