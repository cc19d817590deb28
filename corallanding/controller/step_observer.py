"""What is told of every decision step."""

from __future__ import annotations

from typing import Protocol

from .event_inbox import DecisionStep


class StepObserver(Protocol):
    """Told of each step that had an event or an action, before its outputs are carried out."""

    def on_step(self, step: DecisionStep) -> None:
        """Take one step."""
        ...
