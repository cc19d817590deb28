"""The interface of observers of decision steps."""

from __future__ import annotations

from typing import Protocol

from .event_inbox import DecisionStep


class StepObserver(Protocol):
    """Notified of each step that had an event or an action, before its outputs are carried out."""

    def on_step(self, step: DecisionStep) -> None:
        """Handle one step."""
        ...
